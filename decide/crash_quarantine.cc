// Membership, trials and bound of the quarantine.
#include "decide/crash_quarantine.h"

#include <algorithm>
#include <iterator>

#include "decide/crash_suspects.h"

namespace mimosa {

void CrashQuarantine::Add(const CrashSuspectId& suspect, size_t trials,
                          MonoTime now) {
  const auto [it, is_new] = suspects_.emplace(suspect, State{trials, now, now});
  if (!is_new && it->second.trials != trials) {
    it->second.trials = trials;
    it->second.since = now;
  }
  if (suspects_.size() <= kMaxSuspects) return;
  suspects_.erase(std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return a.second.last_requested < b.second.last_requested;
      }));
}

void CrashQuarantine::ReleaseAllExcept(
    const std::map<CrashSuspectId, size_t>& kept) {
  for (auto it = suspects_.begin(); it != suspects_.end();)
    it = kept.count(it->first) == 0 ? suspects_.erase(it) : std::next(it);
}

bool CrashQuarantine::IsTrialDue(const CrashSuspectId& suspect,
                                 const State& state, MonoTime now) const {
  const std::vector<Duration>& delays = IsRequest(suspect)
                                            ? options_.request_trial_delays
                                            : options_.trial_delays;
  return state.trials < delays.size() &&
         now - state.since >= delays[state.trials];
}

CrashQuarantine::Decision CrashQuarantine::Decide(
    const std::vector<CrashSuspectId>& suspects, MonoTime now) {
  Decision decision;
  if (suspects_.empty()) return decision;
  for (const CrashSuspectId& suspect : suspects) {
    const auto it = suspects_.find(suspect);
    if (it == suspects_.end() || suspect == decision.suspect) continue;
    it->second.last_requested = now;
    const bool is_only_one = decision.suspect.empty();
    if (is_only_one) decision.suspect = suspect;
    decision.verdict = is_only_one && IsTrialDue(suspect, it->second, now)
                           ? Verdict::kTrial
                           : Verdict::kRefuse;
  }
  return decision;
}

bool CrashQuarantine::ContainsAny(
    const std::vector<CrashSuspectId>& suspects) const {
  return !suspects_.empty() &&
         std::any_of(suspects.begin(), suspects.end(),
                     [this](const auto& suspect) { return Contains(suspect); });
}

size_t CrashQuarantine::request_count() const {
  return static_cast<size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [](const auto& item) { return IsRequest(item.first); }));
}

}  // namespace mimosa
