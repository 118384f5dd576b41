// Who counts as a member, and since when this daemon does.
#include "decide/even_share.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mimosa {

bool EvenShare::Counts(MonoTime gone_at, MonoTime now) const {
  return now < gone_at + options_.memory + options_.window + options_.spread;
}

bool EvenShare::IsUnseenFor(Duration time, MonoTime now) const {
  return !own_seen_at_ || now > *own_seen_at_ + time;
}

void EvenShare::StartAnew(MonoTime now) {
  starts_at_ = now + options_.spread;
  usable_from_ = starts_at_ + options_.memory + options_.window;
}

void EvenShare::OnContact(MonoTime now) {
  const auto own = gone_at_by_member_.find(self_);
  if (own == gone_at_by_member_.end() || own->second) return;
  // The record may have been removed and listed again, and the others may have
  // forgotten it in between.
  if (IsUnseenFor(options_.memory + options_.window, now)) StartAnew(now);
  own_seen_before_ = std::exchange(own_seen_at_, now);
}

void EvenShare::OnMember(const std::string& name, MonoTime now) {
  for (auto it = gone_at_by_member_.begin(); it != gone_at_by_member_.end();) {
    const bool is_forgotten = it->second && !Counts(*it->second, now);
    it = is_forgotten ? gone_at_by_member_.erase(it) : std::next(it);
  }
  gone_at_by_member_[name] = std::nullopt;
  if (name != self_) return;
  if (IsUnseenFor(options_.memory + options_.window, now)) {
    StartAnew(now);
  } else if (IsUnseenFor(options_.memory, now)) {
    // Members that have come in between don't know of it.
    starts_at_ = now + options_.spread;
    usable_from_ = std::max(usable_from_, starts_at_ + options_.window);
  }
  own_seen_at_ = now;
}

void EvenShare::OnMemberGone(const std::string& name, MonoTime now) {
  const auto found = gone_at_by_member_.find(name);
  if (found == gone_at_by_member_.end() || found->second) return;
  found->second = now;
  if (name != self_) return;
  // It was removed at some time since the contact before.
  own_seen_at_ = own_seen_before_;
  if (now < usable_from_) own_seen_at_.reset();
}

EvenShare::Standing EvenShare::GetStanding(MonoTime now) const {
  if (IsUnseenFor(options_.memory, now) || now < starts_at_)
    return Standing::kNone;
  return now < usable_from_ ? Standing::kStarting : Standing::kEstablished;
}

double EvenShare::Get(MonoTime now) const {
  if (GetStanding(now) == Standing::kNone) return 0;
  return 1.0 / std::max(1, CountMembers(now));
}

int EvenShare::CountMembers(MonoTime now) const {
  return static_cast<int>(
      std::count_if(gone_at_by_member_.begin(), gone_at_by_member_.end(),
                    [&](const auto& member) {
                      return !member.second || Counts(*member.second, now);
                    }));
}

}  // namespace mimosa
