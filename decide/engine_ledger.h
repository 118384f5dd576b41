// Ledger of one engine's capacity: which requests hold reservations, and which
// ones wait.
//
// Model: an engine has a capacity in units (request_queue.h). A reservation
// covers all units that it asks for or none, is held by one member for one
// request, and expires unless it is renewed. A request that can't be granted at
// once waits in the queue, if its caller allows that. One member owns the
// ledger of an engine. After a change of membership a second member may keep a
// ledger of the same engine for a while, so a refusal by the engine itself
// overrides a grant.
//
// Each event is passed in with the current time and returns replies to
// reservation requests. A reply may belong to an earlier request: a release
// grants units to requests that waited. The class reads no clock and does no
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
  MemberId member;  // holds the reservation
  // The reservation expires this long after the grant or the last renewal.
  Duration lease_duration{};
  bool may_wait = false;
};

enum class LedgerResult {
  kGranted,
  kFull,      // too few free units, and the request may not wait
  kShed,      // the expected wait is too long
  kExpired,   // the request waited past its start_by
  kTooLarge,  // more units than the engine's whole capacity
  kClosed,    // the engine takes no new requests
};

struct LedgerReply {
  RequestId request;
  LedgerResult result;
  Duration retry_after{};  // set for kFull, kShed and kExpired
};
using LedgerReplies = std::vector<LedgerReply>;

struct LedgerSummary {
  Units capacity;
  Units free;
  int64_t waiting = 0;
  int64_t running = 0;
  Duration queue_wait{};  // expected wait of a request that arrives now
};

class EngineLedger {
 public:
  // `expected_hold` is the assumed mean time for which a reservation is held;
  // the mean moves to the measured times as reservations are released.
  EngineLedger(Units capacity, Duration expected_hold,
               std::unique_ptr<RequestQueue> queue,
               std::unique_ptr<SheddingPolicy> shedding);

  // Close() makes the ledger refuse new requests and replies kClosed to those
  // that wait. While paused, the ledger grants nothing but lets requests wait;
  // this is used while it is being rebuilt. Open() ends both.
  LedgerReplies Close();
  void Pause() { paused_ = true; }
  LedgerReplies Open(MonoTime now);
  LedgerReplies SetCapacity(Units capacity, MonoTime now);

  // Repeating the request renews the reservation if it is granted, and has no
  // effect if the request waits.
  LedgerReplies Reserve(const LedgerRequest& request, MonoTime now);
  // Releases a reservation, or removes a request that waits.
  LedgerReplies Release(const RequestId& request, MonoTime now);
  // Renews a reservation, or enters one that was granted earlier and is missing
  // here, even if that overbooks the engine. Used for renewals and to rebuild
  // the ledger.
  void RenewOrRestore(const LedgerRequest& request, MonoTime now);
  // Removes all reservations and waiting requests of `member`.
  LedgerReplies DropMember(const MemberId& member, MonoTime now);
  // Removes expired reservations, and waiting requests past their start_by if
  // the shedding policy drops those.
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
  void Grant(const QueuedRequest& queued, MonoTime now, LedgerReplies* replies);
  void GrantWaiting(MonoTime now, LedgerReplies* replies);
  void EraseReservation(const RequestId& request, MonoTime now,
                        bool update_mean);

  Units capacity_;
  // Exponentially weighted mean over released reservations.
  Duration mean_hold_time_;
  std::unique_ptr<RequestQueue> queue_;
  std::unique_ptr<SheddingPolicy> shedding_;
  bool closed_ = false;
  bool paused_ = false;
  std::unordered_map<RequestId, Reservation> reservations_;
  // Sum over reservations_. Exceeds capacity_ only after RenewOrRestore() or
  // SetCapacity().
  Units reserved_units_;
  struct Waiter {
    MemberId member;
    Duration lease_duration;
  };
  // Member and lease duration of each request in queue_. Has exactly the
  // requests of queue_ as keys.
  std::unordered_map<RequestId, Waiter> waiters_;
};

}  // namespace mimosa

#endif  // DECIDE_ENGINE_LEDGER_H_
