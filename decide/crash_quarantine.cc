// Membership, trials and bound of the quarantine.
#include "decide/crash_quarantine.h"

#include <algorithm>
#include <iterator>

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
    decision.verdict = is_only_one && IsTrialDue(it->second, now)
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

}  // namespace mimosa
