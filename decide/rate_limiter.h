// Rate and burst of each customer, summed over all daemons.
//
// Model. A customer's bucket is kept by one member, its home. The home takes
// tokens out of the level and hands them to daemons as allotments; a daemon
// admits charges out of its allotments. At the home,
//     level + tokens in allotments that may still be spent <= burst
// at all times, and the level grows by the rate. An allotment ends by itself:
// at the daemon after a lifetime that is counted from before it was asked for
// and never goes beyond the home's term; at the home a little later. So
//  - whatever is lost between the two (messages, either process) loses tokens;
//  - when a home's term has ended, all allotments that it gave are over, and
//    another home may start at level zero knowing nothing of them.
//
// Bound, for each window [a, b] and all daemons together, by real time, with
// each charge counted whole at its admission and no refunds:
//     admitted <= burst + rate * (b - a).
// The home's clock may be fast by 1 / kClockDriftInverse, so it mints that much
// less than the rate.
// With refunds the same bound holds for net tokens: each charge counted at its
// admission, less what is ever refunded of it. A refund is credited as if its
// tokens had never been charged: at most as much as the bucket's headroom has
// been at its least since the admission, and nothing across a change of home.
// Gross charges of one window can exceed the bound by the refunds credited in
// it, never by more. A rate or burst that the catalogue changes holds from the
// home's next look at the bucket; the bound then speaks of each span apart.
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

// The homes of all customers in the slots that a member owns.
class BucketOwner {
 public:
  BucketOwner(int slots, Duration grant)
      : slot_count_(slots), max_lifetime_(grant) {}

  // The member owns `slot` from now on. `full`: it never had an owner; else
  // its buckets start at zero, unless a hand-over of id `start` was received.
  void AcquireSlot(int slot, const std::string& start, MonoTime now);
  void DropSlot(int slot);
  bool OwnsSlot(int slot) const { return owned_slots_.count(slot) > 0; }

  // Stops granting from `slots` and states what their buckets hold.
  wire::HandOver ExportSlots(const std::string& id,
                             const std::vector<int>& slots, MonoTime now);
  // The hand-over did not come about: grants again.
  void CancelHandOver(int slot);
  // Keeps a hand-over until the slot table names its id.
  void ReceiveHandOver(const wire::HandOver& hand_over, MonoTime now);

  // Answers one item. `term` is until when this member's term holds.
  wire::AllotmentReply::Item HandleRequest(
      const MemberId& member, const wire::AllotmentRequest::Item& item,
      const BucketLimits& limits, MonoTime term, MonoTime now);

  size_t bucket_count() const;

 private:
  struct OwnedSlot {
    MonoTime ready_at;
    bool starts_full = false;   // buckets start at their burst
    bool handing_over = false;  // being handed over
    std::map<CustomerId, TokenBucket> buckets;
  };
  struct ReceivedHandOver {
    wire::HandOver hand_over;
    MonoTime received_at;
  };

  TokenBucket& BucketOf(OwnedSlot* owned, const CustomerId& customer,
                        const BucketLimits& limits);

  const int slot_count_;
  const Duration max_lifetime_;
  std::map<int, OwnedSlot> owned_slots_;
  std::map<std::string, ReceivedHandOver>
      received_hand_overs_;  // by id, until used
};

// A charge that was decided.
struct ChargeDecision {
  uint64_t ticket = 0;
  bool granted = false;
  Duration retry_after{};  // meaningful if refused
};

// The daemon's side: decides charges. After each call (and at NextWake), Step()
// says what follows from it.
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

  // Asks for `tokens`. It waits for them until `wait_until`; if that is not in
  // the future, it is decided as soon as the home has answered.
  virtual uint64_t RequestCharge(const CustomerId& customer, Tokens tokens,
                                 MonoTime wait_until, MonoTime now) = 0;
  // The charge isn't wanted any more. Nothing if it was decided.
  virtual void CancelCharge(const CustomerId& customer, uint64_t ticket) = 0;
  virtual void Refund(const CustomerId& customer, Tokens tokens,
                      MonoTime charged_at, MonoTime now) = 0;

  // The home's answer to an item, or that none came.
  virtual void OnReply(const wire::AllotmentReply::Item& reply,
                       MonoTime now) = 0;
  virtual void OnNoReply(const CustomerId& customer, uint64_t serial,
                         MonoTime now) = 0;

  virtual Actions Step(MonoTime now) = 0;
  // When Step() is to be called at the latest.
  virtual MonoTime NextWake() const = 0;
};

// Asks the customer's home for allotments.
class AllotmentRateLimiter : public RateLimiter {
 public:
  using OwnerLookup = std::function<std::optional<MemberId>(const CustomerId&)>;

  AllotmentRateLimiter(BucketLimitsLookup limits_of, OwnerLookup home_of)
      : find_limits_(std::move(limits_of)), find_owner_(std::move(home_of)) {}

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

  // Test only: allotments never end at this daemon.
  void IgnoreExpiry() { ignore_expiry_ = true; }

 private:
  struct Allotment {
    uint64_t serial;
    int64_t unspent_tokens;  // unspent
    Duration lifetime;
    MonoTime expires_at;
  };
  struct WaitingCharge {
    uint64_t ticket;
    int64_t tokens;
    MonoTime wait_until;
    bool decide_on_reply;    // decided by the first answer
    bool requested = false;  // the request under way covers it
  };
  struct PendingRequest {
    wire::AllotmentRequest::Item item;
    MonoTime first_sent_at;
    MonoTime resend_at;  // kNever: an answer is being waited for
    Duration backoff{};
  };
  struct OwnerTimestamp {
    MonoTime received_at;  // by this daemon's clock
    int64_t owner_ms;      // by the home's
  };
  struct CustomerState {
    MemberId owner;  // that the state below belongs to
    uint64_t last_serial = 0;
    std::optional<PendingRequest> pending_request;
    std::deque<Allotment> allotments;
    std::deque<WaitingCharge> waiting_charges;  // first come, first served
    std::map<uint64_t, std::pair<int64_t, int64_t>>
        unsent_reports;                         // spent, returned
    std::map<int64_t, int64_t> unsent_refunds;  // tokens by the home's stamp
    std::deque<OwnerTimestamp>
        owner_timestamps;  // from this home, oldest first
    MonoTime refunds_due_at = kNever;
    MonoTime next_request_at = MonoTime::min();  // the home said so
    double demand_per_second = 0;                // tokens a second, decayed
    MonoTime demand_updated_at = MonoTime::min();
    MonoTime wake_at = kNever;
  };

  // Each does one part of a step for one account.
  void ProcessCustomer(const CustomerId& customer, CustomerState* account,
                       MonoTime now, Actions* actions);
  void UpdateOwner(const CustomerId& customer, CustomerState* account);
  void RemoveExpiredAllotments(CustomerState* account, MonoTime now);
  void GrantWaitingCharges(CustomerState* account, MonoTime now,
                           Actions* actions);
  void RefuseTimedOutCharges(CustomerState* account, MonoTime now,
                             Actions* actions);
  void RefuseWaitingCharges(CustomerState* account, bool prompt_only,
                            Duration retry_after, Actions* actions);
  void SendRequestIfNeeded(const CustomerId& customer, CustomerState* account,
                           const BucketLimits& limits, MonoTime now,
                           Actions* actions);
  void ScheduleWake(const CustomerId& customer, CustomerState* account,
                    MonoTime now);

  static int64_t UnspentTokens(const CustomerState& account);
  void SpendTokens(CustomerState* account, int64_t tokens);
  int64_t PrefetchTarget(const CustomerState& account, MonoTime now) const;
  void RecordDemand(CustomerState* account, int64_t tokens, MonoTime now);

  const BucketLimitsLookup find_limits_;
  const OwnerLookup find_owner_;
  bool ignore_expiry_ = false;
  uint64_t next_ticket_ = 1;
  std::map<CustomerId, CustomerState> customers_;
  std::set<CustomerId> dirty_customers_;  // to be processed by the next step
  std::set<std::pair<MonoTime, CustomerId>> wake_queue_;
  std::vector<ChargeDecision> unreported_decisions_;  // before the next step
};

// Each daemon has an even share of rate and burst to itself. What is left of
// the naive way, for comparison.
class StaticRateLimiter : public RateLimiter {
 public:
  StaticRateLimiter(BucketLimitsLookup limits_of,
                    std::function<size_t()> daemons)
      : find_limits_(std::move(limits_of)), daemon_count_(std::move(daemons)) {}

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
