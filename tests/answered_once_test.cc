// Promises: no request is answered twice; each caller receives the whole answer
// to its own request, also when answers come late, doubled or crossed, streams
// are cut and resumed, and engines die.
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

Json::Value Members(
    std::initializer_list<std::pair<const char*, Json::Value>> list) {
  Json::Value members(Json::objectValue);
  for (const auto& [name, value] : list) members[name] = value;
  return members;
}

// What was wrong with the answer to one letter; empty: nothing.
std::string FaultOf(uint16_t router, size_t letter) {
  const std::string prompt = "letter " + std::to_string(letter) +
                             " [out=" + std::to_string(20 + letter) + "]";
  const bool stream = letter % 2 == 0;
  const Reply reply = Call(router, Completion(prompt, kMaxTokens, stream));
  if (reply.complete && reply.status == 200 && HasEndMarker(reply) == stream &&
      CompletionText(reply) == ExpectedOutput(prompt, kMaxTokens))
    return "";
  return std::to_string(letter) + ": " + std::to_string(reply.status) +
         (reply.complete ? " whole " : " cut ") + CompletionText(reply) +
         reply.body;
}

// Sends `count` letters at once over all routers; how many of the answers are
// the whole text of their own letter.
int CorrectOf(Deployment& fleet, int count) {
  std::vector<std::thread> callers;
  std::vector<std::string> faults(static_cast<size_t>(count));
  for (size_t i = 0; i < faults.size(); ++i) {
    callers.emplace_back([&, i] {
      faults[i] = FaultOf(fleet.router(i % fleet.routers()).port(), i);
    });
  }
  for (std::thread& caller : callers) caller.join();
  for (const std::string& fault : faults)
    if (!fault.empty()) UNSCOPED_INFO(fault);
  return static_cast<int>(std::count(faults.begin(), faults.end(), ""));
}

TEST_CASE("Crossed, doubled and late answers reach nobody wrongly") {
  Deployment fleet(Options(""));
  const Json::Value behaviours[] = {
      Members({{"cross_answers", true}}),
      Members({{"double_answers", true}}),
      Members({{"late_ms", 200}}),
      Members({{"cross_answers", true}, {"double_answers", true}}),
  };
  const Json::Value calm = Members(
      {{"cross_answers", false}, {"double_answers", false}, {"late_ms", 0}});
  for (const Json::Value& behaviour : behaviours) {
    INFO(behaviour.toStyledString());
    for (StandIn* engine : {&fleet.decode(), &fleet.prefill()}) {
      engine->SetBehavior(calm);
      engine->SetBehavior(behaviour);
    }
    CHECK(CorrectOf(fleet, 10) == 10);
  }
  CHECK(Eventually(
      [&] { return fleet.decode().GetCounter("held_pieces") == 0; }));
}

TEST_CASE("Naive: without the check of attempts answers are mixed up") {
  Deployment fleet(Options("attempt-check"));
  fleet.decode().SetBehavior(Members({{"cross_answers", true}}));
  CHECK(CorrectOf(fleet, 10) < 10);
  fleet.decode().SetBehavior(
      Members({{"cross_answers", false}, {"double_answers", true}}));
  CHECK(CorrectOf(fleet, 10) < 10);
}

TEST_CASE("A stream cut at any byte is resumed without a second prefill") {
  Deployment fleet(Options(""));
  for (const int bytes : {300, 400, 501, 800, 1500, 2500}) {
    INFO("cut after " << bytes);
    fleet.decode().proxy().SendCommand("set cut_after_down " +
                                       std::to_string(bytes));
    fleet.decode().proxy().SendCommand("set limit 1");
    CHECK(CorrectOf(fleet, 1) == 1);
  }
  CHECK(fleet.prefill().GetCounter("prefills_recomputed") == 0);
  CHECK(fleet.decode().GetCounter("resumed") > 0);
  CHECK(Eventually(
      [&] { return fleet.decode().GetCounter("held_pieces") == 0; }));
}

TEST_CASE("A resume that races with a slow original takes each token once") {
  Deployment fleet(Options(""));
  // Only the connection is cut: the engine goes on and the resume overtakes
  // what is still under way.
  fleet.decode().proxy().SendCommand("set delay_ms 50");
  fleet.decode().SetBehavior(Members({{"double_answers", true}}));
  fleet.decode().proxy().SendCommand("set cut_after_down 900");
  fleet.decode().proxy().SendCommand("set limit 3");
  CHECK(CorrectOf(fleet, 8) == 8);
}

TEST_CASE("An engine that dies in the middle is replaced by another") {
  Deployment fleet(Options("", /*decode=*/2));
  fleet.decode(0).SetBehavior(Members({{"die_after_tokens", 10}}));
  fleet.decode(1).SetBehavior(Members({{"die_after_tokens", 1000000}}));
  // Placement decides when the engine gets the letter that kills it.
  constexpr int kMaxRounds = 20;
  for (int round = 0; round < kMaxRounds && fleet.decode(0).process().running();
       ++round)
    CHECK(CorrectOf(fleet, 6) == 6);
  CHECK_FALSE(fleet.decode(0).process().running());
  CHECK(Eventually(
      [&] { return fleet.decode(1).GetCounter("held_pieces") == 0; }));
}

TEST_CASE("An engine that talks nonsense is not taken for an answer",
          "[nonsense]") {
  Deployment fleet(Options("", /*decode=*/2));
  fleet.decode(0).SetBehavior(Members({{"nonsense", true}}));
  CHECK(CorrectOf(fleet, 6) == 6);
  // The orders that end a given-up attempt spare the next one.
  CHECK(fleet.prefill().GetCounter("prefills_cancelled") == 0);
  fleet.decode(1).SetBehavior(Members({{"nonsense", true}}));
  const Reply reply =
      Call(fleet.router(0).port(), Completion("x [out=9]", kMaxTokens, false));
  CHECK(reply.status >= 500);
  CHECK(reply.Header("Mimosa-Outcome") == "unknown");
  CHECK(Eventually(
      [&] { return fleet.decode(0).GetCounter("held_pieces") == 0; }));
}

}  // namespace
}  // namespace mimosa::testing
