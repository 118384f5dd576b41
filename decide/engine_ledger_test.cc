// Compares EngineLedger with a simple reference over all short sequences of
// operations.
#include "decide/engine_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace mimosa {
namespace {

constexpr Duration kLease = std::chrono::seconds(3);
constexpr Duration kStep = std::chrono::seconds(1);

MonoTime At(int64_t seconds) { return MonoTime(std::chrono::seconds(seconds)); }

LedgerRequest Request(int serial, int64_t units, bool may_wait,
                      MonoTime start_by = kNever) {
  LedgerRequest request;
  request.queued.request = RequestId("m/" + std::to_string(serial));
  request.queued.customer = CustomerId("c");
  request.queued.units = Units(units);
  request.queued.cost = Tokens(1);
  request.queued.start_by = start_by;
  request.member = MemberId(serial % 2 == 0 ? "even" : "odd");
  request.lease_duration = kLease;
  request.may_wait = may_wait;
  return request;
}

EngineLedger MakeLedger(int64_t capacity, QueueKind queue = QueueKind::kFifo,
                        SheddingKind shedding = SheddingKind::kNone) {
  return {Units(capacity), std::chrono::seconds(10), MakeRequestQueue(queue),
          MakeSheddingPolicy(shedding)};
}

// Reference: first come, first served without shedding, kept in plain lists.
class ReferenceLedger {
 public:
  explicit ReferenceLedger(int64_t capacity) : capacity_(capacity) {}

  std::set<RequestId> Reserve(const LedgerRequest& request, MonoTime now) {
    for (Entry& entry : held_) {
      if (entry.request.queued.request != request.queued.request) continue;
      entry.expires_at = now + kLease;
      return {request.queued.request};
    }
    for (const LedgerRequest& waiter : waiting_) {
      if (waiter.queued.request == request.queued.request) return {};
    }
    const bool fits = request.queued.units.count() <= capacity_ - Used();
    if (!request.may_wait && (!fits || !waiting_.empty())) return {};
    waiting_.push_back(request);
    return GrantWaiting(now);
  }

  std::set<RequestId> Release(const RequestId& id, MonoTime now) {
    held_.erase(std::remove_if(held_.begin(), held_.end(),
                               [&](const Entry& e) {
                                 return e.request.queued.request == id;
                               }),
                held_.end());
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
                                  [&](const LedgerRequest& r) {
                                    return r.queued.request == id;
                                  }),
                   waiting_.end());
    return GrantWaiting(now);
  }

  std::set<RequestId> DropMember(const MemberId& member, MonoTime now) {
    held_.erase(std::remove_if(
                    held_.begin(), held_.end(),
                    [&](const Entry& e) { return e.request.member == member; }),
                held_.end());
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
                                  [&](const LedgerRequest& r) {
                                    return r.member == member;
                                  }),
                   waiting_.end());
    return GrantWaiting(now);
  }

  std::set<RequestId> ExpireOverdue(MonoTime now) {
    held_.erase(
        std::remove_if(held_.begin(), held_.end(),
                       [&](const Entry& e) { return e.expires_at < now; }),
        held_.end());
    return GrantWaiting(now);
  }

  int64_t Used() const {
    int64_t used = 0;
    for (const Entry& entry : held_) used += entry.request.queued.units.count();
    return used;
  }
  size_t held() const { return held_.size(); }
  size_t waiting() const { return waiting_.size(); }

 private:
  struct Entry {
    LedgerRequest request;
    MonoTime expires_at;
  };

  std::set<RequestId> GrantWaiting(MonoTime now) {
    std::set<RequestId> granted;
    while (!waiting_.empty() &&
           waiting_.front().queued.units.count() <= capacity_ - Used()) {
      granted.insert(waiting_.front().queued.request);
      held_.push_back({waiting_.front(), now + kLease});
      waiting_.erase(waiting_.begin());
    }
    return granted;
  }

  const int64_t capacity_;
  std::vector<Entry> held_;
  std::vector<LedgerRequest> waiting_;
};

std::set<RequestId> Granted(const LedgerReplies& replies) {
  std::set<RequestId> granted;
  for (const LedgerReply& reply : replies) {
    if (reply.result == LedgerResult::kGranted) granted.insert(reply.request);
  }
  return granted;
}

// Operations: 0 to 2 reserve one of three requests (1, 2 and 2 units; the last
// one may not wait), 3 to 5 release one of them, 6 drops a member, 7 advances
// the time.
void Apply(int operation, MonoTime* now, EngineLedger* ledger,
           ReferenceLedger* reference) {
  if (operation < 3) {
    const LedgerRequest request =
        Request(operation, operation == 0 ? 1 : 2, operation != 2);
    REQUIRE(Granted(ledger->Reserve(request, *now)) ==
            reference->Reserve(request, *now));
  } else if (operation < 6) {
    const RequestId id("m/" + std::to_string(operation - 3));
    REQUIRE(Granted(ledger->Release(id, *now)) == reference->Release(id, *now));
  } else if (operation == 6) {
    const MemberId even("even");
    REQUIRE(Granted(ledger->DropMember(even, *now)) ==
            reference->DropMember(even, *now));
  } else {
    *now += 2 * kStep;
    REQUIRE(Granted(ledger->ExpireOverdue(*now)) ==
            reference->ExpireOverdue(*now));
  }
  const LedgerSummary summary = ledger->Summary();
  REQUIRE(summary.capacity.count() - summary.free.count() == reference->Used());
  REQUIRE(summary.running == static_cast<int64_t>(reference->held()));
  REQUIRE(summary.waiting == static_cast<int64_t>(reference->waiting()));
  REQUIRE(reference->Used() <= summary.capacity.count());
}

TEST_CASE("the ledger matches the reference over all short sequences") {
  constexpr int kOperations = 8;
  constexpr int kLength = 6;
  int sequences = 1;
  for (int i = 0; i < kLength; ++i) sequences *= kOperations;
  for (int sequence = 0; sequence < sequences; ++sequence) {
    EngineLedger ledger = MakeLedger(3);
    ReferenceLedger reference(3);
    MonoTime now = At(0);
    int rest = sequence;
    for (int step = 0; step < kLength; ++step, rest /= kOperations) {
      Apply(rest % kOperations, &now, &ledger, &reference);
    }
  }
}

TEST_CASE("a reservation is granted whole, and in queue order") {
  EngineLedger ledger = MakeLedger(20);
  CHECK(ledger.Reserve(Request(1, 21, true), At(0)).front().result ==
        LedgerResult::kTooLarge);
  CHECK(Granted(ledger.Reserve(Request(2, 15, true), At(0))).size() == 1);
  CHECK(ledger.Reserve(Request(3, 6, false), At(0)).front().result ==
        LedgerResult::kFull);
  CHECK(ledger.Reserve(Request(4, 6, true), At(0)).empty());
  // A small request doesn't overtake the large one that waits.
  CHECK(ledger.Reserve(Request(5, 1, true), At(0)).empty());
  CHECK(Granted(ledger.Release(RequestId("m/2"), At(1))).size() == 2);
}

TEST_CASE("a renewed reservation does not expire") {
  EngineLedger ledger = MakeLedger(4);
  (void)ledger.Reserve(Request(1, 2, true), At(0));
  (void)ledger.Reserve(Request(2, 2, true), At(0));
  ledger.RenewOrRestore(Request(1, 2, true), At(2));
  (void)ledger.ExpireOverdue(At(4));
  CHECK(ledger.HasReservation(RequestId("m/1")));
  CHECK_FALSE(ledger.HasReservation(RequestId("m/2")));
}

TEST_CASE(
    "a paused ledger grants after it is opened, minus the restored units") {
  EngineLedger ledger = MakeLedger(4);
  ledger.Pause();
  CHECK(ledger.Reserve(Request(1, 2, true), At(0)).empty());
  CHECK(ledger.Reserve(Request(2, 2, false), At(0)).front().result ==
        LedgerResult::kFull);
  ledger.RenewOrRestore(Request(3, 3, true), At(0));
  CHECK(ledger.Open(At(1)).empty());
  CHECK(Granted(ledger.Release(RequestId("m/3"), At(2))).size() == 1);
}

TEST_CASE("closing a ledger refuses the waiting requests") {
  EngineLedger ledger = MakeLedger(2);
  (void)ledger.Reserve(Request(1, 2, true), At(0));
  (void)ledger.Reserve(Request(2, 2, true), At(0));
  const LedgerReplies replies = ledger.Close();
  REQUIRE(replies.size() == 1);
  CHECK(replies.front().result == LedgerResult::kClosed);
  CHECK(ledger.Reserve(Request(3, 1, true), At(0)).front().result ==
        LedgerResult::kClosed);
  CHECK(ledger.HasReservation(RequestId("m/1")));
}

TEST_CASE("a wait beyond the deadline is shed at once with a Retry-After") {
  EngineLedger ledger =
      MakeLedger(10, QueueKind::kFair, SheddingKind::kDeadline);
  (void)ledger.Reserve(Request(1, 10, true), At(0));
  // Ten units are freed in ten seconds, so five units take five seconds.
  CHECK(ledger.Reserve(Request(2, 5, true, At(6)), At(0)).empty());
  const LedgerReplies shed = ledger.Reserve(Request(3, 5, true, At(6)), At(0));
  REQUIRE(shed.size() == 1);
  CHECK(shed.front().result == LedgerResult::kShed);
  CHECK(shed.front().retry_after == std::chrono::seconds(4));
}

TEST_CASE("a request that waited past its start_by is refused") {
  EngineLedger ledger =
      MakeLedger(2, QueueKind::kFair, SheddingKind::kDeadline);
  (void)ledger.Reserve(Request(1, 2, true), At(0));
  CHECK(ledger.Reserve(Request(2, 1, true, At(6)), At(0)).empty());
  ledger.RenewOrRestore(Request(1, 2, true), At(6));
  const LedgerReplies replies = ledger.ExpireOverdue(At(7));
  REQUIRE(replies.size() == 1);
  CHECK(replies.front().result == LedgerResult::kExpired);
}

}  // namespace
}  // namespace mimosa
