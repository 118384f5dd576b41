// The book of one engine: who holds how much of it, and who waits.
//
// Model: an engine has a capacity in units (request_queue.h). A reservation is
// for all its units or none, is held by one member for one request, and lapses
// unless renewed. What can't be granted at once waits in the queue, if it may.
// One member keeps the book of an engine; another's book can exist for a while
// after a change of members, so the engine's own refusal is the last word.
//
// Events come in with the time; answers to reservations go out. An answer may
// belong to an earlier event: a release grants what waited. Pure: no clock, no
// I/O.
#ifndef DECIDE_ENGINE_BOOK_H_
#define DECIDE_ENGINE_BOOK_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/request_queue.h"
#include "decide/shedding.h"

namespace mimosa {

struct BookRequest {
  QueuedRequest queued;
  MemberId member;  // who holds the reservation
  Duration hold{};  // it lapses so long after the grant or last renewal
  bool may_wait = false;
};

enum class BookVerdict {
  kGranted,
  kFull,      // no room now, and it may not wait
  kShed,      // the wait would be too long
  kExpired,   // it waited until a start was of no use
  kTooLarge,  // more than the engine's whole capacity
  kClosed,    // the engine takes nothing new
};

struct BookAnswer {
  RequestId request;
  BookVerdict verdict;
  Duration retry_after{};  // not for kGranted
};
using BookAnswers = std::vector<BookAnswer>;

struct BookSummary {
  Units capacity;
  Units free;
  int64_t waiting = 0;
  int64_t running = 0;
  Duration queue_wait{};  // expected wait of a request that came now
};

class EngineBook {
 public:
  // `expected_hold`: how long a reservation is held, until some have ended.
  EngineBook(Units capacity, Duration expected_hold,
             std::unique_ptr<RequestQueue> queue,
             std::unique_ptr<SheddingPolicy> shedding);

  // A closed book grants nothing; what waits is answered kClosed. A paused one
  // grants nothing yet; what may wait, waits (the book is being rebuilt).
  BookAnswers Close();
  void Pause() { paused_ = true; }
  BookAnswers Open(MonoTime now);
  BookAnswers SetCapacity(Units capacity, MonoTime now);

  // Asking again for what is held renews it; for what waits changes nothing.
  BookAnswers Reserve(const BookRequest& request, MonoTime now);
  // Gives back a reservation, or gives up waiting.
  BookAnswers Release(const RequestId& request, MonoTime now);
  // Enters what is known to be held, though it may overbook the engine; or
  // renews it. Used for renewals and for rebuilding.
  void Renew(const BookRequest& request, MonoTime now);
  // Drops all that `member` holds or waits for.
  BookAnswers DropMember(const MemberId& member, MonoTime now);
  // Lets reservations lapse and drops what waited too long.
  BookAnswers Tick(MonoTime now);

  bool Holds(const RequestId& request) const {
    return held_.count(request) > 0;
  }
  bool Waits(const RequestId& request) const {
    return queue_->Contains(request);
  }
  bool closed() const { return closed_; }
  BookSummary Summary() const;

 private:
  struct Reservation {
    MemberId member;
    Units units;
    MonoTime since;
    MonoTime lapses;
  };

  Units Free() const { return capacity_ - used_; }
  Duration ExpectedWait(Units units_ahead, Units units) const;
  void Grant(const QueuedRequest& queued, MonoTime now, BookAnswers* answers);
  void Drain(MonoTime now, BookAnswers* answers);
  void Drop(const RequestId& request, MonoTime now, bool measure);

  Units capacity_;
  Duration mean_hold_;  // exponentially weighted over ended reservations
  std::unique_ptr<RequestQueue> queue_;
  std::unique_ptr<SheddingPolicy> shedding_;
  bool closed_ = false;
  bool paused_ = false;
  std::unordered_map<RequestId, Reservation> held_;
  Units used_;  // sum over held_; above capacity_ only after Renew, SetCapacity
  // Member and hold of each request in queue_, and of no other.
  struct Waiter {
    MemberId member;
    Duration hold;
  };
  std::unordered_map<RequestId, Waiter> waiters_;
};

}  // namespace mimosa

#endif  // DECIDE_ENGINE_BOOK_H_
