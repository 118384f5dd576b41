// Grants, the waiting queue and the lapse of reservations.
#include "decide/engine_book.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// Weight of the newest reservation in the mean hold: one in so many.
constexpr int kHoldSamples = 32;

}  // namespace

EngineBook::EngineBook(Units capacity, Duration expected_hold,
                       std::unique_ptr<RequestQueue> queue,
                       std::unique_ptr<SheddingPolicy> shedding)
    : capacity_(capacity),
      mean_hold_(expected_hold),
      queue_(std::move(queue)),
      shedding_(std::move(shedding)) {}

BookAnswers EngineBook::Close() {
  closed_ = true;
  BookAnswers answers;
  while (queue_->Front() != nullptr) {
    const RequestId request = queue_->Front()->request;
    queue_->Remove(request);
    waiters_.erase(request);
    answers.push_back({request, BookVerdict::kClosed});
  }
  return answers;
}

BookAnswers EngineBook::Open(MonoTime now) {
  closed_ = false;
  paused_ = false;
  BookAnswers answers;
  Drain(now, &answers);
  return answers;
}

BookAnswers EngineBook::SetCapacity(Units capacity, MonoTime now) {
  capacity_ = capacity;
  BookAnswers answers;
  Drain(now, &answers);
  return answers;
}

BookAnswers EngineBook::Reserve(const BookRequest& request, MonoTime now) {
  const QueuedRequest& queued = request.queued;
  if (Holds(queued.request)) {
    held_[queued.request].lapses = now + request.hold;
    return {{queued.request, BookVerdict::kGranted}};
  }
  if (Waits(queued.request)) return {};
  if (closed_) return {{queued.request, BookVerdict::kClosed}};
  if (queued.units > capacity_) {
    return {{queued.request, BookVerdict::kTooLarge}};
  }
  const WaitForecast forecast{
      now, ExpectedWait(queue_->UnitsAhead(queued), queued.units),
      queued.start_by};
  const bool at_once =
      !paused_ && queue_->size() == 0 && queued.units <= Free();
  if (!at_once && !request.may_wait) {
    return {{queued.request, BookVerdict::kFull, RetryAfter(forecast)}};
  }
  if (!at_once && shedding_->Sheds(forecast)) {
    return {{queued.request, BookVerdict::kShed, RetryAfter(forecast)}};
  }
  // What is granted at once goes through the queue too: it counts for fairness.
  waiters_[queued.request] = {request.member, request.hold};
  queue_->Push(queued);
  BookAnswers answers;
  Drain(now, &answers);
  return answers;
}

BookAnswers EngineBook::Release(const RequestId& request, MonoTime now) {
  if (queue_->Remove(request)) waiters_.erase(request);
  Drop(request, now, /*measure=*/true);
  BookAnswers answers;
  Drain(now, &answers);
  return answers;
}

void EngineBook::Renew(const BookRequest& request, MonoTime now) {
  const RequestId& id = request.queued.request;
  if (queue_->Remove(id)) waiters_.erase(id);
  auto [it, inserted] = held_.try_emplace(id);
  Reservation& reservation = it->second;
  if (inserted) {
    reservation.units = request.queued.units;
    reservation.since = now;
    used_ += reservation.units;
  }
  reservation.member = request.member;
  reservation.lapses = now + request.hold;
}

BookAnswers EngineBook::DropMember(const MemberId& member, MonoTime now) {
  std::vector<RequestId> gone;
  for (const auto& [id, reservation] : held_) {
    if (reservation.member == member) gone.push_back(id);
  }
  for (const RequestId& id : gone) Drop(id, now, /*measure=*/false);
  gone.clear();
  for (const auto& [id, waiter] : waiters_) {
    if (waiter.member == member) gone.push_back(id);
  }
  for (const RequestId& id : gone) {
    queue_->Remove(id);
    waiters_.erase(id);
  }
  BookAnswers answers;
  Drain(now, &answers);
  return answers;
}

BookAnswers EngineBook::Tick(MonoTime now) {
  std::vector<RequestId> lapsed;
  for (const auto& [id, reservation] : held_) {
    if (reservation.lapses < now) lapsed.push_back(id);
  }
  for (const RequestId& id : lapsed) Drop(id, now, /*measure=*/false);
  BookAnswers answers;
  if (shedding_->DropsExpired()) {
    for (const QueuedRequest& late : queue_->RemoveExpired(now)) {
      waiters_.erase(late.request);
      answers.push_back(
          {late.request, BookVerdict::kExpired, Summary().queue_wait});
    }
  }
  Drain(now, &answers);
  return answers;
}

BookSummary EngineBook::Summary() const {
  BookSummary summary;
  summary.capacity = capacity_;
  summary.free = std::max(Free(), Units(0));
  summary.waiting = static_cast<int64_t>(queue_->size());
  summary.running = static_cast<int64_t>(held_.size());
  QueuedRequest probe;
  probe.units = Units(1);
  summary.queue_wait = ExpectedWait(queue_->UnitsAhead(probe), probe.units);
  return summary;
}

// A full engine gives units back at capacity / mean hold.
Duration EngineBook::ExpectedWait(Units units_ahead, Units units) const {
  const Units missing = units_ahead + units - Free();
  if (missing <= Units(0) || capacity_ <= Units(0)) return Duration(0);
  const double holds = static_cast<double>(missing.count()) /
                       static_cast<double>(capacity_.count());
  return Duration(
      static_cast<int64_t>(holds * static_cast<double>(mean_hold_.count())));
}

void EngineBook::Grant(const QueuedRequest& queued, MonoTime now,
                       BookAnswers* answers) {
  const Waiter waiter = waiters_.at(queued.request);
  waiters_.erase(queued.request);
  held_[queued.request] = {waiter.member, queued.units, now, now + waiter.hold};
  used_ += queued.units;
  answers->push_back({queued.request, BookVerdict::kGranted});
}

// Strictly in the queue's order: passing over a large request that doesn't fit
// yet would starve it while small ones keep coming.
void EngineBook::Drain(MonoTime now, BookAnswers* answers) {
  if (closed_ || paused_) return;
  queue_->Advance(now);
  for (const QueuedRequest* front = queue_->Front(); front != nullptr;
       front = queue_->Front()) {
    if (shedding_->DropsExpired() && front->start_by < now) {
      const RequestId late = front->request;
      queue_->Remove(late);
      waiters_.erase(late);
      answers->push_back({late, BookVerdict::kExpired, kMinRetryAfter});
      continue;
    }
    if (front->units > Free()) return;
    Grant(queue_->PopFront(), now, answers);
  }
}

void EngineBook::Drop(const RequestId& request, MonoTime now, bool measure) {
  auto it = held_.find(request);
  if (it == held_.end()) return;
  if (measure) {
    mean_hold_ += (now - it->second.since - mean_hold_) / kHoldSamples;
  }
  used_ -= it->second.units;
  held_.erase(it);
}

}  // namespace mimosa
