// The limits of all routers together: the decisions of decide/rate_limiter.h
// over a modelled network.
#ifndef BENCH_LIMITS_MODEL_H_
#define BENCH_LIMITS_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "bench/virtual_loop.h"
#include "decide/rate_limiter.h"

namespace mimosa::bench {

enum class LimitsKind { kNone, kStatic, kHome };

class FleetLimits {
 public:
  using Done = std::function<void(bool granted)>;

  FleetLimits(VirtualLoop* loop, LimitsKind kind, int routers, Duration one_way,
              const BucketLimitsLookup& limits_of);

  void Charge(int router, const CustomerId& customer, Tokens tokens,
              MonoTime wait_until, Done done);
  void Refund(int router, const CustomerId& customer, Tokens tokens,
              MonoTime charged_at);
  // The router is gone; its slots have no owner until TakeOver().
  void Kill(int router);
  void TakeOver(int router);

 private:
  struct Router {
    std::unique_ptr<RateLimiter> local;
    std::unique_ptr<BucketOwner> home;
    std::map<uint64_t, Done> waiting;  // by ticket
    MonoTime wake = kNever;            // when Step() is planned
    bool alive = true;
  };

  void Step(int router);
  void Ask(int router, const RateLimiter::OwnerRequest& ask);

  VirtualLoop* const loop_;
  const LimitsKind kind_;
  const Duration one_way_;
  const BucketLimitsLookup limits_of_;
  std::vector<Router> routers_;
  std::vector<int> owners_;  // of each slot; negative: nobody
};

}  // namespace mimosa::bench

#endif  // BENCH_LIMITS_MODEL_H_
