// The platform is down: nobody inside its rate is refused for it, on any
// router, and letters go on.
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

constexpr Seconds kOutage{10};  // several grants long

void CheckOutage(const std::vector<std::string>& flags) {
  DeploymentOptions options;
  options.routers = 3;
  options.router_flags = flags;
  Deployment fleet(options);
  Json::Value outage(Json::objectValue);
  outage["outage"] = true;
  fleet.platform().SetBehavior(outage, "/debug/control");
  std::map<std::string, int> answers;
  const auto end = std::chrono::steady_clock::now() + kOutage;
  while (std::chrono::steady_clock::now() < end) {
    for (size_t i = 0; i < fleet.routers(); ++i) {
      const uint16_t port = fleet.router(i).port();
      ++answers[std::to_string(
          Call(port, ServiceRequest("GET", "/lookup/a", "")).status)];
      ++answers["letter " +
                std::to_string(
                    Call(port, Completion("x [out=2]", 5, false)).status)];
    }
  }
  std::string seen;
  for (const auto& [answer, count] : answers)
    seen += answer + ": " + std::to_string(count) + "; ";
  INFO(seen);
  CHECK(answers.size() == 2);
  CHECK(answers["200"] > 0);
  CHECK(answers["letter 200"] > 0);
}

TEST_CASE("An outage of the platform refuses nobody") { CheckOutage({}); }

TEST_CASE("An outage of the platform refuses nobody under short grants") {
  CheckOutage({"--grant-ms=1000"});
}

}  // namespace
}  // namespace mimosa::testing
