// The token bucket of one customer: level, allotments, refunds.
//
// See decide/rate_limiter.h for the model and the bound. Time never goes back:
// the `now` of each call is not before that of the previous call.
#ifndef DECIDE_TOKEN_BUCKET_H_
#define DECIDE_TOKEN_BUCKET_H_

#include <array>
#include <cstdint>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "wire/fleet.pb.h"

namespace mimosa {

struct BucketLimits {
  int64_t rate = 0;   // Tokens per second.
  int64_t burst = 0;  // Tokens.

  friend bool operator==(const BucketLimits& a, const BucketLimits& b) {
    return a.rate == b.rate && a.burst == b.burst;
  }
};

namespace detail {

// Minimum headroom (burst - level - outstanding) of a bucket by steps of recent
// time. Bounds how much of a refund may be credited for an earlier charge.
class HeadroomHistory {
 public:
  // Records that the headroom is `micros` from `now` on. Until then it was the
  // last recorded value.
  void Record(MonoTime now, int64_t micros);
  // Returns the minimum headroom from `since` on; 0 if that is too long ago to
  // be known.
  int64_t MinSince(MonoTime since) const;
  // Lowers the history from `since` on by a credit of `micros`, which counts as
  // having been in the bucket since then.
  void ReduceSince(MonoTime since, int64_t micros);
  // Forgets the history before `now`.
  void Reset(MonoTime now, int64_t micros);

 private:
  static constexpr int64_t kSteps = 64;
  static constexpr Duration kStep = std::chrono::seconds(4);

  static int64_t StepOf(MonoTime t) { return t.time_since_epoch() / kStep; }
  int64_t& MinOfStep(int64_t step) { return min_by_step_[step % kSteps]; }

  // Minimum headroom of each step from last_step_ - kSteps + 1 to last_step_,
  // stored at index step % kSteps.
  std::array<int64_t, kSteps> min_by_step_{};
  int64_t first_known_step_ = 0;  // Nothing is known before this step.
  int64_t last_step_ = 0;
  int64_t current_headroom_ = 0;  // The last recorded headroom.
};

}  // namespace detail

// Invariant: level + outstanding tokens <= burst, except that allotments
// granted before the burst was lowered may exceed it.
class TokenBucket {
 public:
  // The bucket is refilled from `start` on.
  TokenBucket(BucketLimits limits, int64_t level_tokens, MonoTime start);

  // Takes over the level and the allotments of a former owner's bucket. The
  // former owner's allotments have all expired by `expiry`.
  void ImportState(int64_t level_micros, int64_t outstanding, MonoTime expiry);

  // Updates the bucket to time `now` and to `limits`.
  void Advance(BucketLimits limits, MonoTime now);
  void AdvanceWithSameLimits(MonoTime now) { Advance(limits_, now); }

  // Answers one item of an allotment request. This function and those below
  // need a preceding call of Advance() with the same time.
  wire::AllotmentReply::Item HandleRequest(
      const MemberId& member, const wire::AllotmentRequest::Item& item,
      Duration max_lifetime, MonoTime now);
  // Spends tokens directly, for a bucket without daemons. Returns false if
  // there are too few.
  bool TrySpend(int64_t tokens);
  // Credits a charge made at `charged_at`.
  void Refund(int64_t tokens, MonoTime charged_at, MonoTime now);
  // Time until `tokens` can be available if nobody else takes any.
  Duration TimeUntilAvailable(int64_t tokens, MonoTime now) const;

  const BucketLimits& limits() const { return limits_; }
  int64_t level_micros() const { return level_micros_; }
  int64_t outstanding() const { return outstanding_; }

 private:
  struct Allotment {
    int64_t unreported_tokens;  // Not yet reported as spent or returned.
    MonoTime expires_at;
  };
  // The last exchange with a daemon.
  struct DaemonState {
    uint64_t last_serial = 0;  // Of the last answered item.
    wire::AllotmentReply::Item last_reply;
    MonoTime last_used;
  };
  // Member, and serial of the granting item.
  using AllotmentKey = std::pair<MemberId, uint64_t>;

  void ExpireAllotments(MonoTime now);
  // Adds the tokens that the rate yields until `now`, and limits the level to
  // burst - outstanding.
  void Refill(MonoTime now);
  void ApplyReport(const MemberId& member,
                   const wire::AllotmentRequest::Report& report);
  int64_t GrantAllotment(const MemberId& member,
                         const wire::AllotmentRequest::Item& item,
                         Duration lifetime, MonoTime now);
  void ForgetIdleDaemons(MonoTime now);
  int64_t Headroom() const;

  BucketLimits limits_;
  int64_t level_micros_ = 0;  // Millionths of a token; never negative.
  // Tokens; the sum of allotments_ and imported_allotment_.
  int64_t outstanding_ = 0;
  MonoTime refilled_at_;
  std::map<AllotmentKey, Allotment> allotments_;
  Allotment imported_allotment_{0, MonoTime::min()};
  // Not after the first expiry of any allotment.
  MonoTime next_expiry_ = kNever;
  std::map<MemberId, DaemonState> daemons_;
  detail::HeadroomHistory headroom_history_;
};

}  // namespace mimosa

#endif  // DECIDE_TOKEN_BUCKET_H_
