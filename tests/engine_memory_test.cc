// Promise: no engine memory is held for requests whose callers have
// disconnected. The caller disconnects at each stage; the router that runs the
// request is killed or paused; engines check fencing numbers or ignore them.
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "tests/harness.h"

namespace mimosa::testing {
namespace {

// The promised bounds.
constexpr Seconds kCallerDisconnectedBound{3};
constexpr Seconds kRouterFailedBound{15};

// A request that runs longer than any bound here unless it is cancelled.
constexpr char kLongPrompt[] = "A long letter [out=4000]";
constexpr int64_t kLongOutputTokens = 4000;

enum class Stage { kQueued, kPrefill, kTransfer, kStreaming };

const char* StageName(Stage stage) {
  static constexpr const char* kNames[] = {"queued", "prefill", "transfer",
                                           "streaming"};
  return kNames[static_cast<int>(stage)];
}

DeploymentOptions Options(bool checks_fencing, const std::string& disable) {
  DeploymentOptions options;
  options.routers = 3;
  options.pieces = 4;  // one kLongPrompt takes two
  options.checks_fencing = checks_fencing;
  options.engine_flags = {"--token-us=10000", "--token-us-per-running=0"};
  options.router_flags = {"--grant-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  return options;
}

int64_t CountHeldPieces(Deployment& fleet) {
  return fleet.prefill().GetCounter("held_pieces") +
         fleet.decode().GetCounter("held_pieces");
}

Json::Value MakeObject(const char* name, const Json::Value& value) {
  Json::Value members(Json::objectValue);
  members[name] = value;
  return members;
}

// Sends a request and waits until it reaches `stage`. The caller stays
// connected.
void AdvanceToStage(Deployment& fleet, Stage stage, Connection* caller) {
  if (stage == Stage::kPrefill)
    fleet.prefill().SetBehavior(MakeObject("stall_prefill", 1));
  if (stage == Stage::kTransfer)
    fleet.prefill().proxy().SendCommand("set delay_ms 1500");
  REQUIRE(caller->Send(Completion(kLongPrompt, kLongOutputTokens, true)));
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

void CheckCallerDisconnected(Stage stage, bool checks_fencing) {
  INFO(StageName(stage) << (checks_fencing ? " check" : " ignore"));
  Deployment fleet(Options(checks_fencing, ""));
  Connection caller(fleet.router(0).port());
  AdvanceToStage(fleet, stage, &caller);
  caller.Close();
  CHECK(Eventually([&] { return CountHeldPieces(fleet) == 0; },
                   kCallerDisconnectedBound));
  fleet.prefill().proxy().SendCommand("reset");
  // No memory is held later either, and the engines still serve requests.
  std::this_thread::sleep_for(Seconds(1));
  CHECK(CountHeldPieces(fleet) == 0);
  CHECK(
      Call(fleet.router(1).port(), Completion("x [out=3]", 9, false)).complete);
}

TEST_CASE("Memory is freed when the caller disconnects during prefill") {
  CheckCallerDisconnected(Stage::kPrefill, true);
}

TEST_CASE(
    "Memory is freed when the caller disconnects during the KV transfer") {
  CheckCallerDisconnected(Stage::kTransfer, true);
}

TEST_CASE("Memory is freed when the caller disconnects while streaming") {
  CheckCallerDisconnected(Stage::kStreaming, true);
  CheckCallerDisconnected(Stage::kStreaming, false);
}

TEST_CASE("A queued request whose caller has disconnected reaches no engine") {
  Deployment fleet(Options(true, ""));
  Connection first(fleet.router(0).port());
  Connection second(fleet.router(1).port());
  REQUIRE(first.Send(Completion(kLongPrompt, kLongOutputTokens, true)));
  REQUIRE(second.Send(Completion(kLongPrompt, kLongOutputTokens, true)));
  REQUIRE(
      Eventually([&] { return fleet.decode().GetCounter("running") == 2; }));
  Connection third(fleet.router(2).port());
  REQUIRE(third.Send(
      Completion("Queued letter [out=4000]", kLongOutputTokens, true)));
  std::this_thread::sleep_for(Seconds(0.5));
  third.Close();
  first.Close();
  second.Close();
  CHECK(Eventually([&] { return CountHeldPieces(fleet) == 0; },
                   kCallerDisconnectedBound));
  std::this_thread::sleep_for(Seconds(1));
  CHECK(Get(fleet.prefill().port(), "/debug/journal")
            .body.find("Queued letter") == std::string::npos);
}

TEST_CASE("Without cancellation at the engine memory stays held") {
  Deployment fleet(Options(true, "disconnect-cancel,orphan-sweep"));
  Connection caller(fleet.router(0).port());
  AdvanceToStage(fleet, Stage::kStreaming, &caller);
  caller.Close();
  CHECK_FALSE(Eventually([&] { return CountHeldPieces(fleet) == 0; },
                         kCallerDisconnectedBound));
}

void CheckRouterFailed(Stage stage, bool checks_fencing, bool paused) {
  INFO(StageName(stage) << (checks_fencing ? " check" : " ignore")
                        << (paused ? " paused" : " killed"));
  Deployment fleet(Options(checks_fencing, ""));
  Connection caller(fleet.router(0).port());
  AdvanceToStage(fleet, stage, &caller);
  if (paused) {
    fleet.router(0).process().Pause();
  } else {
    fleet.router(0).process().Kill();
  }
  fleet.prefill().proxy().SendCommand("reset");
  CHECK(Eventually([&] { return CountHeldPieces(fleet) == 0; },
                   kRouterFailedBound));
  if (!paused) return;
  // After it resumes, the router must neither hold memory nor cancel requests
  // of other routers.
  Connection other(fleet.router(1).port());
  REQUIRE(other.Send(Completion("other [out=300]", 300, true)));
  REQUIRE(other.ReadAtLeast(1).status == 200);
  fleet.router(0).process().Resume();
  const Reply reply = other.ReadReply();
  CHECK(reply.complete);
  CHECK(HasEndMarker(reply));
  CHECK(Eventually([&] { return CountHeldPieces(fleet) == 0; },
                   kRouterFailedBound));
}

TEST_CASE("Memory is freed when the router is killed", "[router_gone]") {
  CheckRouterFailed(Stage::kStreaming, true, false);
  CheckRouterFailed(Stage::kStreaming, false, false);
  CheckRouterFailed(Stage::kPrefill, true, false);
  CheckRouterFailed(Stage::kTransfer, true, false);
}

TEST_CASE("Memory is freed when the router is paused", "[router_gone]") {
  CheckRouterFailed(Stage::kStreaming, true, true);
  CheckRouterFailed(Stage::kStreaming, false, true);
}

TEST_CASE("Without orphan cancellation memory stays held") {
  Deployment fleet(Options(true, "orphan-sweep"));
  Connection caller(fleet.router(0).port());
  AdvanceToStage(fleet, Stage::kStreaming, &caller);
  fleet.router(0).process().Kill();
  CHECK_FALSE(Eventually([&] { return CountHeldPieces(fleet) == 0; },
                         kRouterFailedBound));
}

}  // namespace
}  // namespace mimosa::testing
