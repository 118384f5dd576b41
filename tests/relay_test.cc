// Tests what callers and backend servers receive through the relays, and what
// they must never receive.
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/test_peer.h"
#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

// --- Admission ---------------------------------------------------------------

TEST_CASE_METHOD(RelayFixture, "a refused request reaches no back end") {
  FakeBackEnd desk(loop.get());
  AddBackEnd("d", "desk", EngineRole::kNone, desk.port());
  CHECK(CallFrontend("/nowhere/1").status == 404);
  HttpRequest wrong_key = MakeRequest("/book/1");
  wrong_key.headers.Set("X-Api-Key", "other");
  CHECK(CallFrontend(wrong_key).status == 401);
  HttpRequest without_id = MakeRequest("/book/1");
  without_id.headers.Remove("Mimosarouter-Request-Id");
  CHECK(CallFrontend(without_id).status == 400);
  config = nullptr;
  const CallerResponse without_config = CallFrontend("/book/1");
  CHECK(without_config.status == 503);
  CHECK(without_config.headers.Find("Retry-After") != nullptr);
  CHECK(desk.requests.empty());
}

TEST_CASE_METHOD(StreamFixture,
                 "a request with a number of more than 60 bits gets 400") {
  const std::string too_large = std::to_string(int64_t{1} << 60);
  for (const auto& [name, value] :
       {std::pair<std::string, std::string>("Mimosarouter-Token-Counts",
                                            too_large + ",1"),
        {"Mimosarouter-Deadline-Ms", too_large},
        {"Last-Event-Id", too_large}}) {
    CAPTURE(name);
    HttpRequest request = MakeRequest("/letter/1");
    request.headers.Set(name, value);
    CHECK(CallFrontend(request).status == 400);
  }
  const auto refused = log_file.ReadLines(&log, "request_refused");
  REQUIRE(refused.size() == 3);
  for (const std::string& line : refused)
    CHECK(line.find("\"why\":\"a number has more than 60 bits\"") !=
          std::string::npos);
  CHECK(prefill.back_end.requests.empty());
  CHECK(decode.back_end.requests.empty());
  // The largest number that a request may state is no fault.
  HttpRequest request = MakeRequest("/letter/1");
  request.headers.Set("Mimosarouter-Deadline-Ms",
                      std::to_string((int64_t{1} << 60) - 1));
  CHECK(CallFrontend(request).body == complete_stream);
}

TEST_CASE_METHOD(RelayFixture,
                 "a customer over its rate gets 429 with Retry-After") {
  FakeBackEnd desk(loop.get());
  desk.script = [](const auto& exchange) {
    SendResponse(exchange, 200, "done");
  };
  AddBackEnd("d", "desk", EngineRole::kNone, desk.port());
  rate = 2;
  SetConfig();
  // The rate limiter admits three seconds of the rate at once, and one request
  // may overdraw it.
  for (int i = 0; i < 7; ++i) CHECK(CallFrontend("/book/1").status == 200);
  const CallerResponse refused = CallFrontend("/book/2");
  CHECK(refused.status == 429);
  REQUIRE(refused.headers.Find("Retry-After") != nullptr);
  CHECK(std::stod(*refused.headers.Find("Retry-After")) > 0.1);
  CHECK(desk.requests.size() == 7);
}

TEST_CASE_METHOD(RelayFixture,
                 "without a backend server requests are refused at once") {
  const CallerResponse response = CallFrontend("/book/1");
  CHECK(response.status == 503);
  CHECK(response.headers.Find("Retry-After") != nullptr);
  CHECK(CallFrontend("/letter/1").status == 503);
}

// --- Plain requests ----------------------------------------------------------

TEST_CASE_METHOD(RelayFixture,
                 "a late second copy of a response reaches no other caller") {
  RawListener listener;
  AddBackEnd("s", "desk", EngineRole::kNone, listener.port());
  std::vector<std::unique_ptr<RawPeer>> peers;
  size_t answered = 0;
  const auto response_to = [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nMimosarouter-Request-Id: " + id +
           "\r\nMimosarouter-Response-Seal: seal\r\nContent-Length: " +
           std::to_string(id.size()) + "\r\n\r\n" + id;
  };
  std::string previous;
  const std::function<void()> serve = [&] {
    if (auto peer = listener.Accept()) peers.push_back(std::move(peer));
    for (const auto& peer : peers) {
      const std::string request = peer->received();
      if (request.find("\r\n\r\nbody") == std::string::npos) continue;
      peer->Clear();
      ++answered;
      const std::string response =
          response_to(RawField(request, "Mimosarouter-Request-Id"));
      peer->Send(previous + response);
      previous = response;
    }
  };
  TimerHandle timer;
  std::function<void()> poll = [&] {
    serve();
    timer = loop->After(milliseconds(1), poll);
  };
  poll();
  for (int i = 1; i <= 3; ++i)
    CHECK(CallFrontend("/book/1").body == "r" + std::to_string(i));
  CHECK(answered == 3);
  CHECK(peers.size() == 1);
}

TEST_CASE_METHOD(RelayFixture, "a response is passed on unchanged") {
  FakeBackEnd desk(loop.get());
  desk.script = [](const auto& exchange) {
    SendResponse(exchange, 201, "place 7");
  };
  AddBackEnd("d", "desk", EngineRole::kNone, desk.port());
  const CallerResponse response = CallFrontend("/book/1");
  CHECK(response.status == 201);
  CHECK(response.body == "place 7");
  CHECK(*response.headers.Find("Mimosarouter-Response-Seal") == "seal");
  REQUIRE(desk.requests.size() == 1);
  CHECK(Header(desk.requests[0], "X-Api-Key") == nullptr);
  CHECK(*Header(desk.requests[0], "Mimosarouter-Tenant") == "c");
  CHECK(*Header(desk.requests[0], "Mimosarouter-Expect-Instance") == "d");
  CHECK(std::stoi(*Header(desk.requests[0], "Mimosarouter-Deadline-Ms")) <=
        1500);
}

TEST_CASE_METHOD(RelayFixture,
                 "a request that may not be retried is sent once") {
  FakeBackEnd one(loop.get());
  FakeBackEnd two(loop.get());
  for (FakeBackEnd* desk : {&one, &two})
    desk->script = [](const auto& exchange) { exchange->Abort(); };
  AddBackEnd("d1", "desk", EngineRole::kNone, one.port());
  AddBackEnd("d2", "desk", EngineRole::kNone, two.port());
  for (int i = 0; i < 6; ++i) {
    const size_t before = one.requests.size() + two.requests.size();
    CHECK(CallFrontend("/book/1").status == 502);
    CHECK(one.requests.size() + two.requests.size() == before + 1);
  }
}

TEST_CASE_METHOD(
    RelayFixture,
    "a request that a server didn't execute goes to another server") {
  FakeBackEnd full(loop.get());
  FakeBackEnd free(loop.get());
  full.script = SendNotExecuted;
  free.script = [](const auto& exchange) { SendResponse(exchange, 200, "ok"); };
  AddBackEnd("a", "desk", EngineRole::kNone, full.port());
  AddBackEnd("b", "desk", EngineRole::kNone, free.port());
  for (int i = 0; i < 5; ++i) CHECK(CallFrontend("/book/1").status == 200);
  // If all servers are full, the caller gets 503 at once.
  free.script = SendNotExecuted;
  const CallerResponse response = CallFrontend("/book/1");
  CHECK(response.status == 503);
  CHECK(response.headers.Find("Retry-After") != nullptr);
}

TEST_CASE_METHOD(RelayFixture, "an idempotent request survives a lost call") {
  FakeBackEnd bad(loop.get());
  FakeBackEnd good(loop.get());
  bad.script = [](const auto& exchange) { exchange->Abort(); };
  good.script = [](const auto& exchange) { SendResponse(exchange, 200, "ok"); };
  AddBackEnd("a", "desk", EngineRole::kNone, bad.port());
  AddBackEnd("b", "desk", EngineRole::kNone, good.port());
  for (int i = 0; i < 5; ++i) CHECK(CallFrontend("/look/1").status == 200);
}

TEST_CASE_METHOD(RelayFixture,
                 "a request under which servers crashed gets one attempt") {
  std::vector<std::unique_ptr<FakeBackEnd>> servers;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<FakeBackEnd>(loop.get()));
    servers.back()->script = [](const FakeBackEnd::Exchange& exchange) {
      exchange->Abort();
    };
    AddBackEnd("s" + std::to_string(i), "desk", EngineRole::kNone,
               servers.back()->port());
  }
  const auto calls = [&servers] {
    size_t count = 0;
    for (const auto& server : servers) count += server->requests.size();
    return count;
  };
  CHECK(CallFrontend("/look/1").status == 502);
  CHECK(calls() == 2);
  CHECK(CallFrontend("/look/1").status == 502);
  CHECK(calls() == 3);
  // Another request may still be at the mercy of servers that crash.
  CHECK(CallFrontend("/look/2").status == 502);
  CHECK(calls() == 5);
}

TEST_CASE_METHOD(RelayFixture,
                 "an idempotent request doesn't wait for a hung server") {
  FakeBackEnd hung(loop.get());
  FakeBackEnd good(loop.get());
  good.script = [](const auto& exchange) { SendResponse(exchange, 200, "ok"); };
  AddBackEnd("a", "desk", EngineRole::kNone, hung.port());
  AddBackEnd("b", "desk", EngineRole::kNone, good.port());
  for (int i = 0; i < 8; ++i) {
    const MonoTime start = loop->Now();
    CHECK(CallFrontend("/look/1").status == 200);
    CHECK(loop->Now() - start < milliseconds(700));
  }
  CHECK(RunUntil(loop.get(), [&] {
    return hung.client_disconnects == static_cast<int>(hung.requests.size());
  }));
}

TEST_CASE_METHOD(RelayFixture, "a server's error response is passed on") {
  FakeBackEnd desk(loop.get());
  desk.script = [](const auto& exchange) {
    SendResponse(exchange, 500, "sorry");
  };
  AddBackEnd("a", "desk", EngineRole::kNone, desk.port());
  const CallerResponse response = CallFrontend("/book/1");
  CHECK(response.status == 500);
  CHECK(response.body == "sorry");
  // Without another server it is the response to an idempotent request too.
  CHECK(CallFrontend("/look/1").status == 500);
}

// Statuses that HTTP doesn't define but a status line can hold.
const std::vector<int> kUndefinedStatuses = {600, 671, 999};

TEST_CASE_METHOD(RelayFixture,
                 "a response with an undefined status is a failed call") {
  FakeBackEnd faulty(loop.get());
  for (const int status : kUndefinedStatuses) {
    CAPTURE(status);
    faulty.script = [status](const auto& exchange) {
      SendResponse(exchange, status, "body");
    };
    back_ends = BackEndList();
    AddBackEnd("a" + std::to_string(status), "desk", EngineRole::kNone,
               faulty.port());
    const CallerResponse response = CallFrontend("/book/1");
    CHECK(response.ok);
    CHECK(response.status == 502);
    CHECK(response.body.empty());
  }
  const auto lost = log_file.ReadLines(&log, "call_lost");
  REQUIRE(lost.size() == kUndefinedStatuses.size());
  for (const std::string& line : lost)
    CHECK(line.find("\"loss\":\"unreadable\"") != std::string::npos);
}

TEST_CASE("a response with the status 000 is a failed call") {
  for (const char* framing : {"Content-Length: 4\r\n", "Connection: close\r\n"})
    for (const char* target : {"/letter/1", "/note/1", "/book/1", "/look/1"}) {
      RelayFixture f;
      RawBackEnd faulty(f.loop.get());
      faulty.script = [&](const std::string& request, RawPeer* peer) {
        if (request.find("/hold-") != std::string::npos) {
          peer->Send(
              "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"
              R"({"hold":"h01"})");
        } else {
          std::string head = RawResponseHead(request, framing);
          head.replace(head.find("200 OK"), 6, "000 OK");
          peer->Send(head + "body");
        }
        peer->ShutdownWrite();
      };
      f.AddBackEnd("d", "desk", EngineRole::kNone, faulty.port());
      f.AddBackEnd("e", "llm", EngineRole::kDecode, faulty.port());
      CAPTURE(framing, target);
      const CallerResponse response = f.CallFrontend(target);
      CHECK(response.ok);
      CHECK(response.status == 502);
      CHECK(response.body.empty());
      CHECK_FALSE(f.log_file.ReadLines(&f.log, "call_lost").empty());
    }
}

TEST_CASE_METHOD(RelayFixture,
                 "an idempotent request goes on after an undefined status") {
  FakeBackEnd faulty(loop.get());
  FakeBackEnd sound(loop.get());
  faulty.script = [](const auto& exchange) {
    SendResponse(exchange, 671, "body");
  };
  sound.script = [](const auto& exchange) {
    SendResponse(exchange, 200, "ok");
  };
  AddBackEnd("a", "desk", EngineRole::kNone, faulty.port());
  AddBackEnd("b", "desk", EngineRole::kNone, sound.port());
  for (int i = 0; i < 6; ++i) CHECK(CallFrontend("/look/1").body == "ok");
  CHECK(!faulty.requests.empty());
}

TEST_CASE_METHOD(RelayFixture,
                 "a status that implies not-run is replaced by 502") {
  FakeBackEnd desk(loop.get());
  for (const int status : {408, 429, 503}) {
    desk.script = [status](const auto& exchange) {
      SendResponse(exchange, status, "");
    };
    back_ends = BackEndList();
    AddBackEnd("a" + std::to_string(status), "desk", EngineRole::kNone,
               desk.port());
    CHECK(CallFrontend("/book/1").status == 502);
  }
}

TEST_CASE_METHOD(RelayFixture,
                 "a success without the server's markers is replaced by 502") {
  FakeBackEnd desk(loop.get());
  desk.script = [](const auto& exchange) {
    exchange->Respond({200, {}, "forged"});
  };
  AddBackEnd("a", "desk", EngineRole::kNone, desk.port());
  CHECK(CallFrontend("/book/1").status == 502);
}

TEST_CASE_METHOD(
    RelayFixture,
    "without a response by the deadline: 504, and the call is cancelled") {
  FakeBackEnd desk(loop.get());
  AddBackEnd("a", "desk", EngineRole::kNone, desk.port());
  HttpRequest request = MakeRequest("/book/1");
  request.headers.Set("Mimosarouter-Deadline-Ms", "150");
  CHECK(CallFrontend(request).status == 504);
  CHECK(RunUntil(loop.get(), [&] { return desk.client_disconnects == 1; }));
}

TEST_CASE_METHOD(RelayFixture,
                 "when a caller disconnects, its call is cancelled") {
  FakeBackEnd desk(loop.get());
  AddBackEnd("a", "desk", EngineRole::kNone, desk.port());
  HttpCallOptions options;
  options.to = {"127.0.0.1", server->port()};
  auto call = Fetch(client.get(), options, MakeRequest("/look/1"),
                    [](const HttpResult&) {});
  REQUIRE(RunUntil(loop.get(), [&] { return desk.requests.size() == 1; }));
  call.reset();
  CHECK(RunUntil(loop.get(), [&] { return desk.client_disconnects == 1; }));
  CHECK(
      RunUntil(loop.get(), [&] { return frontend->running_requests() == 0; }));
}

TEST_CASE_METHOD(RelayFixture,
                 "a late response to another request is skipped") {
  // After the first response on its kept-alive connection, the raw peer sends,
  // where the second one is due, a response to a request that was never sent.
  RawListener listener;
  AddBackEnd("a", "desk", EngineRole::kNone, listener.port());
  const auto response_text = [](const std::string& id,
                                const std::string& body) {
    return "HTTP/1.1 200 OK\r\nMimosarouter-Request-Id: " + id +
           "\r\nMimosarouter-Response-Seal: s\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  std::unique_ptr<RawPeer> peer;
  const auto call = [&](const std::string& id, const std::string& reply) {
    HttpRequest request = MakeRequest("/look/1");
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
  CHECK(call("one", response_text("one", "first")) == "first");
  CHECK(call("two", response_text("stray", "not yours") +
                        response_text("two", "second")) == "second");
}

// --- Leaving engines
// ----------------------------------------------------------

// Adds the field by which a backend server says that it leaves.
HttpHeaders MakeLeavingMarkers(const HttpRequest& request) {
  HttpHeaders headers = MakeMarkers(request);
  headers.Add("Server-Leaving", "1");
  return headers;
}

TEST_CASE_METHOD(RelayFixture,
                 "a server that says that it leaves gets no new request") {
  FakeBackEnd leaving(loop.get());
  FakeBackEnd other(loop.get());
  other.script = [](const auto& exchange) {
    SendResponse(exchange, 200, "ok");
  };
  // The field may come with any response.
  const std::vector<FakeBackEnd::Script> responses = {
      [](const auto& exchange) {
        exchange->Respond({200, MakeLeavingMarkers(exchange->request()), "ok"});
      },
      [](const auto& exchange) {
        exchange->Respond({500, MakeLeavingMarkers(exchange->request()), ""});
      },
      [](const auto& exchange) {
        HttpHeaders headers;
        headers.Add("Mimosarouter-Not-Executed", "1");
        headers.Add("Server-Leaving", "1");
        exchange->Respond({503, headers, ""});
      },
      // A forged success isn't passed on, but its sender leaves all the same.
      [](const auto& exchange) {
        HttpHeaders headers;
        headers.Add("Server-Leaving", "1");
        exchange->Respond({200, headers, ""});
      }};
  int number = 0;
  for (const FakeBackEnd::Script& response : responses) {
    INFO("response " << number);
    const std::string id = "a" + std::to_string(number++);
    back_ends = BackEndList();
    leaving.script = response;
    leaving.requests.clear();
    AddBackEnd(id, "desk", EngineRole::kNone, leaving.port());
    CallFrontend("/book/1");
    REQUIRE(leaving.requests.size() == 1);
    // No other server: refused at once.
    CHECK(CallFrontend("/book/2").status == 503);
    AddBackEnd("b", "desk", EngineRole::kNone, other.port());
    // The entry that says "ready" doesn't lift it.
    AddBackEnd(id, "desk", EngineRole::kNone, leaving.port());
    for (int i = 0; i < 10; ++i) CHECK(CallFrontend("/look/1").status == 200);
    CHECK(leaving.requests.size() == 1);
    // A new start of the server does.
    back_ends = BackEndList();
    AddBackEnd(id, "desk", EngineRole::kNone, leaving.port(), "v1",
               /*incarnation=*/2);
    CallFrontend("/book/3");
    CHECK(leaving.requests.size() == 2);
  }
}

TEST_CASE_METHOD(RelayFixture,
                 "an engine that says that it leaves gets no new stage") {
  FakeEngine prefill(loop.get());
  FakeEngine decode(loop.get());
  FakeEngine other(loop.get());
  AddBackEnd("p", "llm", EngineRole::kPrefill, prefill.back_end.port());
  AddBackEnd("e", "llm", EngineRole::kDecode, decode.back_end.port());
  prefill.on_prefill = [](const FakeBackEnd::Exchange& exchange) {
    exchange->Respond({200, MakeLeavingMarkers(exchange->request()),
                       R"({"handle":"kv1","tokens":10,"version":1})"});
  };
  decode.on_run = [](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeLeavingMarkers(exchange->request()));
    exchange->Write(MakeEvent(1));
    exchange->Finish();
  };
  // The request that learns of it is served to its end.
  CHECK(CallFrontend("/letter/1").body == MakeEvent(1));
  const size_t requests = decode.back_end.requests.size();
  CHECK(CallFrontend("/letter/2").status == 503);
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  CHECK(CallFrontend("/letter/3").ok);
  CHECK(prefill.prefills == 1);
  CHECK(decode.back_end.requests.size() == requests);
  CHECK(other.runs == 1);
}

// --- Resting back ends
// --------------------------------------------------------

FakeBackEnd::Script RejectFor(const std::string& seconds) {
  return [seconds](const FakeBackEnd::Exchange& exchange) {
    HttpHeaders headers;
    headers.Add("Mimosarouter-Not-Executed", "1");
    headers.Add("Retry-After", seconds);
    exchange->Respond({503, headers, ""});
  };
}

TEST_CASE_METHOD(
    RelayFixture,
    "a server that asks for a pause gets no request until its end") {
  FakeBackEnd resting(loop.get());
  FakeBackEnd other(loop.get());
  resting.script = RejectFor("0.8");
  other.script = [](const auto& exchange) {
    SendResponse(exchange, 200, "ok");
  };
  AddBackEnd("a", "desk", EngineRole::kNone, resting.port());
  const MonoTime start = loop->Now();
  // Without another server, the caller learns when to come back.
  const CallerResponse refused = CallFrontend("/book/1");
  CHECK(refused.status == 503);
  CHECK(std::stod(*refused.headers.Find("Retry-After")) >= 0.7);
  for (int i = 0; i < 10; ++i) CHECK(CallFrontend("/look/1").status == 503);
  CHECK(resting.requests.size() == 1);
  AddBackEnd("b", "desk", EngineRole::kNone, other.port());
  for (int i = 0; i < 10; ++i) CHECK(CallFrontend("/look/1").status == 200);
  CHECK(loop->Now() - start < milliseconds(800));
  CHECK(resting.requests.size() == 1);
  back_ends.Remove(BackEndId("b"), loop->Now());
  RunFor(loop.get(), milliseconds(900));
  resting.script = other.script;
  CHECK(CallFrontend("/look/1").status == 200);
}

TEST_CASE_METHOD(RelayFixture,
                 "a senseless Retry-After is ignored or bounded") {
  FakeBackEnd desk(loop.get());
  int number = 0;
  for (const char* value : {"", "0", "-1", "1e", "nan", "inf", "-inf", "1e999",
                            "Fri, 04 Dec 2026 09:00:00 GMT"}) {
    INFO("Retry-After: " << value);
    back_ends = BackEndList();
    AddBackEnd("a" + std::to_string(number++), "desk", EngineRole::kNone,
               desk.port());
    desk.script = RejectFor(value);
    CHECK(CallFrontend("/book/1").status == 503);
    // Not long after, the server is asked again.
    RunFor(loop.get(), milliseconds(250));
    desk.script = [](const auto& exchange) {
      SendResponse(exchange, 200, "ok");
    };
    CHECK(CallFrontend("/book/1").status == 200);
  }
}

TEST_CASE_METHOD(
    RelayFixture,
    "if all engines ask for a long pause, callers learn it at once") {
  FakeEngine one(loop.get());
  FakeEngine two(loop.get());
  for (FakeEngine* engine : {&one, &two})
    engine->back_end.script = RejectFor("5");
  AddBackEnd("e1", "llm", EngineRole::kDecode, one.back_end.port());
  AddBackEnd("e2", "llm", EngineRole::kDecode, two.back_end.port());
  const MonoTime start = loop->Now();
  for (int i = 0; i < 5; ++i) {
    const CallerResponse refused = CallFrontend("/letter/1");
    CHECK(refused.status == 503);
    CHECK(std::stod(*refused.headers.Find("Retry-After")) > 4);
  }
  CHECK(loop->Now() - start < milliseconds(500));
  CHECK(one.back_end.requests.size() + two.back_end.requests.size() == 2);
}

// --- Streams -----------------------------------------------------------------

TEST_CASE_METHOD(
    StreamFixture,
    "a stream is reserved, prefilled and run, and leaves nothing behind") {
  const CallerResponse response = CallFrontend("/letter/1");
  CHECK(response.ok);
  CHECK(response.status == 200);
  CHECK(response.body == complete_stream);
  CHECK(prefill.prefills == 1);
  CHECK(decode.runs == 1);
  const HttpRequest& run = decode.back_end.requests.back();
  CHECK(*Header(run, "Mimosarouter-Kv-Hold") == "hold1");
  CHECK(*Header(run, "Mimosarouter-Kv-Source") ==
        "127.0.0.1:" + std::to_string(prefill.back_end.port()) + "/kv1");
  CHECK(prefill.CountDeletes("/mimosarouter/kv-handle/kv1") == 0);
}

TEST_CASE_METHOD(StreamFixture, "without a reservation there is no prefill") {
  decode.has_capacity = false;
  const CallerResponse response = CallFrontend("/letter/1");
  CHECK(response.status == 503);
  CHECK(response.headers.Find("Retry-After") != nullptr);
  CHECK(prefill.prefills == 0);
  CHECK(decode.runs == 0);
}

TEST_CASE_METHOD(
    StreamFixture,
    "a request that waits for a reservation gets it once there is capacity") {
  decode.has_capacity = false;
  const auto timer =
      loop->After(milliseconds(120), [this] { decode.has_capacity = true; });
  CHECK(CallFrontend("/letter/1").body == complete_stream);
}

TEST_CASE_METHOD(
    StreamFixture,
    "without a prefill engine the decode engine does the prefill") {
  back_ends.Remove(BackEndId("p"), loop->Now());
  CHECK(CallFrontend("/letter/1").body == complete_stream);
  CHECK(decode.back_end.CountRequestsWith("Mimosarouter-Kv-Source") == 0);
}

TEST_CASE_METHOD(StreamFixture,
                 "an expired prefill result costs exactly one more run") {
  int rejected = 0;
  const auto run = decode.on_run;
  decode.on_run = [&](const auto& exchange) {
    if (Header(exchange->request(), "Mimosarouter-Kv-Source") != nullptr) {
      ++rejected;
      SendNotExecuted(exchange);
    } else {
      run(exchange);
    }
  };
  prefill.on_prefill = [&](const auto& exchange) {
    exchange->Respond({200, {}, R"({"handle":"kv1","tokens":10})"});
  };
  CHECK(CallFrontend("/letter/1").body == complete_stream);
  CHECK(rejected == 1);
  CHECK(decode.runs == 2);
}

// The second engine takes the prefill's result, so that the request costs one
// retry and no second prefill.
TEST_CASE_METHOD(StreamFixture,
                 "a prefill was repeated after a run at an engine that rejects "
                 "all") {
  const BackEndEntry rejecting = back_ends.entries().at(BackEndId("e")).entry;
  selector.OnCallStarted(rejecting, {});
  selector.OnCallEnded(rejecting, {}, CallOutcome::kRejected,
                       loop->Now() - std::chrono::seconds(1));
  FakeEngine other(loop.get());
  decode.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
    SendNotExecuted(exchange);
  };
  CHECK(CallFrontend("/letter/x").body == complete_stream);
  CHECK(decode.runs == 1);
  CHECK(other.runs == 1);
  CHECK(other.back_end.CountRequestsWith("Mimosarouter-Kv-Source") == 1);
  CHECK(prefill.prefills == 1);
  CHECK(counters.retries == 1);
}

TEST_CASE_METHOD(StreamFixture, "a lost run isn't retried") {
  FakeEngine other(loop.get());
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  for (FakeEngine* engine : {&decode, &other})
    engine->on_run = [](const auto& exchange) { exchange->Abort(); };
  CHECK(CallFrontend("/letter/1").status == 502);
  CHECK(decode.runs + other.runs == 1);
}

TEST_CASE_METHOD(StreamFixture, "an undefined status is a lost run") {
  for (const int status : kUndefinedStatuses) {
    CAPTURE(status);
    decode.on_run = [status](const auto& exchange) {
      SendResponse(exchange, status, MakeEvent(1));
    };
    const CallerResponse response = CallFrontend("/letter/1");
    CHECK(response.ok);
    CHECK(response.status == 502);
    CHECK(response.body.empty());
  }
}

TEST_CASE_METHOD(StreamFixture,
                 "an undefined status of a prefill moves it elsewhere") {
  FakeEngine other(loop.get());
  AddBackEnd("q", "llm", EngineRole::kPrefill, other.back_end.port());
  prefill.on_prefill = [](const auto& exchange) {
    exchange->Respond({671, {}, R"({"handle":"kv1","tokens":10,"version":1})"});
  };
  for (int i = 0; i < 4; ++i)
    CHECK(CallFrontend("/letter/1").body == complete_stream);
  CHECK(prefill.prefills > 0);
  CHECK(other.prefills > 0);
}

TEST_CASE_METHOD(StreamFixture, "a stream cut midway doesn't look complete") {
  decode.on_run = [](const auto& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1) + "id: 2\nda");
    exchange->Abort();
  };
  CHECK_FALSE(CallFrontend("/letter/1").ok);
  CHECK(decode.runs == 1);
}

TEST_CASE_METHOD(StreamFixture,
                 "a resumable stream continues after its last complete event") {
  FakeEngine other(loop.get());
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  int run = 0;
  const auto script = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    if (++run == 1) {
      exchange->Write(MakeEvent(1) + "id: 2\nda");
      exchange->OnDrained([exchange] { exchange->Abort(); });
      return;
    }
    CHECK(*Header(exchange->request(), "Last-Event-Id") == "1");
    exchange->Write(MakeEvent(2) + MakeEvent(3));
    exchange->Finish();
  };
  decode.on_run = script;
  other.on_run = script;
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(decode.runs == 1);
  CHECK(other.runs == 1);
}

TEST_CASE_METHOD(
    StreamFixture,
    "a stalled resumable stream stays if no other engine has capacity") {
  FakeEngine other(loop.get());
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  TimerHandle later;
  const auto script = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1));
    decode.has_capacity = other.has_capacity = false;
    later = loop->After(milliseconds(600), [exchange] {
      exchange->Write(MakeEvent(2) + MakeEvent(3));
      exchange->Finish();
    });
  };
  decode.on_run = script;
  other.on_run = script;
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(decode.runs + other.runs == 1);
}

TEST_CASE_METHOD(StreamFixture,
                 "a stream that has begun waits for memory after its engine "
                 "has failed, however old it is") {
  FakeEngine other(loop.get());
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  first_event_timeout = milliseconds(100);
  SetConfig();
  TimerHandle timer;
  int run = 0;
  const auto script = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    if (++run == 1) {
      exchange->Write(MakeEvent(1));
      decode.has_capacity = other.has_capacity = false;
      exchange->OnDrained([exchange] { exchange->Abort(); });
      timer = loop->After(milliseconds(300), [&] {
        decode.has_capacity = other.has_capacity = true;
      });
      return;
    }
    exchange->Write(MakeEvent(2) + MakeEvent(3));
    exchange->Finish();
  };
  decode.on_run = script;
  other.on_run = script;
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
}

// An engine that rejects requests for its report, so that nobody knows which
// incarnation it is.
void RejectReports(FakeEngine* engine) {
  engine->back_end.states_itself = false;
  engine->back_end.script = [engine](const FakeBackEnd::Exchange& exchange) {
    if (exchange->request().target == "/mimosarouter/report") {
      SendNotExecuted(exchange);
    } else {
      engine->Serve(exchange);
    }
  };
}

TEST_CASE_METHOD(RelayFixture,
                 "a stream that may be taken up begins at no version that the "
                 "record doesn't name") {
  FakeEngine prefill(loop.get());
  FakeEngine decode(loop.get());
  ListBackEnd("p", "llm", EngineRole::kPrefill, prefill.back_end.port(), "v2");
  ListBackEnd("d", "llm", EngineRole::kDecode, decode.back_end.port(), "v2");
  const CallerResponse refused = CallFrontend("/note/1");
  CHECK(refused.status == 503);
  CHECK(refused.headers.Find("Retry-After") != nullptr);
  CHECK(decode.runs == 0);
  CHECK(prefill.prefills == 0);
  // Nobody asks which version began this one.
  CHECK(CallFrontend("/letter/1").status == 200);
  // The daemon records the version itself.
  REQUIRE(RunUntil(loop.get(), [&] {
    return !versions.StartableVersions(ServiceId("llm")).empty();
  }));
  CHECK(CallFrontend("/note/2").status == 200);
}

// The result can only be used at the software version that generated it.
TEST_CASE_METHOD(StreamFixture,
                 "an engine of unknown incarnation gets no prefill result") {
  RejectReports(&decode);
  bool has_source = false;
  const auto run = decode.on_run;
  decode.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    has_source =
        Header(exchange->request(), "Mimosarouter-Kv-Source") != nullptr;
    run(exchange);
  };
  CallFrontend("/note/1");
  CHECK(prefill.prefills == 1);
  CHECK_FALSE(has_source);
}

TEST_CASE_METHOD(StreamFixture,
                 "the reservation of a run that is withheld from another "
                 "incarnation is released") {
  decode.back_end.incarnation = 2;  // Its entry is still that of the first one.
  CHECK(CallFrontend("/letter/1").status == 503);
  CHECK(decode.runs == 0);
  int reserved = 0;
  for (const HttpRequest& request : decode.back_end.requests)
    reserved += request.target == "/mimosarouter/hold-take" ? 1 : 0;
  CHECK(reserved >= 1);
  RunFor(loop.get(), milliseconds(300));
  CHECK(decode.CountDeletes("/mimosarouter/hold-drop/hold1") == reserved);
}

TEST_CASE_METHOD(StreamFixture,
                 "the reservation of a run that is withheld from an engine of "
                 "unknown incarnation is released") {
  FakeEngine other(loop.get());
  RejectReports(&other);
  decode.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1));
    exchange->OnDrained([exchange] { exchange->Abort(); });
  };
  CallFrontend("/note/1");
  CHECK(other.runs == 0);
  int reserved = 0;
  for (const HttpRequest& request : other.back_end.requests)
    reserved += request.target == "/mimosarouter/hold-take" ? 1 : 0;
  CHECK(reserved >= 1);
  RunFor(loop.get(), milliseconds(300));
  CHECK(other.CountDeletes("/mimosarouter/hold-drop/hold1") == reserved);
}

// Two engines, of which the first that gets a run sends one event and then
// nothing, until the test says so.
struct SilentRunFixture : StreamFixture {
  SilentRunFixture() {
    AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
    decode.on_run = [this](const auto& exchange) { Run(&decode, exchange); };
    other.on_run = [this](const auto& exchange) { Run(&other, exchange); };
  }
  void Run(FakeEngine* engine, const FakeBackEnd::Exchange& exchange) {
    if (silent != nullptr) {
      ++later_runs;
      exchange->OnClientDisconnected([this] { ++later_cancelled; });
      later_engine = engine;
      on_later_run(exchange);
      return;
    }
    silent = exchange;
    silent_engine = engine;
    exchange->OnClientDisconnected([this] {
      silent_cancelled = true;
      silent_ended = loop->Now();
    });
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1) + partial);
  }
  void Reset() {
    silent = nullptr;
    silent_cancelled = false;
    later_runs = later_cancelled = 0;
  }
  // Ends the stream of the silent run, if that wasn't cancelled.
  void FinishSilentRun() const {
    if (silent_cancelled) return;
    silent->Write((MakeEvent(2) + MakeEvent(3)).substr(partial.size()));
    silent->Finish();
  }
  // The same once it has sent its second event.
  void FinishLate() const {
    silent->Write(MakeEvent(3));
    silent->Finish();
  }
  static void FinishStream(const FakeBackEnd::Exchange& exchange) {
    CHECK(*Header(exchange->request(), "Last-Event-Id") == "1");
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(2) + MakeEvent(3));
    exchange->Finish();
  }
  static void RespondToPrefill(const FakeBackEnd::Exchange& exchange) {
    exchange->Respond({200, {}, R"({"handle":"kv1","tokens":10,"version":1})"});
  }
  // Runs `script` at the prefill for the run that is to replace the silent one.
  void OnSecondPrefill(const FakeBackEnd::Script& script) {
    AddBackEnd("q", "llm", EngineRole::kPrefill,
               second_prefill.back_end.port());
    for (FakeEngine* engine : {&prefill, &second_prefill})
      engine->on_prefill = [this,
                            script](const FakeBackEnd::Exchange& exchange) {
        if (silent == nullptr) {
          RespondToPrefill(exchange);
        } else {
          script(exchange);
        }
      };
  }
  // A later run ends, or `then` happens, after about two round trips.
  TimerHandle Later(std::function<void()> then) {
    return loop->After(milliseconds(30), std::move(then));
  }

  FakeEngine other{loop.get()};
  FakeEngine second_prefill{loop.get()};
  FakeBackEnd::Exchange silent;
  FakeEngine* silent_engine = nullptr;
  bool silent_cancelled = false;
  MonoTime silent_ended{};
  std::string partial = "id: 2\nda";
  FakeBackEnd::Script on_later_run;
  FakeEngine* later_engine = nullptr;  // Of the last one.
  int later_runs = 0;
  int later_cancelled = 0;
  TimerHandle timer;
};

TEST_CASE_METHOD(SilentRunFixture,
                 "a silent run has ended when the request goes on elsewhere") {
  MonoTime second_began{};
  on_later_run = [&](const FakeBackEnd::Exchange& exchange) {
    second_began = loop->Now();
    timer = Later([this, exchange] {
      CHECK(silent_cancelled);
      FinishStream(exchange);
    });
  };
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(later_runs == 1);
  CHECK(later_engine != silent_engine);
  CHECK(silent_ended - second_began < milliseconds(400));
}

TEST_CASE_METHOD(SilentRunFixture,
                 "a stream goes on although the run that was to replace its "
                 "silent run was rejected") {
  on_later_run = [this](const FakeBackEnd::Exchange& exchange) {
    CHECK(*Header(exchange->request(), "Last-Event-Id") == "1");
    timer = Later([this, exchange] {
      CHECK(silent_cancelled);
      if (later_runs == 1) {
        SendNotExecuted(exchange);
      } else {
        FinishStream(exchange);
      }
    });
  };
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(later_runs == 2);
}

// Guards against two engines at work on one request, where the silent run went
// on after the run that was to replace it was lost.
TEST_CASE_METHOD(SilentRunFixture,
                 "a stream returns to an engine after the run that was to "
                 "replace its silent run has failed") {
  const std::vector<FakeBackEnd::Script> failures = {
      [](const FakeBackEnd::Exchange& exchange) { exchange->Abort(); },
      [](const FakeBackEnd::Exchange& exchange) {
        SendResponse(exchange, 500, "error");
      },
      // It can't continue an event stream.
      [](const FakeBackEnd::Exchange& exchange) {
        HttpHeaders headers = MakeMarkers(exchange->request());
        headers.Add("Content-Type", "text/plain");
        exchange->Respond({200, headers, "text"});
      }};
  for (const FakeBackEnd::Script& failure : failures) {
    INFO("failure " << serial);
    Reset();
    on_later_run = [this, failure](const FakeBackEnd::Exchange& exchange) {
      if (later_runs == 1) {
        failure(exchange);
        // Too late to count.
        timer = loop->After(milliseconds(1), [this] { FinishSilentRun(); });
        return;
      }
      CHECK(silent_cancelled);
      FinishStream(exchange);
    };
    const CallerResponse response =
        CallFrontend("/note/" + std::to_string(serial));
    CHECK(response.ok);
    CHECK(response.body == complete_stream);
    // Two engines are all that the route allows.
    CHECK(later_runs == 2);
  }
}

TEST_CASE_METHOD(SilentRunFixture,
                 "a stream doesn't return to an engine whose response was of "
                 "no use") {
  on_later_run = [this](const FakeBackEnd::Exchange& exchange) {
    if (later_runs == 1) {
      CHECK(later_engine != silent_engine);
      SendResponse(exchange, 500, "error");
      return;
    }
    CHECK(later_engine == silent_engine);
    FinishStream(exchange);
  };
  CHECK(CallFrontend("/note/1").body == complete_stream);
  CHECK(later_runs == 2);
}

TEST_CASE_METHOD(SilentRunFixture,
                 "a silent run that sends an event goes on if the request "
                 "wasn't sent elsewhere") {
  OnSecondPrefill([this](const FakeBackEnd::Exchange&) {
    silent->Write(MakeEvent(2).substr(partial.size()));
    timer = loop->After(milliseconds(50), [this] {
      silent->Write(MakeEvent(3));
      silent->Finish();
    });
  });
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK_FALSE(silent_cancelled);
  CHECK(later_runs == 0);
}

// Guards against two engines at work on one request, where a refusal whose body
// is awaited ends a call that was cancelled.
TEST_CASE_METHOD(
    SilentRunFixture,
    "a silent run that goes on isn't replaced because of a refusal "
    "before") {
  OnSecondPrefill([this](const FakeBackEnd::Exchange& exchange) {
    HttpHeaders headers;
    headers.Add("Mimosarouter-Not-Executed", "1");
    exchange->StartStream(503, headers, /*content_length=*/10);
    timer = Later([this] {
      silent->Write(MakeEvent(2).substr(partial.size()));
      timer = loop->After(milliseconds(150), [this] { FinishLate(); });
    });
  });
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK_FALSE(silent_cancelled);
  CHECK(later_runs == 0);
}

// Guards against two engines at work on one request, where the silent run spoke
// again before the run that was to replace it.
TEST_CASE_METHOD(SilentRunFixture,
                 "a silent run that sends an event after the request was sent "
                 "elsewhere isn't read") {
  on_later_run = [this](const FakeBackEnd::Exchange& exchange) {
    silent->Write(MakeEvent(2).substr(partial.size()));
    timer =
        loop->After(milliseconds(100), [exchange] { FinishStream(exchange); });
  };
  FakeEngine third(loop.get());
  AddBackEnd("g", "llm", EngineRole::kDecode, third.back_end.port());
  third.on_run = [&](const auto& exchange) { Run(&third, exchange); };
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(silent_cancelled);
  CHECK(later_runs == 1);
}

// Guards against two engines at work on one request, where the response of the
// second one is late or lost.
TEST_CASE_METHOD(SilentRunFixture,
                 "a run that doesn't respond has ended when the stream returns "
                 "to an engine") {
  on_later_run = [this](const FakeBackEnd::Exchange& exchange) {
    if (later_runs == 1) return;  // Never responds.
    CHECK(later_engine == silent_engine);
    timer = Later([this, exchange] {
      CHECK(silent_cancelled);
      CHECK(later_cancelled == 1);
      FinishStream(exchange);
    });
  };
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(later_runs == 2);
}

TEST_CASE_METHOD(SilentRunFixture,
                 "a stream whose silent run breaks off goes on elsewhere") {
  OnSecondPrefill([this](const FakeBackEnd::Exchange& exchange) {
    silent->Abort();
    timer = Later([exchange] { RespondToPrefill(exchange); });
  });
  on_later_run = FinishStream;
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(later_runs == 1);
}

TEST_CASE_METHOD(SilentRunFixture,
                 "at the deadline a silent run and its replacements end") {
  on_later_run = [](const FakeBackEnd::Exchange&) {};  // Never responds.
  HttpRequest request = MakeRequest("/note/1");
  request.headers.Set("Mimosarouter-Deadline-Ms", "600");
  CHECK_FALSE(CallFrontend(request).ok);
  CHECK(later_runs > 0);
  CHECK(RunUntil(loop.get(), [&] {
    return silent_cancelled && later_cancelled == later_runs;
  }));
}

// A stream moves between engines only as long as it gets somewhere.
TEST_CASE_METHOD(SilentRunFixture,
                 "a stream returns to each engine at most once") {
  on_later_run = [](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->OnDrained([exchange] { exchange->Abort(); });
  };
  CHECK_FALSE(CallFrontend("/note/1").ok);
  CHECK(later_runs <= 3);
}

TEST_CASE_METHOD(StreamFixture,
                 "the log tells that a run fell silent and how that ended") {
  FakeEngine other(loop.get());
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  TimerHandle later;
  int runs = 0;
  const auto script = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    if (++runs == 1) {
      exchange->Write(MakeEvent(1));
      return;
    }
    exchange->Write(MakeEvent(2) + MakeEvent(3));
    exchange->Finish();
  };
  decode.on_run = script;
  other.on_run = script;
  CHECK(CallFrontend("/note/1").body == complete_stream);
  REQUIRE(log_file.ReadLines(&log, "run_silent").size() == 1);
  const std::string line = log_file.ReadLines(&log, "run_silent").front();
  CHECK(line.find(R"("request":"r1")") != std::string::npos);
  CHECK(line.find(R"("events":1)") != std::string::npos);
  REQUIRE(log_file.ReadLines(&log, "run_silence_ended").size() == 1);
  CHECK(log_file.ReadLines(&log, "run_silence_ended")
            .front()
            .find(R"("outcome":"given_up")") != std::string::npos);
  // Without another engine it is restored.
  back_ends.Remove(BackEndId("f"), loop->Now());
  runs = 0;
  const auto stalled = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(1));
    later = loop->After(milliseconds(400), [exchange] {
      exchange->Write(MakeEvent(2) + MakeEvent(3));
      exchange->Finish();
    });
  };
  decode.on_run = stalled;
  other.on_run = stalled;
  CHECK(CallFrontend("/note/2").body == complete_stream);
  REQUIRE(log_file.ReadLines(&log, "run_silence_ended").size() == 2);
  CHECK(log_file.ReadLines(&log, "run_silence_ended")
            .back()
            .find(R"("outcome":"restored")") != std::string::npos);
}

TEST_CASE_METHOD(StreamFixture,
                 "a resumable stream of comments alone moves to another "
                 "engine") {
  FakeEngine other(loop.get());
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  TimerHandle timer;
  std::function<void(const FakeBackEnd::Exchange&)> send_comment =
      [&](const FakeBackEnd::Exchange& exchange) {
        exchange->Write(": wait\n\n");
        timer = loop->After(milliseconds(20), [&send_comment, exchange] {
          send_comment(exchange);
        });
      };
  int run = 0;
  const auto script = [&](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    if (++run == 1) {
      exchange->Write(MakeEvent(1));
      send_comment(exchange);
      return;
    }
    CHECK(*Header(exchange->request(), "Last-Event-Id") == "1");
    exchange->Write(MakeEvent(2) + MakeEvent(3));
    exchange->Finish();
  };
  decode.on_run = script;
  other.on_run = script;
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(run == 2);
  CHECK(response.body.find(MakeEvent(1)) == 0);
  CHECK(response.body.find(MakeEvent(2) + MakeEvent(3)) != std::string::npos);
}

TEST_CASE_METHOD(
    StreamFixture,
    "when a caller disconnects, memory and reservation are released") {
  prefill.on_prefill = [](const auto&) {};  // never completes
  HttpCallOptions options;
  options.to = {"127.0.0.1", server->port()};
  auto call = Fetch(client.get(), options, MakeRequest("/letter/1"),
                    [](const HttpResult&) {});
  REQUIRE(RunUntil(loop.get(), [&] { return prefill.prefills == 1; }));
  call.reset();
  CHECK(RunUntil(loop.get(), [&] {
    return decode.CountDeletes("/mimosarouter/hold-drop/hold1") == 1;
  }));
  CHECK(
      RunUntil(loop.get(), [&] { return frontend->running_requests() == 0; }));
  CHECK(selector.GetObservedState(BackEndId("e"), loop->Now()).open_calls == 0);
  CHECK(selector.GetObservedState(BackEndId("p"), loop->Now()).open_calls == 0);
}

TEST_CASE_METHOD(StreamFixture,
                 "failing prefill engines don't fail the request") {
  FakeEngine second(loop.get());
  AddBackEnd("q", "llm", EngineRole::kPrefill, second.back_end.port());
  for (FakeEngine* engine : {&prefill, &second})
    engine->on_prefill = [](const auto& exchange) { exchange->Abort(); };
  CHECK(CallFrontend("/letter/1").body == complete_stream);
}

}  // namespace
}  // namespace mimosa::testing
