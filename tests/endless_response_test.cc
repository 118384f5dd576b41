// A backend server in trouble may send bytes without end, in a head or a body,
// until its connection is closed. These tests check that the daemon reads a
// bounded number of them, that the request goes on elsewhere in time where it
// may, and that no endless response looks complete.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

using std::chrono::seconds;

// More than the daemon should read of one response that is no use.
constexpr size_t kMaxRead = 4U << 20;

// What a raw engine sends without end in response to some requests.
struct EndlessResponse {
  std::string head;                             // sent once
  std::string filler = std::string(8192, 'x');  // sent again and again
  Duration interval = milliseconds(1);          // between two fillers
};

constexpr char kOkHead[] = "HTTP/1.1 200 OK\r\n\r\n";
constexpr char kRefusalHead[] =
    "HTTP/1.1 503 Service Unavailable\r\nMimosarouter-Not-Executed: 1\r\n\r\n";

// Endless heads and bodies, fast and slow ones.
std::vector<EndlessResponse> UselessResponses() {
  const std::string byte = "x";
  return {
      {kOkHead},
      {kOkHead, byte, milliseconds(20)},
      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"HTTP/1.1 200 OK\r\nX: ", byte, milliseconds(20)},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", std::string(8192, 'x')},
      {kRefusalHead},
      {kRefusalHead, byte, milliseconds(20)},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
      {"",
       "HTTP/1.1 200 OK\r\nMimosarouter-Request-Id: other\r\n"
       "Content-Length: 9000\r\n\r\n" +
           std::string(9000, 'x')}};
}

// A raw engine whose responses to requests with `endless_on` in them have no
// end; it refuses all other requests.
struct EndlessFixture : RelayFixture {
  EndlessFixture() {
    raw.has_signs = false;
    raw.script = [this](const std::string& request, RawPeer* peer) {
      if (request.find(endless_on) == std::string::npos) {
        peer->Send(
            "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nConnection: close\r\n\r\n"
            R"({"hold":"h"})");
        return;
      }
      ++endless_count;
      std::string head = response.head;
      const size_t id = head.find("$ID");
      if (id != std::string::npos)
        head.replace(id, 3, RawField(request, "Mimosarouter-Request-Id"));
      peer->Send(head);
      endless_peers.push_back(peer);
    };
    Pump();
  }

  // The sockets' buffers take up what the daemon doesn't read.
  void Pump() {
    for (RawPeer* peer : endless_peers)
      bytes_sent += peer->Send(response.filler);
    pump_timer = loop->After(response.interval, [this] { Pump(); });
  }

  // Makes the raw engine the only one of its role, with nothing known of it,
  // beside sound engines of the other role.
  void SetUp(EngineRole raw_role, EndlessResponse endless) {
    response = std::move(endless);
    bytes_sent = 0;
    endless_peers.clear();
    back_ends = BackEndList();
    const std::string run = std::to_string(++runs);
    AddBackEnd("raw" + run, "llm", raw_role, raw.port());
    if (raw_role == EngineRole::kPrefill)
      AddBackEnd("d" + run, "llm", EngineRole::kDecode, sound.back_end.port());
  }
  void AddSoundEngine() {
    AddBackEnd("d" + std::to_string(runs), "llm", EngineRole::kDecode,
               sound.back_end.port());
  }

  // Waits until the daemon has closed the connections or reads no more.
  bool StopsReading() {
    return RunUntil(loop.get(), [this] {
      return std::all_of(endless_peers.begin(), endless_peers.end(),
                         [](RawPeer* peer) { return peer->closed(); });
    });
  }

  RawBackEnd raw{loop.get()};
  FakeEngine sound{loop.get()};
  std::string endless_on = "hold-take";
  EndlessResponse response;
  std::vector<RawPeer*> endless_peers;
  int endless_count = 0;
  size_t bytes_sent = 0;
  int runs = 0;
  TimerHandle pump_timer;
  const std::string complete_stream =
      MakeEvent(1) + MakeEvent(2) + MakeEvent(3);
};

TEST_CASE_METHOD(EndlessFixture,
                 "endless responses to a reservation delay a request little") {
  for (const EndlessResponse& useless : UselessResponses()) {
    INFO("head " << useless.head << ", filler "
                 << useless.filler.substr(0, 60));
    SetUp(EngineRole::kDecode, useless);
    const MonoTime start = loop->Now();
    // The sound engine is only known once the other one has been asked.
    endless_count = 0;
    TimerHandle timer =
        loop->After(milliseconds(30), [this] { AddSoundEngine(); });
    const CallerResponse result = CallFrontend("/letter/1");
    CHECK(endless_count > 0);
    CHECK(result.ok);
    CHECK(result.body == complete_stream);
    CHECK(loop->Now() - start < milliseconds(900));
    CHECK(StopsReading());
    CHECK(bytes_sent < kMaxRead);
  }
}

TEST_CASE_METHOD(EndlessFixture,
                 "endless responses to a prefill don't fail a request") {
  endless_on = "Mimosarouter-Serving-Stage";
  for (const EndlessResponse& useless : UselessResponses()) {
    INFO("head " << useless.head << ", filler "
                 << useless.filler.substr(0, 60));
    SetUp(EngineRole::kPrefill, useless);
    endless_count = 0;
    const CallerResponse result = CallFrontend("/letter/1");
    CHECK(endless_count > 0);
    CHECK(result.ok);
    CHECK(result.body == complete_stream);
    CHECK(StopsReading());
    CHECK(bytes_sent < kMaxRead);
  }
}

TEST_CASE_METHOD(EndlessFixture, "an event without end ends its run") {
  endless_on = "/letter/";
  const std::string sealed =
      "HTTP/1.1 200 OK\r\nMimosarouter-Request-Id: $ID\r\n"
      "Mimosarouter-Response-Seal: seal\r\n"
      "Content-Type: text/event-stream\r\n\r\n";
  SetUp(EngineRole::kDecode, {sealed + MakeEvent(1) + "data: "});
  const CallerResponse letter = CallFrontend("/letter/1");
  CHECK_FALSE(letter.ok);
  CHECK(StopsReading());
  CHECK(bytes_sent < kMaxRead);
  // A resumable stream goes on at another engine.
  endless_on = "/note/";
  SetUp(EngineRole::kDecode, {sealed + MakeEvent(1) + "data: "});
  sound.on_run = [](const FakeBackEnd::Exchange& exchange) {
    exchange->StartStream(200, MakeMarkers(exchange->request()));
    exchange->Write(MakeEvent(2));
    exchange->Write(MakeEvent(3));
    exchange->Finish();
  };
  TimerHandle timer =
      loop->After(milliseconds(20), [this] { AddSoundEngine(); });
  const CallerResponse note = CallFrontend("/note/1");
  CHECK(note.ok);
  CHECK(note.body == complete_stream);
  CHECK(StopsReading());
  CHECK(bytes_sent < kMaxRead);
}

TEST_CASE_METHOD(EndlessFixture,
                 "an endless refusal or failure of a run is read in part") {
  endless_on = "/letter/";
  for (const char* status : {"503 Service Unavailable", "500 Internal"}) {
    std::string head = "HTTP/1.1 ";
    head += status;
    head += "\r\nMimosarouter-Request-Id: $ID\r\n";
    if (status[2] == '3') head += "Mimosarouter-Not-Executed: 1\r\n";
    SetUp(EngineRole::kDecode, {head + "\r\n"});
    const CallerResponse result = CallFrontend("/letter/1");
    CHECK(result.ok);
    CHECK(result.status / 100 == 5);
    CHECK(StopsReading());
    CHECK(bytes_sent < kMaxRead);
  }
}

TEST_CASE_METHOD(
    EndlessFixture,
    "an endless response of a plain service waits for its caller") {
  endless_on = "/book/";
  response = {
      "HTTP/1.1 200 OK\r\nMimosarouter-Request-Id: $ID\r\n"
      "Mimosarouter-Response-Seal: seal\r\n\r\n"};
  response.filler = std::string(65536, 'x');
  AddBackEnd("raw", "desk", EngineRole::kNone, raw.port());
  constexpr int kReceiveBuffer = 4096;
  const auto caller = RawPeer::Connect(server->port(), kReceiveBuffer);
  REQUIRE(caller != nullptr);
  caller->Send(
      "POST /book/1 HTTP/1.1\r\nHost: h\r\nMimosarouter-Request-Id: r1\r\n"
      "Mimosarouter-Deadline-Ms: 1500\r\nX-Api-Key: k\r\n"
      "Content-Length: 0\r\n\r\n");
  CHECK(RunUntil(loop.get(), [this] { return !endless_peers.empty(); }));
  // The deadline ends it. Until then the caller reads nothing.
  CHECK(StopsReading());
  // The buffers of four sockets, and what the daemon buffers.
  CHECK(bytes_sent < 16U << 20);
  CHECK(RunUntil(loop.get(), [&caller] {
    (void)caller->received();
    return caller->closed();
  }));
  CHECK(caller->received().find("\r\n0\r\n\r\n") == std::string::npos);
}

}  // namespace
}  // namespace mimosa::testing
