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

namespace detail {

// FNV-1a over both texts and a final mix: alike on every machine, which
// std::hash doesn't promise.
inline uint64_t HashPair(std::string_view a, std::string_view b) {
  constexpr uint64_t kPrime = 1099511628211U;
  uint64_t hash = 14695981039346656037U;
  for (const std::string_view text : {a, b}) {
    for (const char c : text)
      hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    hash = (hash ^ 0xffU) * kPrime;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdU;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace detail

// The score of `member` for `thing`; the highest is first in line.
inline uint64_t RendezvousScore(std::string_view member,
                                std::string_view thing) {
  return detail::HashPair(member, thing);
}

// The (at most) `count` members with the highest scores for `thing`, the
// highest first. M needs a field `id` with value(). Pointers into `members`.
template <typename M>
std::vector<const M*> HighestScores(const std::vector<M>& members,
                                    std::string_view thing, size_t count) {
  std::vector<std::pair<uint64_t, const M*>> scored;
  scored.reserve(members.size());
  for (const M& member : members)
    scored.emplace_back(RendezvousScore(member.id.value(), thing), &member);
  count = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(), [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first
                                                : a.second->id < b.second->id;
                    });
  std::vector<const M*> first;
  for (size_t i = 0; i < count; ++i) first.push_back(scored[i].second);
  return first;
}

}  // namespace mimosa

#endif  // DECIDE_RENDEZVOUS_H_
