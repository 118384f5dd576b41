// Parts of prompts that crash engines, and which of their requests may still
// reach one.
//
// Model: a request whose prompt has a quarantined part is refused. Since a
// sound part may have been quarantined together with the one that crashes
// engines, each part gets a few trials, at growing intervals, over the whole
// fleet: one request that may run. It may have no other quarantined part, so
// that its outcome is the part's own. A trial that generates releases the part.
//
// Load pattern covered: requests with a part that crashes engines go on for as
// long as the day, through all daemons, while sound requests share their
// customer and their other parts.
#ifndef DECIDE_PROMPT_QUARANTINE_H_
#define DECIDE_PROMPT_QUARANTINE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

class PromptQuarantine {
 public:
  enum class Verdict {
    kAdmit,
    kTrial,   // may run if it gets the trial of its quarantined part
    kRefuse,  // must not reach any engine
  };
  struct Decision {
    Verdict verdict = Verdict::kAdmit;
    PromptPartId part;  // the first quarantined one; empty if admitted
  };
  struct Options {
    // Time from the quarantine, or from the trial before, to each trial. After
    // the last one, only an operator releases the part.
    std::vector<Duration> trial_delays = {std::chrono::seconds(2),
                                          std::chrono::seconds(10),
                                          std::chrono::minutes(5)};
  };
  // Beyond this number, the part that was requested least recently is released.
  static constexpr size_t kMaxParts = 128;

  explicit PromptQuarantine(Options options) : options_(std::move(options)) {}

  // Adds a part of which `trials` have been used. The time to the next one
  // begins anew if the number has changed.
  void Add(const PromptPartId& part, size_t trials, MonoTime now);
  void Release(const PromptPartId& part) { parts_.erase(part); }
  // Releases all parts that aren't in `kept`.
  void ReleaseAllExcept(const std::map<PromptPartId, size_t>& kept);

  // Decides on a request whose prompt has these shared parts.
  Decision Decide(const std::vector<PromptPartId>& parts, MonoTime now);
  bool Contains(const PromptPartId& part) const {
    return parts_.count(part) > 0;
  }
  bool ContainsAny(const std::vector<PromptPartId>& parts) const;
  size_t size() const { return parts_.size(); }

 private:
  struct State {
    size_t trials = 0;
    MonoTime since{};           // When `trials` last changed.
    MonoTime last_requested{};  // Or added, if that was later.
  };

  bool IsTrialDue(const State& state, MonoTime now) const {
    return state.trials < options_.trial_delays.size() &&
           now - state.since >= options_.trial_delays[state.trials];
  }

  const Options options_;
  std::map<PromptPartId, State> parts_;
};

}  // namespace mimosa

#endif  // DECIDE_PROMPT_QUARANTINE_H_
