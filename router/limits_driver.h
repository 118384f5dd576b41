// Rate and burst over the fleet: implements Limiter, and keeps the buckets of
// the slots that this member owns.
//
// decide/limits.h decides; this class carries its questions to the homes, one
// message to a home for all customers that have something to say, and serves
// the other daemons' questions.
#ifndef ROUTER_LIMITS_DRIVER_H_
#define ROUTER_LIMITS_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decide/limits.h"
#include "net/event_loop.h"
#include "router/fleet.h"
#include "router/limiter.h"
#include "router/peer_bus.h"
#include "router/slot_keeper.h"

namespace mimosa {

struct LimitsOptions {
  Duration grant = std::chrono::seconds(3);  // the fleet's
  int slots = 64;                            // the fleet's
  bool static_split = false;  // an even share for each daemon, no homes
  // Test only: "home": as static_split; "allotment-expiry": allotments never
  // end at this daemon.
  std::set<std::string> disable;
};

class LimitsDriver : public Limiter, public SlotKeeper {
 public:
  LimitsDriver(EventLoop* loop, const Fleet* fleet, PeerBus* bus,
               const LimitsOptions& options, BucketLimitsOf limits_of);
  ~LimitsDriver() override;

  std::unique_ptr<PendingCharge> Charge(const CustomerId& customer,
                                        Tokens tokens, MonoTime wait_until,
                                        Done done) override;
  void Refund(const CustomerId& customer, Tokens tokens,
              MonoTime charged_at) override;

  void OwnSlot(int slot, const std::string& start) override;
  void LoseSlot(int slot) override;
  wire::HandOver ExportSlots(const std::string& id,
                             const std::vector<int>& slots) override;
  void ImportSlots(const wire::HandOver& hand_over) override;
  void ResumeSlot(int slot) override;

  // Charges that are waiting, and messages to other homes so far.
  size_t waiting() const { return open_.size(); }
  uint64_t messages() const { return messages_; }

 private:
  class Pending;
  struct Open {
    CustomerId customer;
    Tokens tokens;
    Done done;
  };
  struct Sent {
    std::unique_ptr<PeerCall> call;
    wire::AllotmentRequest request;
    wire::AllotmentReply reply;
  };

  std::unique_ptr<LocalLimits> MakeLocal() const;
  wire::AllotmentReply Handle(const wire::AllotmentRequest& request);
  void Abandon(uint64_t ticket);
  // Carries out what follows from the last event. `own`: the ticket whose
  // decision the caller takes itself, if it is among them.
  void Step(uint64_t own, std::optional<ChargeDecision>* decision);
  void StepSoon();
  void Decide(const ChargeDecision& decision);
  void FlushAsks();
  void Send(const MemberId& home, wire::AllotmentRequest request);
  void OnAnswered(uint64_t serial, PeerStatus status);
  void SetTimer();

  EventLoop* const loop_;
  const Fleet* const fleet_;
  PeerBus* const bus_;
  const LimitsOptions options_;
  const BucketLimitsOf limits_of_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  LimitsHome home_;
  std::unique_ptr<LocalLimits> local_;
  std::map<uint64_t, Open> open_;  // undecided charges by ticket
  std::map<MemberId, wire::AllotmentRequest> outbox_;  // until the loop turns
  std::map<uint64_t, std::unique_ptr<Sent>> sent_;
  uint64_t next_sent_ = 1;
  uint64_t messages_ = 0;
  bool step_posted_ = false;
  bool flush_posted_ = false;
  MonoTime timer_at_ = kNever;
  TimerHandle timer_;
};

}  // namespace mimosa

#endif  // ROUTER_LIMITS_DRIVER_H_
