// A response without a length or chunks ends with its connection, so an orderly
// close doesn't prove that it is complete. These tests cut event streams at
// each byte and check that no truncated one is framed as complete.
#include <catch2/catch.hpp>
#include <string>

#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

constexpr char kEventStreamFields[] =
    "Content-Type: text/event-stream\r\nConnection: close\r\n";

// How a raw engine ends its connection.
enum class ConnectionEnd { kOrderly, kReset };

// One decode engine without a prefill engine, whose runs send raw bytes.
struct TruncationFixture : RelayFixture {
  TruncationFixture() {
    engine.script = [this](const std::string& request, RawPeer* peer) {
      Serve(request, peer);
    };
    AddBackEnd("e", "llm", EngineRole::kDecode, engine.port());
  }

  void Serve(const std::string& request, RawPeer* peer) {
    if (request.find("/mimosarouter/hold-") != std::string::npos) {
      peer->Send(
          "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nConnection: close\r\n\r\n"
          R"({"hold":"h01"})");
      peer->ShutdownWrite();
      return;
    }
    peer->Send(RawResponseHead(request, fields));
    // A reset discards what the receiver hasn't read, so it comes later.
    peer->Send(stream);
    if (end == ConnectionEnd::kOrderly) {
      peer->ShutdownWrite();
    } else {
      reset_timer =
          loop->After(milliseconds(20), [peer] { peer->CloseWithReset(); });
    }
  }

  // Forgets what the selector has learned about the engine. Each request
  // differs from those before, since repetitions of one that engines break off
  // are kept from them.
  CallerResponse CallAnew(const std::string& target) {
    back_ends = BackEndList();
    AddBackEnd("e" + std::to_string(++engines), "llm", EngineRole::kDecode,
               engine.port());
    return CallFrontend(target + "?" + std::to_string(engines));
  }

  RawBackEnd engine{loop.get()};
  int engines = 0;
  std::string fields = kEventStreamFields;
  std::string stream;
  ConnectionEnd end = ConnectionEnd::kOrderly;
  TimerHandle reset_timer;
  const std::string complete_stream =
      MakeEvent(1) + MakeEvent(2) + MakeEvent(3);
};

bool EndsBetweenEvents(const std::string& stream) {
  return stream.size() >= 2 && stream.substr(stream.size() - 2) == "\n\n";
}

TEST_CASE_METHOD(
    TruncationFixture,
    "a stream that ends inside an event isn't framed as complete") {
  for (const char* target : {"/letter/1", "/note/1"}) {
    for (size_t size = 0; size < complete_stream.size(); ++size) {
      stream = complete_stream.substr(0, size);
      INFO(target << " cut after " << size << " bytes");
      const CallerResponse response = CallAnew(target);
      CHECK(response.ok == EndsBetweenEvents(stream));
    }
  }
}

TEST_CASE_METHOD(TruncationFixture,
                 "a complete stream without framing is framed as complete") {
  stream = complete_stream;
  const CallerResponse response = CallAnew("/letter/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a stream that ends with a reset isn't framed as complete") {
  end = ConnectionEnd::kReset;
  for (size_t size = 0; size <= complete_stream.size(); size += 7) {
    stream = complete_stream.substr(0, size);
    INFO("cut after " << size << " bytes");
    CHECK_FALSE(CallAnew("/letter/1").ok);
  }
}

TEST_CASE_METHOD(
    TruncationFixture,
    "a framed stream that ends inside an event isn't framed as complete") {
  stream = complete_stream + "id: 4\nda";
  fields = "Content-Type: text/event-stream\r\nContent-Length: " +
           std::to_string(stream.size()) + "\r\n";
  CHECK_FALSE(CallAnew("/letter/1").ok);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a resumable stream continues after a close inside an event") {
  FakeEngine other(loop.get());
  other.on_run = [](const FakeBackEnd::Exchange& exchange) {
    CHECK(*Header(exchange->request(), "Last-Event-Id") == "2");
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(3));
    exchange->Finish();
  };
  stream = MakeEvent(1) + MakeEvent(2) + "id: 3\ndata: d";
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  // Until the run is sent to the raw engine, the other one has no capacity.
  other.has_capacity = false;
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    serve(request, peer);
    other.has_capacity = true;
  };
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(other.runs == 1);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a comment after the last event doesn't truncate a stream") {
  stream = complete_stream + ": done";
  const CallerResponse response = CallAnew("/letter/1");
  CHECK(response.ok);
  CHECK(response.body == stream);
}

TEST_CASE_METHOD(
    TruncationFixture,
    "a response that isn't an event stream is passed on as it is") {
  fields = "Content-Type: application/json\r\nConnection: close\r\n";
  stream = "{\"text\":\"a\"}";
  const CallerResponse response = CallAnew("/letter/1");
  CHECK(response.ok);
  CHECK(response.body == stream);
}

TEST_CASE_METHOD(
    TruncationFixture,
    "events don't follow a truncated response that isn't an event stream") {
  FakeEngine other(loop.get());
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  other.has_capacity = false;
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    serve(request, peer);
    other.has_capacity = true;
  };
  fields = "Content-Type: application/json\r\nContent-Length: 100\r\n";
  stream = "{\"text\":";
  HttpRequest request = MakeRequest("/note/1");
  request.headers.Set("Last-Event-Id", "1");
  CHECK_FALSE(CallFrontend(request).ok);
  CHECK(other.runs == 0);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a stream doesn't resume with a response that is no stream") {
  // The first engine breaks off after an event; the second one's success is
  // something else.
  FakeEngine other(loop.get());
  other.on_run = [](const FakeBackEnd::Exchange& exchange) {
    HttpHeaders headers = MakeMarkers(exchange->request());
    headers.Add("Content-Type", "application/json");
    exchange->StartStream(200, headers);
    exchange->Write("{}");
    exchange->Finish();
  };
  stream = MakeEvent(1) + "id: 2\nda";
  engine.script = [this, &other](const std::string& request, RawPeer* peer) {
    AddBackEnd("other", "llm", EngineRole::kDecode, other.back_end.port());
    Serve(request, peer);
  };
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(other.runs == 1);
  CHECK_FALSE(response.ok);
}

TEST_CASE_METHOD(
    TruncationFixture,
    "an event stream of a plain service may not end inside an event") {
  AddBackEnd("d", "desk", EngineRole::kNone, engine.port());
  stream = complete_stream;
  CHECK(CallFrontend("/look/1").body == complete_stream);
  stream = complete_stream + "id: 4\nda";
  CHECK(CallFrontend("/look/1").status == 502);
  CHECK(CallFrontend("/book/1").status == 502);
}

}  // namespace
}  // namespace mimosa::testing
