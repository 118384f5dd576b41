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
#ifndef DECIDE_LIMITS_H_
#define DECIDE_LIMITS_H_

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

using BucketLimitsOf =
    std::function<std::optional<BucketLimits>(const CustomerId&)>;

// The homes of all customers in the slots that a member owns.
class LimitsHome {
 public:
  LimitsHome(int slots, Duration grant) : slots_(slots), grant_(grant) {}

  // The member owns `slot` from now on. `full`: it never had an owner; else
  // its buckets start at zero, unless a hand-over of id `start` was received.
  void Own(int slot, const std::string& start, MonoTime now);
  void Lose(int slot);
  bool Owns(int slot) const { return owned_.count(slot) > 0; }

  // Stops granting from `slots` and states what their buckets hold.
  wire::HandOver Export(const std::string& id, const std::vector<int>& slots,
                        MonoTime now);
  // The hand-over did not come about: grants again.
  void Resume(int slot);
  // Keeps a hand-over until the slot table names its id.
  void Import(const wire::HandOver& hand_over, MonoTime now);

  // Answers one item. `term` is until when this member's term holds.
  wire::AllotmentReply::Item Handle(const MemberId& member,
                                    const wire::AllotmentRequest::Item& item,
                                    const BucketLimits& limits, MonoTime term,
                                    MonoTime now);

  size_t buckets() const;

 private:
  struct Owned {
    MonoTime since;
    bool full = false;    // buckets start at their burst
    bool frozen = false;  // being handed over
    std::map<CustomerId, HomeBucket> buckets;
  };
  struct Received {
    wire::HandOver hand_over;
    MonoTime at;
  };

  HomeBucket& BucketOf(Owned* owned, const CustomerId& customer,
                       const BucketLimits& limits);

  const int slots_;
  const Duration grant_;
  std::map<int, Owned> owned_;
  std::map<std::string, Received> received_;  // by id, until used
};

// A charge that was decided.
struct ChargeDecision {
  uint64_t ticket = 0;
  bool granted = false;
  Duration retry_after{};  // meaningful if refused
};

// The daemon's side: decides charges. After each call (and at NextWake), Step()
// says what follows from it.
class LocalLimits {
 public:
  struct Ask {
    MemberId home;
    wire::AllotmentRequest::Item item;
  };
  struct Actions {
    std::vector<ChargeDecision> decisions;
    std::vector<Ask> asks;
  };

  virtual ~LocalLimits() = default;

  // Asks for `tokens`. It waits for them until `wait_until`; if that is not in
  // the future, it is decided as soon as the home has answered.
  virtual uint64_t Charge(const CustomerId& customer, Tokens tokens,
                          MonoTime wait_until, MonoTime now) = 0;
  // The charge isn't wanted any more. Nothing if it was decided.
  virtual void Abandon(const CustomerId& customer, uint64_t ticket) = 0;
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
class HomeLimits : public LocalLimits {
 public:
  using HomeOf = std::function<std::optional<MemberId>(const CustomerId&)>;

  HomeLimits(BucketLimitsOf limits_of, HomeOf home_of)
      : limits_of_(std::move(limits_of)), home_of_(std::move(home_of)) {}

  uint64_t Charge(const CustomerId& customer, Tokens tokens,
                  MonoTime wait_until, MonoTime now) override;
  void Abandon(const CustomerId& customer, uint64_t ticket) override;
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
  struct Lot {
    uint64_t serial;
    int64_t tokens;  // unspent
    Duration lifetime;
    MonoTime expires;
  };
  struct Waiting {
    uint64_t ticket;
    int64_t tokens;
    MonoTime until;
    bool prompt;         // decided by the first answer
    bool asked = false;  // the request under way covers it
  };
  struct UnderWay {
    wire::AllotmentRequest::Item item;
    MonoTime first_sent;
    MonoTime resend_at;  // kNever: an answer is being waited for
    Duration backoff{};
  };
  struct Stamp {
    MonoTime received;  // by this daemon's clock
    int64_t home_ms;    // by the home's
  };
  struct Account {
    MemberId home;  // that the state below belongs to
    uint64_t serial = 0;
    std::optional<UnderWay> under_way;
    std::deque<Lot> lots;
    std::deque<Waiting> waiting;  // first come, first served
    std::map<uint64_t, std::pair<int64_t, int64_t>> reports;  // spent, returned
    std::map<int64_t, int64_t> refunds;  // tokens by the home's stamp
    std::deque<Stamp> stamps;            // from this home, oldest first
    MonoTime refund_due = kNever;
    MonoTime ask_after = MonoTime::min();  // the home said so
    double demand = 0;                     // tokens a second, decayed
    MonoTime demand_at = MonoTime::min();
    MonoTime wake = kNever;
  };

  // Each does one part of a step for one account.
  void Process(const CustomerId& customer, Account* account, MonoTime now,
               Actions* actions);
  void FollowHome(const CustomerId& customer, Account* account);
  void Expire(Account* account, MonoTime now);
  void Serve(Account* account, MonoTime now, Actions* actions);
  void RefuseLate(Account* account, MonoTime now, Actions* actions);
  void RefuseAll(Account* account, bool prompt_only, Duration retry_after,
                 Actions* actions);
  void AskHome(const CustomerId& customer, Account* account,
               const BucketLimits& limits, MonoTime now, Actions* actions);
  void SetWake(const CustomerId& customer, Account* account, MonoTime now);

  static int64_t AtHand(const Account& account);
  void Spend(Account* account, int64_t tokens);
  int64_t Need(const Account& account, MonoTime now) const;
  void NoteDemand(Account* account, int64_t tokens, MonoTime now);

  const BucketLimitsOf limits_of_;
  const HomeOf home_of_;
  bool ignore_expiry_ = false;
  uint64_t next_ticket_ = 1;
  std::map<CustomerId, Account> accounts_;
  std::set<CustomerId> touched_;  // to be processed by the next step
  std::set<std::pair<MonoTime, CustomerId>> wakes_;
  std::vector<ChargeDecision> decided_;  // before the next step
};

// Each daemon has an even share of rate and burst to itself. What is left of
// the naive way, for comparison.
class StaticLimits : public LocalLimits {
 public:
  StaticLimits(BucketLimitsOf limits_of, std::function<size_t()> daemons)
      : limits_of_(std::move(limits_of)), daemons_(std::move(daemons)) {}

  uint64_t Charge(const CustomerId& customer, Tokens tokens,
                  MonoTime wait_until, MonoTime now) override;
  void Abandon(const CustomerId& customer, uint64_t ticket) override;
  void Refund(const CustomerId& customer, Tokens tokens, MonoTime charged_at,
              MonoTime now) override;
  void OnReply(const wire::AllotmentReply::Item&, MonoTime) override {}
  void OnNoReply(const CustomerId&, uint64_t, MonoTime) override {}
  Actions Step(MonoTime now) override;
  MonoTime NextWake() const override;

 private:
  struct Waiting {
    uint64_t ticket;
    int64_t tokens;
    MonoTime until;
  };
  struct Share {
    HomeBucket bucket;
    std::deque<Waiting> waiting;
    MonoTime wake = kNever;
  };

  std::optional<BucketLimits> ShareOf(const CustomerId& customer) const;
  void Process(const CustomerId& customer, Share* share, MonoTime now,
               Actions* actions);

  const BucketLimitsOf limits_of_;
  const std::function<size_t()> daemons_;
  uint64_t next_ticket_ = 1;
  std::map<CustomerId, Share> shares_;
};

}  // namespace mimosa

#endif  // DECIDE_LIMITS_H_
