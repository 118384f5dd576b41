// Callers that read slowly or not at all, and requests with large bodies, while
// the daemon has little memory: what is held stays bounded, a caller that reads
// gets its whole response, and a request without room is refused before it
// runs.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "tests/relay_fixture.h"

namespace mimosa::testing {
namespace {

constexpr size_t kLimit = 4U << 20;
// More than the kernel takes up for a caller that reads nothing.
constexpr size_t kResponseBytes = 8U << 20;

BufferMonitor::Options SmallBudget() {
  BufferMonitor::Options options;
  options.budget.limit_bytes = kLimit;
  options.budget.stall_time = milliseconds(250);
  options.check_interval = milliseconds(10);
  return options;
}

// Returns the number as the size line of a chunk has it.
std::string Hex(size_t number) {
  std::ostringstream text;
  text << std::hex << number;
  return text.str();
}

struct SlowReaderFixture : RelayFixture {
  SlowReaderFixture() : RelayFixture(SmallBudget()) {
    buffers.Start({server.get()});
    AddBackEnd("s", "desk", EngineRole::kNone, desk.port());
    desk.script = [](const FakeBackEnd::Exchange& exchange) {
      SendResponse(exchange, 200, std::string(kResponseBytes, 'x'));
    };
  }

  // A caller that reads only when told to.
  std::unique_ptr<RawPeer> ConnectCaller(size_t body_bytes = 0) {
    constexpr int kReceiveBuffer = 4096;
    auto peer = RawPeer::Connect(server->port(), kReceiveBuffer);
    peer->Send(
        "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k\r\n"
        "Mimosarouter-Request-Id: slow" +
        std::to_string(++serial) +
        "\r\nMimosarouter-Deadline-Ms: 20000\r\nContent-Length: " +
        std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'b'));
    return peer;
  }

  // Returns whether `peer`, which reads a little at a time, gets its
  // whole response. Sets `most_held` to the most that was held meanwhile.
  bool ReadsSlowly(RawPeer* peer) {
    size_t read = 0;
    return RunUntil(loop.get(), [&] {
      most_held = std::max(most_held, buffers.held_bytes());
      read += peer->ReadSome(32768);
      return read >= kResponseBytes;
    });
  }

  size_t most_held = 0;
  FakeBackEnd desk{loop.get()};
};

// One read of a back end's connection may pass the share of a response.
constexpr size_t kReadBytes = 64U << 10;

TEST_CASE_METHOD(SlowReaderFixture,
                 "back pressure bounds what stalled callers hold") {
  constexpr size_t kStalled = 20;
  SetTimeouts(std::chrono::seconds(20));
  std::vector<std::unique_ptr<RawPeer>> stalled;
  for (size_t i = 0; i < kStalled; ++i) stalled.push_back(ConnectCaller());
  const auto slow = ConnectCaller();
  CHECK(ReadsSlowly(slow.get()));
  CHECK(most_held <= kLimit + kStalled * kReadBytes);
}

TEST_CASE_METHOD(SlowReaderFixture,
                 "stalled callers are ended, slow ones get everything") {
  constexpr size_t kStalled = 12;
  constexpr size_t kBodyBytes = 60000;
  SetTimeouts(std::chrono::seconds(20));
  std::vector<std::unique_ptr<RawPeer>> stalled;
  for (size_t i = 0; i < kStalled; ++i)
    stalled.push_back(ConnectCaller(kBodyBytes));
  const auto slow = ConnectCaller();
  CHECK(ReadsSlowly(slow.get()));
  CHECK(most_held > kLimit);
  CHECK(most_held <= 2 * kLimit);
  CHECK(RunUntil(loop.get(), [&] { return buffers.held_bytes() <= kLimit; }));
  const uint64_t ended = buffers.counters().ended;
  CHECK(ended > 0);
  // No more than needed.
  CHECK(frontend->running_requests() == kStalled - ended);
  CHECK(ended < kStalled);
}

TEST_CASE_METHOD(SlowReaderFixture,
                 "stalled callers keep their responses while memory lasts") {
  SetTimeouts(std::chrono::seconds(20));
  const auto stalled = ConnectCaller();
  RunFor(loop.get(), milliseconds(600));
  CHECK(buffers.counters().ended == 0);
  size_t read = 0;
  CHECK(RunUntil(loop.get(), [&] {
    read += stalled->ReadSome(1U << 20);
    return read >= kResponseBytes;
  }));
}

TEST_CASE_METHOD(SlowReaderFixture,
                 "a request without room is refused and not run") {
  HttpRequest large = MakeRequest("/book/1");
  large.body = std::string(kLimit / 4, 'x');
  const CallerResponse refused = CallFrontend(large);
  CHECK(refused.status == 503);
  CHECK(refused.headers.Find("Retry-After") != nullptr);
  CHECK(desk.requests.empty());
  CHECK(buffers.counters().refused == 1);
  CHECK(CallFrontend("/book/1").status == 200);
  CHECK(buffers.held_bytes() < kLimit);
}

// Guards against a daemon that exceeds its memory while many callers send large
// bodies at once.
TEST_CASE_METHOD(SlowReaderFixture,
                 "bodies that are being received stay within the budget") {
  SetTimeouts(std::chrono::seconds(20));
  constexpr size_t kBodyBytes = 500000;
  const bool is_chunked = GENERATE(false, true);
  CAPTURE(is_chunked);
  const std::string part(kBodyBytes - 1, 'b');
  std::vector<std::unique_ptr<RawPeer>> callers;
  for (int i = 0; i < 40; ++i) {
    callers.push_back(RawPeer::Connect(server->port()));
    callers.back()->Send(
        "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Api-Key: k\r\n"
        "Mimosarouter-Request-Id: part" +
        std::to_string(i) + "\r\nMimosarouter-Deadline-Ms: 20000\r\n" +
        (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" + Hex(kBodyBytes)
                    : "Content-Length: " + std::to_string(kBodyBytes)) +
        "\r\n" + (is_chunked ? "" : "\r\n"));
  }
  std::vector<size_t> sent(callers.size());
  const auto is_refused = [](const std::unique_ptr<RawPeer>& caller) {
    return caller->received().find("HTTP/1.1 503") == 0 &&
           caller->received().find("Retry-After") != std::string::npos;
  };
  size_t refused = 0;
  RunUntil(
      loop.get(),
      [&] {
        most_held = std::max(most_held, buffers.held_bytes());
        for (size_t i = 0; i < callers.size(); ++i)
          sent[i] += callers[i]->Send(std::string_view(part).substr(sent[i]));
        refused = static_cast<size_t>(
            std::count_if(callers.begin(), callers.end(), is_refused));
        return false;
      },
      milliseconds(500));
  CHECK(most_held <= kLimit);
  CHECK(most_held >= kLimit / 2);
  CHECK(refused > 0);
  CHECK(refused < callers.size());
  CHECK(desk.requests.empty());
  // What callers that leave have sent counts no longer.
  callers.clear();
  CHECK(RunUntil(loop.get(), [&] { return buffers.held_bytes() == 0; }));
  CHECK(CallFrontend("/book/1").status == 200);
}

}  // namespace
}  // namespace mimosa::testing
