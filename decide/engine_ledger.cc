// Grants, the waiting queue and the lapse of reservations.
#include "decide/engine_ledger.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// Weight of the newest reservation in the mean hold: one in so many.
constexpr int kHoldSamples = 32;

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
  LedgerReplies answers;
  while (queue_->Front() != nullptr) {
    const RequestId request = queue_->Front()->request;
    queue_->Remove(request);
    waiters_.erase(request);
    answers.push_back({request, LedgerResult::kClosed});
  }
  return answers;
}

LedgerReplies EngineLedger::Open(MonoTime now) {
  closed_ = false;
  paused_ = false;
  LedgerReplies answers;
  GrantWaiting(now, &answers);
  return answers;
}

LedgerReplies EngineLedger::SetCapacity(Units capacity, MonoTime now) {
  capacity_ = capacity;
  LedgerReplies answers;
  GrantWaiting(now, &answers);
  return answers;
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
  // What is granted at once goes through the queue too: it counts for fairness.
  waiters_[queued.request] = {request.member, request.lease_duration};
  queue_->Push(queued);
  LedgerReplies answers;
  GrantWaiting(now, &answers);
  return answers;
}

LedgerReplies EngineLedger::Release(const RequestId& request, MonoTime now) {
  if (queue_->Remove(request)) waiters_.erase(request);
  EraseReservation(request, now, /*measure=*/true);
  LedgerReplies answers;
  GrantWaiting(now, &answers);
  return answers;
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
  std::vector<RequestId> gone;
  for (const auto& [id, reservation] : reservations_) {
    if (reservation.member == member) gone.push_back(id);
  }
  for (const RequestId& id : gone) EraseReservation(id, now, /*measure=*/false);
  gone.clear();
  for (const auto& [id, waiter] : waiters_) {
    if (waiter.member == member) gone.push_back(id);
  }
  for (const RequestId& id : gone) {
    queue_->Remove(id);
    waiters_.erase(id);
  }
  LedgerReplies answers;
  GrantWaiting(now, &answers);
  return answers;
}

LedgerReplies EngineLedger::ExpireOverdue(MonoTime now) {
  std::vector<RequestId> lapsed;
  for (const auto& [id, reservation] : reservations_) {
    if (reservation.expires_at < now) lapsed.push_back(id);
  }
  for (const RequestId& id : lapsed)
    EraseReservation(id, now, /*measure=*/false);
  LedgerReplies answers;
  if (shedding_->DropsExpired()) {
    for (const QueuedRequest& late : queue_->RemoveExpired(now)) {
      waiters_.erase(late.request);
      answers.push_back(
          {late.request, LedgerResult::kExpired, Summary().queue_wait});
    }
  }
  GrantWaiting(now, &answers);
  return answers;
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

// A full engine gives units back at capacity / mean hold.
Duration EngineLedger::ExpectedWait(Units units_ahead, Units units) const {
  const Units missing = units_ahead + units - FreeUnits();
  if (missing <= Units(0) || capacity_ <= Units(0)) return Duration(0);
  const double holds = static_cast<double>(missing.count()) /
                       static_cast<double>(capacity_.count());
  return Duration(static_cast<int64_t>(
      holds * static_cast<double>(mean_hold_time_.count())));
}

void EngineLedger::Grant(const QueuedRequest& queued, MonoTime now,
                         LedgerReplies* answers) {
  const Waiter waiter = waiters_.at(queued.request);
  waiters_.erase(queued.request);
  reservations_[queued.request] = {waiter.member, queued.units, now,
                                   now + waiter.lease_duration};
  reserved_units_ += queued.units;
  answers->push_back({queued.request, LedgerResult::kGranted});
}

// Strictly in the queue's order: passing over a large request that doesn't fit
// yet would starve it while small ones keep coming.
void EngineLedger::GrantWaiting(MonoTime now, LedgerReplies* answers) {
  if (closed_ || paused_) return;
  queue_->AdvanceTime(now);
  for (const QueuedRequest* front = queue_->Front(); front != nullptr;
       front = queue_->Front()) {
    if (shedding_->DropsExpired() && front->start_by < now) {
      const RequestId late = front->request;
      queue_->Remove(late);
      waiters_.erase(late);
      answers->push_back({late, LedgerResult::kExpired, kMinRetryAfter});
      continue;
    }
    if (front->units > FreeUnits()) return;
    Grant(queue_->PopFront(), now, answers);
  }
}

void EngineLedger::EraseReservation(const RequestId& request, MonoTime now,
                                    bool measure) {
  auto it = reservations_.find(request);
  if (it == reservations_.end()) return;
  if (measure) {
    mean_hold_time_ +=
        (now - it->second.granted_at - mean_hold_time_) / kHoldSamples;
  }
  reserved_units_ -= it->second.units;
  reservations_.erase(it);
}

}  // namespace mimosa
