// The measuring loop repeats itself, and shows what it was built to show.
#include "bench/rounds.h"

#include <catch2/catch.hpp>

namespace mimosa::bench {
namespace {

const Policies kChosen = {"chosen", PlacementKind::kReserve, QueueKind::kFair,
                          SheddingKind::kDeadline, LimitsKind::kHome};

TEST_CASE("the same seed gives the same measures") {
  const Scenario scenario{Port(), 0.9, Fault::kRouterDies};
  const Measures a = RunOnce(scenario, kChosen, 7);
  const Measures b = RunOnce(scenario, kChosen, 7);
  CHECK(a.goodput == b.goodput);
  CHECK(a.wasted_prefill == b.wasted_prefill);
  CHECK(a.first_token_p95 == b.first_token_p95);
  CHECK(RunOnce(scenario, kChosen, 8).first_token_p95 != a.first_token_p95);
}

TEST_CASE("reservations leave no prefill result without a place") {
  for (const double load : {0.8, 1.2}) {
    const Measures m = RunOnce({Trust(), load, Fault::kNone}, kChosen, 1);
    CHECK(m.evicted == 0);
    CHECK(m.goodput > 0);
  }
}

}  // namespace
}  // namespace mimosa::bench
