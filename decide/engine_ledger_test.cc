// The book of an engine against a slow reference, in all short histories.
#include "decide/engine_ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

namespace mimosa {
namespace {

constexpr Duration kHold = std::chrono::seconds(3);
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
  request.lease_duration = kHold;
  request.may_wait = may_wait;
  return request;
}

EngineLedger Book(int64_t capacity, QueueKind queue = QueueKind::kFifo,
                  SheddingKind shedding = SheddingKind::kNone) {
  return {Units(capacity), std::chrono::seconds(10), MakeRequestQueue(queue),
          MakeSheddingPolicy(shedding)};
}

// First come first served without shedding, by lists.
class SlowBook {
 public:
  explicit SlowBook(int64_t capacity) : capacity_(capacity) {}

  std::set<RequestId> Reserve(const LedgerRequest& request, MonoTime now) {
    for (Entry& entry : held_) {
      if (entry.request.queued.request != request.queued.request) continue;
      entry.lapses = now + kHold;
      return {request.queued.request};
    }
    for (const LedgerRequest& waiter : waiting_) {
      if (waiter.queued.request == request.queued.request) return {};
    }
    const bool fits = request.queued.units.count() <= capacity_ - Used();
    if (!request.may_wait && (!fits || !waiting_.empty())) return {};
    waiting_.push_back(request);
    return Drain(now);
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
    return Drain(now);
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
    return Drain(now);
  }

  std::set<RequestId> Tick(MonoTime now) {
    held_.erase(std::remove_if(held_.begin(), held_.end(),
                               [&](const Entry& e) { return e.lapses < now; }),
                held_.end());
    return Drain(now);
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
    MonoTime lapses;
  };

  std::set<RequestId> Drain(MonoTime now) {
    std::set<RequestId> granted;
    while (!waiting_.empty() &&
           waiting_.front().queued.units.count() <= capacity_ - Used()) {
      granted.insert(waiting_.front().queued.request);
      held_.push_back({waiting_.front(), now + kHold});
      waiting_.erase(waiting_.begin());
    }
    return granted;
  }

  const int64_t capacity_;
  std::vector<Entry> held_;
  std::vector<LedgerRequest> waiting_;
};

std::set<RequestId> Granted(const LedgerReplies& answers) {
  std::set<RequestId> granted;
  for (const LedgerReply& answer : answers) {
    if (answer.result == LedgerResult::kGranted) granted.insert(answer.request);
  }
  return granted;
}

// Operations: reserve one of three requests (1, 2, 2 units; the last may not
// wait), release one of them, drop a member, let time pass.
void Apply(int operation, MonoTime* now, EngineLedger* book, SlowBook* slow) {
  if (operation < 3) {
    const LedgerRequest request =
        Request(operation, operation == 0 ? 1 : 2, operation != 2);
    REQUIRE(Granted(book->Reserve(request, *now)) ==
            slow->Reserve(request, *now));
  } else if (operation < 6) {
    const RequestId id("m/" + std::to_string(operation - 3));
    REQUIRE(Granted(book->Release(id, *now)) == slow->Release(id, *now));
  } else if (operation == 6) {
    const MemberId even("even");
    REQUIRE(Granted(book->DropMember(even, *now)) ==
            slow->DropMember(even, *now));
  } else {
    *now += 2 * kStep;
    REQUIRE(Granted(book->ExpireOverdue(*now)) == slow->Tick(*now));
  }
  const LedgerSummary summary = book->Summary();
  REQUIRE(summary.capacity.count() - summary.free.count() == slow->Used());
  REQUIRE(summary.running == static_cast<int64_t>(slow->held()));
  REQUIRE(summary.waiting == static_cast<int64_t>(slow->waiting()));
  REQUIRE(slow->Used() <= summary.capacity.count());
}

TEST_CASE("book does as its reference in all short histories") {
  constexpr int kOperations = 8;
  constexpr int kLength = 6;
  int histories = 1;
  for (int i = 0; i < kLength; ++i) histories *= kOperations;
  for (int history = 0; history < histories; ++history) {
    EngineLedger book = Book(3);
    SlowBook slow(3);
    MonoTime now = At(0);
    int rest = history;
    for (int step = 0; step < kLength; ++step, rest /= kOperations) {
      Apply(rest % kOperations, &now, &book, &slow);
    }
  }
}

TEST_CASE("all or nothing") {
  EngineLedger book = Book(20);
  CHECK(book.Reserve(Request(1, 21, true), At(0)).front().result ==
        LedgerResult::kTooLarge);
  CHECK(Granted(book.Reserve(Request(2, 15, true), At(0))).size() == 1);
  CHECK(book.Reserve(Request(3, 6, false), At(0)).front().result ==
        LedgerResult::kFull);
  CHECK(book.Reserve(Request(4, 6, true), At(0)).empty());
  // A small one does not overtake the large one that waits.
  CHECK(book.Reserve(Request(5, 1, true), At(0)).empty());
  CHECK(Granted(book.Release(RequestId("m/2"), At(1))).size() == 2);
}

TEST_CASE("what is renewed does not lapse") {
  EngineLedger book = Book(4);
  (void)book.Reserve(Request(1, 2, true), At(0));
  (void)book.Reserve(Request(2, 2, true), At(0));
  book.RenewOrRestore(Request(1, 2, true), At(2));
  (void)book.ExpireOverdue(At(4));
  CHECK(book.HasReservation(RequestId("m/1")));
  CHECK_FALSE(book.HasReservation(RequestId("m/2")));
}

TEST_CASE("a paused book grants after it opened, without what was renewed") {
  EngineLedger book = Book(4);
  book.Pause();
  CHECK(book.Reserve(Request(1, 2, true), At(0)).empty());
  CHECK(book.Reserve(Request(2, 2, false), At(0)).front().result ==
        LedgerResult::kFull);
  book.RenewOrRestore(Request(3, 3, true), At(0));
  CHECK(book.Open(At(1)).empty());
  CHECK(Granted(book.Release(RequestId("m/3"), At(2))).size() == 1);
}

TEST_CASE("a closed book sends on what waits") {
  EngineLedger book = Book(2);
  (void)book.Reserve(Request(1, 2, true), At(0));
  (void)book.Reserve(Request(2, 2, true), At(0));
  const LedgerReplies answers = book.Close();
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().result == LedgerResult::kClosed);
  CHECK(book.Reserve(Request(3, 1, true), At(0)).front().result ==
        LedgerResult::kClosed);
  CHECK(book.HasReservation(RequestId("m/1")));
}

TEST_CASE("a wait beyond the deadline is shed at once, with a Retry-After") {
  EngineLedger book = Book(10, QueueKind::kFair, SheddingKind::kDeadline);
  (void)book.Reserve(Request(1, 10, true), At(0));
  // Ten units come back in ten seconds: five take five.
  CHECK(book.Reserve(Request(2, 5, true, At(6)), At(0)).empty());
  const LedgerReplies shed = book.Reserve(Request(3, 5, true, At(6)), At(0));
  REQUIRE(shed.size() == 1);
  CHECK(shed.front().result == LedgerResult::kShed);
  CHECK(shed.front().retry_after == std::chrono::seconds(4));
}

TEST_CASE("what waited too long is refused, not started late") {
  EngineLedger book = Book(2, QueueKind::kFair, SheddingKind::kDeadline);
  (void)book.Reserve(Request(1, 2, true), At(0));
  CHECK(book.Reserve(Request(2, 1, true, At(6)), At(0)).empty());
  book.RenewOrRestore(Request(1, 2, true), At(6));
  const LedgerReplies answers = book.ExpireOverdue(At(7));
  REQUIRE(answers.size() == 1);
  CHECK(answers.front().result == LedgerResult::kExpired);
}

}  // namespace
}  // namespace mimosa
