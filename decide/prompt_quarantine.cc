// Membership, trials and bound of the quarantine.
#include "decide/prompt_quarantine.h"

#include <algorithm>
#include <iterator>

namespace mimosa {

void PromptQuarantine::Add(const PromptPartId& part, size_t trials,
                           MonoTime now) {
  const auto [it, is_new] = parts_.emplace(part, State{trials, now, now});
  if (!is_new && it->second.trials != trials) {
    it->second.trials = trials;
    it->second.since = now;
  }
  if (parts_.size() <= kMaxParts) return;
  parts_.erase(std::min_element(
      parts_.begin(), parts_.end(), [](const auto& a, const auto& b) {
        return a.second.last_requested < b.second.last_requested;
      }));
}

void PromptQuarantine::ReleaseAllExcept(
    const std::map<PromptPartId, size_t>& kept) {
  for (auto it = parts_.begin(); it != parts_.end();)
    it = kept.count(it->first) == 0 ? parts_.erase(it) : std::next(it);
}

PromptQuarantine::Decision PromptQuarantine::Decide(
    const std::vector<PromptPartId>& parts, MonoTime now) {
  Decision decision;
  if (parts_.empty()) return decision;
  for (const PromptPartId& part : parts) {
    const auto it = parts_.find(part);
    if (it == parts_.end() || part == decision.part) continue;
    it->second.last_requested = now;
    const bool is_only_one = decision.part.empty();
    if (is_only_one) decision.part = part;
    decision.verdict = is_only_one && IsTrialDue(it->second, now)
                           ? Verdict::kTrial
                           : Verdict::kRefuse;
  }
  return decision;
}

bool PromptQuarantine::ContainsAny(
    const std::vector<PromptPartId>& parts) const {
  return !parts_.empty() &&
         std::any_of(parts.begin(), parts.end(),
                     [this](const auto& part) { return Contains(part); });
}

}  // namespace mimosa
