// Implements the token bucket. Refills add tokens without rounding errors, and
// the headroom bounds refunds.
#include "decide/token_bucket.h"

#include <algorithm>

#include "decide/member_lease.h"

namespace mimosa {
namespace {

constexpr int64_t kMicrosPerToken = 1000000;

// Longest time for which one refill adds tokens; a longer gap adds no more than
// this one. The limit keeps rate * gap within 64 bits.
constexpr Duration kMaxRefillGap = std::chrono::hours(1);

// Lifetime of allotments that only cover charges that are waiting now.
constexpr Duration kShortLifetime = std::chrono::seconds(1);

// Tokens prefetched by a daemon beyond its waiting charges: at most one part in
// this many of what is available, so that the next daemon finds some.
constexpr int64_t kPrefetchDivisor = 4;

constexpr Duration kIdleDaemonTimeout = std::chrono::seconds(60);
constexpr size_t kIdleSweepThreshold = 64;

constexpr Duration kNeverRetry = std::chrono::hours(1);

}  // namespace

namespace detail {

void HeadroomHistory::Record(MonoTime now, int64_t micros) {
  const int64_t step = StepOf(now);
  // Steps without a record had the last recorded headroom.
  const int64_t from = std::max(last_step_ + 1, step - kSteps + 1);
  for (int64_t s = from; s <= step; ++s) MinOfStep(s) = current_headroom_;
  last_step_ = step;
  current_headroom_ = micros;
  MinOfStep(step) = std::min(MinOfStep(step), micros);
}

int64_t HeadroomHistory::MinSince(MonoTime since) const {
  const int64_t from = StepOf(since);
  if (from < first_known_step_ || from <= last_step_ - kSteps) return 0;
  int64_t minimum = current_headroom_;
  for (int64_t s = from; s <= last_step_; ++s) {
    minimum = std::min(minimum, min_by_step_[s % kSteps]);
  }
  return std::max<int64_t>(minimum, 0);
}

void HeadroomHistory::ReduceSince(MonoTime since, int64_t micros) {
  const int64_t from = std::max(StepOf(since), last_step_ - kSteps + 1);
  for (int64_t s = from; s <= last_step_; ++s) MinOfStep(s) -= micros;
  current_headroom_ -= micros;
}

void HeadroomHistory::Reset(MonoTime now, int64_t micros) {
  last_step_ = StepOf(now);
  first_known_step_ = last_step_ + 1;
  MinOfStep(last_step_) = 0;
  current_headroom_ = micros;
}

}  // namespace detail

TokenBucket::TokenBucket(BucketLimits limits, int64_t level_tokens,
                         MonoTime start)
    : limits_(limits),
      level_micros_(level_tokens * kMicrosPerToken),
      refilled_at_(start) {
  headroom_history_.Reset(start, Headroom());
}

void TokenBucket::ImportState(int64_t level_micros, int64_t outstanding,
                              MonoTime expiry) {
  level_micros_ = std::max<int64_t>(level_micros, 0);
  imported_allotment_ = {outstanding, expiry};
  outstanding_ += outstanding;
  next_expiry_ = std::min(next_expiry_, expiry);
  headroom_history_.Reset(refilled_at_, Headroom());
}

int64_t TokenBucket::Headroom() const {
  return (limits_.burst - outstanding_) * kMicrosPerToken - level_micros_;
}

void TokenBucket::Advance(BucketLimits limits, MonoTime now) {
  now = std::max(now, refilled_at_);
  if (now >= next_expiry_) ExpireAllotments(now);
  // The bucket is refilled at the old rate up to now.
  Refill(now);
  if (!(limits == limits_)) {
    limits_ = limits;
    Refill(now);  // A lowered burst cuts the level at once.
    headroom_history_.Reset(now, Headroom());
  }
  headroom_history_.Record(now, Headroom());
}

void TokenBucket::Refill(MonoTime now) {
  // The bound is in real time, and this clock may run fast. Refilling
  // at a rate that is lower by 1 / 500 avoids any slack in the bound.
  Duration gap = std::min(now - refilled_at_, kMaxRefillGap);
  gap -= gap / kClockDriftInverse + Duration(gap.count() > 0 ? 1 : 0);
  refilled_at_ = now;
  const int64_t cap =
      std::max<int64_t>((limits_.burst - outstanding_) * kMicrosPerToken, 0);
  level_micros_ = std::min(level_micros_ + limits_.rate * gap.count(), cap);
}

void TokenBucket::ExpireAllotments(MonoTime now) {
  next_expiry_ = kNever;
  if (imported_allotment_.unreported_tokens > 0) {
    if (now >= imported_allotment_.expires_at) {
      outstanding_ -= imported_allotment_.unreported_tokens;
      imported_allotment_.unreported_tokens = 0;
    } else {
      next_expiry_ = imported_allotment_.expires_at;
    }
  }
  for (auto it = allotments_.begin(); it != allotments_.end();) {
    if (now >= it->second.expires_at) {
      outstanding_ -= it->second.unreported_tokens;
      it = allotments_.erase(it);
    } else {
      next_expiry_ = std::min(next_expiry_, it->second.expires_at);
      ++it;
    }
  }
}

wire::AllotmentReply::Item TokenBucket::HandleRequest(
    const MemberId& member, const wire::AllotmentRequest::Item& item,
    Duration max_lifetime, MonoTime now) {
  DaemonState& daemon = daemons_[member];
  daemon.last_used = now;
  // A repeated request gets the first reply again; an older one gets nothing.
  if (item.serial() == daemon.last_serial) return daemon.last_reply;
  wire::AllotmentReply::Item reply;
  reply.set_customer(item.customer());
  reply.set_serial(item.serial());
  if (item.serial() < daemon.last_serial) return reply;
  reply.set_stamp_ms(ToMillis(now.time_since_epoch()));

  for (const auto& report : item.reports()) ApplyReport(member, report);
  for (const auto& refund : item.refunds()) {
    const MonoTime timestamp{FromMillis(refund.stamp_ms())};
    Refund(refund.tokens(), std::min(timestamp, now), now);
  }
  if (item.want() > 0) {
    const bool waiting_only = item.want() <= item.waiting();
    const Duration lifetime =
        waiting_only ? std::min(kShortLifetime, max_lifetime) : max_lifetime;
    // The reply carries whole milliseconds; rounding down shortens the
    // lifetime. The margin is for a daemon whose clock is slower than this one.
    reply.set_lifetime_ms(ToMillis(lifetime - DriftMargin(lifetime)));
    reply.set_granted(GrantAllotment(member, item, lifetime, now));
    if (reply.granted() == 0) {
      reply.set_retry_after_ms(ToMillis(TimeUntilAvailable(item.least(), now)) +
                               1);
    }
  }
  headroom_history_.Record(now, Headroom());
  daemon.last_serial = item.serial();
  daemon.last_reply = reply;
  if (daemons_.size() > kIdleSweepThreshold) ForgetIdleDaemons(now);
  return reply;
}

int64_t TokenBucket::GrantAllotment(const MemberId& member,
                                    const wire::AllotmentRequest::Item& item,
                                    Duration lifetime, MonoTime now) {
  const int64_t available = level_micros_ / kMicrosPerToken;
  if (available < std::max<int64_t>(item.least(), 1)) return 0;
  // Waiting charges are served as far as possible; only then are tokens
  // prefetched.
  const int64_t waiting = std::min(item.waiting(), item.want());
  const int64_t prefetch = item.want() - waiting;
  const int64_t served = std::min(available, waiting);
  const int64_t granted =
      served + std::min(prefetch, (available - served) / kPrefetchDivisor);
  if (granted == 0) return 0;
  level_micros_ -= granted * kMicrosPerToken;
  outstanding_ += granted;
  const MonoTime expires = now + lifetime;
  allotments_[{member, item.serial()}] = {granted, expires};
  next_expiry_ = std::min(next_expiry_, expires);
  return granted;
}

void TokenBucket::ApplyReport(const MemberId& member,
                              const wire::AllotmentRequest::Report& report) {
  // An allotment that has expired here was counted as spent already.
  auto it = allotments_.find({member, report.serial()});
  if (it == allotments_.end()) return;
  const auto remove = [&](int64_t tokens) {
    const int64_t removed =
        std::clamp<int64_t>(tokens, 0, it->second.unreported_tokens);
    it->second.unreported_tokens -= removed;
    outstanding_ -= removed;
    return removed;
  };
  remove(report.spent());
  level_micros_ += remove(report.returned()) * kMicrosPerToken;
  if (it->second.unreported_tokens == 0) allotments_.erase(it);
}

bool TokenBucket::TrySpend(int64_t tokens) {
  if (level_micros_ < tokens * kMicrosPerToken) return false;
  level_micros_ -= tokens * kMicrosPerToken;
  return true;
}

void TokenBucket::Refund(int64_t tokens, MonoTime charged_at, MonoTime now) {
  headroom_history_.Record(now, Headroom());
  const int64_t credit = std::min(tokens * kMicrosPerToken,
                                  headroom_history_.MinSince(charged_at));
  if (credit <= 0) return;
  level_micros_ += credit;
  headroom_history_.ReduceSince(charged_at, credit);
}

Duration TokenBucket::TimeUntilAvailable(int64_t tokens, MonoTime now) const {
  if (tokens > limits_.burst || limits_.rate <= 0) return kNeverRetry;
  const int64_t missing = tokens * kMicrosPerToken - level_micros_;
  Duration wait(std::max<int64_t>(missing, 0) / limits_.rate);
  // The level can't reach `tokens` while allotments take up the burst.
  if (tokens > limits_.burst - outstanding_ && next_expiry_ != kNever) {
    wait = std::max(wait, next_expiry_ - now);
  }
  return std::min(wait, kNeverRetry);
}

void TokenBucket::ForgetIdleDaemons(MonoTime now) {
  for (auto it = daemons_.begin(); it != daemons_.end();) {
    // The daemon's allotments stay outstanding until they expire. A late
    // repetition of its last request then counts as a new request and is
    // charged again.
    it = now - it->second.last_used > kIdleDaemonTimeout ? daemons_.erase(it)
                                                         : std::next(it);
  }
}

}  // namespace mimosa
