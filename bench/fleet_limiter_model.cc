// Routers that charge customers through the rate limiters, in virtual time.
#include "bench/fleet_limiter_model.h"

#include <algorithm>
#include <string>
#include <utility>

#include "decide/slots.h"

namespace mimosa::bench {
namespace {

constexpr int kSlotCount = 64;
constexpr Duration kAllotmentLifetime = std::chrono::seconds(3);
// Minimum delay of a wake-up, as a real timer has.
constexpr Duration kMinWakeDelay = std::chrono::milliseconds(1);
constexpr Duration kPeerTimeout = std::chrono::milliseconds(100);

MemberId MemberOf(int router) { return MemberId(std::to_string(router)); }

}  // namespace

FleetLimiterModel::FleetLimiterModel(VirtualLoop* loop, LimitsKind kind,
                                     int routers, Duration one_way_latency,
                                     const BucketLimitsLookup& find_limits)
    : loop_(loop),
      kind_(kind),
      one_way_latency_(one_way_latency),
      find_limits_(find_limits),
      routers_(routers) {
  for (Router& router : routers_) {
    router.bucket_owner =
        std::make_unique<BucketOwner>(kSlotCount, kAllotmentLifetime);
    if (kind == LimitsKind::kStatic) {
      router.rate_limiter = std::make_unique<StaticRateLimiter>(
          find_limits, [this] { return routers_.size(); });
      continue;
    }
    router.rate_limiter = std::make_unique<AllotmentRateLimiter>(
        find_limits, [this](const CustomerId& id) -> std::optional<MemberId> {
          const int owner = slot_owners_[SlotOfCustomer(id, kSlotCount)];
          if (owner < 0) return std::nullopt;
          return MemberOf(owner);
        });
  }
  for (int slot = 0; slot < kSlotCount; ++slot) {
    slot_owners_.push_back(slot % routers);
    routers_[slot % routers].bucket_owner->AcquireSlot(slot, kInitiallyFull,
                                                       loop_->now());
  }
}

void FleetLimiterModel::Charge(int router, const CustomerId& customer,
                               Tokens tokens, MonoTime wait_until,
                               DoneCallback done) {
  if (kind_ == LimitsKind::kNone) {
    done(true);
    return;
  }
  Router& r = routers_[router];
  const uint64_t ticket =
      r.rate_limiter->RequestCharge(customer, tokens, wait_until, loop_->now());
  r.pending_charges[ticket] = std::move(done);
  StepRouter(router);
}

void FleetLimiterModel::Refund(int router, const CustomerId& customer,
                               Tokens tokens, MonoTime charged_at) {
  if (kind_ == LimitsKind::kNone || tokens <= Tokens(0)) return;
  if (!routers_[router].alive) return;
  routers_[router].rate_limiter->Refund(customer, tokens, charged_at,
                                        loop_->now());
  StepRouter(router);
}

void FleetLimiterModel::KillRouter(int router) {
  routers_[router].alive = false;
  for (int& owner : slot_owners_) {
    if (owner == router) owner = -1;
  }
}

// The new owner's buckets start empty.
void FleetLimiterModel::ReassignSlots(int router) {
  const int routers = static_cast<int>(routers_.size());
  for (int slot = 0; slot < kSlotCount; ++slot) {
    if (slot_owners_[slot] >= 0) continue;
    slot_owners_[slot] = (router + 1 + slot % (routers - 1)) % routers;
    routers_[slot_owners_[slot]].bucket_owner->AcquireSlot(slot, "",
                                                           loop_->now());
  }
  for (int r = 0; r < routers; ++r) StepRouter(r);
}

void FleetLimiterModel::StepRouter(int router) {
  Router& r = routers_[router];
  if (!r.alive) return;
  const RateLimiter::Actions actions = r.rate_limiter->Step(loop_->now());
  for (const RateLimiter::OwnerRequest& request : actions.requests)
    SendRequest(router, request);
  for (const ChargeDecision& decision : actions.decisions) {
    const auto it = r.pending_charges.find(decision.ticket);
    if (it == r.pending_charges.end()) continue;
    const DoneCallback done = std::move(it->second);
    r.pending_charges.erase(it);
    done(decision.granted);
  }
  const MonoTime due = r.rate_limiter->NextWake();
  if (due == kNever) return;
  const MonoTime wake = std::max(due, loop_->now() + kMinWakeDelay);
  if (wake >= r.wake_at) return;
  r.wake_at = wake;
  loop_->At(wake, [this, router, wake] {
    if (routers_[router].wake_at != wake) return;
    routers_[router].wake_at = kNever;
    StepRouter(router);
  });
}

void FleetLimiterModel::SendRequest(int router,
                                    const RateLimiter::OwnerRequest& request) {
  const int owner = std::stoi(request.owner.value());
  const CustomerId customer(request.item.customer());
  if (!routers_[owner].alive) {
    loop_->After(kPeerTimeout, [this, router, customer, request] {
      routers_[router].rate_limiter->OnNoReply(customer, request.item.serial(),
                                               loop_->now());
      StepRouter(router);
    });
    return;
  }
  const Duration hop = owner == router ? Duration(0) : one_way_latency_;
  loop_->After(hop, [this, router, owner, hop, customer, request] {
    const auto limits = find_limits_(customer);
    const auto reply = routers_[owner].bucket_owner->HandleRequest(
        MemberOf(router), request.item, *limits,
        loop_->now() + kAllotmentLifetime, loop_->now());
    loop_->After(hop, [this, router, reply] {
      routers_[router].rate_limiter->OnReply(reply, loop_->now());
      StepRouter(router);
    });
  });
}

}  // namespace mimosa::bench
