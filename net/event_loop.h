// One loop on one thread: everything a process does happens in callbacks of
// this loop, so nothing below needs a lock.
//
// The loop owns time. Callbacks must not block; a callback that takes longer
// than a few milliseconds delays every connection of the process.
#ifndef NET_EVENT_LOOP_H_
#define NET_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "base/clock.h"

struct lws_context;

namespace mimosa {

// Cancels its timer when destroyed. Movable; an empty handle does nothing.
class TimerHandle {
 public:
  // What a loop implements; the destructor cancels.
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

class EventLoop : public Clock {
 public:
  // Runs `callback` once after `delay` (>= 0), unless the handle dies first.
  [[nodiscard]] virtual TimerHandle After(Duration delay,
                                          std::function<void()> callback) = 0;

  // Runs `callback` soon, from the loop and not from within this call. Can't be
  // cancelled: the callback must check that what it refers to still lives.
  virtual void Post(std::function<void()> callback) = 0;

  // Runs until Stop() is called or SIGTERM/SIGINT arrives and its handler (see
  // OnSignal) calls Stop().
  virtual void Run() = 0;
  virtual void Stop() = 0;

  // `callback` runs on the loop at each SIGTERM or SIGINT.
  virtual void OnSignal(std::function<void()> callback) = 0;
};

// The libwebsockets loop (poll). One per process: the signal handler is global.
// MakeHttpServer and MakeHttpClient (net/http.h) take this loop only.
class LwsLoop : public EventLoop {
 public:
  static std::unique_ptr<LwsLoop> Create();
  // `callback` runs on the loop at each SIGHUP. Without one SIGHUP is ignored:
  // it must never end a daemon.
  virtual void OnHangup(std::function<void()> callback) = 0;
  virtual lws_context* context() = 0;
};

}  // namespace mimosa

#endif  // NET_EVENT_LOOP_H_
