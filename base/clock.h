// Monotonic time, read from a clock that is injected.
//
// Each VM has its own clock, so MonoTime values of different VMs can't be
// compared, and daemons send each other durations only. The real clock
// (net/event_loop.h) reads CLOCK_BOOTTIME, which includes the time for which a
// VM is suspended: a lease holder that was suspended finds its lease expired
// when it resumes.
#ifndef BASE_CLOCK_H_
#define BASE_CLOCK_H_

#include <algorithm>
#include <chrono>

#include "base/saturated_cast.h"

namespace mimosa {

using Duration = std::chrono::microseconds;

struct MonotonicClockTag {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClockTag, Duration>;
  static constexpr bool is_steady = true;
};

using MonoTime = MonotonicClockTag::time_point;

inline constexpr MonoTime kNever = MonoTime::max();

constexpr double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}
// Durations that peers and documents state are shortened to this, so that sums
// of hundreds of them, and points in time, stay in range.
inline constexpr Duration kMaxDuration = std::chrono::hours(24 * 365 * 100);

// Returns `d` times `factor`, truncated to whole microseconds and at most
// kMaxDuration forwards and backwards.
constexpr Duration Scaled(Duration d, double factor) {
  return std::clamp(Duration(SaturatedCast<Duration::rep>(
                        static_cast<double>(d.count()) * factor)),
                    -kMaxDuration, kMaxDuration);
}
constexpr Duration FromSeconds(double seconds) {
  return Scaled(std::chrono::seconds(1), seconds);
}
// Returns so many milliseconds, at most kMaxDuration forwards and backwards.
constexpr Duration FromMillis(int64_t millis) {
  constexpr int64_t kMaxMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxDuration)
          .count();
  return std::chrono::milliseconds(std::clamp(millis, -kMaxMillis, kMaxMillis));
}
constexpr int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// Source of the current time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual MonoTime Now() const = 0;
};

// A clock that changes only through Advance() and Set(), for tests and
// simulations in virtual time.
class ManualClock : public Clock {
 public:
  MonoTime Now() const override { return now_; }
  void Advance(Duration d) { now_ += d; }
  void Set(MonoTime t) { now_ = t; }

 private:
  MonoTime now_{};
};

}  // namespace mimosa

#endif  // BASE_CLOCK_H_
