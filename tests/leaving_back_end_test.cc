// Promise: a leaving back end receives no new work after a few seconds, whether
// the platform's list, the catalogue or mimosactl marks it, and even if one
// router is slow to receive that.
#include <catch2/catch.hpp>
#include <ostream>
#include <string>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

constexpr Seconds kBound{5};  // the promised "a few seconds"

enum class LeaveMethod { kPlatformList, kCatalogue, kMimosactl };

int64_t CountRuns(StandIn& service) {
  return static_cast<int64_t>(
      GetJson(service.port(), "/debug/journal")["runs"].size());
}

// The work that the leaving back ends received.
struct Work {
  int64_t calls;
  int64_t prefills;
  int64_t decodes;
};

std::ostream& operator<<(std::ostream& os, const Work& work) {
  return os << work.calls << " calls, " << work.prefills << " prefills, "
            << work.decodes << " decodes";
}

int64_t CountOrders(StandIn& engine, const std::string& path) {
  const std::string journal = Get(engine.port(), "/debug/journal").body;
  const std::string line = "POST " + path + "\n";
  int64_t count = 0;
  for (size_t at = 0; (at = journal.find(line, at)) != std::string::npos; ++at)
    ++count;
  return count;
}

// Returns the work so far of the first back end of each kind.
Work ReceivedWork(Deployment& fleet) {
  return {CountRuns(fleet.service(0)),
          CountOrders(fleet.prefill(0), "/v1/prefill"),
          CountOrders(fleet.decode(0), "/v1/decode")};
}

// Sends rounds of calls and completions through each router. Returns how many
// failed.
int SendTraffic(Deployment& fleet, int rounds) {
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

void MarkAsLeaving(Deployment& fleet, LeaveMethod method) {
  const std::string ids[] = {"desk-0", "prefill-0", "decode-0"};
  switch (method) {
    case LeaveMethod::kPlatformList: {
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
    case LeaveMethod::kCatalogue:
      for (const std::string& id : ids)
        fleet.FindBackEnd(id)->set_draining(true);
      fleet.ApplyCatalogue();
      break;
    case LeaveMethod::kMimosactl:
      for (const std::string& id : ids)
        fleet.RunMimosactl({"back-end", "drain", id});
      break;
  }
}

// Returns the work that the leaving back ends received after the bound.
Work WorkAfterBound(LeaveMethod method, const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.prefill = options.decode = options.services = 2;
  options.router_flags = {"--grant-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  Deployment fleet(options);
  // Placement is partly random, so this sends traffic until each of them has
  // received work.
  int failed = 0;
  REQUIRE(Eventually([&] {
    failed += SendTraffic(fleet, 4);
    const Work before = ReceivedWork(fleet);
    return before.calls > 0 && before.prefills > 0 && before.decodes > 0;
  }));
  CHECK(failed == 0);
  // This router receives changes late.
  fleet.router(2).platform_proxy().SendCommand("set delay_ms 300");
  MarkAsLeaving(fleet, method);
  const auto end = std::chrono::steady_clock::now() + kBound;
  while (std::chrono::steady_clock::now() < end)
    CHECK(SendTraffic(fleet, 1) == 0);
  const Work at_bound = ReceivedWork(fleet);
  CHECK(SendTraffic(fleet, 8) == 0);
  const Work at_end = ReceivedWork(fleet);
  return {at_end.calls - at_bound.calls, at_end.prefills - at_bound.prefills,
          at_end.decodes - at_bound.decodes};
}

void CheckNoWorkAfterBound(LeaveMethod method) {
  const Work after = WorkAfterBound(method, "");
  CHECK(after.calls == 0);
  CHECK(after.prefills == 0);
  CHECK(after.decodes == 0);
}

TEST_CASE("A back end that the platform lists as leaving gets no new work",
          "[list]") {
  CheckNoWorkAfterBound(LeaveMethod::kPlatformList);
}

TEST_CASE("A back end that the catalogue drains gets no new work") {
  CheckNoWorkAfterBound(LeaveMethod::kCatalogue);
}

TEST_CASE("A back end that mimosactl drains gets no new work") {
  CheckNoWorkAfterBound(LeaveMethod::kMimosactl);
}

TEST_CASE("Without draining a leaving back end gets new work", "[naive]") {
  const Work after = WorkAfterBound(LeaveMethod::kCatalogue, "drain");
  INFO(after);
  CHECK(after.calls > 0);
  CHECK(after.prefills + after.decodes > 0);
}

}  // namespace
}  // namespace mimosa::testing
