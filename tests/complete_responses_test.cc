// Promise: each caller receives the complete response. A response that the back
// end cuts off never ends cleanly for the caller, and bodies arrive byte for
// byte in both directions.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/random.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

std::string RandomBytes(size_t size, uint64_t seed) {
  SeededRandom random(seed);
  std::string bytes(size, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random.Next());
  return bytes;
}

Request Echo(const std::string& mode, const std::string& body) {
  Request request = ServiceRequest("POST", "/lookup/echo", body);
  request.headers.emplace_back("X-Echo", mode);
  return request;
}

Json::Value MakeObject(const char* name, const Json::Value& value) {
  Json::Value members(Json::objectValue);
  members[name] = value;
  return members;
}

TEST_CASE("Bodies pass unchanged, with Content-Length and in chunks") {
  Deployment fleet(DeploymentOptions{});
  Connection reused(fleet.router(0).port());
  for (const size_t size : {0U, 1U, 999U, 1000U, 65536U, 300000U, 3000000U}) {
    const std::string body = RandomBytes(size, Seed() + size);
    for (const char* mode : {"body", "chunked"}) {
      INFO(mode << " " << size);
      REQUIRE(reused.Send(Echo(mode, body)));
      const Reply reply = reused.ReadReply();
      CHECK(reply.complete);
      CHECK(reply.status == 200);
      CHECK((reply.body == body));
    }
  }
}

TEST_CASE("Method, target, headers and status pass unchanged") {
  Deployment fleet(DeploymentOptions{});
  const uint16_t port = fleet.router(0).port();
  for (const char* method : {"GET", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
    for (const char* status : {"200", "201", "404", "500"}) {
      Request request = ServiceRequest(method, "/lookup/%2Fa?x=%00&x=2", "b");
      request.headers.emplace_back("X-Status", status);
      request.headers.emplace_back("X-Twice", "one");
      request.headers.emplace_back("X-Twice", "two");
      const Reply reply = Call(port, request);
      INFO(method << " " << status << " " << reply.body);
      CHECK(std::to_string(reply.status) == status);
      CHECK(reply.JsonBody()["method"] == method);
      CHECK(reply.JsonBody()["target"] == request.target);
      CHECK(reply.body.find("two") != std::string::npos);
      int cookies = 0;
      for (const auto& [name, value] : reply.headers)
        if (name == "Set-Cookie" || name == "set-cookie") ++cookies;
      CHECK(cookies == 2);
    }
  }
  const Reply head = Call(port, ServiceRequest("HEAD", "/lookup/a", ""));
  CHECK(head.complete);
  CHECK(head.status == 200);
}

TEST_CASE("A response that is cut anywhere isn't passed on as complete") {
  Deployment fleet(DeploymentOptions{});
  const uint16_t port = fleet.router(0).port();
  const std::string body = RandomBytes(20000, Seed());
  for (const char* mode : {"body", "chunked"}) {
    for (const int at : {0, 1, 500, 1000, 1001, 19999}) {
      INFO(mode << " cut at " << at);
      fleet.service().SetBehavior(MakeObject("close_after_bytes", at));
      const Reply reply = Call(port, Echo(mode, body));
      const bool refused = reply.complete && reply.status >= 500;
      CHECK((refused || !reply.complete));
      if (!refused)
        CHECK((body.compare(0, reply.body.size(), reply.body) == 0));
      CHECK(reply.Header("Mimosa-Outcome") != "not-run");
    }
  }
  fleet.service().SetBehavior(MakeObject("close_after_bytes", -1));
  fleet.service().SetBehavior(MakeObject("cut_chunked", true));
  CHECK_FALSE(Call(port, Echo("chunked", body)).complete);
  // Cut on the wire: within the head, at its end, within the body.
  fleet.service().SetBehavior(MakeObject("cut_chunked", false));
  for (const int at : {1, 40, 150, 400, 5000}) {
    INFO("wire cut at " << at);
    fleet.service().proxy().SendCommand("set cut_after_down " +
                                        std::to_string(at));
    const Reply reply = Call(port, Echo("body", body));
    CHECK_FALSE((reply.complete && reply.status == 200));
    CHECK(reply.Header("Mimosa-Outcome") != "not-run");
  }
  fleet.service().proxy().SendCommand("reset");
  CHECK((Call(port, Echo("body", body)).body == body));
}

TEST_CASE("Without the completeness check a cut response looks complete") {
  DeploymentOptions options;
  options.router_flags = {"--disable=whole-check"};
  Deployment fleet(options);
  fleet.service().SetBehavior(MakeObject("close_after_bytes", 1000));
  const std::string body = RandomBytes(20000, Seed());
  const Reply reply = Call(fleet.router(0).port(), Echo("chunked", body));
  CHECK(reply.complete);
  CHECK(reply.body.size() < body.size());
}

TEST_CASE(
    "A stream whose decode engine was killed doesn't end like a complete one") {
  DeploymentOptions options;
  options.engine_flags = {"--token-us=10000"};
  Deployment fleet(options);
  Connection caller(fleet.router(0).port());
  REQUIRE(caller.Send(Completion("letter [out=400]", 400, true)));
  REQUIRE(caller.ReadAtLeast(1).status == 200);
  fleet.decode().process().Kill();
  const Reply reply = caller.ReadReply();
  CHECK_FALSE(reply.complete);
  CHECK_FALSE(HasEndMarker(reply));
}

TEST_CASE("A caller that reads slowly gets the complete body") {
  Deployment fleet(DeploymentOptions{});
  const std::string body = RandomBytes(3000000, Seed());
  Connection caller(fleet.router(0).port());
  REQUIRE(caller.Send(Echo("body", body)));
  std::string got;
  Reply reply;
  for (size_t want = 500000; !reply.complete && want <= 3000000;
       want += 500000) {
    reply = caller.ReadAtLeast(want);
    Eventually([] { return false; }, Seconds(0.1));
  }
  if (!reply.complete) reply = caller.ReadReply();
  CHECK(reply.complete);
  CHECK((reply.body == body));
}

}  // namespace
}  // namespace mimosa::testing
