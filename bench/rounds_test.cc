// Checks that the simulation is deterministic, and that reservations prevent
// evicted prefill results.
#include "bench/rounds.h"

#include <catch2/catch.hpp>

namespace mimosa::bench {
namespace {

const Policies kChosen = {"chosen", PlacementKind::kReserve, QueueKind::kFair,
                          SheddingKind::kDeadline, LimitsKind::kAllotments};

TEST_CASE("the same seed gives the same measurements") {
  const Scenario scenario{PortWorkload(), 0.9, Fault::kRouterDies};
  const Measurements a = RunScenario(scenario, kChosen, 7);
  const Measurements b = RunScenario(scenario, kChosen, 7);
  CHECK(a.goodput == b.goodput);
  CHECK(a.wasted_prefill_share == b.wasted_prefill_share);
  CHECK(a.first_token_p95 == b.first_token_p95);
  CHECK(RunScenario(scenario, kChosen, 8).first_token_p95 != a.first_token_p95);
}

TEST_CASE("with reservations, no prefill result is evicted") {
  for (const double load : {0.8, 1.2}) {
    const Measurements m =
        RunScenario({TrustWorkload(), load, Fault::kNone}, kChosen, 1);
    CHECK(m.evicted_prefills == 0);
    CHECK(m.goodput > 0);
  }
}

}  // namespace
}  // namespace mimosa::bench
