// Implements Limiter across the fleet, and keeps the token buckets of the slots
// that this member owns.
//
// decide/rate_limiter.h makes the decisions. This class sends its allotment
// requests to the bucket owners, batching all customers of one owner into one
// message, and serves the allotment requests of other daemons.
#ifndef ROUTER_FLEET_LIMITER_H_
#define ROUTER_FLEET_LIMITER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decide/rate_limiter.h"
#include "net/event_loop.h"
#include "router/fleet.h"
#include "router/limiter.h"
#include "router/peer_bus.h"
#include "router/slot_state_handler.h"

namespace mimosa {

struct FleetLimiterOptions {
  Duration lease_duration = std::chrono::seconds(3);  // as in FleetOptions
  int slot_count = 64;                                // as in FleetOptions
  // Gives each daemon an even share of every rate limit, without bucket owners.
  bool static_split = false;
  // For tests only: names of mechanisms to switch off. "home" has the effect of
  // `static_split`; with "allotment-expiry" allotments never expire at this
  // daemon.
  std::set<std::string> disabled_mechanisms;
};

class FleetLimiter : public Limiter, public SlotStateHandler {
 public:
  FleetLimiter(EventLoop* loop, const Fleet* fleet, PeerBus* bus,
               const FleetLimiterOptions& options,
               BucketLimitsLookup limits_of);
  ~FleetLimiter() override;

  std::unique_ptr<PendingCharge> Charge(const CustomerId& customer,
                                        Tokens tokens, MonoTime wait_until,
                                        DoneCallback done) override;
  void Refund(const CustomerId& customer, Tokens tokens,
              MonoTime charged_at) override;

  void OnSlotAcquired(int slot, const std::string& initial_state) override;
  void OnSlotLost(int slot) override;
  wire::HandOver ExportSlots(const std::string& id,
                             const std::vector<int>& slots) override;
  void ImportSlots(const wire::HandOver& hand_over) override;
  void ResumeSlot(int slot) override;

  // Number of undecided charges.
  size_t pending_charges() const { return open_charges_.size(); }
  // Number of allotment requests sent to other members so far.
  uint64_t messages_sent() const { return messages_sent_; }

 private:
  class PendingChargeImpl;
  struct OpenCharge {
    CustomerId customer;
    Tokens tokens;
    DoneCallback done;
  };
  struct AllotmentCall {
    std::unique_ptr<PeerCall> call;
    wire::AllotmentRequest request;
    wire::AllotmentReply reply;
  };

  std::unique_ptr<RateLimiter> MakeRateLimiter() const;
  wire::AllotmentReply HandleAllotmentRequest(
      const wire::AllotmentRequest& request);
  void AbandonCharge(uint64_t ticket);
  // Runs one step of the rate limiter and carries out its actions. If `ticket`
  // is decided in this step, its decision is stored in `*decision` for the
  // caller to complete; all other decisions are completed from the event loop.
  void RunStep(uint64_t ticket, std::optional<ChargeDecision>* decision);
  void ScheduleStep();
  void CompleteCharge(const ChargeDecision& decision);
  void FlushOutbox();
  void SendAllotmentRequest(const MemberId& owner,
                            wire::AllotmentRequest request);
  void OnAllotmentReply(uint64_t serial, PeerStatus status);
  void SetStepTimer();

  EventLoop* const loop_;
  const Fleet* const fleet_;
  PeerBus* const bus_;
  const FleetLimiterOptions options_;
  const BucketLimitsLookup limits_lookup_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  BucketOwner bucket_owner_;
  std::unique_ptr<RateLimiter> rate_limiter_;
  // Undecided charges by ticket.
  std::map<uint64_t, OpenCharge> open_charges_;
  // Requests by bucket owner that the next turn of the event loop sends.
  std::map<MemberId, wire::AllotmentRequest> outbox_;
  std::map<uint64_t, std::unique_ptr<AllotmentCall>> open_calls_;
  uint64_t next_call_serial_ = 1;
  uint64_t messages_sent_ = 0;
  bool step_posted_ = false;
  bool flush_posted_ = false;
  MonoTime step_timer_at_ = kNever;
  TimerHandle step_timer_;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_LIMITER_H_
