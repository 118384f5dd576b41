// Rate limits per customer (rate and burst), enforced over all daemons
// together.
//
// Model. Each customer's token bucket is kept by one member, its owner. The
// owner grants allotments to daemons: tokens that are taken out of the bucket's
// level and have a limited lifetime. A daemon admits charges from its
// allotments without asking the owner. At the owner,
//     level + tokens in allotments that may still be spent <= burst
// holds at all times, and the level grows by the rate. An allotment expires
// without a message: at the daemon after a lifetime that is counted from before
// the request was sent and never extends beyond the owner's member lease; at
// the owner a little later. It follows that
// - a lost message or a crash of either process loses tokens and never creates
//   any;
// - when an owner's member lease has ended, all allotments that it granted have
//   expired, and another owner may start at level zero without any state of the
//   former one.
//
// Bound. For each window [a, b] of real time and all daemons together, with
// each charge counted in full at its admission and no refunds:
//     admitted <= burst + rate * (b - a).
// The owner's clock may run fast by 1 / kClockDriftInverse, so the owner
// refills the bucket at a rate that is lower by this share.
//
// With refunds the same bound holds for net tokens: each charge counted at its
// admission, minus all later refunds of it. A refund is credited as if its
// tokens had never been charged: at most the bucket's minimum headroom since
// the admission, and nothing across a change of owner. Gross charges of one
// window can exceed the bound by the refunds credited in it, never by more. A
// rate or burst that the catalogue changes takes effect at the owner's next
// update of the bucket; the bound then holds separately before and after the
// change.
#ifndef DECIDE_RATE_LIMITER_H_
#define DECIDE_RATE_LIMITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/token_bucket.h"
#include "wire/fleet.pb.h"

namespace mimosa {

using BucketLimitsLookup =
    std::function<std::optional<BucketLimits>(const CustomerId&)>;

// Keeps the buckets of all customers in the slots that this member owns, and
// grants allotments from them.
class BucketOwner {
 public:
  BucketOwner(int slot_count, Duration max_lifetime)
      : slot_count_(slot_count), max_lifetime_(max_lifetime) {}

  // Starts ownership of `slot`. `initial_state` is the slot table's value for
  // it: kInitiallyFull for a slot that never had an owner; else the buckets
  // start at zero, unless a hand-over with this id was received.
  void AcquireSlot(int slot, const std::string& initial_state, MonoTime now);
  void DropSlot(int slot);
  bool OwnsSlot(int slot) const { return owned_slots_.count(slot) > 0; }

  // Stops granting from `slots` and returns the state of their buckets.
  wire::HandOver ExportSlots(const std::string& id,
                             const std::vector<int>& slots, MonoTime now);
  // Grants from `slot` again after a hand-over that did not take place.
  void CancelHandOver(int slot);
  // Keeps a hand-over until the slot table names its id.
  void ReceiveHandOver(const wire::HandOver& hand_over, MonoTime now);

  // Answers one item of a request. `lease_deadline` is the time until which
  // this member's lease holds.
  wire::AllotmentReply::Item HandleRequest(
      const MemberId& member, const wire::AllotmentRequest::Item& item,
      const BucketLimits& limits, MonoTime lease_deadline, MonoTime now);

  size_t bucket_count() const;

 private:
  struct OwnedSlot {
    MonoTime ready_at;          // Grants nothing before this time.
    bool starts_full = false;   // New buckets start at their burst.
    bool handing_over = false;  // Grants nothing while set.
    std::map<CustomerId, TokenBucket> buckets;
  };
  struct ReceivedHandOver {
    wire::HandOver hand_over;
    MonoTime received_at;
  };

  TokenBucket& FindOrCreateBucket(OwnedSlot* owned, const CustomerId& customer,
                                  const BucketLimits& limits);

  const int slot_count_;
  const Duration max_lifetime_;
  std::map<int, OwnedSlot> owned_slots_;
  // By id, until used.
  std::map<std::string, ReceivedHandOver> received_hand_overs_;
};

// The decision on one charge.
struct ChargeDecision {
  uint64_t ticket = 0;
  bool granted = false;
  Duration retry_after{};  // Meaningful if not granted.
};

// A daemon's side of the rate limits: decides charges. After each call, and at
// NextWake(), the caller runs Step() and carries out the actions that it
// returns.
class RateLimiter {
 public:
  struct OwnerRequest {
    MemberId owner;
    wire::AllotmentRequest::Item item;
  };
  struct Actions {
    std::vector<ChargeDecision> decisions;
    std::vector<OwnerRequest> requests;
  };

  virtual ~RateLimiter() = default;

  // Requests `tokens` for `customer`. Returns a ticket; the decision comes from
  // Step(). The charge waits for tokens until `wait_until`. If `wait_until` is
  // not in the future, the charge is decided as soon as the owner has replied.
  virtual uint64_t RequestCharge(const CustomerId& customer, Tokens tokens,
                                 MonoTime wait_until, MonoTime now) = 0;
  // Cancels a charge. Does nothing if it was decided already.
  virtual void CancelCharge(const CustomerId& customer, uint64_t ticket) = 0;
  // Returns `tokens` of a charge that was made at `charged_at`.
  virtual void Refund(const CustomerId& customer, Tokens tokens,
                      MonoTime charged_at, MonoTime now) = 0;

  // Report the owner's reply to an item, or that none came.
  virtual void OnReply(const wire::AllotmentReply::Item& reply,
                       MonoTime now) = 0;
  virtual void OnNoReply(const CustomerId& customer, uint64_t serial,
                         MonoTime now) = 0;

  virtual Actions Step(MonoTime now) = 0;
  // The latest time at which Step() must be called.
  virtual MonoTime NextWake() const = 0;
};

// Requests allotments from the owner of the customer's bucket.
class AllotmentRateLimiter : public RateLimiter {
 public:
  using OwnerLookup = std::function<std::optional<MemberId>(const CustomerId&)>;

  AllotmentRateLimiter(BucketLimitsLookup find_limits, OwnerLookup find_owner)
      : find_limits_(std::move(find_limits)),
        find_owner_(std::move(find_owner)) {}

  uint64_t RequestCharge(const CustomerId& customer, Tokens tokens,
                         MonoTime wait_until, MonoTime now) override;
  void CancelCharge(const CustomerId& customer, uint64_t ticket) override;
  void Refund(const CustomerId& customer, Tokens tokens, MonoTime charged_at,
              MonoTime now) override;
  void OnReply(const wire::AllotmentReply::Item& reply, MonoTime now) override;
  void OnNoReply(const CustomerId& customer, uint64_t serial,
                 MonoTime now) override;
  Actions Step(MonoTime now) override;
  MonoTime NextWake() const override;

  // Test only: allotments never expire at this daemon.
  void IgnoreExpiry() { ignore_expiry_ = true; }

 private:
  struct Allotment {
    uint64_t serial;
    int64_t unspent_tokens;
    Duration lifetime;
    MonoTime expires_at;
  };
  struct WaitingCharge {
    uint64_t ticket;
    int64_t tokens;
    MonoTime wait_until;
    bool decide_on_reply;    // The owner's first reply decides this charge.
    bool requested = false;  // The pending request covers this charge.
  };
  struct PendingRequest {
    wire::AllotmentRequest::Item item;
    MonoTime first_sent_at;
    MonoTime resend_at;  // kNever while a reply is awaited.
    Duration backoff{};
  };
  struct OwnerTimestamp {
    MonoTime received_at;  // By this daemon's clock.
    int64_t owner_ms;      // By the owner's clock.
  };
  struct CustomerState {
    MemberId owner;  // The owner that the members below refer to.
    uint64_t last_serial = 0;
    std::optional<PendingRequest> pending_request;
    std::deque<Allotment> allotments;
    std::deque<WaitingCharge> waiting_charges;  // First come, first served.
    // Tokens spent and tokens returned, by the allotment's serial.
    std::map<uint64_t, std::pair<int64_t, int64_t>> unsent_reports;
    // Refunded tokens, by the owner's timestamp.
    std::map<int64_t, int64_t> unsent_refunds;
    // From the current owner, oldest first.
    std::deque<OwnerTimestamp> owner_timestamps;
    MonoTime refunds_due_at = kNever;
    MonoTime next_request_at = MonoTime::min();  // Set by the owner's replies.
    double demand_per_second = 0;                // Decayed.
    MonoTime demand_updated_at = MonoTime::min();
    MonoTime wake_at = kNever;
  };

  // These functions do the parts of a step for one customer.
  void ProcessCustomer(const CustomerId& customer, CustomerState* state,
                       MonoTime now, Actions* actions);
  void UpdateOwner(const CustomerId& customer, CustomerState* state);
  void RemoveExpiredAllotments(CustomerState* state, MonoTime now);
  void GrantWaitingCharges(CustomerState* state, MonoTime now,
                           Actions* actions);
  void RefuseTimedOutCharges(CustomerState* state, MonoTime now,
                             Actions* actions);
  void RefuseWaitingCharges(CustomerState* state, bool only_decide_on_reply,
                            Duration retry_after, Actions* actions);
  void SendRequestIfNeeded(const CustomerId& customer, CustomerState* state,
                           const BucketLimits& limits, MonoTime now,
                           Actions* actions);
  void ScheduleWake(const CustomerId& customer, CustomerState* state,
                    MonoTime now);

  static int64_t UnspentTokens(const CustomerState& state);
  void SpendTokens(CustomerState* state, int64_t tokens);
  int64_t PrefetchTarget(const CustomerState& state, MonoTime now) const;
  void RecordDemand(CustomerState* state, int64_t tokens, MonoTime now);

  const BucketLimitsLookup find_limits_;
  const OwnerLookup find_owner_;
  bool ignore_expiry_ = false;
  uint64_t next_ticket_ = 1;
  std::map<CustomerId, CustomerState> customers_;
  // Customers to process in the next step.
  std::set<CustomerId> dirty_customers_;
  std::set<std::pair<MonoTime, CustomerId>> wake_queue_;
  // Decisions to return from the next step.
  std::vector<ChargeDecision> unreported_decisions_;
};

// Gives each daemon an even share of rate and burst. This is the naive policy,
// kept for comparison.
class StaticRateLimiter : public RateLimiter {
 public:
  StaticRateLimiter(BucketLimitsLookup find_limits,
                    std::function<size_t()> daemon_count)
      : find_limits_(std::move(find_limits)),
        daemon_count_(std::move(daemon_count)) {}

  uint64_t RequestCharge(const CustomerId& customer, Tokens tokens,
                         MonoTime wait_until, MonoTime now) override;
  void CancelCharge(const CustomerId& customer, uint64_t ticket) override;
  void Refund(const CustomerId& customer, Tokens tokens, MonoTime charged_at,
              MonoTime now) override;
  void OnReply(const wire::AllotmentReply::Item&, MonoTime) override {}
  void OnNoReply(const CustomerId&, uint64_t, MonoTime) override {}
  Actions Step(MonoTime now) override;
  MonoTime NextWake() const override;

 private:
  struct WaitingCharge {
    uint64_t ticket;
    int64_t tokens;
    MonoTime wait_until;
  };
  struct CustomerShare {
    TokenBucket bucket;
    std::deque<WaitingCharge> waiting_charges;
    MonoTime wake_at = kNever;
  };

  std::optional<BucketLimits> ShareLimits(const CustomerId& customer) const;
  void ProcessCustomer(const CustomerId& customer, CustomerShare* share,
                       MonoTime now, Actions* actions);

  const BucketLimitsLookup find_limits_;
  const std::function<size_t()> daemon_count_;
  uint64_t next_ticket_ = 1;
  std::map<CustomerId, CustomerShare> shares_;
};

}  // namespace mimosa

#endif  // DECIDE_RATE_LIMITER_H_
