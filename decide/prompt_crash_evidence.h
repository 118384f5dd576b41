// Evidence that a part of prompts crashes the engines that generate on it.
//
// Model: a crash ends all runs of an engine, and only one that was about to
// generate can have caused it. Each crash counts against the shared parts of
// the prompts of such runs, once for an incarnation of an engine however many
// daemons report it. A run that has generated clears the parts of its prompt,
// since a part that crashes engines crashes each of them. A part is suspect
// once several engines have crashed and none is known to have generated on it.
//
// Load pattern covered: requests whose prompts share one part, no two of them
// alike, that crash one engine after the other through all daemons of a fleet,
// so that each daemon meets few of the first crashes. Sound requests of the
// same customer share the other parts and lose their runs at the same engines.
#ifndef DECIDE_PROMPT_CRASH_EVIDENCE_H_
#define DECIDE_PROMPT_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

class PromptCrashEvidence {
 public:
  struct Options {
    // Engines that have to crash before a part is suspect.
    size_t crashes_until_suspect = 3;
    // Crashes up to this long after a run has generated on a part don't count
    // against it.
    Duration cleared_lifetime = std::chrono::seconds(60);
    Duration crash_lifetime = std::chrono::minutes(30);
    // Beyond these numbers the oldest entries are dropped.
    size_t max_cleared_parts = 8192;
    size_t max_crash_parts = 1024;
  };

  explicit PromptCrashEvidence(const Options& options) : options_(options) {}

  // A run began to generate on a prompt with `part` at `when`.
  void RecordGenerated(const PromptPartId& part, MonoTime when, MonoTime now);
  // An incarnation of an engine crashed under a run on a prompt with `part`.
  void RecordCrash(const PromptPartId& part, const BackEndId& engine,
                   int64_t incarnation, MonoTime now);
  // Forgets the crashes under `part`.
  void ForgetCrashes(const PromptPartId& part) { crashes_.erase(part); }

  // Returns how long ago a run is known to have generated on `part`; absent if
  // that is too long ago to clear it.
  std::optional<Duration> TimeSinceGenerated(const PromptPartId& part,
                                             MonoTime now) const;
  bool IsSuspect(const PromptPartId& part, MonoTime now) const;
  // Returns the engines whose crashes count against `part`.
  std::vector<BackEndId> CrashedEngines(const PromptPartId& part,
                                        MonoTime now) const;

  size_t cleared_count() const { return cleared_.size(); }
  size_t crash_part_count() const { return crashes_.size(); }

 private:
  using Incarnation = std::pair<BackEndId, int64_t>;

  void DropExpired(MonoTime now);

  const Options options_;
  // When a run last generated on each part, and the same ordered by time.
  std::map<PromptPartId, MonoTime> cleared_;
  std::set<std::pair<MonoTime, PromptPartId>> cleared_by_age_;
  // The time of each crash that counts. No entry is empty.
  std::map<PromptPartId, std::map<Incarnation, MonoTime>> crashes_;
};

}  // namespace mimosa

#endif  // DECIDE_PROMPT_CRASH_EVIDENCE_H_
