// Timers of the loop when nothing else wakes it.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>

#include "net/event_loop.h"

namespace mimosa {
namespace {

// A timer that is due between the loop's look at its timers and the library's
// poll must not wait for whatever wakes the library next.
TEST_CASE("timers due within microseconds fire in time") {
  constexpr int kTimers = 3000;
  constexpr Duration kLongestDelay = std::chrono::microseconds(200);
  constexpr Duration kBound = std::chrono::milliseconds(500);
  const auto loop = LwsLoop::Create();
  TimerHandle timer;
  int fired = 0;
  Duration latest{};
  std::function<void()> arm = [&] {
    const Duration delay(fired % kLongestDelay.count());
    const MonoTime due = loop->Now() + delay;
    timer = loop->After(delay, [&, due] {
      latest = std::max(latest, loop->Now() - due);
      if (++fired == kTimers || latest > kBound)
        loop->Stop();
      else
        arm();
    });
  };
  arm();
  loop->Run();
  CHECK(fired == kTimers);
  CHECK(latest < kBound);
}

}  // namespace
}  // namespace mimosa
