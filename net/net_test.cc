// Tests Endpoint, HttpHeaders and the event loop.
#include <catch2/catch.hpp>
#include <csignal>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/datagram.h"
#include "net/http.h"
#include "net/test_peer.h"

namespace mimosa {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Endpoint::Parse accepts only numeric addresses and valid ports") {
  struct Case {
    const char* text;
    const char* canonical;  // nullptr: invalid
  };
  const std::vector<Case> cases = {
      {"127.0.0.1:80", "127.0.0.1:80"}, {"[::1]:65535", "[::1]:65535"},
      {"[0:0::1]:1", "[::1]:1"},        {"0.0.0.0:0", "0.0.0.0:0"},
      {"127.0.0.1", nullptr},           {"127.0.0.1:", nullptr},
      {"127.0.0.1:65536", nullptr},     {"127.0.0.1:-1", nullptr},
      {"127.0.0.1:8x", nullptr},        {"127.1:80", nullptr},
      {"localhost:80", nullptr},        {"::1:80", nullptr},
      {"[127.0.0.1]:80", nullptr},      {"", nullptr},
  };
  for (const Case& c : cases) {
    CAPTURE(c.text);
    Endpoint endpoint{"unchanged", 1};
    CHECK(Endpoint::Parse(c.text, &endpoint) == (c.canonical != nullptr));
    CHECK((c.canonical != nullptr ? endpoint.ToString() : endpoint.ip) ==
          (c.canonical != nullptr ? c.canonical : "unchanged"));
  }
}

TEST_CASE("HttpHeaders compares names case-insensitively") {
  HttpHeaders headers;
  headers.Add("A", "1");
  headers.Add("b", "2");
  headers.Add("a", "3");
  CHECK(headers.Count("a") == 2);
  CHECK(*headers.Find("a") == "1");
  CHECK(headers.Find("c") == nullptr);
  headers.Set("B", "4");
  headers.Remove("A");
  CHECK(headers.fields() == std::vector<HttpHeaders::Field>{{"B", "4"}});
}

TEST_CASE("timers run in order of their deadlines unless cancelled") {
  auto loop = LwsLoop::Create();
  std::string order;
  const auto add = [&](Duration delay, char c) {
    return loop->After(delay, [&order, c] { order += c; });
  };
  const TimerHandle late = add(milliseconds(20), 'c');
  const TimerHandle early = add(milliseconds(10), 'a');
  const TimerHandle equal = add(milliseconds(10), 'b');
  TimerHandle cancelled = add(milliseconds(1), 'x');
  add(milliseconds(1), 'y');  // NOLINT: the handle is destroyed at once
  cancelled.Cancel();
  REQUIRE(RunUntil(loop.get(), [&] { return order.size() >= 3; }));
  RunFor(loop.get(), milliseconds(5));
  CHECK(order == "abc");
}

TEST_CASE("chains of timers and of posted callbacks don't starve each other") {
  auto loop = LwsLoop::Create();
  int timers = 0;
  int posts = 0;
  TimerHandle timer;
  std::function<void()> rearm = [&] {
    ++timers;
    timer = loop->After(Duration::zero(), rearm);
  };
  std::function<void()> post = [&] {
    if (++posts < 1000) loop->Post(post);
  };
  rearm();
  loop->Post(post);
  CHECK(RunUntil(loop.get(), [&] { return posts == 1000 && timers > 1000; }));
}

TEST_CASE("Post from a connection's callback wakes the loop") {
  auto loop = LwsLoop::Create();
  auto client = MakeHttpClient(loop.get());
  RawListener listener;
  listener.Close();
  HttpCallOptions options;
  options.to = listener.endpoint();
  bool posted = false;
  auto call = Fetch(client.get(), options, {"GET", "/", {}, ""},
                    [&](const HttpResult& /*result*/) {
                      loop->Post([&] {
                        posted = true;
                        loop->Stop();
                      });
                    });
  // No timer is set here, and the loop by itself wakes only after a second.
  loop->Run();
  CHECK(posted);
}

TEST_CASE("SIGTERM and SIGINT run the signal callback on the loop") {
  auto loop = LwsLoop::Create();
  int signals = 0;
  loop->OnSignal([&] {
    if (++signals == 2) loop->Stop();
  });
  std::raise(SIGTERM);
  const TimerHandle second =
      loop->After(milliseconds(20), [] { std::raise(SIGINT); });
  loop->Run();
  CHECK(signals == 2);
}

TEST_CASE("an exception for a datagram ends neither process nor socket") {
  const auto loop = LwsLoop::Create();
  int received = 0;
  const auto receiver = DatagramSocket::Open(
      loop.get(), {"127.0.0.1", 0}, [&](const Endpoint&, std::string_view) {
        if (++received == 1) throw std::runtime_error("unexpected");
      });
  REQUIRE(receiver != nullptr);
  const Endpoint to{"127.0.0.1", receiver->port()};
  for (int i = 0; i < 2; ++i) REQUIRE(receiver->Send(to, "x"));
  CHECK(RunUntil(loop.get(), [&] { return received == 2; }));
}

}  // namespace
}  // namespace mimosa
