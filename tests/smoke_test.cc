// End-to-end tests with separate processes: caller, router, engines, services
// and the platform.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/digest.h"
#include "standins/generated_text.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

using standins::ExpectedOutput;

TEST_CASE(
    "Completions and plain calls reach their back ends and get responses") {
  Deployment fleet(DeploymentOptions{});
  const std::string prompt = "Which forging course? [out=20]";
  for (size_t i = 0; i < fleet.routers(); ++i) {
    const uint16_t port = fleet.router(i).port();
    for (const bool stream : {true, false}) {
      const Reply reply = Call(port, Completion(prompt, 50, stream));
      INFO(reply.status << " " << reply.body);
      CHECK(reply.complete);
      CHECK(reply.status == 200);
      CHECK(reply.Header("Mimosa-Outcome") == "ran");
      CHECK(CompletionText(reply) == ExpectedOutput(prompt, 50));
      CHECK(HasEndMarker(reply) == stream);
    }
    const Reply call =
        Call(port, ServiceRequest("PUT", "/lookup/a?b=c%20d", "anvil"));
    INFO(call.status << " " << call.body);
    CHECK(call.status == 200);
    CHECK(call.JsonBody()["method"] == "PUT");
    CHECK(call.JsonBody()["target"] == "/lookup/a?b=c%20d");
    CHECK(call.JsonBody()["body_sha256"] == Sha256Hex("anvil"));
  }
  CHECK(fleet.prefill().GetCounter("prefills_wasted") == 0);
  CHECK(Eventually(
      [&] { return fleet.decode().GetCounter("held_pieces") == 0; }));
}

TEST_CASE("Refusals have the right status and outcome, and nothing runs") {
  Deployment fleet(DeploymentOptions{});
  const uint16_t port = fleet.router(0).port();
  const auto runs = [&] {
    return GetJson(fleet.service().port(), "/debug/journal")["runs"].size();
  };
  const unsigned before = runs();
  struct Row {
    Request request;
    int status;
  };
  const Row rows[] = {
      {ServiceRequest("GET", "/nowhere", ""), 404},
      {ServiceRequest("GET", "/lookup/a", "", ""), 401},
      {ServiceRequest("GET", "/lookup/a", "", "mk_unknown"), 401},
      {Completion("x", 1000000, false), 400},
      {ServiceRequest("POST", "/v1/completions", "{\"prompt\":"), 400},
  };
  for (const Row& row : rows) {
    const Reply reply = Call(port, row.request);
    INFO(row.request.target << " " << reply.body);
    CHECK(reply.status == row.status);
    CHECK(reply.Header("Mimosa-Outcome") == "not-run");
    CHECK_FALSE(reply.Header("Mimosa-Request-Id").empty());
  }
  CHECK(runs() == before);
  CHECK(fleet.prefill().GetCounter("prefills_done") == 0);
}

TEST_CASE("A router that can't start logs the reason and exits with 2") {
  const uint16_t peer_port = FreePort();
  const std::string peer = Loopback(peer_port);
  const std::vector<std::string> common = {
      "--name=x",
      "--failure-domain=d",
      "--peer-listen=" + peer,
      "--listen=" + Loopback(FreePort()),
      "--operator-listen=" + Loopback(FreePort()),
      "--platform=" + Loopback(FreePort())};
  const Process::Environment secrets = {{"MIMOSA_PEER_SECRET", "a"},
                                        {"MIMOSA_OPERATOR_SECRET", "b"}};
  auto unknown = common;
  unknown.emplace_back("--disable=nonsense");
  Process refused("tools/mimosa-router", unknown, secrets);
  refused.Start();
  CHECK(refused.Wait() == 2);
  CHECK(refused.Output().find("start_failed") != std::string::npos);
  // Two processes can't be the same member, because the peer port is exclusive.
  Process first("tools/mimosa-router", common, secrets);
  first.Start();
  REQUIRE(Eventually([&] { return !Call(peer_port, {}).headers.empty(); }));
  Process second("tools/mimosa-router", common, secrets);
  second.Start();
  CHECK(second.Wait() == 2);
  CHECK(first.running());
}

TEST_CASE("A router that reports that it is ready admits requests") {
  DeploymentOptions options;
  options.warm_up = false;
  Deployment fleet(options);
  for (size_t i = 0; i < fleet.routers(); ++i) {
    const Reply reply =
        Call(fleet.router(i).port(), ServiceRequest("GET", "/lookup/a", ""));
    INFO(fleet.router(i).name() << ": " << reply.body);
    CHECK(reply.status == 200);
  }
}

}  // namespace
}  // namespace mimosa::testing
