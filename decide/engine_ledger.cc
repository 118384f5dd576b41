// Grants, the queue of waiting requests and the expiry of reservations.
#include "decide/engine_ledger.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// Weight of the newest sample in the mean hold time: one in this many.
constexpr int kHoldTimeSamples = 32;

}  // namespace

EngineLedger::EngineLedger(Units capacity, Duration expected_hold,
                           std::unique_ptr<RequestQueue> queue,
                           std::unique_ptr<SheddingPolicy> shedding)
    : capacity_(capacity),
      mean_hold_time_(expected_hold),
      queue_(std::move(queue)),
      shedding_(std::move(shedding)) {}

LedgerReplies EngineLedger::Close() {
  closed_ = true;
  LedgerReplies replies;
  while (queue_->Front() != nullptr) {
    const RequestId request = queue_->Front()->request;
    queue_->Remove(request);
    waiters_.erase(request);
    replies.push_back({request, LedgerResult::kClosed});
  }
  return replies;
}

LedgerReplies EngineLedger::Open(MonoTime now) {
  closed_ = false;
  paused_ = false;
  LedgerReplies replies;
  GrantWaiting(now, &replies);
  return replies;
}

LedgerReplies EngineLedger::SetCapacity(Units capacity, MonoTime now) {
  capacity_ = capacity;
  LedgerReplies replies;
  GrantWaiting(now, &replies);
  return replies;
}

LedgerReplies EngineLedger::Reserve(const LedgerRequest& request,
                                    MonoTime now) {
  const QueuedRequest& queued = request.queued;
  if (HasReservation(queued.request)) {
    reservations_[queued.request].expires_at = now + request.lease_duration;
    return {{queued.request, LedgerResult::kGranted}};
  }
  if (IsWaiting(queued.request)) return {};
  if (closed_) return {{queued.request, LedgerResult::kClosed}};
  if (queued.units > capacity_) {
    return {{queued.request, LedgerResult::kTooLarge}};
  }
  const WaitForecast forecast{
      now, ExpectedWait(queue_->UnitsAhead(queued), queued.units),
      queued.start_by};
  const bool at_once =
      !paused_ && queue_->size() == 0 && queued.units <= FreeUnits();
  if (!at_once && !request.may_wait) {
    return {{queued.request, LedgerResult::kFull, RetryAfter(forecast)}};
  }
  if (!at_once && shedding_->ShouldShed(forecast)) {
    return {{queued.request, LedgerResult::kShed, RetryAfter(forecast)}};
  }
  // A request that is granted at once also passes through the queue, so that it
  // counts towards fairness.
  waiters_[queued.request] = {request.member, request.lease_duration};
  queue_->Push(queued);
  LedgerReplies replies;
  GrantWaiting(now, &replies);
  return replies;
}

LedgerReplies EngineLedger::Release(const RequestId& request, MonoTime now) {
  if (queue_->Remove(request)) waiters_.erase(request);
  EraseReservation(request, now, /*update_mean=*/true);
  LedgerReplies replies;
  GrantWaiting(now, &replies);
  return replies;
}

void EngineLedger::RenewOrRestore(const LedgerRequest& request, MonoTime now) {
  const RequestId& id = request.queued.request;
  if (queue_->Remove(id)) waiters_.erase(id);
  auto [it, inserted] = reservations_.try_emplace(id);
  Reservation& reservation = it->second;
  if (inserted) {
    reservation.units = request.queued.units;
    reservation.granted_at = now;
    reserved_units_ += reservation.units;
  }
  reservation.member = request.member;
  reservation.expires_at = now + request.lease_duration;
}

LedgerReplies EngineLedger::DropMember(const MemberId& member, MonoTime now) {
  std::vector<RequestId> ids;
  for (const auto& [id, reservation] : reservations_) {
    if (reservation.member == member) ids.push_back(id);
  }
  for (const RequestId& id : ids)
    EraseReservation(id, now, /*update_mean=*/false);
  ids.clear();
  for (const auto& [id, waiter] : waiters_) {
    if (waiter.member == member) ids.push_back(id);
  }
  for (const RequestId& id : ids) {
    queue_->Remove(id);
    waiters_.erase(id);
  }
  LedgerReplies replies;
  GrantWaiting(now, &replies);
  return replies;
}

LedgerReplies EngineLedger::ExpireOverdue(MonoTime now) {
  std::vector<RequestId> expired_ids;
  for (const auto& [id, reservation] : reservations_) {
    if (reservation.expires_at < now) expired_ids.push_back(id);
  }
  for (const RequestId& id : expired_ids)
    EraseReservation(id, now, /*update_mean=*/false);
  LedgerReplies replies;
  if (shedding_->DropsExpired()) {
    for (const QueuedRequest& expired : queue_->RemoveExpired(now)) {
      waiters_.erase(expired.request);
      replies.push_back(
          {expired.request, LedgerResult::kExpired, Summary().queue_wait});
    }
  }
  GrantWaiting(now, &replies);
  return replies;
}

LedgerSummary EngineLedger::Summary() const {
  LedgerSummary summary;
  summary.capacity = capacity_;
  summary.free = std::max(FreeUnits(), Units(0));
  summary.waiting = static_cast<int64_t>(queue_->size());
  summary.running = static_cast<int64_t>(reservations_.size());
  QueuedRequest probe;
  probe.units = Units(1);
  summary.queue_wait = ExpectedWait(queue_->UnitsAhead(probe), probe.units);
  return summary;
}

// An engine at full capacity frees units at a rate of capacity / mean hold
// time.
Duration EngineLedger::ExpectedWait(Units units_ahead, Units units) const {
  const Units missing = units_ahead + units - FreeUnits();
  if (missing <= Units(0) || capacity_ <= Units(0)) return Duration(0);
  const double hold_times = static_cast<double>(missing.count()) /
                            static_cast<double>(capacity_.count());
  return Duration(static_cast<int64_t>(
      hold_times * static_cast<double>(mean_hold_time_.count())));
}

void EngineLedger::Grant(const QueuedRequest& queued, MonoTime now,
                         LedgerReplies* replies) {
  const Waiter waiter = waiters_.at(queued.request);
  waiters_.erase(queued.request);
  reservations_[queued.request] = {waiter.member, queued.units, now,
                                   now + waiter.lease_duration};
  reserved_units_ += queued.units;
  replies->push_back({queued.request, LedgerResult::kGranted});
}

// Grants strictly in queue order: skipping a large request that doesn't fit yet
// would starve it while small ones keep arriving.
void EngineLedger::GrantWaiting(MonoTime now, LedgerReplies* replies) {
  if (closed_ || paused_) return;
  queue_->AdvanceTime(now);
  for (const QueuedRequest* front = queue_->Front(); front != nullptr;
       front = queue_->Front()) {
    if (shedding_->DropsExpired() && front->start_by < now) {
      const RequestId expired = front->request;
      queue_->Remove(expired);
      waiters_.erase(expired);
      replies->push_back({expired, LedgerResult::kExpired, kMinRetryAfter});
      continue;
    }
    if (front->units > FreeUnits()) return;
    Grant(queue_->PopFront(), now, replies);
  }
}

void EngineLedger::EraseReservation(const RequestId& request, MonoTime now,
                                    bool update_mean) {
  auto it = reservations_.find(request);
  if (it == reservations_.end()) return;
  if (update_mean) {
    mean_hold_time_ +=
        (now - it->second.granted_at - mean_hold_time_) / kHoldTimeSamples;
  }
  reserved_units_ -= it->second.units;
  reservations_.erase(it);
}

}  // namespace mimosa
