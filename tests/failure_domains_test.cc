// Tests that no request reaches an engine in an evacuated failure domain or
// outside its allowed regions, by any of the ways that lead to an engine.
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

FakeBackEnd::Script RespondOk() {
  return [](const FakeBackEnd::Exchange& exchange) {
    SendResponse(exchange, 200, "ok");
  };
}

// Engines of both roles in the failure domains "y" and "z", of one region, and
// in "x" of another.
struct DomainsFixture : RelayFixture {
  DomainsFixture() {
    const std::string names = "xyz";
    for (size_t i = 0; i < names.size(); ++i) {
      const std::string domain(1, names[i]);
      AddBackEnd("p" + domain, "llm", EngineRole::kPrefill,
                 prefill[i].back_end.port(), "v1", 1, domain.c_str());
      AddBackEnd("e" + domain, "llm", EngineRole::kDecode,
                 decode[i].back_end.port(), "v1", 1, domain.c_str());
    }
  }
  // Sends a request that is answered later.
  struct PendingCall {
    std::unique_ptr<HttpCall> call;
    std::optional<HttpResult> result;
  };
  std::unique_ptr<PendingCall> StartCall(const std::string& target) {
    auto pending = std::make_unique<PendingCall>();
    HttpCallOptions options;
    options.to = {"127.0.0.1", server->port()};
    pending->call = Fetch(client.get(), options, MakeRequest(target),
                          [raw = pending.get()](HttpResult result) {
                            raw->result = std::move(result);
                          });
    return pending;
  }
  void Await(const PendingCall& pending) {
    REQUIRE(RunUntil(loop.get(), [&] { return pending.result.has_value(); }));
  }
  size_t RequestsTo(const std::string& domain) const {
    const size_t i = std::string("xyz").find(domain);
    return prefill[i].back_end.requests.size() +
           decode[i].back_end.requests.size();
  }
  const FailureDomain x{"x"}, y{"y"}, z{"z"};
  FakeEngine prefill[3] = {FakeEngine(loop.get()), FakeEngine(loop.get()),
                           FakeEngine(loop.get())};
  FakeEngine decode[3] = {FakeEngine(loop.get()), FakeEngine(loop.get()),
                          FakeEngine(loop.get())};
  const std::string complete_stream =
      MakeEvent(1) + MakeEvent(2) + MakeEvent(3);
};

// --- Evacuation --------------------------------------------------------------

TEST_CASE_METHOD(DomainsFixture,
                 "an evacuated failure domain gets nothing until it is over") {
  for (int i = 0; i < 10; ++i) CHECK(CallFrontend("/letter/1").ok);
  CHECK(RequestsTo("z") > 0);  // The nearest, and its connections are kept.
  const size_t before = RequestsTo("z");
  Evacuate({z});
  for (int i = 0; i < 20; ++i)
    CHECK(CallFrontend("/letter/1").body == complete_stream);
  CHECK(RequestsTo("z") == before);
  Evacuate({});
  for (int i = 0; i < 10; ++i) CHECK(CallFrontend("/letter/1").ok);
  CHECK(RequestsTo("z") > before);
}

TEST_CASE_METHOD(DomainsFixture,
                 "if all failure domains are evacuated, requests are refused "
                 "at once") {
  Evacuate({x, y, z, FailureDomain("unknown")});
  const MonoTime start = loop->Now();
  const CallerResponse response = CallFrontend("/letter/1");
  CHECK(response.status == 503);
  REQUIRE(response.headers.Find("Retry-After") != nullptr);
  CHECK(std::stod(*response.headers.Find("Retry-After")) >= 1);
  CHECK(loop->Now() - start < milliseconds(200));
  CHECK(RequestsTo("x") + RequestsTo("y") + RequestsTo("z") == 0);
  CHECK(frontend->counters().refused_by_barrier[size_t(Barrier::kEvacuated)] ==
        1);
}

TEST_CASE_METHOD(DomainsFixture,
                 "what an engine holds for a request is not used after its "
                 "evacuation") {
  // The reservation at "z" is granted; then both "z" and the engine that runs
  // the prefill are evacuated.
  std::optional<FakeBackEnd::Exchange> waiting;
  for (FakeEngine& engine : prefill)
    engine.on_prefill = [&](const auto& exchange) { waiting = exchange; };
  const auto call = StartCall("/letter/1");
  REQUIRE(RunUntil(loop.get(), [&] { return waiting.has_value(); }));
  REQUIRE(decode[2].back_end.requests.size() == 1);
  REQUIRE(prefill[2].prefills == 1);
  Evacuate({z});
  const size_t before = RequestsTo("z");
  (*waiting)->Respond({200, {}, R"({"handle":"kv1","tokens":10,"version":1})"});
  for (FakeEngine& engine : prefill)
    engine.on_prefill = FakeEngine(loop.get()).on_prefill;
  Await(*call);
  CHECK(call->result->response.body == complete_stream);
  // Neither the run nor a release of memory.
  RunFor(loop.get(), milliseconds(50));
  CHECK(RequestsTo("z") == before);
  const std::string address =
      "127.0.0.1:" + std::to_string(prefill[2].back_end.port());
  for (const FakeEngine& engine : decode) {
    for (const HttpRequest& request : engine.back_end.requests) {
      const std::string* const source =
          Header(request, "Mimosarouter-Kv-Source");
      CHECK((source == nullptr || source->find(address) == std::string::npos));
    }
  }
}

TEST_CASE_METHOD(DomainsFixture,
                 "a wait for a reservation ends when no engine is left") {
  for (FakeEngine& engine : decode) engine.has_capacity = false;
  const auto call = StartCall("/letter/1");
  REQUIRE(RunUntil(loop.get(), [&] { return RequestsTo("z") > 0; }));
  Evacuate({x, y, z});
  const size_t before = RequestsTo("x") + RequestsTo("y") + RequestsTo("z");
  for (FakeEngine& engine : decode) engine.has_capacity = true;
  const MonoTime start = loop->Now();
  Await(*call);
  CHECK(call->result->response.status == 503);
  CHECK(loop->Now() - start < milliseconds(500));
  // A reservation request that was on its way has ended.
  CHECK(RequestsTo("x") + RequestsTo("y") + RequestsTo("z") <= before + 1);
}

TEST_CASE_METHOD(
    DomainsFixture,
    "a running stream goes on, and resumes elsewhere if it breaks") {
  std::vector<FakeBackEnd::Exchange> running;
  decode[2].on_run = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1));
    running.push_back(exchange);
  };
  const auto call = StartCall("/note/1");
  REQUIRE(RunUntil(loop.get(), [&] { return !running.empty(); }));
  RunFor(loop.get(), milliseconds(20));
  Evacuate({z});
  const size_t before = RequestsTo("z");
  SECTION("it goes on") {
    running[0]->Write(MakeEvent(2) + MakeEvent(3));
    running[0]->Finish();
    Await(*call);
    CHECK(call->result->response.body == complete_stream);
    CHECK(decode[0].runs + decode[1].runs == 0);
  }
  SECTION("it breaks") {
    for (FakeEngine* engine : {&decode[0], &decode[1]}) {
      engine->on_run = [](const FakeBackEnd::Exchange& exchange) {
        exchange->StartStream(200, MakeMarkers(exchange->request()));
        exchange->Write(MakeEvent(2) + MakeEvent(3));
        exchange->Finish();
      };
    }
    running[0]->Abort();
    Await(*call);
    CHECK(call->result->response.body == complete_stream);
    CHECK(decode[0].runs + decode[1].runs == 1);
  }
  CHECK(RequestsTo("z") == before);
}

TEST_CASE_METHOD(RelayFixture,
                 "retries and hedges of plain requests stay out of an "
                 "evacuated failure domain") {
  FakeBackEnd first(loop.get());
  FakeBackEnd second(loop.get());
  second.script = RespondOk();
  AddBackEnd("a", "desk", EngineRole::kNone, first.port(), "v1", 1, "z");
  AddBackEnd("b", "desk", EngineRole::kNone, second.port(), "v1", 1, "y");
  // The other one is evacuated while the first call runs.
  first.script = [&](const FakeBackEnd::Exchange& exchange) {
    Evacuate({FailureDomain("y")});
    exchange->Abort();
  };
  CHECK(CallFrontend("/look/1").status == 502);
  first.script = [](const FakeBackEnd::Exchange&) {};  // Hangs: a hedge is due.
  RunFor(loop.get(), milliseconds(400));
  CHECK(CallFrontend("/look/1").status == 504);
  CHECK(second.requests.empty());
  CHECK(counters.hedges == 0);
}

TEST_CASE_METHOD(RelayFixture, "evacuated back ends are not probed") {
  FakeBackEnd desk(loop.get());
  AddBackEnd("a", "desk", EngineRole::kNone, desk.port());
  reachability.SetServices(config->services());
  const BackEndEntry entry = back_ends.entries().begin()->second.entry;
  for (int i = 0; i < 3; ++i) reachability.RecordMiss(entry);
  Evacuate({FailureDomain("z")});
  RunFor(loop.get(), milliseconds(900));
  CHECK(desk.requests.empty());
  CHECK_FALSE(reachability.IsUnreachable(ServiceId("desk")));
}

// --- Regions -----------------------------------------------------------------

TEST_CASE_METHOD(DomainsFixture,
                 "a request stays in the regions of its route and customer") {
  SECTION("of the route") { route_regions = {Region("far")}; }
  SECTION("of the customer") { customer_regions = {Region("far")}; }
  SECTION("of both") {
    route_regions = {Region("far"), Region("near")};
    customer_regions = {Region("elsewhere"), Region("far")};
  }
  SetConfig();
  for (int i = 0; i < 10; ++i)
    CHECK(CallFrontend("/letter/1").body == complete_stream);
  CHECK(RequestsTo("x") > 0);
  CHECK(RequestsTo("y") + RequestsTo("z") == 0);
  // Also if the engine there fails, is full or evacuated.
  decode[0].on_run = [](const auto& exchange) { exchange->Abort(); };
  CHECK_FALSE(CallFrontend("/note/1").status == 200);
  decode[0].has_capacity = false;
  CHECK(CallFrontend("/letter/1").status == 503);
  Evacuate({x});
  CHECK(CallFrontend("/letter/1").status == 503);
  CHECK(RequestsTo("y") + RequestsTo("z") == 0);
}

TEST_CASE_METHOD(DomainsFixture,
                 "without a prefill engine in its regions, the decode engine "
                 "reads the prompt") {
  route_regions = {Region("far")};
  SetConfig();
  back_ends.Remove(BackEndId("px"), loop->Now());
  CHECK(CallFrontend("/letter/1").body == complete_stream);
  CHECK(decode[0].runs == 1);
  CHECK(RequestsTo("y") + RequestsTo("z") == 0);
}

TEST_CASE_METHOD(DomainsFixture,
                 "a request that no engine of its regions can run is refused "
                 "at once") {
  bool may_change = false;
  SECTION("the regions don't exist") { route_regions = {Region("atlantis")}; }
  SECTION("no region is in both lists") {
    route_regions = {Region("far")};
    customer_regions = {Region("near")};
  }
  SECTION("the region has no engine now") {
    route_regions = {Region("far")};
    back_ends.Remove(BackEndId("ex"), loop->Now());
    may_change = true;
  }
  SetConfig();
  const MonoTime start = loop->Now();
  const CallerResponse response = CallFrontend("/letter/1");
  CHECK(response.status == 503);
  CHECK((response.headers.Find("Retry-After") != nullptr) == may_change);
  CHECK(loop->Now() - start < milliseconds(200));
  CHECK(RequestsTo("x") + RequestsTo("y") + RequestsTo("z") == 0);
  CHECK(frontend->counters().refused_by_barrier[size_t(Barrier::kRegions)] ==
        1);
}

TEST_CASE_METHOD(RelayFixture,
                 "an engine of an unknown failure domain gets no request that "
                 "must stay in a region") {
  FakeBackEnd desk(loop.get());
  desk.script = RespondOk();
  AddBackEnd("a", "desk", EngineRole::kNone, desk.port(), "v1", 1, "new");
  CHECK(CallFrontend("/book/1").status == 200);
  route_regions = {Region("near")};
  SetConfig();
  CHECK(CallFrontend("/book/1").status == 503);
  CHECK(desk.requests.size() == 1);
}

// --- Helpers -----------------------------------------------------------------

struct HelpersFixture : RelayFixture {
  HelpersFixture() {
    AddMember("m-same", 1, "y");
    AddMember("m-far", 2, "x");
    AddMember("m-new", 3, "new");
  }
  static wire::EntryMember Self() {
    wire::EntryMember self;
    self.set_name("self");
    self.set_failure_domain("z");
    return self;
  }
  void AddMember(const std::string& name, int host, const char* domain) {
    const std::string address = "127.0.0." + std::to_string(host) + ":9";
    const std::string record = R"({"name":")" + name + R"(","peerAddress":")" +
                               address + R"(","failureDomain":")" + domain +
                               R"("})";
    own_members.OnRecord(name, &record);
  }
  // Every member says that it reaches the service.
  void Answer(HelperExchange* exchange) {
    for (const auto& [name, member] : own_members.others()) {
      wire::UsageDatagram datagram;
      auto* const answer = datagram.mutable_service_reach_answer();
      answer->set_service("desk");
      answer->set_reaches(true);
      exchange->OnDatagram(*own_members.FindAddress(name), datagram);
    }
  }
  static AllowedRegions Allow(const char* region) {
    AllowedRegions allowed;
    allowed.Restrict({Region(region)});
    return allowed;
  }
  std::set<std::string> HelpersFor(const HelperExchange& exchange,
                                   const AllowedRegions& allowed) {
    std::set<std::string> names;
    while (const auto helper =
               exchange.PickHelper(ServiceId("desk"), names, allowed))
      names.insert(helper->name);
    return names;
  }

  MemberList own_members{loop.get(), &store, &random, &log, Self(), {}};
  HelperExchange exchange{loop.get(),
                          &own_members,
                          &reachability,
                          &random,
                          [] { return size_t{0}; },
                          {},
                          &boundaries};
};

TEST_CASE_METHOD(HelpersFixture,
                 "a body goes to helpers in its regions and this daemon's") {
  Answer(&exchange);
  using Names = std::set<std::string>;
  CHECK(HelpersFor(exchange, {}) == Names{"m-same", "m-far", "m-new"});
  CHECK(HelpersFor(exchange, Allow("near")) == Names{"m-same"});
  CHECK(HelpersFor(exchange, Allow("far")) == Names{"m-same", "m-far"});
  CHECK(HelpersFor(exchange, Allow("atlantis")) == Names{"m-same"});
}

TEST_CASE_METHOD(HelpersFixture,
                 "a receiver checks the regions by its own configuration") {
  CHECK(exchange.MayReceive("m-far", Allow("near")));
  CHECK(exchange.MayReceive("m-same", Allow("far")));
  CHECK_FALSE(exchange.MayReceive("m-far", Allow("far")));
  CHECK_FALSE(exchange.MayReceive("m-new", Allow("far")));
  CHECK_FALSE(exchange.MayReceive("nobody", Allow("far")));
  CHECK(exchange.MayReceive("m-far", {}));
}

}  // namespace
}  // namespace mimosa::testing
