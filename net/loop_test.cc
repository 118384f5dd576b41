// Tests that timers fire in time when no other event wakes the loop.
#include <algorithm>
#include <catch2/catch.hpp>
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

}  // namespace
}  // namespace mimosa
