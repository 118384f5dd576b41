// Questions to homes batched by home, and answers to other daemons.
#include "router/limits_driver.h"

#include <utility>

namespace mimosa {
namespace {

constexpr Duration kAskTimeout = std::chrono::milliseconds(500);

}  // namespace

class LimitsDriver::Pending : public PendingCharge {
 public:
  Pending(LimitsDriver* driver, uint64_t ticket)
      : driver_(driver), alive_(driver->alive_), ticket_(ticket) {}
  Pending(const Pending&) = delete;
  Pending& operator=(const Pending&) = delete;
  ~Pending() override {
    if (*alive_) driver_->Abandon(ticket_);
  }

 private:
  LimitsDriver* const driver_;
  const std::shared_ptr<bool> alive_;
  const uint64_t ticket_;
};

LimitsDriver::LimitsDriver(EventLoop* loop, const Fleet* fleet, PeerBus* bus,
                           const LimitsOptions& options,
                           BucketLimitsOf limits_of)
    : loop_(loop),
      fleet_(fleet),
      bus_(bus),
      options_(options),
      limits_of_(std::move(limits_of)),
      home_(options.slots, options.grant),
      local_(MakeLocal()) {
  bus_->Register(
      "limits.allot", wire::AllotmentRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive) return;
        reply->Reply(
            Handle(static_cast<const wire::AllotmentRequest&>(params)));
      });
}

LimitsDriver::~LimitsDriver() { *alive_ = false; }

std::unique_ptr<LocalLimits> LimitsDriver::MakeLocal() const {
  if (options_.static_split || options_.disable.count("home") > 0) {
    return std::make_unique<StaticLimits>(
        limits_of_, [fleet = fleet_] { return fleet->members().size(); });
  }
  auto local = std::make_unique<HomeLimits>(
      limits_of_, [fleet = fleet_](const CustomerId& customer) {
        return fleet->SlotOwner(fleet->SlotOf(customer));
      });
  if (options_.disable.count("allotment-expiry") > 0) local->IgnoreExpiry();
  return local;
}

std::unique_ptr<PendingCharge> LimitsDriver::Charge(const CustomerId& customer,
                                                    Tokens tokens,
                                                    MonoTime wait_until,
                                                    Done done) {
  const uint64_t ticket =
      local_->Charge(customer, tokens, wait_until, loop_->Now());
  std::optional<ChargeDecision> decision;
  open_[ticket] = {customer, tokens, std::move(done)};
  Step(ticket, &decision);
  if (!decision) return std::make_unique<Pending>(this, ticket);
  Decide(*decision);
  return nullptr;
}

void LimitsDriver::Refund(const CustomerId& customer, Tokens tokens,
                          MonoTime charged_at) {
  local_->Refund(customer, tokens, charged_at, loop_->Now());
  StepSoon();
}

void LimitsDriver::Abandon(uint64_t ticket) {
  auto it = open_.find(ticket);
  if (it == open_.end()) return;
  local_->Abandon(it->second.customer, ticket);
  it->second.done = nullptr;  // decided already and on its way: given back
  StepSoon();
}

void LimitsDriver::Step(uint64_t own, std::optional<ChargeDecision>* decision) {
  const LocalLimits::Actions actions = local_->Step(loop_->Now());
  for (const ChargeDecision& decided : actions.decisions) {
    if (decided.ticket == own) {
      *decision = decided;
      continue;
    }
    loop_->Post([this, alive = alive_, decided] {
      if (*alive) Decide(decided);
    });
  }
  for (const LocalLimits::Ask& ask : actions.asks) {
    *outbox_[ask.home].add_items() = ask.item;
  }
  if (!outbox_.empty() && !flush_posted_) {
    flush_posted_ = true;
    loop_->Post([this, alive = alive_] {
      if (*alive) FlushAsks();
    });
  }
  SetTimer();
}

void LimitsDriver::StepSoon() {
  if (step_posted_) return;
  step_posted_ = true;
  loop_->Post([this, alive = alive_] {
    if (!*alive) return;
    step_posted_ = false;
    Step(0, nullptr);
  });
}

void LimitsDriver::Decide(const ChargeDecision& decision) {
  auto it = open_.find(decision.ticket);
  if (it == open_.end()) return;
  const Open open = std::move(it->second);
  open_.erase(it);
  if (open.done) {
    open.done({decision.granted, decision.retry_after});
  } else if (decision.granted) {
    local_->Refund(open.customer, open.tokens, loop_->Now(), loop_->Now());
    StepSoon();
  }
}

void LimitsDriver::SetTimer() {
  const MonoTime wake = local_->NextWake();
  const MonoTime now = loop_->Now();
  if (wake <= now) {
    StepSoon();
  } else if (wake != timer_at_ && wake != kNever) {
    timer_at_ = wake;
    timer_ = loop_->After(wake - now, [this] {
      timer_at_ = kNever;
      Step(0, nullptr);
    });
  }
}

void LimitsDriver::FlushAsks() {
  flush_posted_ = false;
  std::map<MemberId, wire::AllotmentRequest> outbox;
  outbox.swap(outbox_);
  for (auto& [home, request] : outbox) {
    request.set_member(fleet_->self().value());
    Send(home, std::move(request));
  }
}

void LimitsDriver::Send(const MemberId& home, wire::AllotmentRequest request) {
  const uint64_t serial = next_sent_++;
  auto& sent = sent_[serial] = std::make_unique<Sent>();
  sent->request = std::move(request);
  if (home == fleet_->self()) {
    sent->reply = Handle(sent->request);
    OnAnswered(serial, PeerStatus::kOk);
    return;
  }
  const FleetMember* member = fleet_->Find(home);
  if (member == nullptr) {
    OnAnswered(serial, PeerStatus::kNotSent);
    return;
  }
  ++messages_;
  sent->call = bus_->Call(
      member->peer_address, "limits.allot", sent->request, &sent->reply,
      kAskTimeout,
      [this, serial](PeerStatus status) { OnAnswered(serial, status); });
}

void LimitsDriver::OnAnswered(uint64_t serial, PeerStatus status) {
  auto it = sent_.find(serial);
  const std::unique_ptr<Sent> sent = std::move(it->second);
  sent_.erase(it);
  const MonoTime now = loop_->Now();
  if (status == PeerStatus::kOk) {
    for (const auto& item : sent->reply.items()) local_->OnReply(item, now);
  } else {
    for (const auto& item : sent->request.items()) {
      local_->OnNoReply(CustomerId(item.customer()), item.serial(), now);
    }
  }
  Step(0, nullptr);
}

wire::AllotmentReply LimitsDriver::Handle(
    const wire::AllotmentRequest& request) {
  wire::AllotmentReply reply;
  const MemberId member(request.member());
  const MonoTime term = fleet_->TermDeadline();
  for (const auto& item : request.items()) {
    const auto limits = limits_of_(CustomerId(item.customer()));
    *reply.add_items() =
        home_.Handle(member, item, limits.value_or(BucketLimits()),
                     limits ? term : MonoTime::min(), loop_->Now());
  }
  return reply;
}

void LimitsDriver::OwnSlot(int slot, const std::string& start) {
  home_.Own(slot, start, loop_->Now());
}

void LimitsDriver::LoseSlot(int slot) { home_.Lose(slot); }

wire::HandOver LimitsDriver::ExportSlots(const std::string& id,
                                         const std::vector<int>& slots) {
  return home_.Export(id, slots, loop_->Now());
}

void LimitsDriver::ImportSlots(const wire::HandOver& hand_over) {
  home_.Import(hand_over, loop_->Now());
}

void LimitsDriver::ResumeSlot(int slot) { home_.Resume(slot); }

}  // namespace mimosa
