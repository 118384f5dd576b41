// Daemons that charge customers through the limits, in virtual time.
#include "bench/limits_model.h"

#include <algorithm>
#include <string>
#include <utility>

#include "decide/slots.h"

namespace mimosa::bench {
namespace {

constexpr int kSlots = 64;
constexpr Duration kGrant = std::chrono::seconds(3);
// A wake that is due at once is taken a little later, as a timer would.
constexpr Duration kMinWake = std::chrono::milliseconds(1);
constexpr Duration kPeerTimeout = std::chrono::milliseconds(100);

MemberId MemberOf(int router) { return MemberId(std::to_string(router)); }

}  // namespace

FleetLimits::FleetLimits(VirtualLoop* loop, LimitsKind kind, int routers,
                         Duration one_way, const BucketLimitsLookup& limits_of)
    : loop_(loop),
      kind_(kind),
      one_way_(one_way),
      limits_of_(limits_of),
      routers_(routers) {
  for (Router& router : routers_) {
    router.home = std::make_unique<BucketOwner>(kSlots, kGrant);
    if (kind == LimitsKind::kStatic) {
      router.local = std::make_unique<StaticRateLimiter>(
          limits_of, [this] { return routers_.size(); });
      continue;
    }
    router.local = std::make_unique<AllotmentRateLimiter>(
        limits_of, [this](const CustomerId& id) -> std::optional<MemberId> {
          const int owner = owners_[SlotOfCustomer(id, kSlots)];
          if (owner < 0) return std::nullopt;
          return MemberOf(owner);
        });
  }
  for (int slot = 0; slot < kSlots; ++slot) {
    owners_.push_back(slot % routers);
    routers_[slot % routers].home->AcquireSlot(slot, kInitiallyFull,
                                               loop_->now());
  }
}

void FleetLimits::Charge(int router, const CustomerId& customer, Tokens tokens,
                         MonoTime wait_until, Done done) {
  if (kind_ == LimitsKind::kNone) {
    done(true);
    return;
  }
  Router& r = routers_[router];
  const uint64_t ticket =
      r.local->RequestCharge(customer, tokens, wait_until, loop_->now());
  r.waiting[ticket] = std::move(done);
  Step(router);
}

void FleetLimits::Refund(int router, const CustomerId& customer, Tokens tokens,
                         MonoTime charged_at) {
  if (kind_ == LimitsKind::kNone || tokens <= Tokens(0)) return;
  if (!routers_[router].alive) return;
  routers_[router].local->Refund(customer, tokens, charged_at, loop_->now());
  Step(router);
}

void FleetLimits::Kill(int router) {
  routers_[router].alive = false;
  for (int& owner : owners_) {
    if (owner == router) owner = -1;
  }
}

// The new home starts at level zero.
void FleetLimits::TakeOver(int router) {
  const int routers = static_cast<int>(routers_.size());
  for (int slot = 0; slot < kSlots; ++slot) {
    if (owners_[slot] >= 0) continue;
    owners_[slot] = (router + 1 + slot % (routers - 1)) % routers;
    routers_[owners_[slot]].home->AcquireSlot(slot, "", loop_->now());
  }
  for (int r = 0; r < routers; ++r) Step(r);
}

void FleetLimits::Step(int router) {
  Router& r = routers_[router];
  if (!r.alive) return;
  const RateLimiter::Actions actions = r.local->Step(loop_->now());
  for (const RateLimiter::OwnerRequest& ask : actions.requests)
    Ask(router, ask);
  for (const ChargeDecision& decision : actions.decisions) {
    const auto it = r.waiting.find(decision.ticket);
    if (it == r.waiting.end()) continue;
    const Done done = std::move(it->second);
    r.waiting.erase(it);
    done(decision.granted);
  }
  const MonoTime due = r.local->NextWake();
  if (due == kNever) return;
  const MonoTime wake = std::max(due, loop_->now() + kMinWake);
  if (wake >= r.wake) return;
  r.wake = wake;
  loop_->At(wake, [this, router, wake] {
    if (routers_[router].wake != wake) return;
    routers_[router].wake = kNever;
    Step(router);
  });
}

void FleetLimits::Ask(int router, const RateLimiter::OwnerRequest& ask) {
  const int home = std::stoi(ask.owner.value());
  const CustomerId customer(ask.item.customer());
  if (!routers_[home].alive) {
    loop_->After(kPeerTimeout, [this, router, customer, ask] {
      routers_[router].local->OnNoReply(customer, ask.item.serial(),
                                        loop_->now());
      Step(router);
    });
    return;
  }
  const Duration hop = home == router ? Duration(0) : one_way_;
  loop_->After(hop, [this, router, home, hop, customer, ask] {
    const auto limits = limits_of_(customer);
    const auto reply =
        routers_[home].home->HandleRequest(MemberOf(router), ask.item, *limits,
                                           loop_->now() + kGrant, loop_->now());
    loop_->After(hop, [this, router, reply] {
      routers_[router].local->OnReply(reply, loop_->now());
      Step(router);
    });
  });
}

}  // namespace mimosa::bench
