// Batches allotment requests by bucket owner and serves those of other daemons.
#include "router/fleet_limiter.h"

#include <utility>

namespace mimosa {
namespace {

constexpr Duration kAllotmentTimeout = std::chrono::milliseconds(500);

}  // namespace

class FleetLimiter::PendingChargeImpl : public PendingCharge {
 public:
  PendingChargeImpl(FleetLimiter* limiter, uint64_t ticket)
      : limiter_(limiter), alive_(limiter->alive_), ticket_(ticket) {}
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
      limits_lookup_(std::move(limits_of)),
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
        limits_lookup_, [fleet = fleet_] { return fleet->members().size(); });
  }
  auto limiter = std::make_unique<AllotmentRateLimiter>(
      limits_lookup_, [fleet = fleet_](const CustomerId& customer) {
        return fleet->SlotOwner(fleet->SlotOf(customer));
      });
  if (options_.disabled_mechanisms.count("allotment-expiry") > 0)
    limiter->IgnoreExpiry();
  return limiter;
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
  // If a decision is already posted, CompleteCharge() refunds a granted charge.
  it->second.done = nullptr;
  ScheduleStep();
}

void FleetLimiter::RunStep(uint64_t ticket,
                           std::optional<ChargeDecision>* decision) {
  const RateLimiter::Actions actions = rate_limiter_->Step(loop_->Now());
  for (const ChargeDecision& decided : actions.decisions) {
    if (decided.ticket == ticket) {
      *decision = decided;
      continue;
    }
    loop_->Post([this, alive = alive_, decided] {
      if (*alive) CompleteCharge(decided);
    });
  }
  for (const RateLimiter::OwnerRequest& owner_request : actions.requests) {
    *outbox_[owner_request.owner].add_items() = owner_request.item;
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
  const OpenCharge charge = std::move(it->second);
  open_charges_.erase(it);
  if (charge.done) {
    charge.done({decision.granted, decision.retry_after});
  } else if (decision.granted) {
    rate_limiter_->Refund(charge.customer, charge.tokens, loop_->Now(),
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
  for (auto& [owner, request] : outbox) {
    request.set_member(fleet_->self().value());
    SendAllotmentRequest(owner, std::move(request));
  }
}

void FleetLimiter::SendAllotmentRequest(const MemberId& owner,
                                        wire::AllotmentRequest request) {
  const uint64_t serial = next_call_serial_++;
  auto& allotment_call = open_calls_[serial] =
      std::make_unique<AllotmentCall>();
  allotment_call->request = std::move(request);
  if (owner == fleet_->self()) {
    allotment_call->reply = HandleAllotmentRequest(allotment_call->request);
    OnAllotmentReply(serial, PeerStatus::kOk);
    return;
  }
  const FleetMember* member = fleet_->FindMember(owner);
  if (member == nullptr) {
    OnAllotmentReply(serial, PeerStatus::kNotSent);
    return;
  }
  ++messages_sent_;
  allotment_call->call = bus_->Call(
      member->peer_address, "limits.allot", allotment_call->request,
      &allotment_call->reply, kAllotmentTimeout,
      [this, serial](PeerStatus status) { OnAllotmentReply(serial, status); });
}

void FleetLimiter::OnAllotmentReply(uint64_t serial, PeerStatus status) {
  auto it = open_calls_.find(serial);
  const std::unique_ptr<AllotmentCall> allotment_call = std::move(it->second);
  open_calls_.erase(it);
  const MonoTime now = loop_->Now();
  if (status == PeerStatus::kOk) {
    for (const auto& item : allotment_call->reply.items())
      rate_limiter_->OnReply(item, now);
  } else {
    for (const auto& item : allotment_call->request.items()) {
      rate_limiter_->OnNoReply(CustomerId(item.customer()), item.serial(), now);
    }
  }
  RunStep(0, nullptr);
}

wire::AllotmentReply FleetLimiter::HandleAllotmentRequest(
    const wire::AllotmentRequest& request) {
  wire::AllotmentReply reply;
  const MemberId member(request.member());
  const MonoTime lease_deadline = fleet_->LeaseDeadline();
  for (const auto& item : request.items()) {
    const auto limits = limits_lookup_(CustomerId(item.customer()));
    *reply.add_items() = bucket_owner_.HandleRequest(
        member, item, limits.value_or(BucketLimits()),
        limits ? lease_deadline : MonoTime::min(), loop_->Now());
  }
  return reply;
}

void FleetLimiter::OnSlotAcquired(int slot, const std::string& initial_state) {
  bucket_owner_.AcquireSlot(slot, initial_state, loop_->Now());
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
