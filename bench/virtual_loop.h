// Event loop in virtual time. Events run in the order of their time; events of
// the same time run in the order in which they were scheduled.
#ifndef BENCH_VIRTUAL_LOOP_H_
#define BENCH_VIRTUAL_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace mimosa::bench {

class VirtualLoop {
 public:
  MonoTime now() const { return now_; }

  // Schedules `run`. A time in the past is replaced by now().
  void At(MonoTime time, std::function<void()> run) {
    events_.push({std::max(time, now_), next_serial_++, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  // Runs all events up to and including `end`, then sets now() to `end`.
  void RunUntil(MonoTime end) {
    while (!events_.empty() && events_.top().time <= end) {
      // priority_queue::top() is const. Moving from it is safe because the
      // event is popped before the queue is used again.
      std::function<void()> run =
          std::move(const_cast<Event&>(events_.top()).run);
      now_ = events_.top().time;
      events_.pop();
      run();
    }
    now_ = end;
  }

 private:
  struct Event {
    MonoTime time;
    uint64_t serial;
    std::function<void()> run;
    friend bool operator<(const Event& a, const Event& b) {
      if (a.time != b.time) return a.time > b.time;
      return a.serial > b.serial;
    }
  };

  std::priority_queue<Event> events_;
  MonoTime now_{};
  uint64_t next_serial_ = 0;
};

}  // namespace mimosa::bench

#endif  // BENCH_VIRTUAL_LOOP_H_
