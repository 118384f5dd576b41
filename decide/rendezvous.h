// Rendezvous (highest random weight) hashing. Ranks the members for a key so
// that all processes that know the same members agree, and a member that joins
// or leaves changes only the keys for which it ranks first.
#ifndef DECIDE_RENDEZVOUS_H_
#define DECIDE_RENDEZVOUS_H_

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosa {

// Returns the weight of `key` at `node`; the node with the highest weight ranks
// first. Unlike std::hash, the result is the same on every machine.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

// Returns pointers to the `count` elements of `members` (or all, if fewer) with
// the highest weights for `key`, the highest first. Member needs a
// field `id` with value().
template <typename Member>
std::vector<const Member*> TopByRendezvousWeight(
    const std::vector<Member>& members, std::string_view key, size_t count) {
  std::vector<std::pair<uint64_t, const Member*>> weighted;
  weighted.reserve(members.size());
  for (const Member& member : members)
    weighted.emplace_back(RendezvousWeight(key, member.id.value()), &member);
  count = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(count),
                    weighted.end(), [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first
                                                : a.second->id < b.second->id;
                    });
  std::vector<const Member*> first;
  for (size_t i = 0; i < count; ++i) first.push_back(weighted[i].second);
  return first;
}

}  // namespace mimosa

#endif  // DECIDE_RENDEZVOUS_H_
