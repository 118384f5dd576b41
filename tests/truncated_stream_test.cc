// A response without a length or chunks ends with its connection, so an orderly
// close doesn't prove that it is complete. These tests cut event streams at
// each byte and check that no truncated one is framed as complete.
#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

constexpr char kEventStreamFields[] =
    "Content-Type: text/event-stream\r\nConnection: close\r\n";

// How a raw engine ends its connection.
enum class ConnectionEnd { kOrderly, kReset };

// Returns the response of an engine that is asked for its report. AddBackEnd()
// registers the incarnation 1.
std::string RawReport(int incarnation) {
  const std::string body =
      R"({"stage":"decode","busy":false,"sequence":0,"born":)" +
      std::to_string(incarnation) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Returns the response of a healthy plain server to a probe.
std::string RawHealth(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nMimosarouter-Instance-Id: " + id +
         "\r\nContent-Length: 0\r\n\r\n";
}

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
    if (request.find("GET ") == 0) {
      ++signs_asked_for;
      peer->Send(sign);
      peer->ShutdownWrite();
      return;
    }
    peer->Send(RawResponseHead(request, fields));
    // A reset discards what the receiver hasn't read, so it comes later.
    peer->Send(stream);
    if (terminates) engine.StopListening();
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
  bool terminates = false;  // After its stream.
  // Its response when it is asked for a sign of life after the stream.
  std::string sign = RawReport(1);
  int signs_asked_for = 0;
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
                 "a run that ends inside an event is broken off before its "
                 "stream goes on") {
  FakeEngine other(loop.get());
  RawPeer* first = nullptr;
  bool is_broken_off = false;
  other.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    is_broken_off = first->closed();
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(3));
    exchange->Finish();
  };
  stream = MakeEvent(1) + MakeEvent(2) + "id: 3\ndata: d";
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    if (request.find("/hold-") == std::string::npos && other.runs == 0) {
      first = peer;
      AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
    }
    serve(request, peer);
  };
  CHECK(CallFrontend("/note/1").ok);
  CHECK(other.runs == 1);
  CHECK(is_broken_off);
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
  sign = RawHealth("d");
  stream = complete_stream;
  CHECK(CallFrontend("/look/1").body == complete_stream);
  stream = complete_stream + "id: 4\nda";
  CHECK(CallFrontend("/look/1").status == 502);
  CHECK(CallFrontend("/book/1").status == 502);
}

// What an engine that has sent a part of its stream and terminated answers, or
// another process at its address.
struct TerminatedEngine {
  const char* what;
  bool is_listening;
  std::string sign;  // Empty: none.
  // Shows nothing of a plain server, which rejects probes while it is full.
  bool is_engine_only = false;
};

std::vector<TerminatedEngine> TerminatedEngines() {
  return {{"gone", false, ""},
          {"back as another incarnation", true, RawReport(2)},
          {"replaced by another server", true,
           "HTTP/1.1 421 Misdirected Request\r\nMimosarouter-Instance-Id: "
           "other\r\nContent-Length: 0\r\n\r\n"},
          {"replaced by a server that checks no ids", true,
           "HTTP/1.1 200 OK\r\nMimosarouter-Instance-Id: other\r\n"
           "Content-Length: 0\r\n\r\n"},
          {"silent", true, ""},
          {"busy", true,
           "HTTP/1.1 503 Service Unavailable\r\n"
           "Mimosarouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
           /*is_engine_only=*/true}};
}

struct TerminatedEngineFixture : TruncationFixture {
  TerminatedEngineFixture() { stream = MakeEvent(1) + MakeEvent(2); }

  void Terminate(const TerminatedEngine& engine_in) {
    terminates = !engine_in.is_listening;
    sign = engine_in.sign;
  }
};

TEST_CASE("a stream ended by the end of its engine isn't framed as complete") {
  for (const TerminatedEngine& engine : TerminatedEngines()) {
    TerminatedEngineFixture f;
    INFO("the engine is " << engine.what);
    f.Terminate(engine);
    const CallerResponse response = f.CallFrontend("/letter/1");
    CHECK_FALSE(response.ok);
    CHECK(f.counters.ends_checked == 1);
    CHECK(f.counters.ends_unconfirmed == 1);
    CHECK(f.log_file.ReadLines(&f.log, "response_end_checked").size() == 1);
  }
}

TEST_CASE("a resumable stream goes on after the end of its engine") {
  for (const TerminatedEngine& engine : TerminatedEngines()) {
    TerminatedEngineFixture f;
    INFO("the first engine is " << engine.what);
    f.Terminate(engine);
    FakeEngine other(f.loop.get());
    other.on_run = [](const FakeBackEnd::Exchange& exchange) {
      CHECK(*Header(exchange->request(), "Last-Event-Id") == "2");
      exchange->StartStream(200, MakeMarkers(exchange->request()));
      exchange->Write(MakeEvent(3));
      exchange->Finish();
    };
    const auto serve = f.engine.script;
    f.engine.script = [&](const std::string& request, RawPeer* peer) {
      if (other.back_end.requests.empty())
        f.AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
      serve(request, peer);
    };
    const CallerResponse response = f.CallFrontend("/note/1");
    CHECK(response.ok);
    CHECK(response.body == f.complete_stream);
  }
}

TEST_CASE_METHOD(TerminatedEngineFixture,
                 "a stream whose engine ends after its last event is complete "
                 "once another engine has nothing to add") {
  stream = complete_stream;
  Terminate(TerminatedEngines().front());
  RawBackEnd other(loop.get());
  int runs = 0;
  other.script = [&](const std::string& request, RawPeer* peer) {
    if (request.find("/mimosarouter/hold-") != std::string::npos) {
      peer->Send(
          "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nConnection: close\r\n\r\n"
          R"({"hold":"h02"})");
    } else if (request.find("GET ") == 0) {
      peer->Send(RawReport(1));
    } else {
      ++runs;
      CHECK(RawField(request, "Last-Event-Id") == "3");
      peer->Send(RawResponseHead(request, kEventStreamFields));
    }
    peer->ShutdownWrite();
  };
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    AddBackEnd("f", "llm", EngineRole::kDecode, other.port());
    serve(request, peer);
  };
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(runs == 1);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a sign of life that is lost is asked for again") {
  stream = complete_stream;
  const std::string report = sign;
  sign = "";
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    serve(request, peer);
    if (signs_asked_for == 2) sign = report;
  };
  const CallerResponse response = CallAnew("/letter/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(signs_asked_for == 3);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a stream that its framing ends needs no sign of life") {
  stream = complete_stream;
  fields = "Content-Type: text/event-stream\r\nContent-Length: " +
           std::to_string(stream.size()) + "\r\n";
  CHECK(CallAnew("/letter/1").ok);
  CHECK(signs_asked_for == 0);
  CHECK(counters.ends_checked == 0);
}

TEST_CASE("a plain response ended by the end of its server isn't complete") {
  for (const TerminatedEngine& server : TerminatedEngines()) {
    if (server.is_engine_only) continue;
    for (const char* target : {"/book/1", "/look/1"}) {
      TerminatedEngineFixture f;
      INFO(target << ", the server is " << server.what);
      f.Terminate(server);
      f.fields = "Content-Type: text/plain\r\nConnection: close\r\n";
      f.stream = "half of the ";
      f.AddBackEnd("d", "desk", EngineRole::kNone, f.engine.port());
      const CallerResponse response = f.CallFrontend(target);
      CHECK(response.status == 502);
      CHECK(response.body.empty());
    }
  }
}

TEST_CASE_METHOD(TruncationFixture,
                 "a plain response without framing of a server that lives on") {
  AddBackEnd("d", "desk", EngineRole::kNone, engine.port());
  fields = "Content-Type: text/plain\r\nConnection: close\r\n";
  stream = "whole";
  sign = RawHealth("d");
  for (const char* target : {"/book/1", "/look/1"})
    CHECK(CallFrontend(target).body == "whole");
  CHECK(signs_asked_for == 2);
}

// Another engine, "f", that is registered when "e" has been sent the run.
struct SecondEngineFixture : TruncationFixture {
  SecondEngineFixture() {
    other.script = [this](const std::string& request, RawPeer* peer) {
      if (request.find("/mimosarouter/hold-") != std::string::npos) {
        peer->Send(
            "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nConnection: close\r\n\r\n"
            R"({"hold":"h02"})");
      } else if (request.find("GET ") == 0) {
        peer->Send(RawReport(1));
      } else {
        ++runs;
        // It generates nothing, ends its response in order and lives on.
        peer->Send(RawResponseHead(request, kEventStreamFields));
      }
      peer->ShutdownWrite();
    };
    const auto serve = engine.script;
    engine.script = [this, serve](const std::string& request, RawPeer* peer) {
      if (runs == 0) AddBackEnd("f", "llm", EngineRole::kDecode, other.port());
      serve(request, peer);
    };
  }
  RawBackEnd other{loop.get()};
  int runs = 0;
};

TEST_CASE_METHOD(SecondEngineFixture,
                 "an empty run behind a stream that was cut inside an "
                 "event isn't complete") {
  const std::string second = MakeEvent(2);
  stream = MakeEvent(1) + second.substr(0, second.size() / 2);
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(runs >= 1);
  CHECK_FALSE(response.ok);
}

TEST_CASE_METHOD(SecondEngineFixture,
                 "an empty run behind a stream that was reset isn't "
                 "complete") {
  stream = MakeEvent(1) + MakeEvent(2);
  end = ConnectionEnd::kReset;
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(runs >= 1);
  CHECK_FALSE(response.ok);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a server that is back under its id before it is "
                 "asked hasn't completed the response") {
  AddBackEnd("d", "desk", EngineRole::kNone, engine.port(), "v1", 10);
  fields = "Content-Type: text/plain\r\nConnection: close\r\n";
  stream = "half of the ";
  // What the health path states has no "born".
  sign = RawHealth("d");
  const auto serve = engine.script;
  int64_t incarnation = 10;
  int64_t step = 0;
  SECTION("its start is later") { step = 1; }
  // Incarnations are times of starts, and its clock may step back.
  SECTION("its start is earlier by its clock") { step = -1; }
  engine.script = [&](const std::string& request, RawPeer* peer) {
    // Its new entry has arrived: the daemon could know.
    if (request.find("GET ") != 0)
      AddBackEnd("d", "desk", EngineRole::kNone, engine.port(), "v1",
                 incarnation += step);
    serve(request, peer);
  };
  for (const char* target : {"/book/1", "/look/1"}) {
    const CallerResponse response = CallFrontend(target);
    INFO(target << " " << response.status << " " << response.body);
    CHECK(response.status == 502);
  }
}

// Nothing may be sent there, so no sign can be had.
TEST_CASE_METHOD(TruncationFixture,
                 "a close isn't taken for an end while the engine is asked for "
                 "nothing") {
  stream = complete_stream;
  std::function<void(const BackEndEntry&)> on_run;
  bool confirmed = false;
  SECTION("it asks for a long pause") {
    on_run = [this](const BackEndEntry& entry) {
      selector.RecordPause(entry, loop->Now() + std::chrono::seconds(2));
    };
  }
  SECTION("its pause ends soon") {
    on_run = [this](const BackEndEntry& entry) {
      selector.RecordPause(entry, loop->Now() + milliseconds(200));
    };
    confirmed = true;
  }
  SECTION("its failure domain is evacuated") {
    on_run = [this](const BackEndEntry&) { Evacuate({FailureDomain("z")}); };
  }
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    serve(request, peer);
    if (request.find("/letter/") == std::string::npos) return;
    BackEndEntry entry;
    entry.id = BackEndId("e");
    entry.incarnation = 1;
    on_run(entry);
  };
  CHECK(CallFrontend("/letter/1").ok == confirmed);
  CHECK(signs_asked_for == (confirmed ? 1 : 0));
}

TEST_CASE_METHOD(TruncationFixture,
                 "an engine that restarted before the run completes its "
                 "streams once it is listed, and gets none before") {
  stream = complete_stream;
  engine.statement =
      MakeReport(2);  // Its entry is still that of incarnation 1.
  sign = RawReport(2);
  CHECK(CallFrontend("/letter/1?1").status == 503);
  CHECK(signs_asked_for == 0);
  AddBackEnd("e", "llm", EngineRole::kDecode, engine.port(), "v1",
             /*incarnation=*/2);
  CHECK(CallFrontend("/letter/1?2").ok);
  CHECK(signs_asked_for == 1);
}

// Incarnations are times of starts, and the clock of an engine may step back.
TEST_CASE_METHOD(TruncationFixture,
                 "an engine that is listed with an earlier start than one "
                 "that it had stated completes its streams") {
  stream = complete_stream;
  engine.statement =
      MakeReport(3);  // Its entry is still that of the first one.
  sign = RawReport(3);
  CHECK(CallFrontend("/letter/1?1").status == 503);
  CHECK(CallFrontend("/letter/1?2").status == 503);
  AddBackEnd("e", "llm", EngineRole::kDecode, engine.port(), "v1", 3);
  CHECK(CallFrontend("/letter/1?3").ok);
  // It has restarted after its clock was set.
  engine.statement = MakeReport(2);
  sign = RawReport(2);
  AddBackEnd("e", "llm", EngineRole::kDecode, engine.port(), "v1", 2);
  for (const char* target : {"/letter/1?4", "/letter/1?5"})
    CHECK(CallFrontend(target).ok);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a plain response of a full server is complete") {
  AddBackEnd("d", "desk", EngineRole::kNone, engine.port());
  fields = "Content-Type: text/plain\r\nConnection: close\r\n";
  stream = "whole";
  // The health path waits for a slot or is rejected like any request.
  sign =
      "HTTP/1.1 503 Service Unavailable\r\nMimosarouter-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  const CallerResponse response = CallFrontend("/book/1");
  CHECK(response.status == 200);
}

TEST_CASE_METHOD(TruncationFixture,
                 "a stream whose engine reports that it has made more "
                 "events and still runs it isn't complete") {
  // Something between them ended the connection in order.
  stream = MakeEvent(1) + MakeEvent(2);
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    const std::string id = RawField(request, "Mimosarouter-Request-Id");
    if (request.find("GET ") != 0 && !id.empty()) {
      const std::string body =
          R"({"stage":"decode","busy":false,"sequence":0,"born":1,)"
          R"("state":"ready","running":1,"runs":[[")" +
          id + R"(",120,3,5]]})";
      sign =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body;
    }
    serve(request, peer);
  };
  CHECK_FALSE(CallFrontend("/letter/1").ok);
}

// An engine in a thread of its own, which resets the first connection after
// each run as soon as it has accepted it, as an engine does with connections
// beyond its maximum.
class FullEngine {
 public:
  explicit FullEngine(const std::string& stream)
      : stream_(stream), thread_([this] { Run(); }) {}
  ~FullEngine() {
    stop_ = true;
    thread_.join();
  }
  uint16_t port() const { return listener_.port(); }

 private:
  // Blocks until a connection is pending, so that it is accepted at once.
  void AwaitConnection() const {
    pollfd listener{listener_.fd(), POLLIN, 0};
    poll(&listener, 1, /*timeout=*/50);
  }

  void Run() {
    bool reset_next = false;
    while (!stop_) {
      auto peer = listener_.Accept();
      if (peer == nullptr) {
        AwaitConnection();
        continue;
      }
      if (reset_next) {
        reset_next = false;
        peer->CloseWithReset();
        continue;
      }
      while (!stop_ && !peer->closed() && !IsComplete(peer->received())) {
      }
      const std::string& request = peer->received();
      if (request.find("/mimosarouter/hold-") != std::string::npos) {
        peer->Send(
            "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nConnection: close\r\n"
            "\r\n{\"hold\":\"h01\"}");
      } else if (request.find("GET ") == 0) {
        peer->Send(RawReport(1));
      } else {
        peer->Send(RawResponseHead(request, kEventStreamFields) + stream_);
        reset_next = true;
      }
      peer->ShutdownWrite();
      ended_.push_back(std::move(peer));
    }
  }

  static bool IsComplete(const std::string& request) {
    const size_t head_end = request.find("\r\n\r\n");
    if (head_end == std::string::npos) return false;
    const std::string length = RawField(request, "Content-Length");
    return request.size() >=
           head_end + 4 + (length.empty() ? 0 : std::stoul(length));
  }

  const std::string stream_;
  std::atomic<bool> stop_{false};
  RawListener listener_;
  std::vector<std::unique_ptr<RawPeer>> ended_;
  std::thread thread_;
};

TEST_CASE_METHOD(TruncationFixture,
                 "an engine that resets a connection beyond its "
                 "maximum hasn't terminated") {
  FullEngine full(complete_stream);
  int complete = 0;
  for (int i = 0; i < 100; ++i) {
    back_ends = BackEndList();
    const std::string serial = std::to_string(i);
    AddBackEnd("full" + serial, "llm", EngineRole::kDecode, full.port());
    if (CallFrontend("/letter/" + serial).ok) ++complete;
  }
  CHECK(complete == 100);
  for (const std::string& line :
       log_file.ReadLines(&log, "response_end_checked"))
    CHECK(line.find("\"terminated\":true") == std::string::npos);
}

TEST_CASE_METHOD(TerminatedEngineFixture,
                 "a sign that names no engine and no incarnation "
                 "isn't that of the engine") {
  // Of an engine, which states "born" in all that it says of itself.
  for (const char* unnamed :
       {"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nIt works",
        // The report of incarnation 2, cut.
        "HTTP/1.1 200 OK\r\n\r\n{\"stage\":\"decode\",\"busy\":false,\"bo"}) {
    sign = unnamed;
    INFO(unnamed);
    CHECK_FALSE(CallAnew("/letter/1").ok);
  }
}

constexpr std::array<const char*, 4> kTargets = {"/letter/1", "/note/1",
                                                 "/book/1", "/look/1"};

// An engine and a plain server, at one address, that live on.
struct LivingServerFixture : TruncationFixture {
  LivingServerFixture() {
    stream = MakeEvent(1) + MakeEvent(2);
    AddBackEnd("d", "desk", EngineRole::kNone, engine.port());
    const auto serve = engine.script;
    engine.script = [serve](const std::string& request, RawPeer* peer) {
      if (request.find("GET /mimosarouter/report") != 0 &&
          request.find("GET ") == 0) {
        peer->Send(RawHealth("d"));
        peer->ShutdownWrite();
        return;
      }
      serve(request, peer);
    };
  }
  bool IsFramedAsComplete(const HttpRequest& request) {
    const CallerResponse response = CallFrontend(request);
    return response.ok && response.status == 200;
  }
};

TEST_CASE_METHOD(LivingServerFixture,
                 "a response that ends with its connection before the request "
                 "has arrived isn't complete") {
  engine.serves_early = true;
  for (const char* target : kTargets) {
    INFO(target);
    HttpRequest request = MakeRequest(target);
    request.body = std::string(6U << 20, 'x');
    CHECK_FALSE(IsFramedAsComplete(request));
  }
}

TEST_CASE(
    "a response whose connection is reset behind its end isn't complete") {
  for (const char* target : kTargets) {
    LivingServerFixture f;
    RawPeer* run = nullptr;
    const auto serve = f.engine.script;
    f.engine.script = [&](const std::string& request, RawPeer* peer) {
      if (request.find("GET ") == 0) {
        if (run != nullptr) run->CloseWithReset();
      } else {
        run = peer;
      }
      serve(request, peer);
    };
    INFO(target);
    CHECK_FALSE(f.IsFramedAsComplete(f.MakeRequest(target)));
  }
}

// Returns the report of an engine that has generated `events` of a run; -1: it
// doesn't run it.
std::string RawReportOfRun(const std::string& id, int events) {
  const std::string run =
      events < 0 ? ""
                 : R"([")" + id + R"(",100,)" + std::to_string(events) + ",5]";
  const std::string body =
      R"({"stage":"decode","busy":false,"sequence":0,"born":1,"runs":[)" + run +
      "]}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct ListedRunFixture : TruncationFixture {
  ListedRunFixture() { SetTimeouts(std::chrono::seconds(5)); }

  // Calls the frontend, and has the engine report so many events of the run,
  // one report after the other. The last one repeats.
  CallerResponse CallWithReports(const std::vector<int>& events) {
    return CallWithReports("/letter/1", [&] {
      return events[std::min(static_cast<size_t>(signs_asked_for),
                             events.size() - 1)];
    });
  }

  // The same with the events that a report states when it is made.
  CallerResponse CallWithReports(const char* target,
                                 const std::function<int()>& report) {
    stream = MakeEvent(1) + MakeEvent(2);
    std::string id;
    const auto serve = engine.script;
    engine.script = [&](const std::string& request, RawPeer* peer) {
      if (request.find("GET ") == 0) {
        sign = RawReportOfRun(id, report());
      } else if (request.find("/hold-") == std::string::npos) {
        id = RawField(request, "Mimosarouter-Request-Id");
      }
      serve(request, peer);
    };
    HttpRequest request = MakeRequest(target);
    request.headers.Set("Mimosarouter-Deadline-Ms", deadline_ms);
    return CallFrontend(std::move(request));
  }
  // The engine reports two events of the run, and after `delay` that it doesn't
  // run it.
  CallerResponse CallWithListingFor(Duration delay) {
    const MonoTime until = loop->Now() + delay;
    return CallWithReports("/letter/1",
                           [&] { return loop->Now() < until ? 2 : -1; });
  }

  const char* deadline_ms = "5000";
};

TEST_CASE(
    "a stream without its end isn't complete while its engine goes on with "
    "it") {
  // The first reports are older than the run, or than its last event.
  for (const std::vector<int>& events :
       {std::vector<int>{3}, {1, 2, 3}, {-1, -1, 2, 3}}) {
    ListedRunFixture f;
    CHECK_FALSE(f.CallWithReports(events).ok);
    CHECK(f.signs_asked_for == static_cast<int>(events.size()));
  }
}

TEST_CASE_METHOD(ListedRunFixture,
                 "a stream isn't complete while its engine lists the run") {
  CHECK_FALSE(CallWithReports({2}).ok);
  CHECK(signs_asked_for > 1);
}

TEST_CASE_METHOD(ListedRunFixture,
                 "a stream is complete once its engine lists the run no more") {
  CHECK(CallWithReports({-1, 1, 2, -1}).ok);
  CHECK(signs_asked_for == 4);
}

TEST_CASE_METHOD(
    ListedRunFixture,
    "a stream is complete if its engine has never listed the run") {
  CHECK(CallWithReports({-1}).ok);
}

TEST_CASE_METHOD(ListedRunFixture,
                 "a report that is new enough shortly before the deadline "
                 "completes a stream") {
  deadline_ms = "500";
  CHECK(CallWithListingFor(milliseconds(400)).ok);
}

// A daemon that ends its requests 100 ms from now, and checks for 150 ms more.
struct EndingDaemonFixture : ListedRunFixture {
  EndingDaemonFixture() {
    shutdown.Begin(ends_at, ends_at, milliseconds(150));
    timer = loop->After(ends_at - loop->Now(),
                        [this] { frontend->EndRunningRequests(); });
  }
  const MonoTime ends_at = loop->Now() + milliseconds(100);
  TimerHandle timer;
};

TEST_CASE_METHOD(EndingDaemonFixture,
                 "a shutdown doesn't truncate a stream whose end is being "
                 "checked") {
  CHECK(CallWithListingFor(milliseconds(160)).ok);
}

TEST_CASE_METHOD(EndingDaemonFixture,
                 "a stream isn't complete at the end of a daemon while its "
                 "engine lists the run") {
  CHECK_FALSE(CallWithListingFor(std::chrono::seconds(5)).ok);
  CHECK(loop->Now() < ends_at + milliseconds(400));
}

// Its report may be older than the run.
TEST_CASE_METHOD(EndingDaemonFixture,
                 "a stream isn't complete at the end of a daemon while its "
                 "engine may not list the run yet") {
  CHECK_FALSE(CallWithReports({-1}).ok);
}

TEST_CASE_METHOD(EndingDaemonFixture,
                 "a stream doesn't go on elsewhere at the end of a daemon") {
  FakeEngine other(loop.get());
  AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
  other.has_capacity = false;
  const CallerResponse response = CallWithReports("/note/1", [&] {
    other.has_capacity = true;
    return loop->Now() < ends_at + milliseconds(20) ? 2 : 3;
  });
  CHECK_FALSE(response.ok);
  CHECK(other.runs == 0);
}

TEST_CASE_METHOD(EndingDaemonFixture,
                 "a plain response whose end is being checked outlasts the "
                 "end of a daemon") {
  // Its second sign counts, since it states no incarnation.
  AddBackEnd("d", "desk", EngineRole::kNone, engine.port(), "v1",
             /*incarnation=*/0);
  fields = "Content-Type: text/plain\r\nConnection: close\r\n";
  stream = "whole";
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    sign = loop->Now() < ends_at + milliseconds(20)
               ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
               : RawHealth("d");
    serve(request, peer);
  };
  const char* const target = GENERATE("/book/1", "/look/1");
  CHECK(CallFrontend(target).body == "whole");
}

TEST_CASE_METHOD(EndingDaemonFixture,
                 "a daemon that only checks ends passes no new request on") {
  FakeBackEnd desk(loop.get());
  AddBackEnd("d", "desk", EngineRole::kNone, desk.port());
  RunFor(loop.get(), milliseconds(110));
  for (const char* target : {"/book/1", "/look/1", "/letter/1", "/note/1"}) {
    const CallerResponse response = CallFrontend(target);
    INFO(target);
    CHECK(response.status == 503);
    CHECK(response.headers.Find("Retry-After") != nullptr);
  }
  CHECK(desk.requests.empty());
  CHECK(signs_asked_for == 0);
}

// The age of a report counts from the begin of the run, not from the request.
TEST_CASE_METHOD(ListedRunFixture,
                 "a run that waited in its engine's queue is asked for until a "
                 "report is newer than its begin") {
  TimerHandle begin_timer;
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    if (request.find("GET ") == 0 ||
        request.find("/hold-") != std::string::npos) {
      serve(request, peer);
      return;
    }
    begin_timer =
        loop->After(milliseconds(1300), [=] { serve(request, peer); });
  };
  CHECK_FALSE(CallWithReports({-1, 3}).ok);
  CHECK(signs_asked_for == 2);
}

// Ids increase, but by no certain step.
TEST_CASE_METHOD(ListedRunFixture,
                 "a run that goes on behind its end is recognized whatever "
                 "the step of its ids is") {
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    stream = MakeEvent(10) + MakeEvent(20);
    serve(request, peer);
  };
  CHECK_FALSE(CallWithReports({1, 2, 3, 4, -1}).ok);
}

// Another request has found that the engine is another incarnation than the
// listed one, so it gets nothing until its entry changes.
TEST_CASE_METHOD(TerminatedEngineFixture,
                 "a stream whose engine is known to have started again goes on "
                 "at once") {
  sign = RawReport(2);
  FakeEngine other(loop.get());
  MonoTime went_on{};
  other.on_run = [&](const FakeBackEnd::Exchange& exchange) {
    went_on = loop->Now();
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(3));
    exchange->Finish();
  };
  MonoTime ended{};
  const auto serve = engine.script;
  engine.script = [&](const std::string& request, RawPeer* peer) {
    serve(request, peer);
    if (request.find("GET ") == 0 ||
        request.find("/hold-") != std::string::npos)
      return;
    ended = loop->Now();
    AddBackEnd("f", "llm", EngineRole::kDecode, other.back_end.port());
    const BackEndEntry entry = back_ends.entries().at(BackEndId("e")).entry;
    selector.RecordReplacement(entry, loop->Now() + milliseconds(250));
  };
  const CallerResponse response = CallFrontend("/note/1");
  CHECK(response.ok);
  CHECK(response.body == complete_stream);
  CHECK(went_on - ended < milliseconds(150));
}

TEST_CASE(
    "a response whose connection is reset some milliseconds behind its end "
    "isn't complete",
    "[.][late_reset]") {
  for (const char* target : kTargets) {
    LivingServerFixture f;
    const auto serve = f.engine.script;
    f.engine.script = [&](const std::string& request, RawPeer* peer) {
      serve(request, peer);
      if (request.find("GET ") != 0 &&
          request.find("/hold-") == std::string::npos)
        f.reset_timer =
            f.loop->After(milliseconds(20), [peer] { peer->CloseWithReset(); });
    };
    INFO(target);
    CHECK_FALSE(f.IsFramedAsComplete(f.MakeRequest(target)));
  }
}

}  // namespace
}  // namespace mimosa::testing
