// Quorums, slot moves and a bucket's idempotence, exhaustively where small.
// The histories of tests/fleet_model_test.cc cover how they act together.
#include <catch2/catch.hpp>
#include <vector>

#include "decide/member_lease.h"
#include "decide/rate_limiter.h"
#include "decide/slots.h"

namespace mimosa {
namespace {

using std::chrono::seconds;

TEST_CASE("Each grant quorum meets each end quorum") {
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

TEST_CASE("A witness keeps its promise and its agreement") {
  LeaseWitness book(seconds(3));
  const MemberId member("a#1");
  const MonoTime start{seconds(100)};
  REQUIRE(book.GrantLease(member, 1, start));
  CHECK_FALSE(
      book.VoteToEnd(member, 1, start + seconds(3) - Duration(1)).agreed);
  CHECK(book.VoteToEnd(member, 1, start + seconds(3)).agreed);
  CHECK_FALSE(book.GrantLease(member, 1, start + seconds(4)));
  // A newer record is another question.
  CHECK(book.GrantLease(member, 2, start + seconds(4)));
  CHECK_FALSE(book.VoteToEnd(member, 2, start + seconds(5)).agreed);
}

TEST_CASE("Slots end up evened out and none is lost") {
  for (int members = 1; members <= 6; ++members) {
    std::vector<MemberId> staying;
    staying.reserve(members);
    for (int i = 0; i < members; ++i) {
      staying.emplace_back("m" + std::to_string(i));
    }
    SlotMap slots;
    const std::vector<MemberId> first{staying[0]};
    REQUIRE(slots.AssignOrphanedSlots(16, first,
                                      [](const MemberId&) { return false; }));
    for (const auto& [slot, to] : slots.SlotsToHandOver(staying[0], staying)) {
      CHECK(slots.initial_state(slot) == kInitiallyFull);
      slots.MoveSlot(slot, to, "h");
    }
    int total = 0;
    for (const MemberId& member : staying) {
      const int count = slots.CountSlots(member);
      CHECK(count >= 16 / members - 1);
      CHECK(count <= 16 / members + 1);
      total += count;
    }
    CHECK(total == 16);
    // The slots of the dead start at zero at their next owners.
    const MemberId dead = staying.back();
    if (members == 1) continue;
    staying.pop_back();
    REQUIRE(slots.AssignOrphanedSlots(
        16, staying, [&](const MemberId& m) { return m == dead; }));
    CHECK(slots.CountSlots(dead) == 0);
  }
}

TEST_CASE("A repeated question gets the first answer and nothing twice") {
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
  item.set_serial(1);  // late: an older one gets nothing
  CHECK(bucket.HandleRequest(daemon, item, seconds(3), start).granted() == 0);
}

TEST_CASE("A refund gives back no more than the bucket has not lost") {
  const BucketLimits limits{10, 100};
  MonoTime now{seconds(1000)};
  TokenBucket bucket(limits, 100, now - seconds(60));
  bucket.Advance(limits, now);
  REQUIRE(bucket.TrySpend(100));
  const MonoTime charged = now;
  bucket.Advance(limits, now);
  now += seconds(60);  // full again: nothing is due any more
  bucket.Advance(limits, now);
  REQUIRE(bucket.TrySpend(100));
  bucket.Advance(limits, now);
  bucket.Refund(100, charged, now);
  CHECK(bucket.level_micros() == 0);
}

}  // namespace
}  // namespace mimosa
