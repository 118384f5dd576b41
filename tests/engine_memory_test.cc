// Promise: no engine memory is held for letters whose callers are gone. The
// caller leaves at each stage; the router that holds the request is killed or
// frozen; engines check fencing numbers or ignore them.
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

// The stated bounds.
constexpr Seconds kCallerGoneBound{3};
constexpr Seconds kRouterGoneBound{15};

// Some letter that runs for longer than any bound here unless cancelled.
constexpr char kLongLetter[] = "A long letter [out=4000]";
constexpr int64_t kLongOutput = 4000;

enum class Stage { kQueued, kPrefill, kTransfer, kStreaming };

const char* NameOf(Stage stage) {
  static constexpr const char* kNames[] = {"queued", "prefill", "transfer",
                                           "streaming"};
  return kNames[static_cast<int>(stage)];
}

DeploymentOptions Options(bool checks_fencing, const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.pieces = 4;  // one kLongLetter takes two
  options.checks_fencing = checks_fencing;
  options.engine_flags = {"--token-us=10000", "--token-us-per-running=0"};
  options.router_flags = {"--grant-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  return options;
}

int64_t Held(Deployment& fleet) {
  return fleet.prefill().GetCounter("held_pieces") +
         fleet.decode().GetCounter("held_pieces");
}

Json::Value Member(const char* name, const Json::Value& value) {
  Json::Value members(Json::objectValue);
  members[name] = value;
  return members;
}

// Brings a letter at `router` to `stage`; the caller still listens.
void Reach(Deployment& fleet, Stage stage, Connection* caller) {
  if (stage == Stage::kPrefill)
    fleet.prefill().SetBehavior(Member("stall_prefill", 1));
  if (stage == Stage::kTransfer)
    fleet.prefill().proxy().SendCommand("set delay_ms 1500");
  REQUIRE(caller->Send(Completion(kLongLetter, kLongOutput, true)));
  switch (stage) {
    case Stage::kQueued:
      break;
    case Stage::kPrefill:
      REQUIRE(Eventually(
          [&] { return fleet.prefill().GetCounter("running") == 1; }));
      break;
    case Stage::kTransfer:
      REQUIRE(Eventually(
          [&] { return fleet.decode().GetCounter("waiting") == 1; }));
      break;
    case Stage::kStreaming:
      caller->ReadAtLeast(1);
      REQUIRE(
          Eventually([&] { return fleet.decode().GetCounter("tokens") > 0; }));
      break;
  }
}

void CheckCallerGone(Stage stage, bool checks_fencing) {
  INFO(NameOf(stage) << (checks_fencing ? " check" : " ignore"));
  Deployment fleet(Options(checks_fencing, ""));
  Connection caller(fleet.router(0).port());
  Reach(fleet, stage, &caller);
  caller.Close();
  CHECK(Eventually([&] { return Held(fleet) == 0; }, kCallerGoneBound));
  fleet.prefill().proxy().SendCommand("reset");
  // Nothing comes later either, and the engines still serve.
  std::this_thread::sleep_for(Seconds(1));
  CHECK(Held(fleet) == 0);
  CHECK(
      Call(fleet.router(1).port(), Completion("x [out=3]", 9, false)).complete);
}

TEST_CASE("Memory goes when the caller leaves in prefill") {
  CheckCallerGone(Stage::kPrefill, true);
}

TEST_CASE("Memory goes when the caller leaves in the transfer") {
  CheckCallerGone(Stage::kTransfer, true);
}

TEST_CASE("Memory goes when the caller leaves while streaming") {
  CheckCallerGone(Stage::kStreaming, true);
  CheckCallerGone(Stage::kStreaming, false);
}

TEST_CASE("A letter whose caller left in the queue reaches no engine") {
  Deployment fleet(Options(true, ""));
  Connection first(fleet.router(0).port());
  Connection second(fleet.router(1).port());
  REQUIRE(first.Send(Completion(kLongLetter, kLongOutput, true)));
  REQUIRE(second.Send(Completion(kLongLetter, kLongOutput, true)));
  REQUIRE(
      Eventually([&] { return fleet.decode().GetCounter("running") == 2; }));
  Connection third(fleet.router(2).port());
  REQUIRE(
      third.Send(Completion("Queued letter [out=4000]", kLongOutput, true)));
  std::this_thread::sleep_for(Seconds(0.5));
  third.Close();
  first.Close();
  second.Close();
  CHECK(Eventually([&] { return Held(fleet) == 0; }, kCallerGoneBound));
  std::this_thread::sleep_for(Seconds(1));
  CHECK(Get(fleet.prefill().port(), "/debug/journal")
            .body.find("Queued letter") == std::string::npos);
}

TEST_CASE("Naive: without cancel at the engine memory stays held") {
  Deployment fleet(Options(true, "disconnect-cancel,orphan-sweep"));
  Connection caller(fleet.router(0).port());
  Reach(fleet, Stage::kStreaming, &caller);
  caller.Close();
  CHECK_FALSE(Eventually([&] { return Held(fleet) == 0; }, kCallerGoneBound));
}

void CheckRouterGone(Stage stage, bool checks_fencing, bool frozen) {
  INFO(NameOf(stage) << (checks_fencing ? " check" : " ignore")
                     << (frozen ? " frozen" : " killed"));
  Deployment fleet(Options(checks_fencing, ""));
  Connection caller(fleet.router(0).port());
  Reach(fleet, stage, &caller);
  if (frozen) {
    fleet.router(0).process().Pause();
  } else {
    fleet.router(0).process().Kill();
  }
  fleet.prefill().proxy().SendCommand("reset");
  CHECK(Eventually([&] { return Held(fleet) == 0; }, kRouterGoneBound));
  if (!frozen) return;
  // Awake again, the router must neither hold memory nor cancel for others.
  Connection other(fleet.router(1).port());
  REQUIRE(other.Send(Completion("other [out=300]", 300, true)));
  REQUIRE(other.ReadAtLeast(1).status == 200);
  fleet.router(0).process().Resume();
  const Reply reply = other.ReadReply();
  CHECK(reply.complete);
  CHECK(HasEndMarker(reply));
  CHECK(Eventually([&] { return Held(fleet) == 0; }, kRouterGoneBound));
}

TEST_CASE("Memory goes when the router is killed", "[router_gone]") {
  CheckRouterGone(Stage::kStreaming, true, false);
  CheckRouterGone(Stage::kStreaming, false, false);
  CheckRouterGone(Stage::kPrefill, true, false);
  CheckRouterGone(Stage::kTransfer, true, false);
}

TEST_CASE("Memory goes when the router is frozen", "[router_gone]") {
  CheckRouterGone(Stage::kStreaming, true, true);
  CheckRouterGone(Stage::kStreaming, false, true);
}

TEST_CASE("Naive: without the orphan sweep memory stays held") {
  Deployment fleet(Options(true, "orphan-sweep"));
  Connection caller(fleet.router(0).port());
  Reach(fleet, Stage::kStreaming, &caller);
  fleet.router(0).process().Kill();
  CHECK_FALSE(Eventually([&] { return Held(fleet) == 0; }, kRouterGoneBound));
}

}  // namespace
}  // namespace mimosa::testing
