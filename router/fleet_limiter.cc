// Questions to homes batched by home, and answers to other daemons.
#include "router/fleet_limiter.h"

#include <utility>

namespace mimosa {
namespace {

constexpr Duration kAskTimeout = std::chrono::milliseconds(500);

}  // namespace

class FleetLimiter::PendingChargeImpl : public PendingCharge {
 public:
  PendingChargeImpl(FleetLimiter* driver, uint64_t ticket)
      : limiter_(driver), alive_(driver->alive_), ticket_(ticket) {}
  PendingChargeImpl(const PendingChargeImpl&) = delete;
  PendingChargeImpl& operator=(const PendingChargeImpl&) = delete;
  ~PendingChargeImpl() override {
    if (*alive_) limiter_->AbandonCharge(ticket_);
  }

 private:
  FleetLimiter* const limiter_;
  const std::shared_ptr<bool> alive_;
  const uint64_t ticket_;
};

FleetLimiter::FleetLimiter(EventLoop* loop, const Fleet* fleet, PeerBus* bus,
                           const FleetLimiterOptions& options,
                           BucketLimitsLookup limits_of)
    : loop_(loop),
      fleet_(fleet),
      bus_(bus),
      options_(options),
      limits_of_(std::move(limits_of)),
      bucket_owner_(options.slot_count, options.lease_duration),
      rate_limiter_(MakeRateLimiter()) {
  bus_->RegisterMethod(
      "limits.allot", wire::AllotmentRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive) return;
        reply->Reply(HandleAllotmentRequest(
            static_cast<const wire::AllotmentRequest&>(params)));
      });
}

FleetLimiter::~FleetLimiter() { *alive_ = false; }

std::unique_ptr<RateLimiter> FleetLimiter::MakeRateLimiter() const {
  if (options_.static_split || options_.disabled_mechanisms.count("home") > 0) {
    return std::make_unique<StaticRateLimiter>(
        limits_of_, [fleet = fleet_] { return fleet->members().size(); });
  }
  auto local = std::make_unique<AllotmentRateLimiter>(
      limits_of_, [fleet = fleet_](const CustomerId& customer) {
        return fleet->SlotOwner(fleet->SlotOf(customer));
      });
  if (options_.disabled_mechanisms.count("allotment-expiry") > 0)
    local->IgnoreExpiry();
  return local;
}

std::unique_ptr<PendingCharge> FleetLimiter::Charge(const CustomerId& customer,
                                                    Tokens tokens,
                                                    MonoTime wait_until,
                                                    DoneCallback done) {
  const uint64_t ticket =
      rate_limiter_->RequestCharge(customer, tokens, wait_until, loop_->Now());
  std::optional<ChargeDecision> decision;
  open_charges_[ticket] = {customer, tokens, std::move(done)};
  RunStep(ticket, &decision);
  if (!decision) return std::make_unique<PendingChargeImpl>(this, ticket);
  CompleteCharge(*decision);
  return nullptr;
}

void FleetLimiter::Refund(const CustomerId& customer, Tokens tokens,
                          MonoTime charged_at) {
  rate_limiter_->Refund(customer, tokens, charged_at, loop_->Now());
  ScheduleStep();
}

void FleetLimiter::AbandonCharge(uint64_t ticket) {
  auto it = open_charges_.find(ticket);
  if (it == open_charges_.end()) return;
  rate_limiter_->CancelCharge(it->second.customer, ticket);
  it->second.done = nullptr;  // decided already and on its way: given back
  ScheduleStep();
}

void FleetLimiter::RunStep(uint64_t own,
                           std::optional<ChargeDecision>* decision) {
  const RateLimiter::Actions actions = rate_limiter_->Step(loop_->Now());
  for (const ChargeDecision& decided : actions.decisions) {
    if (decided.ticket == own) {
      *decision = decided;
      continue;
    }
    loop_->Post([this, alive = alive_, decided] {
      if (*alive) CompleteCharge(decided);
    });
  }
  for (const RateLimiter::OwnerRequest& ask : actions.requests) {
    *outbox_[ask.owner].add_items() = ask.item;
  }
  if (!outbox_.empty() && !flush_posted_) {
    flush_posted_ = true;
    loop_->Post([this, alive = alive_] {
      if (*alive) FlushOutbox();
    });
  }
  SetStepTimer();
}

void FleetLimiter::ScheduleStep() {
  if (step_posted_) return;
  step_posted_ = true;
  loop_->Post([this, alive = alive_] {
    if (!*alive) return;
    step_posted_ = false;
    RunStep(0, nullptr);
  });
}

void FleetLimiter::CompleteCharge(const ChargeDecision& decision) {
  auto it = open_charges_.find(decision.ticket);
  if (it == open_charges_.end()) return;
  const OpenCharge open = std::move(it->second);
  open_charges_.erase(it);
  if (open.done) {
    open.done({decision.granted, decision.retry_after});
  } else if (decision.granted) {
    rate_limiter_->Refund(open.customer, open.tokens, loop_->Now(),
                          loop_->Now());
    ScheduleStep();
  }
}

void FleetLimiter::SetStepTimer() {
  const MonoTime wake = rate_limiter_->NextWake();
  const MonoTime now = loop_->Now();
  if (wake <= now) {
    ScheduleStep();
  } else if (wake != step_timer_at_ && wake != kNever) {
    step_timer_at_ = wake;
    step_timer_ = loop_->After(wake - now, [this] {
      step_timer_at_ = kNever;
      RunStep(0, nullptr);
    });
  }
}

void FleetLimiter::FlushOutbox() {
  flush_posted_ = false;
  std::map<MemberId, wire::AllotmentRequest> outbox;
  outbox.swap(outbox_);
  for (auto& [home, request] : outbox) {
    request.set_member(fleet_->self().value());
    SendAllotmentRequest(home, std::move(request));
  }
}

void FleetLimiter::SendAllotmentRequest(const MemberId& home,
                                        wire::AllotmentRequest request) {
  const uint64_t serial = next_call_serial_++;
  auto& sent = open_calls_[serial] = std::make_unique<AllotmentCall>();
  sent->request = std::move(request);
  if (home == fleet_->self()) {
    sent->reply = HandleAllotmentRequest(sent->request);
    OnAllotmentReply(serial, PeerStatus::kOk);
    return;
  }
  const FleetMember* member = fleet_->FindMember(home);
  if (member == nullptr) {
    OnAllotmentReply(serial, PeerStatus::kNotSent);
    return;
  }
  ++messages_sent_;
  sent->call = bus_->Call(
      member->peer_address, "limits.allot", sent->request, &sent->reply,
      kAskTimeout,
      [this, serial](PeerStatus status) { OnAllotmentReply(serial, status); });
}

void FleetLimiter::OnAllotmentReply(uint64_t serial, PeerStatus status) {
  auto it = open_calls_.find(serial);
  const std::unique_ptr<AllotmentCall> sent = std::move(it->second);
  open_calls_.erase(it);
  const MonoTime now = loop_->Now();
  if (status == PeerStatus::kOk) {
    for (const auto& item : sent->reply.items())
      rate_limiter_->OnReply(item, now);
  } else {
    for (const auto& item : sent->request.items()) {
      rate_limiter_->OnNoReply(CustomerId(item.customer()), item.serial(), now);
    }
  }
  RunStep(0, nullptr);
}

wire::AllotmentReply FleetLimiter::HandleAllotmentRequest(
    const wire::AllotmentRequest& request) {
  wire::AllotmentReply reply;
  const MemberId member(request.member());
  const MonoTime term = fleet_->LeaseDeadline();
  for (const auto& item : request.items()) {
    const auto limits = limits_of_(CustomerId(item.customer()));
    *reply.add_items() = bucket_owner_.HandleRequest(
        member, item, limits.value_or(BucketLimits()),
        limits ? term : MonoTime::min(), loop_->Now());
  }
  return reply;
}

void FleetLimiter::OnSlotAcquired(int slot, const std::string& start) {
  bucket_owner_.AcquireSlot(slot, start, loop_->Now());
}

void FleetLimiter::OnSlotLost(int slot) { bucket_owner_.DropSlot(slot); }

wire::HandOver FleetLimiter::ExportSlots(const std::string& id,
                                         const std::vector<int>& slots) {
  return bucket_owner_.ExportSlots(id, slots, loop_->Now());
}

void FleetLimiter::ImportSlots(const wire::HandOver& hand_over) {
  bucket_owner_.ReceiveHandOver(hand_over, loop_->Now());
}

void FleetLimiter::ResumeSlot(int slot) { bucket_owner_.CancelHandOver(slot); }

}  // namespace mimosa
