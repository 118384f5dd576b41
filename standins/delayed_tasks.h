// Runs tasks after a delay. Destroying a DelayedTasks object cancels its
// pending tasks.
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

  // Runs `task` after `delay`, or immediately if `delay` is not positive.
  void RunAfter(Duration delay, std::function<void()> task) {
    if (delay <= Duration::zero()) {
      task();
      return;
    }
    const uint64_t serial = next_serial_++;
    timers_[serial] =
        loop_->After(delay, [this, serial, task = std::move(task)] {
          // Keeps the timer alive until the task has run.
          const auto timer = timers_.extract(serial);
          task();
        });
  }

 private:
  EventLoop* const loop_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, TimerHandle> timers_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_DELAYED_TASKS_H_
