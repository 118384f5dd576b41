// During a platform outage no router refuses a request that is within its
// customer's rate, and completions still succeed.
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
  std::map<std::string, int> replies;
  const auto end = std::chrono::steady_clock::now() + kOutage;
  while (std::chrono::steady_clock::now() < end) {
    for (size_t i = 0; i < fleet.routers(); ++i) {
      const uint16_t port = fleet.router(i).port();
      ++replies[std::to_string(
          Call(port, ServiceRequest("GET", "/lookup/a", "")).status)];
      ++replies["completion " +
                std::to_string(
                    Call(port, Completion("x [out=2]", 5, false)).status)];
    }
  }
  std::string summary;
  for (const auto& [reply, count] : replies)
    summary += reply + ": " + std::to_string(count) + "; ";
  INFO(summary);
  CHECK(replies.size() == 2);
  CHECK(replies["200"] > 0);
  CHECK(replies["completion 200"] > 0);
}

TEST_CASE("During a platform outage no request is refused") { CheckOutage({}); }

TEST_CASE("During a platform outage no request is refused with short grants") {
  CheckOutage({"--grant-ms=1000"});
}

}  // namespace
}  // namespace mimosa::testing
