// The relays over real connections on loopback: one loop with the front, its
// callers and scripted backend servers. What callers and backend servers see is
// checked, and with it what must never be seen.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/test_peer.h"
#include "platform/request_codec.h"
#include "serving/entry_frontend.h"
#include "tests/serving_fakes.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;

// A backend server whose answers a test writes.
class FakeBackEnd : public HttpHandler {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;
  using Script = std::function<void(const Exchange&)>;

  explicit FakeBackEnd(LwsLoop* loop) {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    server_ = MakeHttpServer(loop, options, this);
  }
  void OnRequest(Exchange exchange) override {
    requests.push_back(exchange->request());
    exchanges.push_back(exchange);
    exchange->OnClientDisconnected([this] { ++abandoned; });
    script(exchange);
  }
  uint16_t port() const { return server_->port(); }
  int Count(const std::string& header) const {
    int count = 0;
    for (const HttpRequest& request : requests)
      count += request.headers.Find(header) != nullptr ? 1 : 0;
    return count;
  }

  Script script = [](const Exchange&) {};  // silence
  std::vector<HttpRequest> requests;
  std::vector<Exchange> exchanges;
  int abandoned = 0;

 private:
  std::unique_ptr<HttpServer> server_;
};

const std::string* Header(const HttpRequest& request, const char* name) {
  return request.headers.Find(name);
}

HttpHeaders Marks(const HttpRequest& request) {
  HttpHeaders headers;
  headers.Add("Mimosarouter-Request-Id",
              *Header(request, "Mimosarouter-Request-Id"));
  headers.Add("Mimosarouter-Response-Seal", "seal");
  return headers;
}

void ResponseWriter(const FakeBackEnd::Exchange& exchange, int status,
                    const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.headers = Marks(exchange->request());
  response.body = body;
  exchange->Respond(std::move(response));
}

void NotExecuted(const FakeBackEnd::Exchange& exchange) {
  HttpResponse response;
  response.status = 503;
  response.headers.Add("Mimosarouter-Not-Executed", "1");
  exchange->Respond(std::move(response));
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) +
         "\n\n";
}

// An engine of the platform: room, prefill, run of `events` events.
struct FakeEngine {
  explicit FakeEngine(LwsLoop* loop) : back_end(loop) {
    back_end.script = [this](const FakeBackEnd::Exchange& exchange) {
      Serve(exchange);
    };
  }
  void Serve(const FakeBackEnd::Exchange& exchange) {
    const HttpRequest& request = exchange->request();
    if (request.target == "/mimosarouter/hold-take") {
      HttpResponse response;
      response.status = has_room ? 200 : 503;
      response.body = R"({"hold":"room1"})";
      exchange->Respond(std::move(response));
    } else if (request.method == "DELETE") {
      exchange->Respond({200, {}, ""});
    } else if (Header(request, "Mimosarouter-Serving-Stage") != nullptr) {
      ++prefills;
      on_prefill(exchange);
    } else {
      ++runs;
      on_run(exchange);
    }
  }
  int Deletes(const std::string& path) const {
    int count = 0;
    for (const HttpRequest& request : back_end.requests)
      count += request.method == "DELETE" && request.target == path ? 1 : 0;
    return count;
  }

  FakeBackEnd back_end;
  bool has_room = true;
  int prefills = 0;
  int runs = 0;
  FakeBackEnd::Script on_prefill = [](const FakeBackEnd::Exchange& exchange) {
    exchange->Respond({200, {}, R"({"handle":"kv1","tokens":10,"version":1})"});
  };
  FakeBackEnd::Script on_run = [](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, Marks(exchange->request()));
    for (int id = 1; id <= 3; ++id) exchange->Write(Event(id));
    exchange->Finish();
  };
};

struct Got {
  bool ok = false;
  int status = 0;
  std::string body;
  HttpHeaders headers;
};

struct RelayFixture {
  RelayFixture() {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    front = std::make_unique<EntryFrontend>(&deps, &allotments,
                                            [this] { return config; });
    server = MakeHttpServer(loop.get(), options, front.get());
    SetConfig();
  }

  void SetConfig() {
    const auto route = [](const char* prefix, RetryPolicy repeat,
                          const char* service, int attempts) {
      SiteRoute made;
      made.id = RouteId(prefix);
      made.host = "h";
      made.prefix = prefix;
      made.retry_policy = repeat;
      made.timeout = milliseconds(1500);
      made.target_latency = milliseconds(100);
      made.target_event_gap = milliseconds(100);
      made.max_attempts = attempts;
      made.traffic_split = {{ServiceId(service), 1}};
      return made;
    };
    SiteService desk;
    desk.id = ServiceId("desk");
    SiteService llm;
    llm.id = ServiceId("llm");
    llm.engine = EngineSpec{};
    llm.engine->kv_memory = Tokens(36000);
    llm.engine->kv_handle_lifetime = milliseconds(500);
    llm.engine->reservation_lifetime = milliseconds(2000);
    SiteCustomer customer;
    customer.id = CustomerId("c");
    customer.keys = {"k"};
    customer.rate_per_second = rate;
    customer.burst = rate;
    config = std::make_shared<SiteConfig>(
        1,
        std::vector<SiteRoute>{
            route("/book/", RetryPolicy::kAtMostOnce, "desk", 1),
            route("/look/", RetryPolicy::kIdempotent, "desk", 2),
            route("/letter/", RetryPolicy::kStream, "llm", 1),
            route("/note/", RetryPolicy::kResumableStream, "llm", 2)},
        std::vector<SiteService>{desk, llm},
        std::vector<SiteCustomer>{customer}, CallerLimits{});
    allotments.SetCustomers(config->customers(), loop->Now());
  }

  void Add(const std::string& id, const char* service, EngineRole role,
           uint16_t port) {
    BackEndEntry entry;
    entry.id = BackEndId(id);
    entry.service = ServiceId(service);
    entry.role = role;
    entry.ip = "127.0.0.1";
    entry.port = port;
    entry.slots = 8;
    list.Put(entry, loop->Now());
  }

  HttpRequest Request(const std::string& target) {
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers.Add("Host", "h");
    request.headers.Add("Mimosarouter-Request-Id",
                        "r" + std::to_string(++serial));
    request.headers.Add("Mimosarouter-Deadline-Ms", "1500");
    request.headers.Add("X-Api-Key", "k");
    if (target.rfind("/letter/", 0) == 0 || target.rfind("/note/", 0) == 0)
      request.headers.Add("Mimosarouter-Token-Counts", "100,20");
    request.body = "body";
    return request;
  }

  Got Call(HttpRequest request) {
    HttpCallOptions options;
    options.to = {"127.0.0.1", server->port()};
    std::optional<HttpResult> result;
    const auto call = Fetch(client.get(), options, std::move(request),
                            [&](HttpResult http) { result = std::move(http); });
    REQUIRE(RunUntil(loop.get(), [&] { return result.has_value(); }));
    return {result->ok, result->response.status, result->response.body,
            result->response.headers};
  }
  Got Call(const std::string& target) { return Call(Request(target)); }

  std::unique_ptr<LwsLoop> loop = LwsLoop::Create();
  std::unique_ptr<HttpClient> client = MakeHttpClient(loop.get());
  SeededRandom random{5};
  LineLog log{STDERR_FILENO, loop.get(), testing::DisabledLogOptions()};
  BackEndList list;
  BackEndSelector choice{&list, &random, BackEndSelector::Options{}};
  RetryBudget budget{RetryBudget::Options{}};
  ReservationRetryPolicy room_wait{ReservationRetryPolicy::Options{}, &random};
  ReplicatedRateLimiter allotments{ReplicatedRateLimiter::Options{}};
  PlatformRequestFormat format;
  EngineMemoryReleaser freer{loop.get(), client.get(), &format};
  RelayCounters counters;
  StageMeter meter;
  RelayDeps deps{loop.get(), client.get(), &format, &choice,
                 &budget,    &room_wait,   &random, &log,
                 &freer,     &counters,    &meter,  FailureDomain("z")};
  std::shared_ptr<const SiteConfig> config;
  std::unique_ptr<EntryFrontend> front;
  std::unique_ptr<HttpServer> server;
  double rate = 0;
  int serial = 0;
};

// --- Admission
// ----------------------------------------------------------------

TEST_CASE_METHOD(RelayFixture, "who is refused was sent nowhere") {
  FakeBackEnd desk(loop.get());
  Add("d", "desk", EngineRole::kNone, desk.port());
  CHECK(Call("/nowhere/1").status == 404);
  HttpRequest strange = Request("/book/1");
  strange.headers.Set("X-Api-Key", "other");
  CHECK(Call(strange).status == 401);
  HttpRequest unnamed = Request("/book/1");
  unnamed.headers.Remove("Mimosarouter-Request-Id");
  CHECK(Call(unnamed).status == 400);
  config = nullptr;
  const Got early = Call("/book/1");
  CHECK(early.status == 503);
  CHECK(early.headers.Find("Retry-After") != nullptr);
  CHECK(desk.requests.empty());
}

TEST_CASE_METHOD(RelayFixture,
                 "over its rate: 429 with the time to come back") {
  FakeBackEnd desk(loop.get());
  desk.script = [](const auto& exchange) {
    ResponseWriter(exchange, 200, "done");
  };
  Add("d", "desk", EngineRole::kNone, desk.port());
  rate = 2;
  SetConfig();
  // The pace allows three seconds of the rate at once, and one request may
  // overdraw it.
  for (int i = 0; i < 7; ++i) CHECK(Call("/book/1").status == 200);
  const Got refused = Call("/book/2");
  CHECK(refused.status == 429);
  REQUIRE(refused.headers.Find("Retry-After") != nullptr);
  CHECK(std::stod(*refused.headers.Find("Retry-After")) > 0.1);
  CHECK(desk.requests.size() == 7);
}

TEST_CASE_METHOD(RelayFixture, "no backend server: refused at once") {
  const Got got = Call("/book/1");
  CHECK(got.status == 503);
  CHECK(got.headers.Find("Retry-After") != nullptr);
  CHECK(Call("/letter/1").status == 503);
}

// --- Plain requests
// -----------------------------------------------------------

TEST_CASE_METHOD(RelayFixture, "an answer is passed on unchanged") {
  FakeBackEnd desk(loop.get());
  desk.script = [](const auto& exchange) {
    ResponseWriter(exchange, 201, "place 7");
  };
  Add("d", "desk", EngineRole::kNone, desk.port());
  const Got got = Call("/book/1");
  CHECK(got.status == 201);
  CHECK(got.body == "place 7");
  CHECK(*got.headers.Find("Mimosarouter-Response-Seal") == "seal");
  REQUIRE(desk.requests.size() == 1);
  CHECK(Header(desk.requests[0], "X-Api-Key") == nullptr);
  CHECK(*Header(desk.requests[0], "Mimosarouter-Tenant") == "c");
  CHECK(*Header(desk.requests[0], "Mimosarouter-Expect-Instance") == "d");
  CHECK(std::stoi(*Header(desk.requests[0], "Mimosarouter-Deadline-Ms")) <=
        1500);
}

TEST_CASE_METHOD(RelayFixture, "what may not be repeated is sent once") {
  FakeBackEnd one(loop.get());
  FakeBackEnd two(loop.get());
  for (FakeBackEnd* desk : {&one, &two})
    desk->script = [](const auto& exchange) { exchange->Abort(); };
  Add("d1", "desk", EngineRole::kNone, one.port());
  Add("d2", "desk", EngineRole::kNone, two.port());
  for (int i = 0; i < 6; ++i) {
    const size_t before = one.requests.size() + two.requests.size();
    CHECK(Call("/book/1").status == 502);
    CHECK(one.requests.size() + two.requests.size() == before + 1);
  }
}

TEST_CASE_METHOD(RelayFixture,
                 "after a refusal to run it goes to another server") {
  FakeBackEnd full(loop.get());
  FakeBackEnd free(loop.get());
  full.script = NotExecuted;
  free.script = [](const auto& exchange) {
    ResponseWriter(exchange, 200, "ok");
  };
  Add("a", "desk", EngineRole::kNone, full.port());
  Add("b", "desk", EngineRole::kNone, free.port());
  for (int i = 0; i < 5; ++i) CHECK(Call("/book/1").status == 200);
  // All are full: true and at once.
  free.script = NotExecuted;
  const Got got = Call("/book/1");
  CHECK(got.status == 503);
  CHECK(got.headers.Find("Retry-After") != nullptr);
}

TEST_CASE_METHOD(RelayFixture, "an idempotent request survives a loss") {
  FakeBackEnd bad(loop.get());
  FakeBackEnd good(loop.get());
  bad.script = [](const auto& exchange) { exchange->Abort(); };
  good.script = [](const auto& exchange) {
    ResponseWriter(exchange, 200, "ok");
  };
  Add("a", "desk", EngineRole::kNone, bad.port());
  Add("b", "desk", EngineRole::kNone, good.port());
  for (int i = 0; i < 5; ++i) CHECK(Call("/look/1").status == 200);
}

TEST_CASE_METHOD(RelayFixture, "a hung server is overtaken, not waited for") {
  FakeBackEnd hung(loop.get());
  FakeBackEnd good(loop.get());
  good.script = [](const auto& exchange) {
    ResponseWriter(exchange, 200, "ok");
  };
  Add("a", "desk", EngineRole::kNone, hung.port());
  Add("b", "desk", EngineRole::kNone, good.port());
  for (int i = 0; i < 8; ++i) {
    const MonoTime begun = loop->Now();
    CHECK(Call("/look/1").status == 200);
    CHECK(loop->Now() - begun < milliseconds(700));
  }
  CHECK(RunUntil(loop.get(), [&] {
    return hung.abandoned == static_cast<int>(hung.requests.size());
  }));
}

TEST_CASE_METHOD(RelayFixture, "a server's own failure is passed on") {
  FakeBackEnd desk(loop.get());
  desk.script = [](const auto& exchange) {
    ResponseWriter(exchange, 500, "sorry");
  };
  Add("a", "desk", EngineRole::kNone, desk.port());
  const Got got = Call("/book/1");
  CHECK(got.status == 500);
  CHECK(got.body == "sorry");
  // Alone it stays the answer of an idempotent request too.
  CHECK(Call("/look/1").status == 500);
}

TEST_CASE_METHOD(RelayFixture,
                 "answers that promise not-run are not taken on trust") {
  FakeBackEnd desk(loop.get());
  for (const int status : {408, 429, 503}) {
    desk.script = [status](const auto& exchange) {
      ResponseWriter(exchange, status, "");
    };
    list = BackEndList();
    Add("a" + std::to_string(status), "desk", EngineRole::kNone, desk.port());
    CHECK(Call("/book/1").status == 502);
  }
}

TEST_CASE_METHOD(RelayFixture, "a success without the server's mark is none") {
  FakeBackEnd desk(loop.get());
  desk.script = [](const auto& exchange) {
    exchange->Respond({200, {}, "forged"});
  };
  Add("a", "desk", EngineRole::kNone, desk.port());
  CHECK(Call("/book/1").status == 502);
}

TEST_CASE_METHOD(RelayFixture,
                 "nothing heard by the deadline: 504, then no call is left") {
  FakeBackEnd desk(loop.get());
  Add("a", "desk", EngineRole::kNone, desk.port());
  HttpRequest request = Request("/book/1");
  request.headers.Set("Mimosarouter-Deadline-Ms", "150");
  CHECK(Call(request).status == 504);
  CHECK(RunUntil(loop.get(), [&] { return desk.abandoned == 1; }));
}

TEST_CASE_METHOD(RelayFixture, "a caller that leaves takes its call along") {
  FakeBackEnd desk(loop.get());
  Add("a", "desk", EngineRole::kNone, desk.port());
  HttpCallOptions options;
  options.to = {"127.0.0.1", server->port()};
  auto call = Fetch(client.get(), options, Request("/look/1"),
                    [](const HttpResult&) {});
  REQUIRE(RunUntil(loop.get(), [&] { return desk.requests.size() == 1; }));
  call.reset();
  CHECK(RunUntil(loop.get(), [&] { return desk.abandoned == 1; }));
  CHECK(RunUntil(loop.get(), [&] { return front->running_requests() == 0; }));
}

TEST_CASE_METHOD(RelayFixture,
                 "a late answer to another request is passed over") {
  // Raw peer: the first answer on its kept connection is followed, where the
  // second one is due, by an answer to a request that was never asked here.
  RawListener listener;
  Add("a", "desk", EngineRole::kNone, listener.port());
  const auto answer = [](const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nMimosarouter-Request-Id: " + id +
           "\r\nMimosarouter-Response-Seal: s\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  std::unique_ptr<RawPeer> peer;
  const auto call = [&](const std::string& id, const std::string& reply) {
    HttpRequest request = Request("/look/1");
    request.headers.Set("Mimosarouter-Request-Id", id);
    HttpCallOptions options;
    options.to = {"127.0.0.1", server->port()};
    std::optional<HttpResult> result;
    const auto running = Fetch(client.get(), options, request,
                               [&](HttpResult r) { result = std::move(r); });
    bool sent = false;
    REQUIRE(RunUntil(loop.get(), [&] {
      if (peer == nullptr) peer = listener.Accept();
      if (!sent && peer != nullptr &&
          peer->received().find("Id: " + id) != std::string::npos) {
        peer->Send(reply);
        sent = true;
      }
      return result.has_value();
    }));
    return result->response.body;
  };
  CHECK(call("one", answer("one", "first")) == "first");
  CHECK(call("two", answer("stray", "not yours") + answer("two", "second")) ==
        "second");
}

// --- Streams
// ------------------------------------------------------------------

struct StreamFixture : RelayFixture {
  StreamFixture() {
    Add("p", "llm", EngineRole::kPrefill, prefill.back_end.port());
    Add("e", "llm", EngineRole::kDecode, decode.back_end.port());
  }
  FakeEngine prefill{loop.get()};
  FakeEngine decode{loop.get()};
  const std::string whole = Event(1) + Event(2) + Event(3);
};

TEST_CASE_METHOD(StreamFixture,
                 "room, prefill, run; and nothing is left behind") {
  const Got got = Call("/letter/1");
  CHECK(got.ok);
  CHECK(got.status == 200);
  CHECK(got.body == whole);
  CHECK(prefill.prefills == 1);
  CHECK(decode.runs == 1);
  const HttpRequest& run = decode.back_end.requests.back();
  CHECK(*Header(run, "Mimosarouter-Kv-Hold") == "room1");
  CHECK(*Header(run, "Mimosarouter-Kv-Source") ==
        "127.0.0.1:" + std::to_string(prefill.back_end.port()) + "/kv1");
  CHECK(prefill.Deletes("/mimosarouter/kv-handle/kv1") == 0);
}

TEST_CASE_METHOD(StreamFixture, "without room no prompt is read") {
  decode.has_room = false;
  const Got got = Call("/letter/1");
  CHECK(got.status == 503);
  CHECK(got.headers.Find("Retry-After") != nullptr);
  CHECK(prefill.prefills == 0);
  CHECK(decode.runs == 0);
}

TEST_CASE_METHOD(StreamFixture, "who waits for room gets it when it is there") {
  decode.has_room = false;
  const auto timer =
      loop->After(milliseconds(120), [this] { decode.has_room = true; });
  CHECK(Call("/letter/1").body == whole);
}

TEST_CASE_METHOD(StreamFixture,
                 "no prefill engine: the decode engine reads it") {
  list.Remove(BackEndId("p"), loop->Now());
  CHECK(Call("/letter/1").body == whole);
  CHECK(decode.back_end.Count("Mimosarouter-Kv-Source") == 0);
}

TEST_CASE_METHOD(StreamFixture,
                 "a result that lapsed costs one more run, no more") {
  int rejected = 0;
  const auto run = decode.on_run;
  decode.on_run = [&](const auto& exchange) {
    if (Header(exchange->request(), "Mimosarouter-Kv-Source") != nullptr) {
      ++rejected;
      NotExecuted(exchange);
    } else {
      run(exchange);
    }
  };
  prefill.on_prefill = [&](const auto& exchange) {
    exchange->Respond({200, {}, R"({"handle":"kv1","tokens":10})"});
  };
  CHECK(Call("/letter/1").body == whole);
  CHECK(rejected == 1);
  CHECK(decode.runs == 2);
}

TEST_CASE_METHOD(StreamFixture, "a run that was lost isn't sent again") {
  FakeEngine other(loop.get());
  Add("f", "llm", EngineRole::kDecode, other.back_end.port());
  for (FakeEngine* engine : {&decode, &other})
    engine->on_run = [](const auto& exchange) { exchange->Abort(); };
  CHECK(Call("/letter/1").status == 502);
  CHECK(decode.runs + other.runs == 1);
}

TEST_CASE_METHOD(StreamFixture, "a stream cut midway doesn't look whole") {
  decode.on_run = [](const auto& exchange) {
    exchange->StartStream(200, Marks(exchange->request()));
    exchange->Write(Event(1) + "id: 2\nda");
    exchange->Abort();
  };
  CHECK_FALSE(Call("/letter/1").ok);
  CHECK(decode.runs == 1);
}

TEST_CASE_METHOD(StreamFixture,
                 "a resumable stream goes on behind its last whole event") {
  FakeEngine other(loop.get());
  Add("f", "llm", EngineRole::kDecode, other.back_end.port());
  int run = 0;
  const auto script = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, Marks(exchange->request()));
    if (++run == 1) {
      exchange->Write(Event(1) + "id: 2\nda");
      exchange->OnDrained([exchange] { exchange->Abort(); });
      return;
    }
    CHECK(*Header(exchange->request(), "Last-Event-Id") == "1");
    exchange->Write(Event(2) + Event(3));
    exchange->Finish();
  };
  decode.on_run = script;
  other.on_run = script;
  const Got got = Call("/note/1");
  CHECK(got.ok);
  CHECK(got.body == whole);
  CHECK(decode.runs == 1);
  CHECK(other.runs == 1);
}

TEST_CASE_METHOD(StreamFixture,
                 "a silent resumable stream stays if nothing else has room") {
  FakeEngine other(loop.get());
  Add("f", "llm", EngineRole::kDecode, other.back_end.port());
  TimerHandle later;
  const auto script = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, Marks(exchange->request()));
    exchange->Write(Event(1));
    decode.has_room = other.has_room = false;
    later = loop->After(milliseconds(600), [exchange] {
      exchange->Write(Event(2) + Event(3));
      exchange->Finish();
    });
  };
  decode.on_run = script;
  other.on_run = script;
  const Got got = Call("/note/1");
  CHECK(got.ok);
  CHECK(got.body == whole);
  CHECK(decode.runs + other.runs == 1);
}

TEST_CASE_METHOD(StreamFixture, "a caller that leaves frees memory and room") {
  prefill.on_prefill = [](const auto&) {};  // takes long
  HttpCallOptions options;
  options.to = {"127.0.0.1", server->port()};
  auto call = Fetch(client.get(), options, Request("/letter/1"),
                    [](const HttpResult&) {});
  REQUIRE(RunUntil(loop.get(), [&] { return prefill.prefills == 1; }));
  call.reset();
  CHECK(RunUntil(loop.get(), [&] {
    return decode.Deletes("/mimosarouter/hold-drop/room1") == 1;
  }));
  CHECK(RunUntil(loop.get(), [&] { return front->running_requests() == 0; }));
  CHECK(choice.GetObservedState(BackEndId("e"), loop->Now()).open_calls == 0);
  CHECK(choice.GetObservedState(BackEndId("p"), loop->Now()).open_calls == 0);
}

TEST_CASE_METHOD(StreamFixture,
                 "a dead prefill engine delays, it doesn't fail") {
  FakeEngine second(loop.get());
  Add("q", "llm", EngineRole::kPrefill, second.back_end.port());
  for (FakeEngine* engine : {&prefill, &second})
    engine->on_prefill = [](const auto& exchange) { exchange->Abort(); };
  CHECK(Call("/letter/1").body == whole);
}

}  // namespace
}  // namespace mimosa
