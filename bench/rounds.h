// One run of the measuring loop: a workload, a load, a fault and the policies
// to be measured, in virtual time from one seed.
//
// Routers are alike: each takes arrivals, keeps the last summaries that it
// heard, and owns the books of some engines. The decisions are those of
// decide/; only the network, the callers and the engines are modelled.
#ifndef BENCH_ROUNDS_H_
#define BENCH_ROUNDS_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/fleet_limiter_model.h"
#include "bench/workload.h"
#include "decide/placement.h"
#include "decide/request_queue.h"
#include "decide/shedding.h"

namespace mimosa::bench {

// What is compared.
struct Policies {
  std::string name;
  PlacementKind placement;
  QueueKind queue;
  SheddingKind shedding;
  LimitsKind limits;
  // Share of decode memory that is reserved beyond what there is, counting on
  // streams that end while prompts are being computed.
  double overcommit = 0;
  bool prefill_first = true;  // a prefill turn before decode memory
};

enum class Fault {
  kNone,
  kGreedyCustomer,
  kEngineDies,
  kRouterDies,
  kLinkStalls
};
const char* FaultName(Fault fault);

struct Scenario {
  Workload workload;
  double load;  // offered requests, as a share of FittingRate
  Fault fault;
};

struct CustomerCounts {
  int64_t within_rate = 0;  // requests inside the rate
  int64_t good = 0;         // of these: whole and within both latency targets
  int64_t refused = 0;      // of these: refused with a Retry-After
  int64_t failed = 0;       // of these: not answered whole by the deadline
};

struct Measurements {
  double goodput = 0;               // good answers a second, of all customers
  double completed_per_second = 0;  // whole answers a second, in time or late
  double good_share = 0;            // of requests inside the rate
  double wasted_prefill = 0;        // share of the prompt tokens computed
  int64_t evicted_prefills = 0;     // prefill results that found no place
  double worst_customer_ratio =
      0;                     // its good share, to that of the median customer
  double refused_share = 0;  // share of requests inside the rate
  double failed_share = 0;
  double first_token_p95 = 0;  // seconds, of whole answers
  // By second of arrival, of requests inside the rate.
  std::vector<double> offered_by_second;
  std::vector<double> good_by_second;
};

// Arrivals are counted after the warm-up.
inline constexpr Duration kWarmUp = std::chrono::seconds(20);
inline constexpr Duration kFaultAt = std::chrono::seconds(60);
inline constexpr Duration kLastCounted = std::chrono::seconds(100);
inline constexpr Duration kLastArrival = std::chrono::seconds(110);

Measurements RunScenario(const Scenario& scenario, const Policies& policies,
                         uint64_t seed);

// Seconds after the fault until the good share of all runs together, over
// kRecoveryWindow, stays above 95 % of what it was in the 30 s before. Pooled,
// because in one run the share of so few seconds is mostly noise.
double RecoverySeconds(const std::vector<Measurements>& runs);
inline constexpr int kRecoveryWindowSeconds = 5;  // seconds

}  // namespace mimosa::bench

#endif  // BENCH_ROUNDS_H_
