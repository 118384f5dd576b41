// Tests the evidence against parts of prompts and the trials of quarantined
// ones.
#include "decide/prompt_quarantine.h"

#include <catch2/catch.hpp>
#include <string>

#include "decide/prompt_crash_evidence.h"

namespace mimosa {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Verdict = PromptQuarantine::Verdict;

const PromptPartId kBad("bad");
const PromptPartId kShared("5a");

MonoTime At(int second) { return MonoTime{} + seconds(10000 + second); }

BackEndId Engine(int i) { return BackEndId("e" + std::to_string(i)); }

TEST_CASE("a part is suspect after crashes of several engines") {
  PromptCrashEvidence evidence({});
  evidence.RecordCrash(kBad, Engine(1), 1, At(0));
  // Other daemons report the same crash.
  for (int i = 0; i < 5; ++i) evidence.RecordCrash(kBad, Engine(1), 1, At(0));
  CHECK_FALSE(evidence.IsSuspect(kBad, At(0)));
  evidence.RecordCrash(kBad, Engine(1), 2, At(4));
  CHECK_FALSE(evidence.IsSuspect(kBad, At(4)));
  evidence.RecordCrash(kBad, Engine(2), 1, At(5));
  CHECK(evidence.IsSuspect(kBad, At(5)));
  CHECK(evidence.CrashedEngines(kBad, At(5)).size() == 3);
  CHECK_FALSE(evidence.IsSuspect(kShared, At(5)));
  evidence.ForgetCrashes(kBad);
  CHECK_FALSE(evidence.IsSuspect(kBad, At(5)));
}

TEST_CASE("a run that generates clears the parts of its prompt") {
  PromptCrashEvidence evidence({});
  for (int i = 0; i < 2; ++i)
    evidence.RecordCrash(kShared, Engine(i), 1, At(0));
  evidence.RecordGenerated(kShared, At(1), At(1));
  for (int i = 2; i < 9; ++i)
    evidence.RecordCrash(kShared, Engine(i), 1, At(9));
  CHECK_FALSE(evidence.IsSuspect(kShared, At(9)));
  CHECK(evidence.TimeSinceGenerated(kShared, At(9)) == seconds(8));
  // A part may crash the engines of a new version only.
  CHECK_FALSE(evidence.TimeSinceGenerated(kShared, At(61)));
  for (int i = 9; i < 12; ++i)
    evidence.RecordCrash(kShared, Engine(i), 1, At(62));
  CHECK(evidence.IsSuspect(kShared, At(62)));
  // Late word of a run from before the crashes.
  evidence.RecordGenerated(kShared, At(1), At(62));
  CHECK(evidence.IsSuspect(kShared, At(62)));
  evidence.RecordGenerated(kShared, At(30), At(62));
  CHECK_FALSE(evidence.IsSuspect(kShared, At(62)));
}

TEST_CASE("crashes under a part are counted for long, not for ever") {
  PromptCrashEvidence evidence({});
  for (int i = 0; i < 3; ++i)
    evidence.RecordCrash(kBad, Engine(i), 1, At(i * 600));
  CHECK(evidence.IsSuspect(kBad, At(1200)));
  CHECK_FALSE(evidence.IsSuspect(kBad, At(1800)));
}

TEST_CASE("evidence stays within its bounds") {
  PromptCrashEvidence::Options options;
  options.max_cleared_parts = 10;
  options.max_crash_parts = 10;
  PromptCrashEvidence evidence(options);
  for (int i = 0; i < 100; ++i) {
    const PromptPartId part(std::to_string(i));
    evidence.RecordGenerated(part, At(i / 10), At(10));
    evidence.RecordCrash(PromptPartId("c" + part.value()), Engine(1), 1,
                         At(10));
  }
  CHECK(evidence.cleared_count() == 10);
  CHECK(evidence.crash_part_count() == 10);
  CHECK(evidence.TimeSinceGenerated(PromptPartId("99"), At(10)));
  // One that has crashed engines lately isn't displaced.
  for (int i = 0; i < 2; ++i) evidence.RecordCrash(kBad, Engine(i), 1, At(200));
  for (int i = 0; i < 8; ++i)
    evidence.RecordCrash(PromptPartId("d" + std::to_string(i)), Engine(1), 1,
                         At(201));
  evidence.RecordCrash(kBad, Engine(2), 1, At(202));
  CHECK(evidence.IsSuspect(kBad, At(202)));
}

TEST_CASE("requests with a quarantined part are refused, but for few trials") {
  PromptQuarantine quarantine({});
  CHECK(quarantine.Decide({kBad, kShared}, At(0)).verdict == Verdict::kAdmit);
  quarantine.Add(kBad, 0, At(0));
  CHECK(quarantine.Decide({kShared, kBad}, At(1)).verdict == Verdict::kRefuse);
  CHECK(quarantine.Decide({kShared}, At(1)).verdict == Verdict::kAdmit);
  CHECK(quarantine.Decide({}, At(1)).verdict == Verdict::kAdmit);
  CHECK(quarantine.ContainsAny({kShared, kBad}));
  const auto trial = quarantine.Decide({kShared, kBad}, At(2));
  CHECK(trial.verdict == Verdict::kTrial);
  CHECK(trial.part == kBad);
  // The record says the same again, then that the trial is used.
  quarantine.Add(kBad, 0, At(3));
  CHECK(quarantine.Decide({kBad}, At(3)).verdict == Verdict::kTrial);
  quarantine.Add(kBad, 1, At(3));
  CHECK(quarantine.Decide({kBad}, At(12)).verdict == Verdict::kRefuse);
  CHECK(quarantine.Decide({kBad}, At(13)).verdict == Verdict::kTrial);
  quarantine.Add(kBad, 2, At(13));
  CHECK(quarantine.Decide({kBad}, At(13) + minutes(5)).verdict ==
        Verdict::kTrial);
  quarantine.Add(kBad, 3, At(400));
  CHECK(quarantine.Decide({kBad}, At(400) + minutes(600)).verdict ==
        Verdict::kRefuse);
  quarantine.Release(kBad);
  CHECK(quarantine.Decide({kBad}, At(500)).verdict == Verdict::kAdmit);
}

TEST_CASE("a trial tests a part that is the only one in quarantine") {
  PromptQuarantine quarantine({});
  quarantine.Add(kBad, 0, At(0));
  quarantine.Add(kShared, 0, At(0));
  CHECK(quarantine.Decide({kShared, kBad}, At(9)).verdict == Verdict::kRefuse);
  CHECK(quarantine.Decide({kShared, kShared}, At(9)).verdict ==
        Verdict::kTrial);
  quarantine.ReleaseAllExcept({{kBad, 0}});
  CHECK_FALSE(quarantine.Contains(kShared));
  CHECK(quarantine.Contains(kBad));
}

TEST_CASE("a full quarantine releases the part that is requested least") {
  PromptQuarantine quarantine({});
  quarantine.Add(kBad, 0, At(0));
  for (size_t i = 1; i < PromptQuarantine::kMaxParts; ++i)
    quarantine.Add(PromptPartId(std::to_string(i)), 0, At(1));
  quarantine.Decide({kBad}, At(2));
  quarantine.Add(kShared, 0, At(3));
  CHECK(quarantine.size() == PromptQuarantine::kMaxParts);
  CHECK(quarantine.Contains(kBad));
  CHECK(quarantine.Contains(kShared));
}

}  // namespace
}  // namespace mimosa
