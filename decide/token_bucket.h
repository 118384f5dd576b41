// One customer's bucket at its home: level, allotments, refunds.
//
// See decide/rate_limiter.h for the model and the bound. Time only moves
// forward: all calls carry a `now` that is not before the last one.
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
  int64_t rate = 0;   // tokens a second
  int64_t burst = 0;  // tokens

  friend bool operator==(const BucketLimits& a, const BucketLimits& b) {
    return a.rate == b.rate && a.burst == b.burst;
  }
};

namespace detail {

// The least headroom (burst - level - outstanding) of a bucket over recent
// time, in steps: how much a refund of an earlier charge may be credited.
class HeadroomHistory {
 public:
  // The headroom is `micros` from now on; it was the last noted one until now.
  void Record(MonoTime now, int64_t micros);
  // The least since `since`; 0 if that is too long ago to tell.
  int64_t MinSince(MonoTime since) const;
  // A credit raised the path of the bucket from `since` on.
  void ReduceSince(MonoTime since, int64_t micros);
  // Nothing from before `now` is known.
  void Reset(MonoTime now, int64_t micros);

 private:
  static constexpr int64_t kSteps = 64;
  static constexpr Duration kStep = std::chrono::seconds(4);

  static int64_t StepOf(MonoTime t) { return t.time_since_epoch() / kStep; }
  int64_t& MinOfStep(int64_t step) { return min_by_step_[step % kSteps]; }

  std::array<int64_t, kSteps>
      min_by_step_{};             // of steps (last_ - kSteps, last_]
  int64_t first_known_step_ = 0;  // nothing is known before this step
  int64_t last_step_ = 0;
  int64_t current_headroom_ = 0;  // the headroom that was noted last
};

}  // namespace detail

// Invariant: level_ + outstanding_ <= burst, in millionths of a token, except
// that allotments given before the burst was lowered may exceed it.
class TokenBucket {
 public:
  // Minting starts at `start`.
  TokenBucket(BucketLimits limits, int64_t level_tokens, MonoTime start);

  // Takes over tokens that a former home gave out; over after `lifetime`.
  void ImportState(int64_t level_micros, int64_t outstanding, MonoTime over);

  // Brings the bucket to `now` and `limits`.
  void Advance(BucketLimits limits, MonoTime now);
  void AdvanceWithSameLimits(MonoTime now) { Advance(limits_, now); }

  // Each after Advance() to the same time.
  wire::AllotmentReply::Item HandleRequest(
      const MemberId& member, const wire::AllotmentRequest::Item& item,
      Duration max_lifetime, MonoTime now);
  // Spends directly, for a bucket without daemons. False: not enough.
  bool TrySpend(int64_t tokens);
  // Credits a charge made at `charged_at`.
  void Refund(int64_t tokens, MonoTime charged_at, MonoTime now);
  // Until `tokens` can be there, if nobody else takes any.
  Duration TimeUntilAvailable(int64_t tokens, MonoTime now) const;

  const BucketLimits& limits() const { return limits_; }
  int64_t level_micros() const { return level_micros_; }
  int64_t outstanding() const { return outstanding_; }

 private:
  struct Allotment {
    int64_t unreported_tokens;  // not reported spent or returned
    MonoTime expires_at;
  };
  struct DaemonState {
    uint64_t last_serial = 0;  // of the last answered item
    wire::AllotmentReply::Item last_reply;
    MonoTime last_used;
  };
  using AllotmentKey =
      std::pair<MemberId, uint64_t>;  // member and granting serial

  void ExpireAllotments(MonoTime now);
  void Mint(MonoTime now);
  void ApplyReport(const MemberId& member,
                   const wire::AllotmentRequest::Report& report);
  int64_t GrantAllotment(const MemberId& member,
                         const wire::AllotmentRequest::Item& item,
                         Duration lifetime, MonoTime now);
  void ForgetIdleDaemons(MonoTime now);
  int64_t Headroom() const;

  BucketLimits limits_;
  int64_t level_micros_ = 0;  // micros; >= 0
  int64_t outstanding_ = 0;   // tokens; sum of lots_ and carried_
  MonoTime minted_at_;
  std::map<AllotmentKey, Allotment> allotments_;
  Allotment imported_allotment_{0, MonoTime::min()};
  MonoTime next_expiry_ = kNever;  // not after the first expiry of all lots
  std::map<MemberId, DaemonState> daemons_;
  detail::HeadroomHistory headroom_history_;
};

}  // namespace mimosa

#endif  // DECIDE_TOKEN_BUCKET_H_
