// Promises 12 and 5: a configuration becomes active on all routers within
// seconds and its version never decreases; a withdrawn key stops working on a
// router that can reach its peers but not the platform.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

// A configuration must be active on all routers within 4 s.
constexpr Seconds kMaxPropagationDelay{4};

int64_t VersionAt(Router& router) {
  return router.GetOperatorPage("/status")
      .JsonBody()["catalogue_version"]
      .asInt64();
}

// Polls the version of every router and records whether one ever decreased.
class VersionMonitor {
 public:
  explicit VersionMonitor(Deployment* fleet)
      : fleet_(fleet), highest_(fleet->routers(), 0) {}

  bool AllReached(int64_t version) {
    bool all = true;
    for (size_t i = 0; i < fleet_->routers(); ++i) {
      if (!fleet_->router(i).process().running()) continue;
      const int64_t now = VersionAt(fleet_->router(i));
      // 0: the router has just started or didn't reply.
      decreased_ = decreased_ || (now > 0 && now < highest_[i]);
      highest_[i] = std::max(highest_[i], now);
      all = all && now >= version;
    }
    return all;
  }
  bool decreased() const { return decreased_; }
  int64_t highest() const {
    return *std::max_element(highest_.begin(), highest_.end());
  }

 private:
  Deployment* const fleet_;
  std::vector<int64_t> highest_;
  bool decreased_ = false;
};

TEST_CASE("Changes reach all routers in time despite faults") {
  DeploymentOptions options;
  options.routers = 6;  // one more than may watch the platform at once
  options.router_flags = {"--grant-ms=1000"};
  Deployment fleet(options);
  VersionMonitor monitor(&fleet);
  REQUIRE(Eventually([&] { return monitor.AllReached(1); }));
  for (int round = 0; round < 6; ++round) {
    if (round == 1) fleet.router(0).platform_proxy().SendCommand("mode cut");
    if (round == 2) {
      Json::Value lose(Json::objectValue);
      lose["lose_replies"] = 2;
      fleet.platform().SetBehavior(lose, "/debug/control");
    }
    if (round == 4) fleet.router(0).platform_proxy().SendCommand("mode pass");
    if (round == 5) fleet.router(1).process().Restart();
    const int64_t version = monitor.highest() + 1;
    fleet.catalogue().mutable_routes(0)->set_deadline_ms(15000 + round);
    fleet.ApplyCatalogue();
    INFO("round " << round << " version " << version);
    CHECK(Eventually([&] { return monitor.AllReached(version); },
                     round == 5 ? kDefaultTimeout : kMaxPropagationDelay));
  }
  CHECK_FALSE(monitor.decreased());
}

// Returns whether a withdrawn key still works after the bound on a router whose
// connection to the platform has the given fault.
bool WorksAfterWithdrawal(const char* platform_fault,
                          const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.router_flags = {"--grant-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  Deployment fleet(options);
  const uint16_t port = fleet.router(2).port();
  REQUIRE(Call(port, ServiceRequest("GET", "/lookup/a", "")).status == 200);
  fleet.router(2).platform_proxy().SendCommand(platform_fault);
  for (auto& customer : *fleet.catalogue().mutable_customers())
    customer.clear_keys();
  fleet.ApplyCatalogue();
  return !Eventually(
      [&] {
        return Call(port, ServiceRequest("GET", "/lookup/a", "")).status == 401;
      },
      kMaxPropagationDelay);
}

TEST_CASE(
    "A withdrawn key stops working on a router that only its peers can reach") {
  CHECK_FALSE(WorksAfterWithdrawal("mode cut", ""));
}

TEST_CASE(
    "A withdrawn key stops working on a router whose platform doesn't "
    "respond") {
  CHECK_FALSE(WorksAfterWithdrawal("mode blackhole", ""));
}

TEST_CASE("Without propagation by peers a withdrawn key keeps working") {
  CHECK(WorksAfterWithdrawal("mode cut", "peer-catalogue"));
}

TEST_CASE(
    "A router that starts during a platform outage serves no old "
    "configuration") {
  DeploymentOptions options;
  options.routers = 3;
  Deployment fleet(options);
  Json::Value outage(Json::objectValue);
  outage["outage"] = true;
  fleet.platform().SetBehavior(outage, "/debug/control");
  fleet.router(1).process().Restart();
  for (int i = 0; i < 20; ++i) {
    const Reply reply =
        Call(fleet.router(1).port(), ServiceRequest("GET", "/lookup/a", ""));
    CHECK(reply.status != 200);
  }
  outage["outage"] = false;
  fleet.platform().SetBehavior(outage, "/debug/control");
  CHECK(Eventually([&] { return fleet.router(1).Ready(); }));
  CHECK(VersionAt(fleet.router(1)) == VersionAt(fleet.router(0)));
}

}  // namespace
}  // namespace mimosa::testing
