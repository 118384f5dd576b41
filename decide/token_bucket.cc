// Minting without drift, and the headroom that bounds refunds.
#include "decide/token_bucket.h"

#include <algorithm>

#include "decide/term.h"

namespace mimosa {
namespace {

constexpr int64_t kMicros = 1000000;  // in one token

// Longer gaps mint as this one would: keeps rate * gap within 64 bits.
constexpr Duration kMaxGap = std::chrono::hours(1);

// Allotments for charges that wait right now live so long.
constexpr Duration kBriefLifetime = std::chrono::seconds(1);

// A daemon's stock beyond the charges that wait: at most one part in so many of
// what is there, so that the next daemon finds some.
constexpr int64_t kStockShare = 4;

constexpr Duration kIdleAccount = std::chrono::seconds(60);
constexpr size_t kManyAccounts = 64;

constexpr Duration kNeverRetry = std::chrono::hours(1);

}  // namespace

namespace detail {

void HeadroomHistory::Note(MonoTime now, int64_t micros) {
  const int64_t step = StepOf(now);
  // Steps without a note had the headroom that was noted last.
  const int64_t from = std::max(last_ + 1, step - kSteps + 1);
  for (int64_t s = from; s <= step; ++s) At(s) = current_;
  last_ = step;
  current_ = micros;
  At(step) = std::min(At(step), micros);
}

int64_t HeadroomHistory::LeastSince(MonoTime since) const {
  const int64_t from = StepOf(since);
  if (from < first_ || from <= last_ - kSteps) return 0;
  int64_t least = current_;
  for (int64_t s = from; s <= last_; ++s) {
    least = std::min(least, least_[s % kSteps]);
  }
  return std::max<int64_t>(least, 0);
}

void HeadroomHistory::Lower(MonoTime since, int64_t micros) {
  const int64_t from = std::max(StepOf(since), last_ - kSteps + 1);
  for (int64_t s = from; s <= last_; ++s) At(s) -= micros;
  current_ -= micros;
}

void HeadroomHistory::Reset(MonoTime now, int64_t micros) {
  last_ = StepOf(now);
  first_ = last_ + 1;
  At(last_) = 0;
  current_ = micros;
}

}  // namespace detail

HomeBucket::HomeBucket(BucketLimits limits, int64_t level_tokens,
                       MonoTime start)
    : limits_(limits), level_(level_tokens * kMicros), minted_at_(start) {
  headroom_.Reset(start, Headroom());
}

void HomeBucket::Carry(int64_t level_micros, int64_t outstanding,
                       MonoTime over) {
  level_ = std::max<int64_t>(level_micros, 0);
  carried_ = {outstanding, over};
  outstanding_ += outstanding;
  next_expiry_ = std::min(next_expiry_, over);
  headroom_.Reset(minted_at_, Headroom());
}

int64_t HomeBucket::Headroom() const {
  return (limits_.burst - outstanding_) * kMicros - level_;
}

void HomeBucket::Advance(BucketLimits limits, MonoTime now) {
  now = std::max(now, minted_at_);
  if (now >= next_expiry_) ExpireLots(now);
  // What was minted so far was minted at the old rate.
  Mint(now);
  if (!(limits == limits_)) {
    limits_ = limits;
    Mint(now);  // a lowered burst takes its part at once
    headroom_.Reset(now, Headroom());
  }
  headroom_.Note(now, Headroom());
}

void HomeBucket::Mint(MonoTime now) {
  // The bound is in real time, and this clock may be fast: a 500th of the rate
  // is the price of no slack.
  Duration gap = std::min(now - minted_at_, kMaxGap);
  gap -= gap / kClockDriftInverse + Duration(gap.count() > 0 ? 1 : 0);
  minted_at_ = now;
  const int64_t cap =
      std::max<int64_t>((limits_.burst - outstanding_) * kMicros, 0);
  level_ = std::min(level_ + limits_.rate * gap.count(), cap);
}

void HomeBucket::ExpireLots(MonoTime now) {
  next_expiry_ = kNever;
  if (carried_.tokens > 0) {
    if (now >= carried_.expires) {
      outstanding_ -= carried_.tokens;
      carried_.tokens = 0;
    } else {
      next_expiry_ = carried_.expires;
    }
  }
  for (auto it = lots_.begin(); it != lots_.end();) {
    if (now >= it->second.expires) {
      outstanding_ -= it->second.tokens;
      it = lots_.erase(it);
    } else {
      next_expiry_ = std::min(next_expiry_, it->second.expires);
      ++it;
    }
  }
}

wire::AllotmentReply::Item HomeBucket::Handle(
    const MemberId& member, const wire::AllotmentRequest::Item& item,
    Duration max_lifetime, MonoTime now) {
  Account& account = accounts_[member];
  account.last_used = now;
  // A repeated request gets the first answer; an older one, nothing.
  if (item.serial() == account.serial) return account.reply;
  wire::AllotmentReply::Item reply;
  reply.set_customer(item.customer());
  reply.set_serial(item.serial());
  if (item.serial() < account.serial) return reply;
  reply.set_stamp_ms(ToMillis(now.time_since_epoch()));

  for (const auto& report : item.reports()) TakeReport(member, report);
  for (const auto& refund : item.refunds()) {
    const MonoTime stamp{std::chrono::milliseconds(refund.stamp_ms())};
    Refund(refund.tokens(), std::min(stamp, now), now);
  }
  if (item.want() > 0) {
    const bool brief = item.want() <= item.waiting();
    const Duration lifetime =
        brief ? std::min(kBriefLifetime, max_lifetime) : max_lifetime;
    // Whole milliseconds travel; what is cut off makes it shorter, and the
    // margin is for a daemon whose clock is slower than this one.
    reply.set_lifetime_ms(ToMillis(lifetime - DriftMargin(lifetime)));
    reply.set_granted(Grant(member, item, lifetime, now));
    if (reply.granted() == 0) {
      reply.set_retry_after_ms(ToMillis(WaitFor(item.least(), now)) + 1);
    }
  }
  headroom_.Note(now, Headroom());
  account.serial = item.serial();
  account.reply = reply;
  if (accounts_.size() > kManyAccounts) ForgetIdleAccounts(now);
  return reply;
}

int64_t HomeBucket::Grant(const MemberId& member,
                          const wire::AllotmentRequest::Item& item,
                          Duration lifetime, MonoTime now) {
  const int64_t there = level_ / kMicros;
  if (there < std::max<int64_t>(item.least(), 1)) return 0;
  // Charges that wait are served as far as possible, then comes a stock.
  const int64_t waiting = std::min(item.waiting(), item.want());
  const int64_t stock = item.want() - waiting;
  const int64_t served = std::min(there, waiting);
  const int64_t granted =
      served + std::min(stock, (there - served) / kStockShare);
  if (granted == 0) return 0;
  level_ -= granted * kMicros;
  outstanding_ += granted;
  const MonoTime expires = now + lifetime;
  lots_[{member, item.serial()}] = {granted, expires};
  next_expiry_ = std::min(next_expiry_, expires);
  return granted;
}

void HomeBucket::TakeReport(const MemberId& member,
                            const wire::AllotmentRequest::Report& report) {
  // An allotment that is over here was counted as spent already.
  auto it = lots_.find({member, report.serial()});
  if (it == lots_.end()) return;
  const auto take = [&](int64_t tokens) {
    const int64_t taken = std::clamp<int64_t>(tokens, 0, it->second.tokens);
    it->second.tokens -= taken;
    outstanding_ -= taken;
    return taken;
  };
  take(report.spent());
  level_ += take(report.returned()) * kMicros;
  if (it->second.tokens == 0) lots_.erase(it);
}

bool HomeBucket::Spend(int64_t tokens) {
  if (level_ < tokens * kMicros) return false;
  level_ -= tokens * kMicros;
  return true;
}

void HomeBucket::Refund(int64_t tokens, MonoTime charged_at, MonoTime now) {
  headroom_.Note(now, Headroom());
  const int64_t credit =
      std::min(tokens * kMicros, headroom_.LeastSince(charged_at));
  if (credit <= 0) return;
  level_ += credit;
  headroom_.Lower(charged_at, credit);
}

Duration HomeBucket::WaitFor(int64_t tokens, MonoTime now) const {
  if (tokens > limits_.burst || limits_.rate <= 0) return kNeverRetry;
  const int64_t lacking = tokens * kMicros - level_;
  Duration wait(std::max<int64_t>(lacking, 0) / limits_.rate);
  // The level can't get there while allotments take up the burst.
  if (tokens > limits_.burst - outstanding_ && next_expiry_ != kNever) {
    wait = std::max(wait, next_expiry_ - now);
  }
  return std::min(wait, kNeverRetry);
}

void HomeBucket::ForgetIdleAccounts(MonoTime now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    // Its allotments stay outstanding until they are over; a late repetition
    // of its last request is then a new request, paid for again.
    it = now - it->second.last_used > kIdleAccount ? accounts_.erase(it)
                                                   : std::next(it);
  }
}

}  // namespace mimosa
