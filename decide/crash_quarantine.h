// What crashes engines, and which requests with it may still reach one.
//
// Model: a request with a quarantined suspect is refused. Since a sound suspect
// may have been quarantined together with the one that crashes engines, each
// suspect gets a few trials, at growing intervals, over the whole fleet: one
// request that may run. It may have no other quarantined suspect, so that its
// outcome is the suspect's own. A trial that survives releases the suspect.
//
// Load pattern covered: requests with a part or a content that crashes engines
// go on for as long as the day, through all daemons, while sound requests share
// their customer and their other parts.
#ifndef DECIDE_CRASH_QUARANTINE_H_
#define DECIDE_CRASH_QUARANTINE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

class CrashQuarantine {
 public:
  enum class Verdict {
    kAdmit,
    kTrial,   // may run if it gets the trial of its quarantined suspect
    kRefuse,  // must not reach any engine
  };
  struct Decision {
    Verdict verdict = Verdict::kAdmit;
    CrashSuspectId suspect;  // the first quarantined one; empty if admitted
  };
  struct Options {
    // Time from the quarantine, or from the trial before, to each trial. After
    // the last one, only an operator releases the suspect.
    std::vector<Duration> trial_delays = {std::chrono::seconds(2),
                                          std::chrono::seconds(10),
                                          std::chrono::minutes(5)};
    // The same for a whole request. It is rarely blamed wrongly, since each of
    // its repetitions clears it, and a trial that crashes an engine costs all
    // runs there.
    std::vector<Duration> request_trial_delays = {std::chrono::seconds(10),
                                                  std::chrono::minutes(5)};
  };
  // Beyond this number, the suspect that was requested least recently is
  // released.
  static constexpr size_t kMaxSuspects = 128;

  explicit CrashQuarantine(Options options) : options_(std::move(options)) {}

  // Adds a suspect of which `trials` have been used. The time to the next one
  // begins anew if the number has changed.
  void Add(const CrashSuspectId& suspect, size_t trials, MonoTime now);
  void Release(const CrashSuspectId& suspect) { suspects_.erase(suspect); }
  // Releases all suspects that aren't in `kept`.
  void ReleaseAllExcept(const std::map<CrashSuspectId, size_t>& kept);

  // Decides on a request with these suspects.
  Decision Decide(const std::vector<CrashSuspectId>& suspects, MonoTime now);
  bool Contains(const CrashSuspectId& suspect) const {
    return suspects_.count(suspect) > 0;
  }
  bool ContainsAny(const std::vector<CrashSuspectId>& suspects) const;
  size_t size() const { return suspects_.size(); }
  // Of those, the whole requests.
  size_t request_count() const;

 private:
  struct State {
    size_t trials = 0;
    MonoTime since{};           // When `trials` last changed.
    MonoTime last_requested{};  // Or added, if that was later.
  };

  bool IsTrialDue(const CrashSuspectId& suspect, const State& state,
                  MonoTime now) const;

  const Options options_;
  std::map<CrashSuspectId, State> suspects_;
};

}  // namespace mimosa

#endif  // DECIDE_CRASH_QUARANTINE_H_
