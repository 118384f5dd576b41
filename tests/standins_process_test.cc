// Tests the stand-ins as processes, since the tests of the router depend on
// them.
#include <catch2/catch.hpp>
#include <string>

#include "base/base64.h"
#include "base/digest.h"
#include "base/json.h"
#include "standins/generated_text.h"
#include "tests/client.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

using standins::ExpectedOutput;

Json::Value MakeObject(
    std::initializer_list<std::pair<const char*, Json::Value>> members) {
  Json::Value value(Json::objectValue);
  for (const auto& [name, member] : members) value[name] = member;
  return value;
}

Json::Value MakeOrder(const std::string& request, const std::string& prompt) {
  return MakeObject({{"request", request},
                     {"attempt", 1},
                     {"prompt", prompt},
                     {"max_output_tokens", 50}});
}

// One prefill and one decode engine.
struct Engines {
  explicit Engines(const std::vector<std::string>& flags = {})
      : prefill("standin-engine", EngineFlags("--role=prefill", flags)),
        decode("standin-engine", EngineFlags("--role=decode", flags)) {}

  static std::vector<std::string> EngineFlags(const char* role,
                                              std::vector<std::string> flags) {
    flags.emplace_back(role);
    flags.emplace_back("--token-us=5000");
    flags.emplace_back("--kv-ttl-ms=300");
    flags.emplace_back("--linger-ms=300");
    return flags;
  }

  // Computes the KV of the prompt and returns a decode order for it.
  Json::Value MakeDecodeOrder(const std::string& request,
                              const std::string& prompt) {
    Json::Value order = MakeOrder(request, prompt);
    const Reply reply = PostJson(prefill.port(), "/v1/prefill", order);
    REQUIRE(reply.status == 200);
    order["kv"] = reply.JsonBody()["kv"];
    order["from"] = prefill.address();
    return order;
  }

  StandIn prefill;
  StandIn decode;
};

std::string StreamText(const Reply& reply) {
  std::string text;
  size_t at = 0;
  while ((at = reply.body.find("data: {", at)) != std::string::npos) {
    const size_t end = reply.body.find('\n', at);
    const auto event = ParseJson(reply.body.substr(at + 6, end - at - 6));
    if (event) text += (*event)["text"].asString();
    at = end;
  }
  return text;
}

Request MakePost(const std::string& target, const Json::Value& body) {
  Request request;
  request.method = "POST";
  request.target = target;
  request.body = WriteJson(body);
  return request;
}

TEST_CASE("Engines: after prefill, transfer and decode no memory is held") {
  Engines engines;
  const std::string prompt = "Which course? [out=12]";
  const Reply reply = PostJson(engines.decode.port(), "/v1/decode",
                               engines.MakeDecodeOrder("r/1", prompt));
  CHECK(reply.complete);
  CHECK(StreamText(reply) == ExpectedOutput(prompt, 50));
  CHECK(HasEndMarker(reply));
  CHECK(engines.decode.GetCounter("held_pieces") == 0);
  CHECK(engines.prefill.GetCounter("held_pieces") == 0);
  CHECK(engines.prefill.GetCounter("prefills_wasted") == 0);
}

TEST_CASE("Engines: an unclaimed result is evicted and counts as wasted") {
  Engines engines;
  const Json::Value order = engines.MakeDecodeOrder("r/1", "letter");
  REQUIRE(Eventually(
      [&] { return engines.prefill.GetCounter("prefills_wasted") == 1; }));
  const Reply reply = PostJson(engines.decode.port(), "/v1/decode", order);
  CHECK(reply.status == 410);
  CHECK(engines.decode.GetCounter("held_pieces") == 0);
}

TEST_CASE(
    "Engines: memory is held after the reader disconnects until a cancel") {
  Engines engines;
  const Json::Value order = engines.MakeDecodeOrder("r/1", "letter [out=50]");
  Connection caller(engines.decode.port());
  engines.decode.SetBehavior(MakeObject({{"stall_decode_after", 5}}));
  REQUIRE(caller.Send(MakePost("/v1/decode", order)));
  caller.ReadAtLeast(1);
  caller.Close();
  REQUIRE(Eventually([&] {
    return engines.decode.GetCounter("unread_tokens") > 0 ||
           engines.decode.GetCounter("tokens") == 5;
  }));
  CHECK(engines.decode.GetCounter("held_pieces") == 1);
  const Reply reply = PostJson(engines.decode.port(), "/v1/cancel",
                               MakeObject({{"prefix", "r/"}}));
  CHECK(reply.JsonBody()["freed_pieces"].asInt() == 1);
  CHECK(engines.decode.GetCounter("held_pieces") == 0);
}

TEST_CASE(
    "Engines: an order to cancel an attempt doesn't cancel the next one") {
  Engines engines;
  engines.prefill.SetBehavior(MakeObject({{"stall_prefill", 1}}));
  Connection caller(engines.prefill.port());
  Json::Value order = MakeOrder("r/1", "letter");
  order["attempt"] = 2;
  REQUIRE(caller.Send(MakePost("/v1/prefill", order)));
  REQUIRE(
      Eventually([&] { return engines.prefill.GetCounter("running") == 1; }));
  for (const int attempt : {1, 2}) {
    const Reply reply =
        PostJson(engines.prefill.port(), "/v1/cancel",
                 MakeObject({{"request", "r/1"}, {"attempt", attempt}}));
    CHECK(reply.JsonBody()["cancelled"].asInt() == attempt - 1);
  }
}

TEST_CASE("Engines: a cut stream resumes at the offset") {
  Engines engines;
  const std::string prompt = "letter [out=40]";
  Connection caller(engines.decode.port());
  REQUIRE(caller.Send(
      MakePost("/v1/decode", engines.MakeDecodeOrder("r/1", prompt))));
  caller.ReadAtLeast(1);
  caller.Close();
  Json::Value order = MakeOrder("r/1", prompt);
  order["offset"] = 3;
  const Reply reply = PostJson(engines.decode.port(), "/v1/resume", order);
  CHECK(reply.complete);
  std::string expected;
  const standins::GeneratedText answer(prompt, 50);
  for (int i = 3; i < 40; ++i) expected += answer.TokenText(i);
  CHECK(StreamText(reply) == expected);
  CHECK(engines.decode.GetCounter("held_pieces") == 0);
}

TEST_CASE(
    "Engines: a request that needs more pieces than there are is refused") {
  Engines engines({"--pieces=2"});
  Json::Value order = engines.MakeDecodeOrder("r/1", "letter");
  order["max_output_tokens"] = 2 * 2048;
  CHECK(PostJson(engines.decode.port(), "/v1/decode", order).status == 507);
  CHECK(engines.decode.GetCounter("held_pieces") == 0);
}

TEST_CASE("Engines: fencing is checked or ignored") {
  for (const bool checks : {true, false}) {
    Engines engines({checks ? "--fencing=check" : "--fencing=ignore"});
    const auto order = [&](int fence) {
      return PostJson(engines.decode.port(), "/v1/cancel",
                      MakeObject({{"request", "x"}, {"fence", fence}}))
          .status;
    };
    CHECK(order(7) == 200);
    CHECK(order(6) == (checks ? 409 : 200));
    CHECK(order(8) == 200);
  }
}

// Makes a write with an expected revision, as the product sends it.
Request WriteRequest(const std::string& key, const std::string& value,
                     int64_t expect) {
  Json::Value body;
  body["expected"][0] =
      MakeObject({{"key", key}, {"revision", Json::Int64(expect)}});
  body["writes"][0] =
      MakeObject({{"key", key}, {"value", EncodeBase64(value)}, {"lease", 0}});
  body["remove"] = Json::Value(Json::arrayValue);
  Request request;
  request.method = "POST";
  request.target = "/mimosarouter/kv-txn";
  request.body = WriteJson(body);
  return request;
}

TEST_CASE("Platform: racing writes, lost replies and writes during outages") {
  StandIn platform("standin-platform", {});
  const auto put = [&](const std::string& value, int64_t expect) {
    return Call(platform.port(), WriteRequest("m/a#1", value, expect));
  };
  const auto value = [&] {
    return GetJson(platform.port(), "/mimosarouter/kv-key?key=m/a%231")["value"]
        .asString();
  };
  const Reply first = put("one", 0);
  REQUIRE(first.status == 200);
  const int64_t revision = first.JsonBody()["revision"].asInt64();
  const Reply loser = put("two", 0);
  CHECK(loser.status == 412);
  CHECK(loser.JsonBody()["items"][0]["value"] == EncodeBase64("one"));
  platform.SetBehavior(
      MakeObject({{"lose_replies", 1}, {"lose_replies_prefix", "m/"}}),
      "/debug/control");
  CHECK(put("three", revision).status == 0);
  CHECK(value() == EncodeBase64("three"));
  platform.SetBehavior(MakeObject({{"outage", true}}), "/debug/control");
  CHECK(put("four", revision + 1).status == 0);
  platform.SetBehavior(MakeObject({{"outage", false}, {"busy", true}}),
                       "/debug/control");
  CHECK(put("five", revision + 1).status == 503);
  platform.SetBehavior(MakeObject({{"busy", false}}), "/debug/control");
  CHECK(value() == EncodeBase64("three"));
  CHECK(put(std::string((1U << 20) + 1, 'v'), revision + 1).status == 413);
  CHECK(Call(platform.port(), WriteRequest("op/config", "x", 0)).status == 403);
  platform.SetBehavior(MakeObject({{"late_writes", 1}, {"late_ms", 50}}),
                       "/debug/control");
  CHECK(put("late", revision + 1).status == 0);
  CHECK(Eventually([&] { return value() == EncodeBase64("late"); }));
}

TEST_CASE("Platform: listed callers are refused; compaction ends old watches") {
  StandIn platform("standin-platform", {});
  Json::Value refused;
  refused["refused"].append("127.0.0.1");
  platform.SetBehavior(refused, "/debug/control");
  CHECK(Get(platform.port(), "/mimosarouter/kv-range?prefix=").status == 503);
  platform.SetBehavior(MakeObject({{"compact", true}}), "/debug/control");
  refused["refused"] = Json::Value(Json::arrayValue);
  platform.SetBehavior(refused, "/debug/control");
  CHECK(Get(platform.port(), "/mimosarouter/kv-range?prefix=").status == 200);
  CHECK(Get(platform.port(), "/mimosarouter/kv-watch?prefix=&after=0").status ==
        410);
}

TEST_CASE("Platform: a waiting watch returns at a change") {
  StandIn platform("standin-platform", {});
  Connection watcher(platform.port());
  const int64_t revision =
      GetJson(platform.port(), "/debug/stats")["revision"].asInt64();
  Request watch;
  watch.target =
      "/mimosarouter/kv-watch?prefix=m/&after=" + std::to_string(revision) +
      "&wait_ms=20000";
  REQUIRE(watcher.Send(watch));
  REQUIRE(Eventually([&] {
    return GetJson(platform.port(), "/debug/stats")["waiting_watches"] == 1;
  }));
  REQUIRE(Call(platform.port(), WriteRequest("m/a", "v", 0)).status == 200);
  CHECK(watcher.ReadReply().JsonBody()["events"][0]["key"] == "m/a");
}

TEST_CASE("Service: journals what ran before it responds") {
  StandIn service("standin-service", {});
  const Request call = ServiceRequest("POST", "/booking/1", "anvil", "");
  service.SetBehavior(MakeObject({{"close_before_run", 1}}));
  CHECK(Call(service.port(), call).status == 0);
  service.SetBehavior(MakeObject({{"close_after_run", 1}}));
  CHECK(Call(service.port(), call).status == 0);
  const Reply reply = Call(service.port(), call);
  CHECK(reply.JsonBody()["run"].asInt() == 2);
  const Json::Value runs = GetJson(service.port(), "/debug/journal")["runs"];
  REQUIRE(runs.size() == 2);
  CHECK(runs[0]["body_sha256"] == Sha256Hex("anvil"));
  service.SetBehavior(MakeObject({{"close_after_bytes", 10}}));
  const Reply cut = Call(service.port(), call);
  CHECK_FALSE(cut.complete);
  CHECK(cut.body.size() == 10);
}

TEST_CASE("Proxy: each fault has its documented effect") {
  StandIn service("standin-service", {});
  const std::string body(5000, 'b');
  Request call = ServiceRequest("POST", "/x", body, "");
  call.headers = {{"X-Echo", "body"}};
  const auto through = [&] {
    return Call(service.proxy().port(), call, kDefaultTimeout,
                service.proxy().ip());
  };
  const auto runs = [&] {
    return GetJson(service.port(), "/debug/journal")["runs"].size();
  };
  REQUIRE(through().body == body);
  CHECK(service.proxy().Received().find(body) != std::string::npos);
  struct Row {
    const char* command;
    bool whole;
    unsigned runs;  // how many runs this call adds
  };
  const Row rows[] = {
      {"set delay_ms 20", true, 1},
      {"set cut_after_up 100", false, 0},
      {"set cut_after_down 60", false, 1},
      {"set half_close_down 300", false, 1},
      {"set drop_nth 1", false, 0},
      {"mode cut", false, 0},
      {"set duplicate 1", true, 2},
      {"reset", true, 1},
  };
  for (const Row& row : rows) {
    INFO(row.command);
    const unsigned before = runs();
    service.proxy().SendCommand("reset");
    service.proxy().SendCommand(row.command);
    CHECK(through().complete == row.whole);
    CHECK(Eventually([&] { return runs() == before + row.runs; }));
  }
}

TEST_CASE("Processes: paused, resumed, killed and restarted") {
  StandIn service("standin-service", {});
  const auto responds = [&](double seconds) {
    return Call(service.port(), ServiceRequest("GET", "/x", "", ""),
                Seconds(seconds))
        .complete;
  };
  CHECK(responds(30));
  service.process().Pause();
  CHECK_FALSE(responds(0.2));
  service.process().Resume();
  CHECK(responds(30));
  service.process().Kill();
  CHECK_FALSE(responds(0.2));
  service.process().Start();
  CHECK(Eventually([&] { return responds(1); }));
  service.process().Terminate();
  CHECK(service.process().Wait() == 0);
}

}  // namespace
}  // namespace mimosa::testing
