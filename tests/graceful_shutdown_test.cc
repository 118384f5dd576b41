// Promise: a graceful shutdown cuts no request. SIGTERM under load, with the
// platform up and down.
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/answer.h"
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
  std::vector<std::string> faults() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return faults_;
  }

 private:
  void Run(int caller) {
    for (int i = 0; !stop_; ++i) {
      if (Get(port_, "/healthz").status != 200) return;
      ++begun_;
      const std::string fault = caller % 2 == 0 ? Letter(caller, i) : Lookup();
      if (fault.empty()) {
        ++good_;
        continue;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      faults_.push_back(fault);
    }
  }

  std::string Letter(int caller, int i) const {
    const std::string prompt = "letter " + std::to_string(caller) + "." +
                               std::to_string(i) + " [out=150]";
    const Reply reply = Call(port_, Completion(prompt, 150, caller % 4 == 0));
    if (reply.whole && TextOf(reply) == ExpectedOutput(prompt, 150)) return "";
    return "letter: " + std::to_string(reply.status) + " " + reply.body;
  }

  std::string Lookup() const {
    const Reply reply = Call(port_, ServiceRequest("GET", "/lookup/a", ""));
    if (reply.whole && reply.status == 200) return "";
    return "lookup: " + std::to_string(reply.status) + " " + reply.body;
  }

  const uint16_t port_;
  std::atomic<bool> stop_{false};
  std::atomic<int> good_{0};
  std::atomic<int> begun_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> faults_;
  std::vector<std::thread> threads_;
};

struct Outcome {
  std::vector<std::string> faults;
  std::optional<int> exit_code;
};

Outcome TerminateUnderLoad(bool platform_down, const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.router_flags = {"--grant-ms=1000", "--drain-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  Deployment fleet(options);
  Load load(fleet.router(0).port(), 8);
  REQUIRE(Eventually([&] { return load.good() >= 8; }));
  Json::Value outage(Json::objectValue);
  outage["outage"] = platform_down;
  fleet.platform().Behave(outage, "/debug/control");
  if (platform_down) std::this_thread::sleep_for(Seconds(1));
  fleet.router(0).process().Terminate();
  Outcome outcome;
  outcome.exit_code = fleet.router(0).process().Wait();
  load.Join();
  outcome.faults = load.faults();
  // The others go on, and the limits' home is found again.
  Load after(fleet.router(1).port(), 2);
  CHECK(Eventually([&] { return after.good() >= 4; }));
  return outcome;
}

TEST_CASE("SIGTERM cuts nothing and ends with 0") {
  for (const bool platform_down : {false, true}) {
    INFO((platform_down ? "platform down" : "platform up"));
    const Outcome outcome = TerminateUnderLoad(platform_down, "");
    CHECK(outcome.exit_code == 0);
    CHECK(outcome.faults == std::vector<std::string>{});
  }
}

TEST_CASE("Naive: leaving at once cuts requests") {
  CHECK_FALSE(TerminateUnderLoad(false, "drain").faults.empty());
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
