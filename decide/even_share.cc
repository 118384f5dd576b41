// Who is a member, and since when this daemon is one.
#include "decide/even_share.h"

#include <algorithm>

namespace mimosa {

void EvenShare::OnMember(const std::string& name, MonoTime now) {
  members_.insert(name);
  if (name == self_ && !joined_at_) joined_at_ = now;
}

void EvenShare::OnMemberGone(const std::string& name) { members_.erase(name); }

double EvenShare::Get(MonoTime now) const {
  if (!joined_at_ || now < *joined_at_ + options_.window + options_.spread)
    return 0;
  return 1.0 / std::max(1, CountMembers());
}

}  // namespace mimosa
