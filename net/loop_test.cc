// Tests that timers fire in time when no other event wakes the loop.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <memory>

#include "net/event_loop.h"

namespace mimosa {
namespace {

// Guards against a lost wake-up: a timer becomes due after the loop has run its
// timers and before the library polls, and then waits for the next event that
// wakes the library.
TEST_CASE("timers due within microseconds fire in time") {
  constexpr int kTimers = 3000;
  constexpr Duration kMaxDelay = std::chrono::microseconds(200);
  constexpr Duration kMaxLateness = std::chrono::milliseconds(500);
  const auto loop = LwsLoop::Create();
  TimerHandle timer;
  int fired = 0;
  Duration max_lateness{};
  std::function<void()> arm = [&] {
    const Duration delay(fired % kMaxDelay.count());
    const MonoTime due = loop->Now() + delay;
    timer = loop->After(delay, [&, due] {
      max_lateness = std::max(max_lateness, loop->Now() - due);
      if (++fired == kTimers || max_lateness > kMaxLateness)
        loop->Stop();
      else
        arm();
    });
  };
  arm();
  loop->Run();
  CHECK(fired == kTimers);
  CHECK(max_lateness < kMaxLateness);
}

// Guards against a second SIGTERM that ends a process by signal while it ends
// in order.
TEST_CASE("a process that terminates in order ignores further signals") {
  const bool terminated = GENERATE(false, true);
  auto loop = LwsLoop::Create();
  loop->OnSignal([&] { loop->Stop(); });
  if (terminated) {
    std::raise(SIGTERM);
    loop->Run();
  }
  loop.reset();
  for (const int number : {SIGTERM, SIGINT}) {
    struct sigaction action {};
    sigaction(number, nullptr, &action);
    CHECK(action.sa_handler == (terminated ? SIG_IGN : SIG_DFL));
    std::signal(number, SIG_DFL);
  }
}

}  // namespace
}  // namespace mimosa
