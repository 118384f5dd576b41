// Promises 12 and 5: a configuration is in force on all routers within seconds
// and its version never goes back; a withdrawn key stops working on a router
// that is cut off the platform but not off its peers.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

constexpr Seconds kBound{4};  // the letter's "in force everywhere within 4 s"

int64_t VersionAt(Router& router) {
  return router.GetOperatorPage("/status")
      .JsonBody()["catalogue_version"]
      .asInt64();
}

// Looks at every router's version again and again; none may fall.
class VersionWatch {
 public:
  explicit VersionWatch(Deployment* fleet)
      : fleet_(fleet), highest_(fleet->routers(), 0) {}

  bool AllHave(int64_t version) {
    bool all = true;
    for (size_t i = 0; i < fleet_->routers(); ++i) {
      if (!fleet_->router(i).process().running()) continue;
      const int64_t now = VersionAt(fleet_->router(i));
      // 0: it has just started, or didn't answer.
      fell_ = fell_ || (now > 0 && now < highest_[i]);
      highest_[i] = std::max(highest_[i], now);
      all = all && now >= version;
    }
    return all;
  }
  bool fell() const { return fell_; }
  int64_t highest() const {
    return *std::max_element(highest_.begin(), highest_.end());
  }

 private:
  Deployment* const fleet_;
  std::vector<int64_t> highest_;
  bool fell_ = false;
};

TEST_CASE("Changes reach all routers in time, whatever happens to some") {
  DeploymentOptions options;
  options.routers = 6;  // one more than may watch the platform
  options.router_flags = {"--grant-ms=1000"};
  Deployment fleet(options);
  VersionWatch watch(&fleet);
  REQUIRE(Eventually([&] { return watch.AllHave(1); }));
  for (int round = 0; round < 6; ++round) {
    if (round == 1) fleet.router(0).platform_proxy().SendCommand("mode cut");
    if (round == 2) {
      Json::Value lose(Json::objectValue);
      lose["lose_replies"] = 2;
      fleet.platform().SetBehavior(lose, "/debug/control");
    }
    if (round == 4) fleet.router(0).platform_proxy().SendCommand("mode pass");
    if (round == 5) fleet.router(1).process().Restart();
    const int64_t version = watch.highest() + 1;
    fleet.catalogue().mutable_routes(0)->set_deadline_ms(15000 + round);
    fleet.ApplyCatalogue();
    INFO("round " << round << " version " << version);
    CHECK(Eventually([&] { return watch.AllHave(version); },
                     round == 5 ? kDefaultTimeout : kBound));
  }
  CHECK_FALSE(watch.fell());
}

// Whether the key of `customer` still works at the router after the bound.
bool WorksAfterWithdrawal(const char* cut, const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.router_flags = {"--grant-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  Deployment fleet(options);
  const uint16_t port = fleet.router(2).port();
  REQUIRE(Call(port, ServiceRequest("GET", "/lookup/a", "")).status == 200);
  fleet.router(2).platform_proxy().SendCommand(cut);
  for (auto& customer : *fleet.catalogue().mutable_customers())
    customer.clear_keys();
  fleet.ApplyCatalogue();
  return !Eventually(
      [&] {
        return Call(port, ServiceRequest("GET", "/lookup/a", "")).status == 401;
      },
      kBound);
}

TEST_CASE("A withdrawn key stops on a router that only its peers reach") {
  CHECK_FALSE(WorksAfterWithdrawal("mode cut", ""));
}

TEST_CASE("A withdrawn key stops on a router with a mute platform") {
  CHECK_FALSE(WorksAfterWithdrawal("mode blackhole", ""));
}

TEST_CASE("Naive: heard from the platform alone, a withdrawn key goes on") {
  CHECK(WorksAfterWithdrawal("mode cut", "peer-catalogue"));
}

TEST_CASE("A router that starts in an outage serves nothing old") {
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
