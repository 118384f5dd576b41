// Promises 8 and 9: a request of a never-repeated route runs at most once, and
// "not-run" is true. What callers were told is compared with the journal that
// the service writes before it answers.
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

// Runs of each booking over all services, by target.
std::map<std::string, int> Runs(Deployment& fleet, int services) {
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

struct Told {
  std::string id;
  int status = 0;
  std::string outcome;  // "" if no whole answer came
};

// Compares what callers were told with what ran. Returns the faults.
std::vector<std::string> Faults(const std::vector<Told>& told,
                                const std::map<std::string, int>& runs) {
  std::vector<std::string> faults;
  for (const auto& [target, count] : runs) {
    if (count > 1)
      faults.push_back(target + " ran " + std::to_string(count) + " times");
  }
  for (const Told& each : told) {
    const bool ran = runs.count("/booking/" + each.id) > 0;
    if (each.outcome == "not-run" && ran)
      faults.push_back(each.id + " ran, told not-run");
    if (each.outcome == "ran" && !ran)
      faults.push_back(each.id + " did not run, told ran");
  }
  return faults;
}

std::string Joined(const std::vector<std::string>& texts) {
  std::string all;
  for (const std::string& text : texts) all += text + "; ";
  return all;
}

Told Ask(uint16_t port, const std::string& id, bool with_key) {
  const Reply reply = Call(port, Booking(id, with_key));
  return {id, reply.status,
          reply.complete ? reply.Header("Mimosa-Outcome") : std::string()};
}

// The service fails in each way, with one other service that could be tried.
std::vector<std::string> FaultsOfFailingService(const std::string& disable) {
  DeploymentOptions options;
  options.services = 2;
  if (!disable.empty()) options.router_flags = {"--disable=" + disable};
  Deployment fleet(options);
  std::vector<Told> told;
  int serial = 0;
  for (const char* way : {"close_before_run", "close_after_run"}) {
    for (int service = 0; service < 2; ++service) {
      Json::Value behaviour(Json::objectValue);
      behaviour[way] = 3;
      fleet.service(service).SetBehavior(behaviour);
      for (int i = 0; i < 8; ++i)
        told.push_back(
            Ask(fleet.router(0).port(), "f" + std::to_string(serial++), false));
    }
  }
  return Faults(told, Runs(fleet, 2));
}

TEST_CASE("A failing service runs nothing twice, and not-run is true") {
  const auto faults = FaultsOfFailingService("");
  INFO(Joined(faults));
  CHECK(faults.empty());
}

TEST_CASE("Naive: trying again after the first byte runs requests twice") {
  CHECK_FALSE(FaultsOfFailingService("write-once").empty());
}

TEST_CASE("Services that close at each byte, or can't be reached") {
  DeploymentOptions options;
  Deployment fleet(options);
  std::vector<Told> told;
  // Lengths from within the status line to the middle of the body.
  for (const int bytes : {0, 1, 9, 17, 40, 80, 120, 160, 200, 240}) {
    Json::Value behaviour(Json::objectValue);
    behaviour["close_after_bytes"] = bytes;
    fleet.service().SetBehavior(behaviour);
    told.push_back(
        Ask(fleet.router(0).port(), "b" + std::to_string(bytes), false));
    CHECK(told.back().outcome != "not-run");
  }
  fleet.service().process().Kill();
  for (int i = 0; i < 5; ++i) {
    const Told each =
        Ask(fleet.router(0).port(), "gone" + std::to_string(i), false);
    CHECK(each.status >= 500);
  }
}

// Callers that repeat a request under the same key through all routers at the
// same moment.
std::vector<std::string> FaultsOfRacingRetries(const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  if (!disable.empty()) options.router_flags = {"--disable=" + disable};
  Deployment fleet(options);
  std::vector<Told> told(36);  // 12 requests, each through 3 routers
  std::vector<std::thread> callers;
  for (size_t i = 0; i < told.size(); ++i) {
    callers.emplace_back([&, i] {
      told[i] = Ask(fleet.router(i % 3).port(), "r" + std::to_string(i / 3),
                    /*with_key=*/true);
    });
  }
  for (auto& caller : callers) caller.join();
  auto faults = Faults(told, Runs(fleet, 1));
  for (const Told& each : told) {
    if (each.outcome != "ran")
      faults.push_back(each.id + " got " + std::to_string(each.status));
  }
  return faults;
}

TEST_CASE("Retries through other routers get the first one's outcome") {
  const auto faults = FaultsOfRacingRetries("");
  INFO(Joined(faults));
  CHECK(faults.empty());
}

TEST_CASE("Naive: without claims racing retries run several times") {
  CHECK_FALSE(FaultsOfRacingRetries("claim").empty());
}

TEST_CASE("The router is killed while it calls; callers ask another one") {
  DeploymentOptions options;
  options.routers = 3;
  Deployment fleet(options);
  Json::Value slow(Json::objectValue);
  slow["delay_ms"] = 300;
  fleet.service().SetBehavior(slow);
  std::vector<Told> told;
  for (int round = 0; round < 6; ++round) {
    const std::string id = "k" + std::to_string(round);
    Connection first(fleet.router(0).port());
    REQUIRE(first.Send(Booking(id, true)));
    // Killed before, while and after the service has it, by turns.
    const int runs_before = Runs(fleet, 1)["/booking/" + id];
    if (round % 3 != 0)
      Eventually(
          [&] { return Runs(fleet, 1)["/booking/" + id] > runs_before; });
    if (round % 3 == 2) first.ReadReply();
    fleet.router(0).process().Kill();
    for (int retry = 0; retry < 2; ++retry)
      told.push_back(Ask(fleet.router(1 + retry).port(), id, true));
    fleet.router(0).process().Start();
    REQUIRE(Eventually([&] { return fleet.router(0).Ready(); }));
  }
  const auto faults = Faults(told, Runs(fleet, 1));
  INFO(Joined(faults));
  CHECK(faults.empty());
}

TEST_CASE("A deadline behind another one's claim doesn't say not-run") {
  DeploymentOptions options;
  options.routers = 3;
  Deployment fleet(options);
  for (auto& route : *fleet.catalogue().mutable_routes())
    route.set_deadline_ms(400);  // far below the time that ends a member
  fleet.ApplyCatalogue();
  Json::Value slow(Json::objectValue);
  slow["delay_ms"] = 300;
  fleet.service().SetBehavior(slow);
  Connection first(fleet.router(0).port());
  REQUIRE(first.Send(Booking("held", true)));
  REQUIRE(Eventually([&] { return Runs(fleet, 1)["/booking/held"] > 0; }));
  fleet.router(0).process().Pause();
  // The deadline passes while the retry waits for word about the claim.
  Json::Value late(Json::objectValue);
  late["slow_ms"] = 250;
  fleet.platform().SetBehavior(late, "/debug/control");
  const Told told = Ask(fleet.router(1).port(), "held", true);
  fleet.router(0).process().Resume();
  CHECK(told.outcome != "not-run");
  CHECK(Runs(fleet, 1)["/booking/held"] == 1);
}

TEST_CASE("The platform is down, slow, or loses replies") {
  DeploymentOptions options;
  options.routers = 3;  // fewer rest on the platform's lease
  Deployment fleet(options);
  std::vector<Told> told;
  const auto control = [&](const char* name, const Json::Value& value) {
    Json::Value members(Json::objectValue);
    members[name] = value;
    fleet.platform().SetBehavior(members, "/debug/control");
  };
  int serial = 0;
  const auto ask_both = [&] {
    const std::string id = "p" + std::to_string(serial++);
    for (size_t r = 0; r < 2; ++r)
      told.push_back(Ask(fleet.router(r).port(), id, true));
  };
  for (int i = 0; i < 6; ++i) {
    control("lose_replies", 1);
    ask_both();
  }
  control("lose_replies", 0);
  control("slow_ms", 200);
  for (int i = 0; i < 3; ++i) ask_both();
  control("slow_ms", 0);
  control("outage", true);
  const size_t down = told.size();
  for (int i = 0; i < 3; ++i) ask_both();
  for (size_t i = down; i < told.size(); ++i) {
    CHECK(told[i].status == 503);
    CHECK(told[i].outcome == "not-run");
  }
  const auto faults = Faults(told, Runs(fleet, 1));
  INFO(Joined(faults));
  CHECK(faults.empty());
}

}  // namespace
}  // namespace mimosa::testing
