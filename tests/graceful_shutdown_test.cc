// Promise: a graceful shutdown cuts off no request. Sends SIGTERM under load,
// with the platform up and down.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "standins/generated_text.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

using standins::ExpectedOutput;

// Callers that keep sending requests to one router. Like a load balancer, they
// send new requests only while the router is healthy.
class Load {
 public:
  Load(uint16_t port, int callers) : port_(port) {
    for (int i = 0; i < callers; ++i)
      threads_.emplace_back([this, i] { SendRequests(i); });
  }
  ~Load() { Join(); }
  void Join() {
    stop_ = true;
    for (std::thread& thread : threads_)
      if (thread.joinable()) thread.join();
  }

  int good() const { return good_; }
  int started() const { return started_; }
  // Each lists kinds of replies that weren't complete and correct, with their
  // counts: refusals with the outcome "not-run", and all others.
  std::string FormatRefusals() const { return FormatCounts(refusals_); }
  std::string FormatCuts() const { return FormatCounts(cuts_); }

 private:
  void SendRequests(int caller) {
    for (int i = 0; !stop_; ++i) {
      if (Get(port_, "/healthz").status != 200) return;
      ++started_;
      if (caller % 2 == 0)
        SendCompletion(caller, i);
      else
        RecordReply("lookup",
                    Call(port_, ServiceRequest("GET", "/lookup/a", "")), true);
    }
  }

  void SendCompletion(int caller, int i) {
    const std::string prompt = "letter " + std::to_string(caller) + "." +
                               std::to_string(i) + " [out=150]";
    const Reply reply = Call(port_, Completion(prompt, 150, caller % 4 == 0));
    RecordReply("completion", reply,
                CompletionText(reply) == ExpectedOutput(prompt, 150));
  }

  void RecordReply(const std::string& kind, const Reply& reply, bool correct) {
    if (reply.complete && reply.status == 200 && correct) {
      ++good_;
      return;
    }
    const bool refused =
        reply.complete && reply.Header("Mimosa-Outcome") == "not-run";
    const std::string text = kind + " " + std::to_string(reply.status) +
                             (reply.complete ? " complete " : " truncated ") +
                             reply.JsonBody()["error"]["type"].asString();
    const std::lock_guard<std::mutex> lock(mutex_);
    ++(refused ? refusals_ : cuts_)[text];
  }

  std::string FormatCounts(const std::map<std::string, int>& counts) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (const auto& [kind, count] : counts)
      text += kind + ": " + std::to_string(count) + "; ";
    return text;
  }

  const uint16_t port_;
  std::atomic<bool> stop_{false};
  std::atomic<int> good_{0};
  std::atomic<int> started_{0};
  mutable std::mutex mutex_;
  std::map<std::string, int> refusals_;
  std::map<std::string, int> cuts_;
  std::vector<std::thread> threads_;
};

struct ShutdownResult {
  std::string cuts;
  std::string refusals;
  std::optional<int> exit_code;
  bool others_serve = false;
  std::string others_refusals;
};

std::ostream& operator<<(std::ostream& os, const ShutdownResult& result) {
  return os << "cuts: " << result.cuts << " refusals: " << result.refusals
            << " others' refusals: " << result.others_refusals;
}

// Returns whether every member lease would survive a platform outage.
bool LeasesBackedByWitnesses(Deployment& fleet) {
  for (size_t r = 0; r < fleet.routers(); ++r) {
    const Json::Value status =
        fleet.router(r).GetOperatorPage("/status").JsonBody();
    if (status["witnesses"].asInt() < 2) return false;
  }
  return true;
}

// Returns the shortest time over all routers since contact with the platform.
int64_t PlatformAgeMs(Deployment& fleet) {
  int64_t age = INT64_MAX;
  for (size_t r = 0; r < fleet.routers(); ++r) {
    const Json::Value status =
        fleet.router(r).GetOperatorPage("/status").JsonBody();
    age = std::min(age, status["platform_age_ms"].asInt64());
  }
  return age;
}

ShutdownResult TerminateUnderLoad(bool platform_down,
                                  const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.router_flags = {"--grant-ms=1000", "--drain-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  Deployment fleet(options);
  Load load(fleet.router(0).port(), 8);
  REQUIRE(Eventually([&] { return load.good() >= 100; }));
  if (platform_down) {
    // The member leases of a fleet that has just formed depend on platform
    // leases for a moment.
    REQUIRE(Eventually([&] { return LeasesBackedByWitnesses(fleet); }));
    Json::Value outage(Json::objectValue);
    outage["outage"] = true;
    fleet.platform().SetBehavior(outage, "/debug/control");
    // Longer than any grant: leases that depended on the platform have expired.
    REQUIRE(Eventually([&] { return PlatformAgeMs(fleet) >= 3000; }));
  }
  fleet.router(0).process().Terminate();
  ShutdownResult result;
  result.exit_code = fleet.router(0).process().Wait();
  load.Join();
  result.cuts = load.FormatCuts();
  result.refusals = load.FormatRefusals();
  Load after(fleet.router(1).port(), 2);
  result.others_serve = Eventually([&] { return after.good() >= 4; });
  after.Join();
  result.others_refusals = after.FormatRefusals();
  return result;
}

TEST_CASE("On SIGTERM no request is cut off and the exit code is 0") {
  const ShutdownResult result = TerminateUnderLoad(false, "");
  INFO(result);
  CHECK(result.exit_code == 0);
  CHECK(result.cuts.empty());
  CHECK(result.refusals.empty());
  CHECK(result.others_serve);
}

TEST_CASE(
    "On SIGTERM during a platform outage no request is cut off, exit code 0") {
  const ShutdownResult result = TerminateUnderLoad(true, "");
  INFO(result);
  CHECK(result.exit_code == 0);
  CHECK(result.cuts.empty());
}

TEST_CASE(
    "A shutdown during a platform outage refuses no request within its rate",
    "[outage]") {
  const ShutdownResult result = TerminateUnderLoad(true, "");
  INFO(result);
  CHECK(result.refusals.empty());
  CHECK(result.others_serve);
}

TEST_CASE("Without a graceful shutdown requests are cut off", "[naive]") {
  CHECK_FALSE(TerminateUnderLoad(false, "graceful").cuts.empty());
}

TEST_CASE(
    "After SIGTERM the health check fails first, and requests are still "
    "served") {
  DeploymentOptions options;
  options.router_flags = {"--drain-ms=1500"};
  Deployment fleet(options);
  const uint16_t port = fleet.router(0).port();
  fleet.router(0).process().Terminate();
  REQUIRE(Eventually([&] { return Get(port, "/healthz").status == 503; },
                     Seconds(1)));
  // The load balancer hasn't noticed yet, so requests are still served.
  CHECK(Call(port, ServiceRequest("GET", "/lookup/a", "")).status == 200);
  CHECK(fleet.router(0).process().Wait() == 0);
}

}  // namespace
}  // namespace mimosa::testing
