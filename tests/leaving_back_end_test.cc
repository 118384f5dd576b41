// Promise: a leaving back end receives no new work after a few seconds: by the
// platform's list, by the catalogue and by mimosactl, one router being slow to
// hear.
#include <catch2/catch.hpp>
#include <ostream>
#include <string>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

constexpr Seconds kBound{5};  // "a few seconds"

enum class Way { kList, kCatalogue, kControl };

int64_t RunsOf(StandIn& service) {
  return static_cast<int64_t>(
      GetJson(service.port(), "/debug/journal")["runs"].size());
}

// What each leaving back end was given.
struct Work {
  int64_t calls;
  int64_t prefills;
  int64_t decodes;
};

std::ostream& operator<<(std::ostream& os, const Work& work) {
  return os << work.calls << " calls, " << work.prefills << " prefills, "
            << work.decodes << " decodes";
}

int64_t OrdersTo(StandIn& engine, const std::string& path) {
  const std::string journal = Get(engine.port(), "/debug/journal").body;
  const std::string line = "POST " + path + "\n";
  int64_t count = 0;
  for (size_t at = 0; (at = journal.find(line, at)) != std::string::npos; ++at)
    ++count;
  return count;
}

// The work of number 0 of each kind, so far.
Work GivenTo(Deployment& fleet) {
  return {RunsOf(fleet.service(0)), OrdersTo(fleet.prefill(0), "/v1/prefill"),
          OrdersTo(fleet.decode(0), "/v1/decode")};
}

// A round of calls and letters through each router; how many went wrong.
int Traffic(Deployment& fleet, int rounds) {
  int failed = 0;
  for (int i = 0; i < rounds; ++i) {
    for (size_t r = 0; r < fleet.routers(); ++r) {
      const uint16_t port = fleet.router(r).port();
      if (Call(port, ServiceRequest("GET", "/lookup/a", "")).status != 200)
        ++failed;
      if (Call(port, Completion("x [out=2]", 5, false)).status != 200) ++failed;
    }
  }
  return failed;
}

void Leave(Deployment& fleet, Way way) {
  const std::string ids[] = {"desk-0", "prefill-0", "decode-0"};
  switch (way) {
    case Way::kList: {
      Json::Value members;
      for (StandIn* stand_in :
           {&fleet.service(0), &fleet.prefill(0), &fleet.decode(0)}) {
        Json::Value vm;
        vm["address"] = stand_in->proxy().ip();
        vm["failure_domain"] = "kochi";
        vm["state"] = "leaving";
        members["vms"].append(vm);
      }
      fleet.platform().SetBehavior(members, "/debug/control");
      break;
    }
    case Way::kCatalogue:
      for (const std::string& id : ids)
        fleet.FindBackEnd(id)->set_draining(true);
      fleet.ApplyCatalogue();
      break;
    case Way::kControl:
      for (const std::string& id : ids)
        fleet.RunMimosactl({"back-end", "drain", id});
      break;
  }
}

// What the leaving back ends got after the bound.
Work GivenAfterBound(Way way, const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.prefill = options.decode = options.services = 2;
  options.router_flags = {"--grant-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  Deployment fleet(options);
  // Placement is partly random: until each of them has had work.
  int failed = 0;
  REQUIRE(Eventually([&] {
    failed += Traffic(fleet, 4);
    const Work before = GivenTo(fleet);
    return before.calls > 0 && before.prefills > 0 && before.decodes > 0;
  }));
  CHECK(failed == 0);
  fleet.router(2).platform_proxy().SendCommand(
      "set delay_ms 300");  // slow to hear
  Leave(fleet, way);
  const auto end = std::chrono::steady_clock::now() + kBound;
  while (std::chrono::steady_clock::now() < end) CHECK(Traffic(fleet, 1) == 0);
  const Work at_bound = GivenTo(fleet);
  CHECK(Traffic(fleet, 8) == 0);
  const Work in_the_end = GivenTo(fleet);
  return {in_the_end.calls - at_bound.calls,
          in_the_end.prefills - at_bound.prefills,
          in_the_end.decodes - at_bound.decodes};
}

void CheckNothingAfterBound(Way way) {
  const Work after = GivenAfterBound(way, "");
  CHECK(after.calls == 0);
  CHECK(after.prefills == 0);
  CHECK(after.decodes == 0);
}

TEST_CASE("A back end that the platform lists as leaving gets nothing new",
          "[list]") {
  CheckNothingAfterBound(Way::kList);
}

TEST_CASE("A back end that the catalogue drains gets nothing new") {
  CheckNothingAfterBound(Way::kCatalogue);
}

TEST_CASE("A back end that mimosactl drains gets nothing new") {
  CheckNothingAfterBound(Way::kControl);
}

TEST_CASE("Naive: without draining a leaving back end gets new work",
          "[naive]") {
  const Work after = GivenAfterBound(Way::kCatalogue, "drain");
  INFO(after);
  CHECK(after.calls > 0);
  CHECK(after.prefills + after.decodes > 0);
}

}  // namespace
}  // namespace mimosa::testing
