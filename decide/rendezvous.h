// Rendezvous (highest random weight) hashing: who among the members is first
// in line for a thing, so that all who know the same members agree, and a
// member's coming or going moves only what it is first for.
#ifndef DECIDE_RENDEZVOUS_H_
#define DECIDE_RENDEZVOUS_H_

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosa {

// The weight of `key` at `node`; the node with the highest weight is first.
// Alike on every machine, which std::hash doesn't promise.
uint64_t RendezvousWeight(std::string_view key, std::string_view node);

// The (at most) `count` members with the highest weights for `thing`, the
// highest first. M needs a field `id` with value(). Pointers into `members`.
template <typename M>
std::vector<const M*> TopByRendezvousWeight(const std::vector<M>& members,
                                            std::string_view thing,
                                            size_t count) {
  std::vector<std::pair<uint64_t, const M*>> weighed;
  weighed.reserve(members.size());
  for (const M& member : members)
    weighed.emplace_back(RendezvousWeight(thing, member.id.value()), &member);
  count = std::min(count, weighed.size());
  std::partial_sort(weighed.begin(),
                    weighed.begin() + static_cast<std::ptrdiff_t>(count),
                    weighed.end(), [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first
                                                : a.second->id < b.second->id;
                    });
  std::vector<const M*> first;
  for (size_t i = 0; i < count; ++i) first.push_back(weighed[i].second);
  return first;
}

}  // namespace mimosa

#endif  // DECIDE_RENDEZVOUS_H_
