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
#ifndef DECIDE_ENGINE_LEDGER_H_
#define DECIDE_ENGINE_LEDGER_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/request_queue.h"
#include "decide/shedding.h"

namespace mimosa {

struct LedgerRequest {
  QueuedRequest queued;
  MemberId member;  // who holds the reservation
  Duration
      lease_duration{};  // it lapses so long after the grant or last renewal
  bool may_wait = false;
};

enum class LedgerResult {
  kGranted,
  kFull,      // no room now, and it may not wait
  kShed,      // the wait would be too long
  kExpired,   // it waited until a start was of no use
  kTooLarge,  // more than the engine's whole capacity
  kClosed,    // the engine takes nothing new
};

struct LedgerReply {
  RequestId request;
  LedgerResult result;
  Duration retry_after{};  // not for kGranted
};
using LedgerReplies = std::vector<LedgerReply>;

struct LedgerSummary {
  Units capacity;
  Units free;
  int64_t waiting = 0;
  int64_t running = 0;
  Duration queue_wait{};  // expected wait of a request that came now
};

class EngineLedger {
 public:
  // `expected_hold`: how long a reservation is held, until some have ended.
  EngineLedger(Units capacity, Duration expected_hold,
               std::unique_ptr<RequestQueue> queue,
               std::unique_ptr<SheddingPolicy> shedding);

  // A closed book grants nothing; what waits is answered kClosed. A paused one
  // grants nothing yet; what may wait, waits (the book is being rebuilt).
  LedgerReplies Close();
  void Pause() { paused_ = true; }
  LedgerReplies Open(MonoTime now);
  LedgerReplies SetCapacity(Units capacity, MonoTime now);

  // Asking again for what is held renews it; for what waits changes nothing.
  LedgerReplies Reserve(const LedgerRequest& request, MonoTime now);
  // Gives back a reservation, or gives up waiting.
  LedgerReplies Release(const RequestId& request, MonoTime now);
  // Enters what is known to be held, though it may overbook the engine; or
  // renews it. Used for renewals and for rebuilding.
  void RenewOrRestore(const LedgerRequest& request, MonoTime now);
  // Drops all that `member` holds or waits for.
  LedgerReplies DropMember(const MemberId& member, MonoTime now);
  // Lets reservations lapse and drops what waited too long.
  LedgerReplies ExpireOverdue(MonoTime now);

  bool HasReservation(const RequestId& request) const {
    return reservations_.count(request) > 0;
  }
  bool IsWaiting(const RequestId& request) const {
    return queue_->Contains(request);
  }
  bool closed() const { return closed_; }
  LedgerSummary Summary() const;

 private:
  struct Reservation {
    MemberId member;
    Units units;
    MonoTime granted_at;
    MonoTime expires_at;
  };

  Units FreeUnits() const { return capacity_ - reserved_units_; }
  Duration ExpectedWait(Units units_ahead, Units units) const;
  void Grant(const QueuedRequest& queued, MonoTime now, LedgerReplies* answers);
  void GrantWaiting(MonoTime now, LedgerReplies* answers);
  void EraseReservation(const RequestId& request, MonoTime now, bool measure);

  Units capacity_;
  Duration mean_hold_time_;  // exponentially weighted over ended reservations
  std::unique_ptr<RequestQueue> queue_;
  std::unique_ptr<SheddingPolicy> shedding_;
  bool closed_ = false;
  bool paused_ = false;
  std::unordered_map<RequestId, Reservation> reservations_;
  Units reserved_units_;  // sum over held_; above capacity_ only after Renew,
                          // SetCapacity
  // Member and hold of each request in queue_, and of no other.
  struct Waiter {
    MemberId member;
    Duration lease_duration;
  };
  std::unordered_map<RequestId, Waiter> waiters_;
};

}  // namespace mimosa

#endif  // DECIDE_ENGINE_LEDGER_H_
