// Simulates one workload at one load with one fault under a set of policies, in
// virtual time and from one seed.
//
// All routers are equal: each receives requests, keeps the last ledger
// summaries that it received, and owns the reservation ledgers of some engines.
// The decisions are those of decide/; only the network, the callers and the
// engines are modelled.
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

// The set of policies that a run uses.
struct Policies {
  std::string name;
  PlacementKind placement;
  QueueKind queue;
  SheddingKind shedding;
  LimitsKind limits;
  // Share of the decode memory that may be reserved in excess of the capacity,
  // on the assumption that streams end while prompts are being computed.
  double overcommit = 0;
  // Whether a prefill reservation is made before the decode reservation.
  bool prefill_first = true;
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
  double load;  // offered request rate, as a share of SustainableRate
  Fault fault;
};

struct CustomerCounts {
  int64_t within_rate = 0;  // requests within the customer's rate limit
  int64_t good = 0;     // of these: complete and within both latency targets
  int64_t refused = 0;  // of these: refused with a Retry-After
  int64_t failed = 0;   // of these: not completed by the deadline
};

// Results of one run. Shares of requests are of those within the customers'
// rate limits.
struct Measurements {
  double goodput = 0;  // responses per second within both latency targets
  // Complete responses per second, in time or late.
  double completed_per_second = 0;
  double good_share = 0;  // share of requests within both latency targets
  double wasted_prefill_share = 0;  // share of the computed prompt tokens
  // Prefill results that got no decode memory in time.
  int64_t evicted_prefills = 0;
  // Lowest good share of a customer, relative to that of the median customer.
  double worst_customer_ratio = 0;
  double refused_share = 0;  // share of requests refused
  double failed_share = 0;   // share of requests not completed by the deadline
  double first_token_p95 = 0;  // seconds, of complete responses
  // Numbers of requests within the rate limit, by second of arrival: all of
  // them, and those that met both latency targets.
  std::vector<double> offered_by_second;
  std::vector<double> good_by_second;
};

// Only requests that arrive between kWarmUp and kLastCounted are counted.
inline constexpr Duration kWarmUp = std::chrono::seconds(20);
inline constexpr Duration kFaultAt = std::chrono::seconds(60);
inline constexpr Duration kLastCounted = std::chrono::seconds(100);
inline constexpr Duration kLastArrival = std::chrono::seconds(110);

Measurements RunScenario(const Scenario& scenario, const Policies& policies,
                         uint64_t seed);

// Returns the number of seconds after the fault until the good share over
// kRecoveryWindowSeconds stays above 95 % of its value in the 30 s before the
// fault. The runs are pooled because the share of so few seconds of a single
// run is mostly noise.
double RecoverySeconds(const std::vector<Measurements>& runs);
inline constexpr int kRecoveryWindowSeconds = 5;

}  // namespace mimosa::bench

#endif  // BENCH_ROUNDS_H_
