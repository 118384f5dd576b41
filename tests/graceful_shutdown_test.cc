// Promise: a graceful shutdown cuts no request. SIGTERM under load, with the
// platform up and down.
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

// Callers that keep sending to one router, as a balancer would: new requests
// only while it is healthy.
class Load {
 public:
  Load(uint16_t port, int callers) : port_(port) {
    for (int i = 0; i < callers; ++i)
      threads_.emplace_back([this, i] { Run(i); });
  }
  ~Load() { Join(); }
  void Join() {
    stop_ = true;
    for (std::thread& thread : threads_)
      if (thread.joinable()) thread.join();
  }

  int good() const { return good_; }
  int begun() const { return begun_; }
  // Each kind of answer that was not a whole good one, with how often it came;
  // typed refusals that say "not run" apart from the others.
  std::string Refusals() const { return Listed(refusals_); }
  std::string Cuts() const { return Listed(cuts_); }

 private:
  void Run(int caller) {
    for (int i = 0; !stop_; ++i) {
      if (Get(port_, "/healthz").status != 200) return;
      ++begun_;
      if (caller % 2 == 0)
        SendLetter(caller, i);
      else
        Note("lookup", Call(port_, ServiceRequest("GET", "/lookup/a", "")),
             true);
    }
  }

  void SendLetter(int caller, int i) {
    const std::string prompt = "letter " + std::to_string(caller) + "." +
                               std::to_string(i) + " [out=150]";
    const Reply reply = Call(port_, Completion(prompt, 150, caller % 4 == 0));
    Note("letter", reply, CompletionText(reply) == ExpectedOutput(prompt, 150));
  }

  void Note(const std::string& kind, const Reply& reply, bool right) {
    if (reply.complete && reply.status == 200 && right) {
      ++good_;
      return;
    }
    const bool refused =
        reply.complete && reply.Header("Mimosa-Outcome") == "not-run";
    const std::string text = kind + " " + std::to_string(reply.status) +
                             (reply.complete ? " whole " : " cut ") +
                             reply.JsonBody()["error"]["type"].asString();
    const std::lock_guard<std::mutex> lock(mutex_);
    ++(refused ? refusals_ : cuts_)[text];
  }

  std::string Listed(const std::map<std::string, int>& counts) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (const auto& [kind, count] : counts)
      text += kind + ": " + std::to_string(count) + "; ";
    return text;
  }

  const uint16_t port_;
  std::atomic<bool> stop_{false};
  std::atomic<int> good_{0};
  std::atomic<int> begun_{0};
  mutable std::mutex mutex_;
  std::map<std::string, int> refusals_;
  std::map<std::string, int> cuts_;
  std::vector<std::thread> threads_;
};

struct Outcome {
  std::string cuts;
  std::string refusals;
  std::optional<int> exit_code;
  bool others_serve = false;
  std::string others_refusals;
};

std::ostream& operator<<(std::ostream& os, const Outcome& outcome) {
  return os << "cuts: " << outcome.cuts << " refusals: " << outcome.refusals
            << " others' refusals: " << outcome.others_refusals;
}

// Whether every term would outlive the platform.
bool RestsOnWitnesses(Deployment& fleet) {
  for (size_t r = 0; r < fleet.routers(); ++r) {
    const Json::Value status =
        fleet.router(r).GetOperatorPage("/status").JsonBody();
    if (status["witnesses"].asInt() < 2) return false;
  }
  return true;
}

// The shortest time over all routers since word from the platform.
int64_t PlatformAgeMs(Deployment& fleet) {
  int64_t age = INT64_MAX;
  for (size_t r = 0; r < fleet.routers(); ++r) {
    const Json::Value status =
        fleet.router(r).GetOperatorPage("/status").JsonBody();
    age = std::min(age, status["platform_age_ms"].asInt64());
  }
  return age;
}

Outcome TerminateUnderLoad(bool platform_down, const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.router_flags = {"--grant-ms=1000", "--drain-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  Deployment fleet(options);
  Load load(fleet.router(0).port(), 8);
  REQUIRE(Eventually([&] { return load.good() >= 100; }));
  if (platform_down) {
    // A fleet that has just formed rests on platform leases for a moment.
    REQUIRE(Eventually([&] { return RestsOnWitnesses(fleet); }));
    Json::Value outage(Json::objectValue);
    outage["outage"] = true;
    fleet.platform().SetBehavior(outage, "/debug/control");
    // Longer than any grant: terms that rested on the platform are over.
    REQUIRE(Eventually([&] { return PlatformAgeMs(fleet) >= 3000; }));
  }
  fleet.router(0).process().Terminate();
  Outcome outcome;
  outcome.exit_code = fleet.router(0).process().Wait();
  load.Join();
  outcome.cuts = load.Cuts();
  outcome.refusals = load.Refusals();
  Load after(fleet.router(1).port(), 2);
  outcome.others_serve = Eventually([&] { return after.good() >= 4; });
  after.Join();
  outcome.others_refusals = after.Refusals();
  return outcome;
}

TEST_CASE("SIGTERM cuts nothing and ends with 0") {
  const Outcome outcome = TerminateUnderLoad(false, "");
  INFO(outcome);
  CHECK(outcome.exit_code == 0);
  CHECK(outcome.cuts.empty());
  CHECK(outcome.refusals.empty());
  CHECK(outcome.others_serve);
}

TEST_CASE("SIGTERM while the platform is down cuts nothing and ends with 0") {
  const Outcome outcome = TerminateUnderLoad(true, "");
  INFO(outcome);
  CHECK(outcome.exit_code == 0);
  CHECK(outcome.cuts.empty());
}

TEST_CASE("While the platform is down nobody inside its rate is refused",
          "[outage]") {
  const Outcome outcome = TerminateUnderLoad(true, "");
  INFO(outcome);
  CHECK(outcome.refusals.empty());
  CHECK(outcome.others_serve);
}

TEST_CASE("Naive: leaving at once cuts requests", "[naive]") {
  CHECK_FALSE(TerminateUnderLoad(false, "graceful").cuts.empty());
}

TEST_CASE("A router that got SIGTERM says so to the balancer first") {
  DeploymentOptions options;
  options.router_flags = {"--drain-ms=1500"};
  Deployment fleet(options);
  const uint16_t port = fleet.router(0).port();
  fleet.router(0).process().Terminate();
  REQUIRE(Eventually([&] { return Get(port, "/healthz").status == 503; },
                     Seconds(1)));
  // The balancer has not noticed yet: requests are still served.
  CHECK(Call(port, ServiceRequest("GET", "/lookup/a", "")).status == 200);
  CHECK(fleet.router(0).process().Wait() == 0);
}

}  // namespace
}  // namespace mimosa::testing
