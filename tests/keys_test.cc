// Promises: a request runs only for the customer whose key it carries, and no
// back end ever receives a caller's key.
#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

DeploymentOptions Options(const std::string& disable) {
  DeploymentOptions options;
  options.router_flags = {"--grant-ms=1000"};
  if (!disable.empty()) options.router_flags.push_back("--disable=" + disable);
  return options;
}

// Returns the customer for whom the service reports that the request ran, or
// "-" if it didn't run.
std::string CustomerOfRun(const Reply& reply) {
  const Json::Value document = reply.JsonBody();
  if (reply.status != 200 || !document["headers"].isArray()) return "-";
  for (const Json::Value& field : document["headers"])
    if (field[0].asString() == "Mimosa-Customer" ||
        field[0].asString() == "mimosa-customer")
      return field[1].asString();
  return "";
}

Request Lookup(const Fields& headers) {
  Request request = ServiceRequest("GET", "/lookup/a", "", "");
  request.headers = headers;
  return request;
}

TEST_CASE("A request runs for the customer of its key or not at all") {
  Deployment fleet(Options(""));
  const std::string trust = kTrustKey;
  const std::string port = kPortKey;
  struct Row {
    Fields headers;
    const char* ran_for;
  };
  const Row rows[] = {
      {{{"Authorization", "Bearer " + trust}}, "trust"},
      {{{"Authorization", "Bearer " + port}}, "port"},
      {{{"authorization", "bearer " + port}}, "port"},
      {{{"X-Api-Key", trust}}, "trust"},
      {{{"Cookie", "a=b; session_key=" + port}}, "port"},
      {{}, "-"},
      {{{"Authorization", "Bearer "}}, "-"},
      {{{"Authorization", "Basic " + trust}}, "-"},
      {{{"Authorization", trust}}, "-"},
      {{{"Authorization", "Bearer " + trust + "0"}}, "-"},
      {{{"Authorization", "Bearer " + trust.substr(0, 40)}}, "-"},
      {{{"Authorization", "Bearer " + trust + "," + port}}, "-"},
      {{{"Authorization", "Bearer " + trust},
        {"Authorization", "Bearer " + port}},
       "-"},
      {{{"Authorization", "Bearer " + trust}, {"X-Api-Key", port}}, "-"},
      {{{"Authorization", "Bearer " + trust},
        {"Cookie", "session_key=" + port}},
       "-"},
      // A caller can't set its customer itself.
      {{{"Authorization", "Bearer " + trust}, {"Mimosa-Customer", "port"}},
       "trust"},
      {{{"Mimosa-Customer", "port"}}, "-"},
  };
  Connection reused(fleet.router(0).port());
  for (const Row& row : rows) {
    for (const bool on_reused : {false, true}) {
      const Request request = Lookup(row.headers);
      Reply reply;
      if (on_reused) {
        REQUIRE(reused.Send(request));
        reply = reused.ReadReply();
      } else {
        reply = Call(fleet.router(1).port(), request);
      }
      INFO((row.headers.empty() ? "no key" : row.headers.back().second)
           << " " << reply.status << " " << reply.body);
      CHECK(CustomerOfRun(reply) == row.ran_for);
      if (*row.ran_for == '-')
        CHECK(reply.Header("Mimosa-Outcome") == "not-run");
    }
  }
}

TEST_CASE("Pipelined requests don't run with each other's keys") {
  Deployment fleet(Options(""));
  Connection connection(fleet.router(0).port());
  const auto raw = [](const std::string& header) {
    return "GET /lookup/a HTTP/1.1\r\nHost: t\r\n" + header + "\r\n";
  };
  const std::string trust = std::string("Authorization: Bearer ") + kTrustKey;
  const std::string port = std::string("Authorization: Bearer ") + kPortKey;
  REQUIRE(connection.SendRaw(raw(trust + "\r\n") + raw("") +
                             raw(port + "\r\n") + raw("")));
  for (const char* ran_for : {"trust", "-", "port", "-"})
    CHECK(CustomerOfRun(connection.ReadReply()) == ran_for);
}

TEST_CASE("Open routes need no key and pass none on") {
  Deployment fleet(Options(""));
  const uint16_t port = fleet.router(0).port();
  CHECK(Call(port, ServiceRequest("GET", "/open/a", "", "")).status == 200);
  CHECK(Call(port, ServiceRequest("GET", "/open/a", "", "mk_wrong")).status ==
        200);
  CHECK(Call(port, ServiceRequest("GET", "/open/a", "")).status == 200);
  const std::string received = fleet.service().proxy().Received();
  CHECK(received.find(kTrustKey) == std::string::npos);
}

// Returns requests that have the key in a trailer, in a chunk extension or in
// the user part of an absolute target, besides the proper header.
std::vector<std::string> RawRequests(const std::string& key) {
  constexpr std::string_view kPlaceholder = "KEY";
  std::vector<std::string> requests = {
      "POST /lookup/a HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer KEY\r\n"
      "Transfer-Encoding: chunked\r\nTrailer: X-Key\r\n\r\n"
      "1\r\nb\r\n0\r\nX-Key: KEY\r\n\r\n",
      "POST /lookup/a HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer KEY\r\n"
      "Transfer-Encoding: chunked\r\n\r\n1;k=KEY\r\nb\r\n0\r\n\r\n",
      "GET http://KEY@t/lookup/a HTTP/1.1\r\nHost: t\r\n"
      "Authorization: Bearer KEY\r\n\r\n"};
  for (std::string& request : requests) {
    for (size_t at = 0;
         (at = request.find(kPlaceholder, at)) != std::string::npos;
         at += key.size()) {
      // Header names contain the placeholder only in another case.
      request.replace(at, kPlaceholder.size(), key);
    }
  }
  return requests;
}

// Sends requests with the key in every place where a caller could put it, to
// all kinds of back ends.
void SendKeyEverywhere(Deployment& fleet) {
  const std::string key = kTrustKey;
  const uint16_t port = fleet.router(0).port();
  const Fields places[] = {
      {{"X-Api-Key", key}},
      {{"Cookie", "session_key=" + key + "; other=1"}},
      {{"Cookie", "other=" + key}},
      {{"Proxy-Authorization", "Bearer " + key}},
      {{"X-Forwarded-Authorization", "Bearer " + key}},
      {{"Referer", "http://a/?key=" + key}},
      {{"X-Anything", "prefix-" + key + "-suffix"}},
      {{"X-Twice", "a"}, {"X-Twice", key}},
      {{"Idempotency-Key", key}},
  };
  for (const Fields& place : places) {
    Request request = ServiceRequest("POST", "/lookup/a", "body");
    request.headers.insert(request.headers.end(), place.begin(), place.end());
    Call(port, request);
    request.target = "/booking/a";
    Call(port, request);
    request.target = "/open/a";
    Call(port, request);
    Request completion = Completion("letter [out=2]", 5, false);
    completion.headers.insert(completion.headers.end(), place.begin(),
                              place.end());
    Call(port, completion);
  }
  for (const std::string& target :
       {"/lookup/" + key, "/lookup/a?api_key=" + key, "/open/a?k=" + key,
        "/lookup/a?k=%6d" + key.substr(1)})
    Call(port, ServiceRequest("GET", target, ""));
  Call(port, ServiceRequest("POST", "/lookup/a", "{\"key\":\"" + key + "\"}"));
  Call(port, Completion("My key is " + key, 5, false));
  for (const std::string& raw : RawRequests(key)) {
    Connection connection(port);
    connection.SendRaw(raw);
    connection.ReadReply(Seconds(5));
  }
}

// Returns everything that back ends received, on the wire and in their
// journals.
std::string GetAllReceived(Deployment& fleet) {
  return fleet.service().proxy().Received() +
         fleet.prefill().proxy().Received() +
         fleet.decode().proxy().Received() +
         Get(fleet.service().port(), "/debug/received").body +
         Get(fleet.prefill().port(), "/debug/journal").body +
         Get(fleet.decode().port(), "/debug/journal").body;
}

TEST_CASE("No back end receives a key, wherever the caller puts it") {
  Deployment fleet(Options(""));
  SendKeyEverywhere(fleet);
  const std::string received = GetAllReceived(fleet);
  CHECK(received.find("/lookup/a") != std::string::npos);
  CHECK(received.find("letter [out=2]") != std::string::npos);
  // Also searches without the prefix, because a key must be stripped too if its
  // first character is encoded.
  CHECK(received.find(std::string(kTrustKey).substr(3)) == std::string::npos);
}

TEST_CASE("Without key stripping back ends receive keys") {
  Deployment fleet(Options("key-strip"));
  SendKeyEverywhere(fleet);
  CHECK(GetAllReceived(fleet).find(kTrustKey) != std::string::npos);
}

// Withdraws the key of "trust" during a stream and checks that new requests are
// refused within the bound. Returns whether the stream was ended within it.
bool WithdrawalEndsStream(const std::string& disable) {
  constexpr Seconds kBound{5};
  DeploymentOptions options = Options(disable);
  options.engine_flags = {"--token-us=10000"};
  Deployment fleet(options);
  Connection streaming(fleet.router(0).port());
  REQUIRE(streaming.Send(Completion("letter [out=4000]", 4000, true)));
  REQUIRE(streaming.ReadAtLeast(1).status == 200);
  Connection open(fleet.router(1).port());
  REQUIRE(open.Send(ServiceRequest("GET", "/lookup/a", "")));
  REQUIRE(open.ReadReply().status == 200);
  fleet.RunMimosactl({"key", "withdraw", "trust", "trust-1"});
  const auto refused = [&](size_t router) {
    return Call(fleet.router(router).port(),
                ServiceRequest("GET", "/lookup/a", ""))
               .status == 401;
  };
  for (size_t r = 0; r < fleet.routers(); ++r)
    CHECK(Eventually([&] { return refused(r); }, kBound));
  REQUIRE(open.Send(ServiceRequest("GET", "/lookup/a", "")));
  CHECK(open.ReadReply().status == 401);
  CHECK(Call(fleet.router(0).port(),
             ServiceRequest("GET", "/lookup/a", "", kPortKey))
            .status == 200);
  return Eventually(
             [&] { return fleet.decode().GetCounter("held_pieces") == 0; },
             kBound) &&
         !streaming.ReadReply(kBound).complete;
}

TEST_CASE("A withdrawn key stops working, also on open connections") {
  CHECK(WithdrawalEndsStream(""));
}

TEST_CASE("Without the recheck of keys a withdrawn key's stream continues") {
  CHECK_FALSE(WithdrawalEndsStream("key-sweep"));
}

}  // namespace
}  // namespace mimosa::testing
