// Tests the evidence against what crashes engines, and the trials of
// quarantined suspects.
#include "decide/crash_quarantine.h"

#include <catch2/catch.hpp>
#include <string>

#include "decide/crash_evidence.h"

namespace mimosa {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using Verdict = CrashQuarantine::Verdict;

const CrashSuspectId kBad("bad");
const CrashSuspectId kShared("5a");

MonoTime At(int second) { return MonoTime{} + seconds(10000 + second); }

BackEndId Engine(int i) { return BackEndId("e" + std::to_string(i)); }

TEST_CASE("the evidence is conclusive after crashes of several engines") {
  CrashEvidence evidence({});
  evidence.RecordCrash(kBad, Engine(1), 1, At(0));
  // Other daemons report the same crash.
  for (int i = 0; i < 5; ++i) evidence.RecordCrash(kBad, Engine(1), 1, At(0));
  CHECK_FALSE(evidence.IsConclusive(kBad, At(0)));
  evidence.RecordCrash(kBad, Engine(1), 2, At(4));
  CHECK_FALSE(evidence.IsConclusive(kBad, At(4)));
  evidence.RecordCrash(kBad, Engine(2), 1, At(5));
  CHECK(evidence.IsConclusive(kBad, At(5)));
  CHECK(evidence.CrashedEngines(kBad, At(5)).size() == 3);
  CHECK_FALSE(evidence.IsConclusive(kShared, At(5)));
  evidence.ForgetCrashes(kBad);
  CHECK_FALSE(evidence.IsConclusive(kBad, At(5)));
}

TEST_CASE("a run that survives clears its suspects") {
  CrashEvidence evidence({});
  for (int i = 0; i < 2; ++i)
    evidence.RecordCrash(kShared, Engine(i), 1, At(0));
  evidence.RecordSurvived(kShared, At(1), At(1));
  for (int i = 2; i < 9; ++i)
    evidence.RecordCrash(kShared, Engine(i), 1, At(9));
  CHECK_FALSE(evidence.IsConclusive(kShared, At(9)));
  CHECK(evidence.TimeSinceSurvived(kShared, At(9)) == seconds(8));
  // A suspect may crash the engines of a new version only.
  CHECK_FALSE(evidence.TimeSinceSurvived(kShared, At(61)));
  for (int i = 9; i < 12; ++i)
    evidence.RecordCrash(kShared, Engine(i), 1, At(62));
  CHECK(evidence.IsConclusive(kShared, At(62)));
  // Late word of a run from before the crashes.
  evidence.RecordSurvived(kShared, At(1), At(62));
  CHECK(evidence.IsConclusive(kShared, At(62)));
  evidence.RecordSurvived(kShared, At(30), At(62));
  CHECK_FALSE(evidence.IsConclusive(kShared, At(62)));
}

TEST_CASE("crashes under a suspect are counted for long, not for ever") {
  CrashEvidence evidence({});
  for (int i = 0; i < 3; ++i)
    evidence.RecordCrash(kBad, Engine(i), 1, At(i * 600));
  CHECK(evidence.IsConclusive(kBad, At(1200)));
  CHECK_FALSE(evidence.IsConclusive(kBad, At(1800)));
}

TEST_CASE("evidence stays within its bounds") {
  CrashEvidence::Options options;
  options.max_cleared_suspects = 10;
  options.max_crash_suspects = 10;
  CrashEvidence evidence(options);
  for (int i = 0; i < 100; ++i) {
    const CrashSuspectId suspect(std::to_string(i));
    evidence.RecordSurvived(suspect, At(i / 10), At(10));
    evidence.RecordCrash(CrashSuspectId("c" + suspect.value()), Engine(1), 1,
                         At(10));
  }
  CHECK(evidence.cleared_count() == 10);
  CHECK(evidence.crash_suspect_count() == 10);
  CHECK(evidence.TimeSinceSurvived(CrashSuspectId("99"), At(10)));
  // One that has crashed engines lately isn't displaced.
  for (int i = 0; i < 2; ++i) evidence.RecordCrash(kBad, Engine(i), 1, At(200));
  for (int i = 0; i < 8; ++i)
    evidence.RecordCrash(CrashSuspectId("d" + std::to_string(i)), Engine(1), 1,
                         At(201));
  evidence.RecordCrash(kBad, Engine(2), 1, At(202));
  CHECK(evidence.IsConclusive(kBad, At(202)));
}

TEST_CASE(
    "requests with a quarantined suspect are refused, but for few trials") {
  CrashQuarantine quarantine({});
  CHECK(quarantine.Decide({kBad, kShared}, At(0)).verdict == Verdict::kAdmit);
  quarantine.Add(kBad, 0, At(0));
  CHECK(quarantine.Decide({kShared, kBad}, At(1)).verdict == Verdict::kRefuse);
  CHECK(quarantine.Decide({kShared}, At(1)).verdict == Verdict::kAdmit);
  CHECK(quarantine.Decide({}, At(1)).verdict == Verdict::kAdmit);
  CHECK(quarantine.ContainsAny({kShared, kBad}));
  const auto trial = quarantine.Decide({kShared, kBad}, At(2));
  CHECK(trial.verdict == Verdict::kTrial);
  CHECK(trial.suspect == kBad);
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

TEST_CASE("a trial tests a suspect that is the only one in quarantine") {
  CrashQuarantine quarantine({});
  quarantine.Add(kBad, 0, At(0));
  quarantine.Add(kShared, 0, At(0));
  CHECK(quarantine.Decide({kShared, kBad}, At(9)).verdict == Verdict::kRefuse);
  CHECK(quarantine.Decide({kShared, kShared}, At(9)).verdict ==
        Verdict::kTrial);
  quarantine.ReleaseAllExcept({{kBad, 0}});
  CHECK_FALSE(quarantine.Contains(kShared));
  CHECK(quarantine.Contains(kBad));
}

TEST_CASE("a full quarantine releases the suspect that is requested least") {
  CrashQuarantine quarantine({});
  quarantine.Add(kBad, 0, At(0));
  for (size_t i = 1; i < CrashQuarantine::kMaxSuspects; ++i)
    quarantine.Add(CrashSuspectId(std::to_string(i)), 0, At(1));
  quarantine.Decide({kBad}, At(2));
  quarantine.Add(kShared, 0, At(3));
  CHECK(quarantine.size() == CrashQuarantine::kMaxSuspects);
  CHECK(quarantine.Contains(kBad));
  CHECK(quarantine.Contains(kShared));
}

}  // namespace
}  // namespace mimosa
