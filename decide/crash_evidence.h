// Evidence that something in requests crashes the engines that run them.
//
// Model: a suspect is what several requests may have in common: a part of their
// prompts, or all of a request that is repeated. A crash of an engine counts
// against the suspects of the runs that can have caused it, once for an
// incarnation of the engine however many daemons report it. A run that survives
// clears its suspects, since a cause of crashes crashes each engine. Once
// several engines have crashed under a suspect and no run is known to have
// survived, the evidence is conclusive.
//
// Load patterns covered: requests whose prompts share one part, no two of them
// alike, and one request that its caller repeats without end, crash one engine
// after the other through all daemons of a fleet, so that each daemon meets few
// of the first crashes. Sound requests lose their runs at the same engines.
#ifndef DECIDE_CRASH_EVIDENCE_H_
#define DECIDE_CRASH_EVIDENCE_H_

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

class CrashEvidence {
 public:
  // An engine and the incarnation of it that crashed.
  using Incarnation = std::pair<BackEndId, int64_t>;

  struct Options {
    // Engines that have to crash before the evidence is conclusive.
    size_t crashes_until_conclusive = 3;
    // Crashes up to this long after a run has survived don't count against its
    // suspects.
    Duration cleared_lifetime = std::chrono::seconds(60);
    Duration crash_lifetime = std::chrono::minutes(30);
    // Beyond these numbers the oldest entries are dropped.
    size_t max_cleared_suspects = 8192;
    size_t max_crash_suspects = 1024;
  };

  explicit CrashEvidence(const Options& options) : options_(options) {}

  // A run with `suspect` survived at `when`.
  void RecordSurvived(const CrashSuspectId& suspect, MonoTime when,
                      MonoTime now);
  // An incarnation of an engine crashed under a run with `suspect`.
  void RecordCrash(const CrashSuspectId& suspect, const BackEndId& engine,
                   int64_t incarnation, MonoTime now);
  // Forgets the crashes under `suspect`.
  void ForgetCrashes(const CrashSuspectId& suspect) { crashes_.erase(suspect); }

  // Returns how long ago a run with `suspect` is known to have survived; absent
  // if that is too long ago to clear it.
  std::optional<Duration> TimeSinceSurvived(const CrashSuspectId& suspect,
                                            MonoTime now) const;
  bool IsConclusive(const CrashSuspectId& suspect, MonoTime now) const;
  // Returns the engines whose crashes count against `suspect`.
  std::vector<Incarnation> CrashedEngines(const CrashSuspectId& suspect,
                                          MonoTime now) const;

  size_t cleared_count() const { return cleared_.size(); }
  size_t crash_suspect_count() const { return crashes_.size(); }

 private:
  void DropExpired(MonoTime now);

  const Options options_;
  // When a run with each suspect last survived, and the same ordered by time.
  std::map<CrashSuspectId, MonoTime> cleared_;
  std::set<std::pair<MonoTime, CrashSuspectId>> cleared_by_age_;
  // The time of each crash that counts. No entry is empty.
  std::map<CrashSuspectId, std::map<Incarnation, MonoTime>> crashes_;
};

}  // namespace mimosa

#endif  // DECIDE_CRASH_EVIDENCE_H_
