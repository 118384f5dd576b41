// Promises 8 and 9: a request on a never-repeated route runs at most once, and
// the outcome "not-run" is true. The outcomes that callers received are
// compared with the journal that the service writes before it responds.
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

Request Booking(const std::string& id, bool with_key) {
  Request request = ServiceRequest("POST", "/booking/" + id, "anvil " + id);
  if (with_key) request.headers.emplace_back("Idempotency-Key", "key-" + id);
  return request;
}

// Returns how often each booking ran on all services together, by target.
std::map<std::string, int> CountRuns(Deployment& fleet, int services) {
  std::map<std::string, int> runs;
  for (int i = 0; i < services; ++i) {
    const Json::Value journal =
        GetJson(fleet.service(i).port(), "/debug/journal");
    for (const Json::Value& run : journal["runs"]) {
      const std::string target = run["target"].asString();
      if (target.rfind("/booking/", 0) == 0) ++runs[target];
    }
  }
  return runs;
}

struct ReportedOutcome {
  std::string id;
  int status = 0;
  std::string outcome;  // "" without a complete reply
};

// Compares the outcomes that callers received with what ran. Returns the
// violations.
std::vector<std::string> FindViolations(
    const std::vector<ReportedOutcome>& reported,
    const std::map<std::string, int>& runs) {
  std::vector<std::string> violations;
  for (const auto& [target, count] : runs) {
    if (count > 1)
      violations.push_back(target + " ran " + std::to_string(count) + " times");
  }
  for (const ReportedOutcome& each : reported) {
    const bool ran = runs.count("/booking/" + each.id) > 0;
    if (each.outcome == "not-run" && ran)
      violations.push_back(each.id + " ran, but the caller received not-run");
    if (each.outcome == "ran" && !ran)
      violations.push_back(each.id +
                           " did not run, but the caller received ran");
  }
  return violations;
}

std::string JoinTexts(const std::vector<std::string>& texts) {
  std::string all;
  for (const std::string& text : texts) all += text + "; ";
  return all;
}

ReportedOutcome SendBooking(uint16_t port, const std::string& id,
                            bool with_key) {
  const Reply reply = Call(port, Booking(id, with_key));
  return {id, reply.status,
          reply.complete ? reply.Header("Mimosa-Outcome") : std::string()};
}

// Lets each of two services fail in each way, while the other one is available
// for a retry.
std::vector<std::string> ViolationsWithFailingService(
    const std::string& disable) {
  DeploymentOptions options;
  options.services = 2;
  if (!disable.empty()) options.router_flags = {"--disable=" + disable};
  Deployment fleet(options);
  std::vector<ReportedOutcome> reported;
  int serial = 0;
  for (const char* failure : {"close_before_run", "close_after_run"}) {
    for (int service = 0; service < 2; ++service) {
      Json::Value behavior(Json::objectValue);
      behavior[failure] = 3;
      fleet.service(service).SetBehavior(behavior);
      for (int i = 0; i < 8; ++i)
        reported.push_back(SendBooking(fleet.router(0).port(),
                                       "f" + std::to_string(serial++), false));
    }
  }
  return FindViolations(reported, CountRuns(fleet, 2));
}

TEST_CASE("A failing service runs no request twice, and not-run is true") {
  const auto violations = ViolationsWithFailingService("");
  INFO(JoinTexts(violations));
  CHECK(violations.empty());
}

TEST_CASE("With retries after the first byte requests run twice") {
  CHECK_FALSE(ViolationsWithFailingService("write-once").empty());
}

TEST_CASE(
    "Responses cut at any byte aren't reported as not-run; unreachable "
    "services cause errors") {
  DeploymentOptions options;
  Deployment fleet(options);
  std::vector<ReportedOutcome> reported;
  // Lengths from inside the status line to the middle of the body.
  for (const int bytes : {0, 1, 9, 17, 40, 80, 120, 160, 200, 240}) {
    Json::Value behavior(Json::objectValue);
    behavior["close_after_bytes"] = bytes;
    fleet.service().SetBehavior(behavior);
    reported.push_back(SendBooking(fleet.router(0).port(),
                                   "b" + std::to_string(bytes), false));
    CHECK(reported.back().outcome != "not-run");
  }
  fleet.service().process().Kill();
  for (int i = 0; i < 5; ++i) {
    const ReportedOutcome each =
        SendBooking(fleet.router(0).port(), "gone" + std::to_string(i), false);
    CHECK(each.status >= 500);
  }
}

// Sends each request with the same idempotency key through all routers at the
// same time.
std::vector<std::string> ViolationsWithRacingRetries(
    const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  if (!disable.empty()) options.router_flags = {"--disable=" + disable};
  Deployment fleet(options);
  // 12 requests, each through 3 routers.
  std::vector<ReportedOutcome> reported(36);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < reported.size(); ++i) {
    callers.emplace_back([&, i] {
      reported[i] =
          SendBooking(fleet.router(i % 3).port(), "r" + std::to_string(i / 3),
                      /*with_key=*/true);
    });
  }
  for (auto& caller : callers) caller.join();
  auto violations = FindViolations(reported, CountRuns(fleet, 1));
  for (const ReportedOutcome& each : reported) {
    if (each.outcome != "ran")
      violations.push_back(each.id + " got " + std::to_string(each.status));
  }
  return violations;
}

TEST_CASE(
    "Concurrent retries through other routers get the first attempt's "
    "outcome") {
  const auto violations = ViolationsWithRacingRetries("");
  INFO(JoinTexts(violations));
  CHECK(violations.empty());
}

TEST_CASE("Without claims concurrent retries run several times") {
  CHECK_FALSE(ViolationsWithRacingRetries("claim").empty());
}

TEST_CASE(
    "Retries through another router after a router was killed run at most "
    "once") {
  DeploymentOptions options;
  options.routers = 3;
  Deployment fleet(options);
  Json::Value slow(Json::objectValue);
  slow["delay_ms"] = 300;
  fleet.service().SetBehavior(slow);
  std::vector<ReportedOutcome> reported;
  for (int round = 0; round < 6; ++round) {
    const std::string id = "k" + std::to_string(round);
    Connection first(fleet.router(0).port());
    REQUIRE(first.Send(Booking(id, true)));
    // The rounds alternate: the router is killed before, while or after the
    // service handles the request.
    const int runs_before = CountRuns(fleet, 1)["/booking/" + id];
    if (round % 3 != 0)
      Eventually(
          [&] { return CountRuns(fleet, 1)["/booking/" + id] > runs_before; });
    if (round % 3 == 2) first.ReadReply();
    fleet.router(0).process().Kill();
    for (int retry = 0; retry < 2; ++retry)
      reported.push_back(SendBooking(fleet.router(1 + retry).port(), id, true));
    fleet.router(0).process().Start();
    REQUIRE(Eventually([&] { return fleet.router(0).Ready(); }));
  }
  const auto violations = FindViolations(reported, CountRuns(fleet, 1));
  INFO(JoinTexts(violations));
  CHECK(violations.empty());
}

TEST_CASE(
    "A deadline that passes while another router holds the claim isn't "
    "reported as not-run") {
  DeploymentOptions options;
  options.routers = 3;
  Deployment fleet(options);
  for (auto& route : *fleet.catalogue().mutable_routes())
    route.set_deadline_ms(400);  // far less than evicting a member takes
  fleet.ApplyCatalogue();
  Json::Value slow(Json::objectValue);
  slow["delay_ms"] = 300;
  fleet.service().SetBehavior(slow);
  Connection first(fleet.router(0).port());
  REQUIRE(first.Send(Booking("held", true)));
  REQUIRE(Eventually([&] { return CountRuns(fleet, 1)["/booking/held"] > 0; }));
  fleet.router(0).process().Pause();
  // The deadline passes while the retry waits for the state of the claim.
  Json::Value late(Json::objectValue);
  late["slow_ms"] = 250;
  fleet.platform().SetBehavior(late, "/debug/control");
  const ReportedOutcome reported =
      SendBooking(fleet.router(1).port(), "held", true);
  fleet.router(0).process().Resume();
  CHECK(reported.outcome != "not-run");
  CHECK(CountRuns(fleet, 1)["/booking/held"] == 1);
}

TEST_CASE(
    "Requests run at most once while the platform is down, slow or loses "
    "replies") {
  DeploymentOptions options;
  options.routers = 3;  // the leases of fewer depend on the platform lease
  Deployment fleet(options);
  std::vector<ReportedOutcome> reported;
  const auto control = [&](const char* name, const Json::Value& value) {
    Json::Value members(Json::objectValue);
    members[name] = value;
    fleet.platform().SetBehavior(members, "/debug/control");
  };
  int serial = 0;
  const auto send_to_both = [&] {
    const std::string id = "p" + std::to_string(serial++);
    for (size_t r = 0; r < 2; ++r)
      reported.push_back(SendBooking(fleet.router(r).port(), id, true));
  };
  for (int i = 0; i < 6; ++i) {
    control("lose_replies", 1);
    send_to_both();
  }
  control("lose_replies", 0);
  control("slow_ms", 200);
  for (int i = 0; i < 3; ++i) send_to_both();
  control("slow_ms", 0);
  control("outage", true);
  const size_t down = reported.size();
  for (int i = 0; i < 3; ++i) send_to_both();
  for (size_t i = down; i < reported.size(); ++i) {
    CHECK(reported[i].status == 503);
    CHECK(reported[i].outcome == "not-run");
  }
  const auto violations = FindViolations(reported, CountRuns(fleet, 1));
  INFO(JoinTexts(violations));
  CHECK(violations.empty());
}

}  // namespace
}  // namespace mimosa::testing
