// Promises: no request gets two responses, and each caller receives the
// complete response to its own request. This also holds when engines send
// responses late, twice or to the wrong request, when streams are cut and
// resumed, and when engines die.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "standins/generated_text.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

using standins::ExpectedOutput;

constexpr int64_t kMaxTokens = 60;

DeploymentOptions Options(const std::string& disable, int decode = 1) {
  DeploymentOptions options;
  options.decode = decode;
  options.router_flags = {"--grant-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  return options;
}

Json::Value MakeObject(
    std::initializer_list<std::pair<const char*, Json::Value>> list) {
  Json::Value members(Json::objectValue);
  for (const auto& [name, value] : list) members[name] = value;
  return members;
}

// Sends one completion request. Returns what is wrong with the reply, or an
// empty string if it is correct.
std::string FindReplyError(uint16_t router, size_t index) {
  const std::string prompt = "letter " + std::to_string(index) +
                             " [out=" + std::to_string(20 + index) + "]";
  const bool stream = index % 2 == 0;
  const Reply reply = Call(router, Completion(prompt, kMaxTokens, stream));
  if (reply.complete && reply.status == 200 && HasEndMarker(reply) == stream &&
      CompletionText(reply) == ExpectedOutput(prompt, kMaxTokens))
    return "";
  return std::to_string(index) + ": " + std::to_string(reply.status) +
         (reply.complete ? " complete " : " truncated ") +
         CompletionText(reply) + reply.body;
}

// Sends `count` concurrent completion requests over all routers. Returns how
// many replies have the complete text of their own request.
int CountCorrectReplies(Deployment& fleet, int count) {
  std::vector<std::thread> callers;
  std::vector<std::string> errors(static_cast<size_t>(count));
  for (size_t i = 0; i < errors.size(); ++i) {
    callers.emplace_back([&, i] {
      errors[i] = FindReplyError(fleet.router(i % fleet.routers()).port(), i);
    });
  }
  for (std::thread& caller : callers) caller.join();
  for (const std::string& error : errors)
    if (!error.empty()) UNSCOPED_INFO(error);
  return static_cast<int>(std::count(errors.begin(), errors.end(), ""));
}

TEST_CASE(
    "Crossed, duplicate and late engine responses reach no wrong caller") {
  Deployment fleet(Options(""));
  const Json::Value behaviors[] = {
      MakeObject({{"cross_answers", true}}),
      MakeObject({{"double_answers", true}}),
      MakeObject({{"late_ms", 200}}),
      MakeObject({{"cross_answers", true}, {"double_answers", true}}),
  };
  const Json::Value no_faults = MakeObject(
      {{"cross_answers", false}, {"double_answers", false}, {"late_ms", 0}});
  for (const Json::Value& behavior : behaviors) {
    INFO(behavior.toStyledString());
    for (StandIn* engine : {&fleet.decode(), &fleet.prefill()}) {
      engine->SetBehavior(no_faults);
      engine->SetBehavior(behavior);
    }
    CHECK(CountCorrectReplies(fleet, 10) == 10);
  }
  CHECK(Eventually(
      [&] { return fleet.decode().GetCounter("held_pieces") == 0; }));
}

TEST_CASE("Without the attempt check responses are mixed up") {
  Deployment fleet(Options("attempt-check"));
  fleet.decode().SetBehavior(MakeObject({{"cross_answers", true}}));
  CHECK(CountCorrectReplies(fleet, 10) < 10);
  fleet.decode().SetBehavior(
      MakeObject({{"cross_answers", false}, {"double_answers", true}}));
  CHECK(CountCorrectReplies(fleet, 10) < 10);
}

TEST_CASE("A stream cut at any byte is resumed without a second prefill") {
  Deployment fleet(Options(""));
  for (const int bytes : {300, 400, 501, 800, 1500, 2500}) {
    INFO("cut after " << bytes);
    fleet.decode().proxy().SendCommand("set cut_after_down " +
                                       std::to_string(bytes));
    fleet.decode().proxy().SendCommand("set limit 1");
    CHECK(CountCorrectReplies(fleet, 1) == 1);
  }
  CHECK(fleet.prefill().GetCounter("prefills_recomputed") == 0);
  CHECK(fleet.decode().GetCounter("resumed") > 0);
  CHECK(Eventually(
      [&] { return fleet.decode().GetCounter("held_pieces") == 0; }));
}

TEST_CASE(
    "A resume that races with the original stream delivers each token once") {
  Deployment fleet(Options(""));
  // Only the connection is cut: the engine continues, and the resumed stream
  // overtakes what is still in flight.
  fleet.decode().proxy().SendCommand("set delay_ms 50");
  fleet.decode().SetBehavior(MakeObject({{"double_answers", true}}));
  fleet.decode().proxy().SendCommand("set cut_after_down 900");
  fleet.decode().proxy().SendCommand("set limit 3");
  CHECK(CountCorrectReplies(fleet, 8) == 8);
}

TEST_CASE(
    "When a decode engine dies during a stream, another one continues it") {
  Deployment fleet(Options("", /*decode=*/2));
  fleet.decode(0).SetBehavior(MakeObject({{"die_after_tokens", 10}}));
  fleet.decode(1).SetBehavior(MakeObject({{"die_after_tokens", 1000000}}));
  // Placement decides when the engine gets the request that kills it.
  constexpr int kMaxRounds = 20;
  for (int round = 0; round < kMaxRounds && fleet.decode(0).process().running();
       ++round)
    CHECK(CountCorrectReplies(fleet, 6) == 6);
  CHECK_FALSE(fleet.decode(0).process().running());
  CHECK(Eventually(
      [&] { return fleet.decode(1).GetCounter("held_pieces") == 0; }));
}

TEST_CASE("Malformed engine output is never passed on as a response",
          "[nonsense]") {
  Deployment fleet(Options("", /*decode=*/2));
  fleet.decode(0).SetBehavior(MakeObject({{"nonsense", true}}));
  CHECK(CountCorrectReplies(fleet, 6) == 6);
  // The orders that cancel an abandoned attempt don't cancel the next one.
  CHECK(fleet.prefill().GetCounter("prefills_cancelled") == 0);
  fleet.decode(1).SetBehavior(MakeObject({{"nonsense", true}}));
  const Reply reply =
      Call(fleet.router(0).port(), Completion("x [out=9]", kMaxTokens, false));
  CHECK(reply.status >= 500);
  CHECK(reply.Header("Mimosa-Outcome") == "unknown");
  CHECK(Eventually(
      [&] { return fleet.decode(0).GetCounter("held_pieces") == 0; }));
}

}  // namespace
}  // namespace mimosa::testing
