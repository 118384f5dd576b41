// Tests how model requests hold memory in the ledger of their service: from the
// grant to the end of the run, and what they do when the ledger is wrong.
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "serving/memory_exchange.h"
#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

struct ClaimsFixture : StreamFixture {
  ClaimsFixture() {
    UseLedger(Tokens(36000), 1);
    deps.memory = &memory;
  }
  ~ClaimsFixture() {
    calls.clear();
    server.reset();
    frontend.reset();
  }

  void UseLedger(Tokens engine_memory, int tokens_per_event) {
    std::vector<SiteService> services = config->services();
    for (SiteService& service : services) {
      if (!service.engine) continue;
      service.engine->kv_memory = engine_memory;
      service.engine->tokens_per_event = tokens_per_event;
    }
    std::vector<SiteRoute> routes = config->routes();
    for (SiteRoute& route : routes)
      if (route.prefix == "/letter/") route.priority = 2;
    config = std::make_shared<SiteConfig>(2, routes, services,
                                          config->customers(), CallerLimits{});
    memory.SetConfig(*config);
  }

  // Starts a request without waiting for its end.
  void Begin(const std::string& target) {
    HttpCallOptions options;
    options.to = {"127.0.0.1", server->port()};
    calls.push_back(Fetch(client.get(), options, MakeRequest(target),
                          [this](const HttpResult& http) {
                            statuses.push_back(http.response.status);
                          }));
  }

  int CountReservations() const {
    int count = 0;
    for (const HttpRequest& request : decode.back_end.requests)
      count += request.target == "/mimosarouter/hold-take" ? 1 : 0;
    return count;
  }
  Tokens granted() const {
    const MemoryLedger* const ledger = memory.FindLedger(ServiceId("llm"));
    return ledger == nullptr ? Tokens(0) : ledger->granted();
  }
  // Past the ledger's first moment.
  void LetLedgerSettle() {
    CHECK(CallFrontend("/note/0").status == 200);
    const MonoTime end = loop->Now() + milliseconds(350);
    RunUntil(loop.get(), [&] { return loop->Now() >= end; });
  }

  MemoryExchange memory{loop.get(), &members, &back_ends, &selector,
                        &random,    &log,     {}};
  std::vector<std::unique_ptr<HttpCall>> calls;
  std::vector<int> statuses;
};

TEST_CASE_METHOD(ClaimsFixture, "a run holds memory until it ends") {
  LetLedgerSettle();
  CHECK(granted() == Tokens(0));
  FakeBackEnd::Exchange run;
  decode.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    run = exchange;
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1));
  };
  Begin("/note/1");
  REQUIRE(RunUntil(loop.get(), [&] { return run != nullptr; }));
  CHECK(granted() == Tokens(128));  // 100 + 1.2 * 20, in blocks of 16.
  run->Finish();
  REQUIRE(RunUntil(loop.get(), [&] { return !statuses.empty(); }));
  RunUntil(loop.get(), [&] { return granted() == Tokens(0); });
  CHECK(granted() == Tokens(0));
  CHECK(memory.counters().granted == 2);
}

TEST_CASE_METHOD(ClaimsFixture,
                 "a request without room asks no engine until there is some") {
  UseLedger(Tokens(200), 1);
  LetLedgerSettle();
  std::vector<FakeBackEnd::Exchange> runs;
  decode.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    runs.push_back(exchange);
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1));
  };
  const int before = CountReservations();
  Begin("/note/1");
  REQUIRE(RunUntil(loop.get(), [&] { return runs.size() == 1; }));
  Begin("/letter/2");
  Begin("/note/3");
  REQUIRE(RunUntil(loop.get(), [&] { return memory.waiting_count() == 2; }));
  const MonoTime end = loop->Now() + milliseconds(150);
  RunUntil(loop.get(), [&] { return loop->Now() >= end; });
  CHECK(CountReservations() == before + 1);
  runs[0]->Finish();
  // The more urgent one first.
  REQUIRE(RunUntil(loop.get(), [&] { return runs.size() == 2; }));
  CHECK(runs[1]->request().target == "/note/3");
  CHECK(CountReservations() == before + 2);
  runs[1]->Finish();
  REQUIRE(RunUntil(loop.get(), [&] { return runs.size() == 3; }));
  runs[2]->Finish();
  REQUIRE(RunUntil(loop.get(), [&] { return statuses.size() == 3; }));
  CHECK(statuses == std::vector<int>{200, 200, 200});
}

TEST_CASE_METHOD(ClaimsFixture, "a run that grows holds more") {
  UseLedger(Tokens(36000), 50);
  LetLedgerSettle();
  FakeBackEnd::Exchange run;
  decode.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    run = exchange;
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1) + MakeEvent(2));
  };
  Begin("/note/1");
  REQUIRE(RunUntil(loop.get(), [&] { return granted() > Tokens(400); }));
  run->Finish();
  REQUIRE(RunUntil(loop.get(), [&] { return !statuses.empty(); }));
}

TEST_CASE_METHOD(ClaimsFixture, "the engine's refusal ends the grant") {
  decode.has_capacity = false;
  Begin("/note/1");
  REQUIRE(RunUntil(loop.get(), [&] { return CountReservations() >= 2; }));
  CHECK(memory.counters().engine_refused >= 1);
  CHECK(granted() <= Tokens(128));
  decode.has_capacity = true;
  REQUIRE(RunUntil(loop.get(), [&] { return !statuses.empty(); }));
  CHECK(statuses[0] == 200);
}

TEST_CASE_METHOD(ClaimsFixture, "a caller that leaves gives up its place") {
  UseLedger(Tokens(200), 1);
  LetLedgerSettle();
  FakeBackEnd::Exchange run;
  decode.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    run = exchange;
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1));
  };
  Begin("/note/1");
  REQUIRE(RunUntil(loop.get(), [&] { return run != nullptr; }));
  Begin("/note/2");
  REQUIRE(RunUntil(loop.get(), [&] { return memory.waiting_count() == 1; }));
  calls.pop_back();
  CHECK(RunUntil(loop.get(), [&] { return memory.waiting_count() == 0; }));
  run->Finish();
}

}  // namespace
}  // namespace mimosa::testing
