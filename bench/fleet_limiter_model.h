// The limits of all routers together: the decisions of decide/rate_limiter.h
// over a modelled network.
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
                    Duration one_way, const BucketLimitsLookup& limits_of);

  void Charge(int router, const CustomerId& customer, Tokens tokens,
              MonoTime wait_until, DoneCallback done);
  void Refund(int router, const CustomerId& customer, Tokens tokens,
              MonoTime charged_at);
  // The router is gone; its slots have no owner until TakeOver().
  void KillRouter(int router);
  void ReassignSlots(int router);

 private:
  struct Router {
    std::unique_ptr<RateLimiter> rate_limiter;
    std::unique_ptr<BucketOwner> bucket_owner;
    std::map<uint64_t, DoneCallback> pending_charges;  // by ticket
    MonoTime wake_at = kNever;                         // when Step() is planned
    bool alive = true;
  };

  void StepRouter(int router);
  void SendRequest(int router, const RateLimiter::OwnerRequest& ask);

  VirtualLoop* const loop_;
  const LimitsKind kind_;
  const Duration one_way_latency_;
  const BucketLimitsLookup find_limits_;
  std::vector<Router> routers_;
  std::vector<int> slot_owners_;  // of each slot; negative: nobody
};

}  // namespace mimosa::bench

#endif  // BENCH_FLEET_LIMITER_MODEL_H_
