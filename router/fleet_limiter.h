// Rate and burst over the fleet: implements Limiter, and keeps the buckets of
// the slots that this member owns.
//
// decide/rate_limiter.h decides; this class carries its questions to the homes,
// one message to a home for all customers that have something to say, and
// serves the other daemons' questions.
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
  Duration lease_duration = std::chrono::seconds(3);  // the fleet's
  int slot_count = 64;                                // the fleet's
  bool static_split = false;  // an even share for each daemon, no homes
  // Test only: "home": as static_split; "allotment-expiry": allotments never
  // end at this daemon.
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

  void OnSlotAcquired(int slot, const std::string& start) override;
  void OnSlotLost(int slot) override;
  wire::HandOver ExportSlots(const std::string& id,
                             const std::vector<int>& slots) override;
  void ImportSlots(const wire::HandOver& hand_over) override;
  void ResumeSlot(int slot) override;

  // Charges that are waiting, and messages to other homes so far.
  size_t pending_charges() const { return open_charges_.size(); }
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
  // Carries out what follows from the last event. `own`: the ticket whose
  // decision the caller takes itself, if it is among them.
  void RunStep(uint64_t own, std::optional<ChargeDecision>* decision);
  void ScheduleStep();
  void CompleteCharge(const ChargeDecision& decision);
  void FlushOutbox();
  void SendAllotmentRequest(const MemberId& home,
                            wire::AllotmentRequest request);
  void OnAllotmentReply(uint64_t serial, PeerStatus status);
  void SetStepTimer();

  EventLoop* const loop_;
  const Fleet* const fleet_;
  PeerBus* const bus_;
  const FleetLimiterOptions options_;
  const BucketLimitsLookup limits_of_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  BucketOwner bucket_owner_;
  std::unique_ptr<RateLimiter> rate_limiter_;
  std::map<uint64_t, OpenCharge> open_charges_;  // undecided charges by ticket
  std::map<MemberId, wire::AllotmentRequest> outbox_;  // until the loop turns
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
