// Changes of the known limits.
#include "decide/back_end_limits.h"

namespace mimosa {

bool BackEndLimits::Record(const BackEndEntry& back_end,
                           std::optional<double> limit, MonoTime call_started,
                           MonoTime now) {
  const auto it = limits_.find(back_end.id);
  const bool is_known =
      it != limits_.end() && it->second.incarnation == back_end.incarnation;
  if (!limit) {
    if (!is_known || call_started <= it->second.learned_at) return false;
    limits_.erase(it);
    return true;
  }
  if (is_known) {
    const bool changed = it->second.per_second != *limit;
    it->second.per_second = *limit;
    return changed;
  }
  if (it == limits_.end() && limits_.size() >= kMaxLimits) return false;
  limits_[back_end.id] = {back_end.incarnation, *limit, now};
  return true;
}

std::optional<double> BackEndLimits::Find(const BackEndEntry& back_end) const {
  const auto it = limits_.find(back_end.id);
  if (it == limits_.end() || it->second.incarnation != back_end.incarnation)
    return std::nullopt;
  return it->second.per_second;
}

}  // namespace mimosa
