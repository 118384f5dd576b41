// Tests of placement policies, shedding policies and the prefix index.
#include "decide/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/prefix_index.h"
#include "decide/shedding.h"

namespace mimosa {
namespace {

class ListSource : public CandidateSource {
 public:
  explicit ListSource(std::vector<PlacementCandidate> list)
      : list_(std::move(list)) {}
  size_t size() const override { return list_.size(); }
  PlacementCandidate At(size_t index) const override {
    ++reads_;
    return list_[index];
  }
  int reads() const { return reads_; }

 private:
  const std::vector<PlacementCandidate> list_;
  mutable int reads_ = 0;
};

PlacementCandidate Waiting(int64_t wait_ms, int64_t cached = 0) {
  PlacementCandidate candidate;
  candidate.has_summary = true;
  candidate.capacity = Units(20);
  candidate.queue_wait = std::chrono::milliseconds(wait_ms);
  candidate.waiting = wait_ms;
  candidate.cached_prefix = Tokens(cached);
  return candidate;
}

// Reference for the expected time until the request could proceed.
Duration ReferenceTime(const PlacementQuery& query,
                       const PlacementCandidate& c) {
  return std::max(c.queue_wait - c.summary_age, Duration(0)) + c.link_wait +
         query.prefill_per_token *
             std::max<int64_t>(
                 query.prompt_tokens.count() - c.cached_prefix.count(), 0);
}

TEST_CASE("every policy handles zero candidates and one candidate") {
  for (const PlacementKind kind :
       {PlacementKind::kRandom, PlacementKind::kRoundRobin,
        PlacementKind::kLeastLoaded, PlacementKind::kReserve}) {
    SeededRandom random(1);
    const auto policy = MakePlacementPolicy(kind);
    CHECK(policy->Rank({}, ListSource({}), &random).empty());
    CHECK(policy->Rank({}, ListSource({Waiting(1)}), &random) ==
          std::vector<size_t>{0});
  }
}

TEST_CASE("round robin chooses all engines equally often") {
  SeededRandom random(1);
  const auto policy = MakePlacementPolicy(PlacementKind::kRoundRobin);
  const ListSource three({Waiting(1), Waiting(1), Waiting(1)});
  std::map<size_t, int> chosen;
  for (int i = 0; i < 9; ++i) ++chosen[policy->Rank({}, three, &random)[0]];
  CHECK(chosen == std::map<size_t, int>{{0, 3}, {1, 3}, {2, 3}});
}

TEST_CASE("least loaded chooses the engine with the lowest load") {
  SeededRandom random(1);
  const auto policy = MakePlacementPolicy(PlacementKind::kLeastLoaded);
  const ListSource three({Waiting(5), Waiting(1), Waiting(3)});
  CHECK(policy->Rank({}, three, &random)[0] == 1);
}

// Covers all combinations of four engines with three waits and three cached
// prefix lengths each.
TEST_CASE("reserve ranks the engines that it read by expected time") {
  SeededRandom random(7);
  const auto policy = MakePlacementPolicy(PlacementKind::kReserve);
  PlacementQuery query;
  query.prompt_tokens = Tokens(100);
  query.prefill_per_token = std::chrono::milliseconds(1);
  query.preferred = {3};
  for (int combination = 0; combination < 6561; ++combination) {
    std::vector<PlacementCandidate> list;
    int rest = combination;
    for (int i = 0; i < 4; ++i, rest /= 9) {
      const int64_t wait = rest % 3;
      const int64_t cached = rest / 3 % 3;
      list.push_back(Waiting(50 * wait, 60 * cached));
      list.back().link_wait = std::chrono::milliseconds(i);
    }
    const ListSource source(list);
    const std::vector<size_t> ranked = policy->Rank(query, source, &random);
    REQUIRE(ranked.size() == 3);
    REQUIRE(source.reads() == 3);
    REQUIRE(std::set<size_t>(ranked.begin(), ranked.end()).size() == 3);
    REQUIRE(std::count(ranked.begin(), ranked.end(), 3) == 1);
    for (size_t i = 1; i < ranked.size(); ++i) {
      REQUIRE(ReferenceTime(query, list[ranked[i - 1]]) <=
              ReferenceTime(query, list[ranked[i]]));
    }
  }
}

TEST_CASE("a cached prefix counts as its prefill time and no more") {
  SeededRandom random(3);
  const auto policy = MakePlacementPolicy(PlacementKind::kReserve);
  PlacementQuery query;
  query.prompt_tokens = Tokens(1000);
  query.prefill_per_token = std::chrono::microseconds(100);
  query.preferred = {0};
  CHECK(policy->Rank(query, ListSource({Waiting(70, 800), Waiting(0)}),
                     &random)[0] == 0);
  CHECK(policy->Rank(query, ListSource({Waiting(90, 800), Waiting(0)}),
                     &random)[0] == 1);
}

TEST_CASE("deadline shedding compares the wait with the time to the deadline") {
  const auto none = MakeSheddingPolicy(SheddingKind::kNone);
  const auto deadline = MakeSheddingPolicy(SheddingKind::kDeadline);
  for (int wait = 0; wait < 20; ++wait) {
    for (int left = -5; left < 20; ++left) {
      const MonoTime now(std::chrono::seconds(100));
      const WaitForecast forecast{now, std::chrono::seconds(wait),
                                  now + std::chrono::seconds(left)};
      CHECK_FALSE(none->ShouldShed(forecast));
      CHECK(deadline->ShouldShed(forecast) == (wait > left));
      const Duration retry = RetryAfter(forecast);
      CHECK(retry >= kMinRetryAfter);
      const int excess = wait - std::max(left, 0);
      if (excess > 0) CHECK(retry == std::chrono::seconds(excess));
    }
  }
  CHECK_FALSE(deadline->ShouldShed({MonoTime{}, kMaxRetryAfter, kNever}));
}

TEST_CASE("prefix index finds the longest known prefix and stays bounded") {
  PrefixIndex index(4, 3);
  CHECK(index.BlockHashes("abc").empty());
  const auto ab = index.BlockHashes("aaaabbbb");
  const auto ac = index.BlockHashes("aaaacccc");
  REQUIRE(ab.size() == 2);
  CHECK(ab[0] == ac[0]);
  CHECK(ab[1] != ac[1]);
  index.AddBlocks(ab, BackEndId("one"));
  CHECK(index.FindLongestPrefix(ab).bytes == 8);
  CHECK(index.FindLongestPrefix(ac).bytes == 4);
  CHECK(index.FindLongestPrefix(ac).engine == BackEndId("one"));
  index.AddBlocks(index.BlockHashes("ddddeeeeffff"), BackEndId("two"));
  CHECK(index.size() == 3);
  CHECK(index.FindLongestPrefix(ab).engine.empty());
}

TEST_CASE("rendezvous hashing moves only the keys of a lost engine") {
  std::vector<BackEndId> engines;
  engines.reserve(10);
  for (int i = 0; i < 10; ++i) engines.emplace_back("e" + std::to_string(i));
  std::vector<BackEndId> fewer = engines;
  fewer.pop_back();
  int moved = 0;
  for (uint64_t key = 0; key < 1000; ++key) {
    const BackEndId before = engines[RendezvousChoice(key, engines)];
    const BackEndId after = fewer[RendezvousChoice(key, fewer)];
    if (before != after) {
      CHECK(before == engines.back());
      ++moved;
    }
  }
  CHECK(moved > 60);
  CHECK(moved < 140);
}

}  // namespace
}  // namespace mimosa
