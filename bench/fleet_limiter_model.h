// Simulates the fleet-wide rate limits: the decisions of decide/rate_limiter.h
// for all routers over a modelled network, in virtual time.
#ifndef BENCH_FLEET_LIMITER_MODEL_H_
#define BENCH_FLEET_LIMITER_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "bench/virtual_loop.h"
#include "decide/rate_limiter.h"

namespace mimosa::bench {

enum class LimitsKind { kNone, kStatic, kAllotments };

class FleetLimiterModel {
 public:
  using DoneCallback = std::function<void(bool granted)>;

  FleetLimiterModel(VirtualLoop* loop, LimitsKind kind, int routers,
                    Duration one_way_latency,
                    const BucketLimitsLookup& find_limits);

  // Charges the customer and calls `done` with the decision, at once or later.
  // The charge may wait for tokens until `wait_until`.
  void Charge(int router, const CustomerId& customer, Tokens tokens,
              MonoTime wait_until, DoneCallback done);
  // Returns unused tokens of a charge that was granted at `charged_at`.
  void Refund(int router, const CustomerId& customer, Tokens tokens,
              MonoTime charged_at);
  // Stops the router. Its slots have no owner until ReassignSlots().
  void KillRouter(int router);
  void ReassignSlots(int router);

 private:
  struct Router {
    std::unique_ptr<RateLimiter> rate_limiter;
    std::unique_ptr<BucketOwner> bucket_owner;
    std::map<uint64_t, DoneCallback> pending_charges;  // by ticket
    MonoTime wake_at = kNever;  // time of the next scheduled StepRouter()
    bool alive = true;
  };

  void StepRouter(int router);
  void SendRequest(int router, const RateLimiter::OwnerRequest& ask);

  VirtualLoop* const loop_;
  const LimitsKind kind_;
  const Duration one_way_latency_;
  const BucketLimitsLookup find_limits_;
  std::vector<Router> routers_;
  std::vector<int> slot_owners_;  // by slot; negative if the slot has no owner
};

}  // namespace mimosa::bench

#endif  // BENCH_FLEET_LIMITER_MODEL_H_
