// Tests of quorums, slot assignment and the idempotence of allotment requests,
// exhaustive for small sizes. tests/fleet_model_test.cc covers how they work
// together.
#include <catch2/catch.hpp>
#include <vector>

#include "decide/member_lease.h"
#include "decide/rate_limiter.h"
#include "decide/slots.h"

namespace mimosa {
namespace {

using std::chrono::seconds;

TEST_CASE("Each grant quorum intersects each end quorum") {
  for (size_t size = 1; size <= 7; ++size) {
    for (unsigned grant = 0; grant < 1u << size; ++grant) {
      for (unsigned end = 0; end < 1u << size; ++end) {
        const auto bits = [](unsigned set) {
          return static_cast<size_t>(__builtin_popcount(set));
        };
        if (bits(grant) < GrantQuorum(size) || bits(end) < EndQuorum(size)) {
          continue;
        }
        REQUIRE((grant & end) != 0);
      }
    }
  }
}

TEST_CASE(
    "A witness doesn't vote to end a granted lease or grant an ended one") {
  LeaseWitness witness(seconds(3));
  const MemberId member("a#1");
  const MonoTime start{seconds(100)};
  REQUIRE(witness.GrantLease(member, 1, start));
  CHECK_FALSE(
      witness.VoteToEnd(member, 1, start + seconds(3) - Duration(1)).agreed);
  CHECK(witness.VoteToEnd(member, 1, start + seconds(3)).agreed);
  CHECK_FALSE(witness.GrantLease(member, 1, start + seconds(4)));
  // A newer epoch isn't covered by the vote.
  CHECK(witness.GrantLease(member, 2, start + seconds(4)));
  CHECK_FALSE(witness.VoteToEnd(member, 2, start + seconds(5)).agreed);
}

TEST_CASE("Slots are distributed evenly and none is lost") {
  for (int members = 1; members <= 6; ++members) {
    std::vector<MemberId> active;
    active.reserve(members);
    for (int i = 0; i < members; ++i) {
      active.emplace_back("m" + std::to_string(i));
    }
    SlotMap slots;
    const std::vector<MemberId> first{active[0]};
    REQUIRE(slots.AssignOrphanedSlots(16, first,
                                      [](const MemberId&) { return false; }));
    for (const auto& [slot, new_owner] :
         slots.SlotsToHandOver(active[0], active)) {
      CHECK(slots.initial_state(slot) == kInitiallyFull);
      slots.MoveSlot(slot, new_owner, "h");
    }
    int total = 0;
    for (const MemberId& member : active) {
      const int count = slots.CountSlots(member);
      CHECK(count >= 16 / members - 1);
      CHECK(count <= 16 / members + 1);
      total += count;
    }
    CHECK(total == 16);
    // The slots of a dead member get new owners, where their buckets start at
    // zero.
    const MemberId dead = active.back();
    if (members == 1) continue;
    active.pop_back();
    REQUIRE(slots.AssignOrphanedSlots(
        16, active, [&](const MemberId& m) { return m == dead; }));
    CHECK(slots.CountSlots(dead) == 0);
  }
}

// A request is sent again if its reply is lost. Guards against granting its
// tokens twice.
TEST_CASE(
    "A repeated allotment request gets the first reply and no more tokens") {
  const BucketLimits limits{10, 100};
  const MonoTime start{seconds(1000)};
  TokenBucket bucket(limits, 100, start);
  wire::AllotmentRequest::Item item;
  item.set_serial(1);
  item.set_want(60);
  item.set_waiting(60);
  item.set_least(60);
  const MemberId daemon("b#1");
  for (int i = 0; i < 3; ++i) {
    bucket.Advance(limits, start);
    CHECK(bucket.HandleRequest(daemon, item, seconds(3), start).granted() ==
          60);
    CHECK(bucket.outstanding() == 60);
  }
  item.set_serial(2);
  CHECK(bucket.HandleRequest(daemon, item, seconds(3), start).granted() == 0);
  item.set_serial(1);  // Late: an item older than the last one gets nothing.
  CHECK(bucket.HandleRequest(daemon, item, seconds(3), start).granted() == 0);
}

// Guards against exceeding the bound: a bucket that was full since the charge
// has refilled these tokens already, so a refund would credit them twice.
TEST_CASE("A refund doesn't credit tokens that the bucket has refilled") {
  const BucketLimits limits{10, 100};
  MonoTime now{seconds(1000)};
  TokenBucket bucket(limits, 100, now - seconds(60));
  bucket.Advance(limits, now);
  REQUIRE(bucket.TrySpend(100));
  const MonoTime charged = now;
  bucket.Advance(limits, now);
  // The bucket is full again, so a refund has nothing left to credit.
  now += seconds(60);
  bucket.Advance(limits, now);
  REQUIRE(bucket.TrySpend(100));
  bucket.Advance(limits, now);
  bucket.Refund(100, charged, now);
  CHECK(bucket.level_micros() == 0);
}

}  // namespace
}  // namespace mimosa
