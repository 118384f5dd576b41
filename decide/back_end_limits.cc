// Changes of the known limits.
#include "decide/back_end_limits.h"

#include <algorithm>
#include <iterator>

namespace mimosa {

bool BackEndLimits::Record(const BackEndEntry& back_end,
                           std::optional<double> limit, MonoTime call_started,
                           MonoTime now) {
  const auto it = states_.find(back_end.id);
  const bool is_known =
      it != states_.end() && it->second.incarnation == back_end.incarnation;
  if (!limit && (!is_known || call_started <= it->second.began_at))
    return false;
  return Merge(back_end, {limit, now});
}

bool BackEndLimits::Merge(const BackEndEntry& back_end,
                          const Statement& statement) {
  auto it = states_.find(back_end.id);
  if (it == states_.end() || it->second.incarnation != back_end.incarnation) {
    if (!statement.per_second ||
        (it == states_.end() && states_.size() >= kMaxLimits))
      return false;
    states_[back_end.id] = {back_end.incarnation, statement,
                            statement.named_at};
    return true;
  }
  State& state = it->second;
  if (statement.named_at <= state.last.named_at) return false;
  const bool changed = state.last.per_second != statement.per_second;
  if (!state.last.per_second) state.began_at = statement.named_at;
  state.last = statement;
  return changed;
}

std::optional<double> BackEndLimits::Find(const BackEndEntry& back_end) const {
  const auto statement = FindStatement(back_end);
  return statement ? statement->per_second : std::nullopt;
}

std::optional<BackEndLimits::Statement> BackEndLimits::FindStatement(
    const BackEndEntry& back_end) const {
  const auto it = states_.find(back_end.id);
  if (it == states_.end() || it->second.incarnation != back_end.incarnation)
    return std::nullopt;
  return it->second.last;
}

void BackEndLimits::ForgetUnlisted(const BackEndList& listed) {
  for (auto it = states_.begin(); it != states_.end();) {
    const auto entry = listed.entries().find(it->first);
    const bool is_listed =
        entry != listed.entries().end() &&
        entry->second.entry.incarnation == it->second.incarnation;
    it = is_listed ? std::next(it) : states_.erase(it);
  }
}

size_t BackEndLimits::size() const {
  return static_cast<size_t>(
      std::count_if(states_.begin(), states_.end(), [](const auto& item) {
        return item.second.last.per_second.has_value();
      }));
}

}  // namespace mimosa
