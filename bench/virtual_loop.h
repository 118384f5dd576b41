// Virtual time: events run in order of time, then of scheduling.
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

  void At(MonoTime time, std::function<void()> run) {
    events_.push({std::max(time, now_), next_serial_++, std::move(run)});
  }
  void After(Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }

  void RunUntil(MonoTime end) {
    while (!events_.empty() && events_.top().time <= end) {
      // The queue gives const access only; the event is popped right away.
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
