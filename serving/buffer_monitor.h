// Measures what the daemon holds for callers and backend servers that read
// slowly, and carries out the decisions of decide/buffer_budget.h.
//
// Counted are the bodies of running requests, those that are being received,
// and all bytes that wait to be sent to callers, also those of responses that
// have ended.
#ifndef SERVING_BUFFER_MONITOR_H_
#define SERVING_BUFFER_MONITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/ids.h"
#include "base/line_log.h"
#include "decide/buffer_budget.h"
#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa {

class BufferMonitor : public BodyBudget {
 public:
  // Retry-After of a request for which this daemon has no memory: other daemons
  // most likely have.
  static constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

  struct Options {
    BufferBudget::Options budget;
    Duration check_interval = std::chrono::milliseconds(200);
  };
  struct Counters {
    uint64_t refused = 0;  // Requests without room.
    uint64_t ended = 0;    // Responses whose callers had stalled.
  };

  BufferMonitor(EventLoop* loop, LineLog* log, const Options& options);

  // Starts to measure the responses of `servers`, which must outlive the
  // monitor. Does nothing if the budget has no limit.
  void Start(std::vector<const HttpServer*> servers);

  // Returns whether `request` may be admitted.
  bool MayAdmit(const HttpRequest& request);

  // BodyBudget:
  bool Reserve(size_t bytes) override;
  void Release(size_t bytes) override { receiving_bytes_ -= bytes; }
  HttpResponse MakeRefusal() const override;

  // Tracks a request from its admission to its end. `end` ends the response of
  // a caller that has stalled, and is expected to lead to Remove().
  void Add(uint64_t serial, const RequestId& id,
           std::shared_ptr<HttpExchange> exchange, std::function<void()> end);
  void Remove(uint64_t serial);

  // Whether so much of the response is unsent that the back end's response
  // should not be read on.
  bool HasSlowReader(const HttpExchange& exchange) const;

  // How much of a response may be held back until it is complete, so that
  // another back end can still be tried. A larger one is streamed.
  size_t MaxBufferedResponse() const;

  size_t held_bytes() const {
    return receiving_bytes_ + body_bytes_ + unsent_bytes_;
  }
  const Counters& counters() const { return counters_; }

 private:
  struct Request {
    RequestId id;
    std::shared_ptr<HttpExchange> exchange;
    std::function<void()> end;
    size_t body_bytes = 0;
    size_t unsent_bytes = 0;  // At the last check.
    uint64_t sent_bytes = 0;  // At the last check.
    MonoTime last_progress{};
  };

  void Check();
  // Bytes that wait to be sent on all connections of the servers.
  size_t MeasureUnsentBytes() const;

  EventLoop* const loop_;
  LineLog* const log_;
  const Options options_;
  const BufferBudget budget_;
  std::vector<const HttpServer*> servers_;
  std::map<uint64_t, Request> requests_;
  size_t receiving_bytes_ = 0;  // Of bodies that have not arrived whole.
  size_t body_bytes_ = 0;       // Sum over requests_.
  size_t unsent_bytes_ = 0;     // At the last check.
  size_t slow_responses_ = 0;   // With unsent bytes at the last check.
  Counters counters_;
  TimerHandle timer_;
};

}  // namespace mimosa

#endif  // SERVING_BUFFER_MONITOR_H_
