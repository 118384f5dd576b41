// The event loop: timers, posted callbacks, signals and socket events.
//
// A process has one loop on one thread and does all of its work in callbacks of
// this loop, so the code that runs on it needs no locks. The loop is also the
// source of the current time. Callbacks must not block: one that takes longer
// than a few milliseconds delays every connection of the process.
#ifndef NET_EVENT_LOOP_H_
#define NET_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "base/clock.h"

struct lws_context;

namespace mimosa {

// Owns a timer: destroying the handle cancels the timer. Movable. An empty
// handle has no timer.
class TimerHandle {
 public:
  // Implemented by each event loop; the destructor cancels the timer.
  class Impl {
   public:
    virtual ~Impl() = default;
  };

  TimerHandle() = default;
  explicit TimerHandle(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

  void Cancel() { impl_.reset(); }
  explicit operator bool() const { return impl_ != nullptr; }

 private:
  std::unique_ptr<Impl> impl_;
};

// A single-threaded event loop with its own monotonic clock.
class EventLoop : public Clock {
 public:
  // Runs `callback` once after `delay` (>= 0), unless the handle is destroyed
  // first.
  [[nodiscard]] virtual TimerHandle After(Duration delay,
                                          std::function<void()> callback) = 0;

  // Runs `callback` in the next iteration of the loop, never from within this
  // call. Can't be cancelled: the callback must check that the objects it
  // refers to still exist.
  virtual void Post(std::function<void()> callback) = 0;

  // Runs the loop until Stop() is called. SIGTERM and SIGINT end the loop only
  // if the callback of OnSignal() calls Stop().
  virtual void Run() = 0;
  virtual void Stop() = 0;

  // Sets the callback that runs on the loop at each SIGTERM or SIGINT.
  virtual void OnSignal(std::function<void()> callback) = 0;
};

// The event loop on libwebsockets, which uses poll(). Only one may exist in a
// process, because the signal handler is global. MakeHttpServer() and
// MakeHttpClient() in net/http.h work with this loop only.
class LwsLoop : public EventLoop {
 public:
  // Returns nullptr if libwebsockets can't create its context.
  static std::unique_ptr<LwsLoop> Create();
  // Sets the callback that runs on the loop at each SIGHUP. SIGHUP is ignored
  // while no callback is set, and one that was blocked until then is kept for
  // it: it must never end a daemon.
  virtual void OnHangup(std::function<void()> callback) = 0;
  virtual lws_context* context() = 0;
};

}  // namespace mimosa

#endif  // NET_EVENT_LOOP_H_
