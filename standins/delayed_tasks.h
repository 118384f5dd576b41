// Steps that run later. Owns their timers: what is pending dies with it.
#ifndef STANDINS_DELAYED_TASKS_H_
#define STANDINS_DELAYED_TASKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "net/event_loop.h"

namespace mimosa::standins {

class DelayedTasks {
 public:
  explicit DelayedTasks(EventLoop* loop) : loop_(loop) {}

  // Runs `step` after `delay`; at once if there is none.
  void RunAfter(Duration delay, std::function<void()> step) {
    if (delay <= Duration::zero()) {
      step();
      return;
    }
    const uint64_t serial = next_serial_++;
    timers_[serial] =
        loop_->After(delay, [this, serial, step = std::move(step)] {
          const auto node = timers_.extract(serial);  // until step has run
          step();
        });
  }

 private:
  EventLoop* const loop_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, TimerHandle> timers_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_DELAYED_TASKS_H_
