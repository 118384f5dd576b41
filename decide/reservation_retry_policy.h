// Decides how long a model request waits before it tries again to reserve
// memory at a decode engine, and when it is rejected.
//
// Model: no daemon knows all waiting requests, so there is no central queue.
// Each waiting request retries its reservation after a delay. A request whose
// first event can still meet its latency target retries often; one that is
// already late retries seldom. In a burst, new requests therefore get the
// memory that becomes free, and late ones get what is left. A stream that its
// caller takes up counts as in time: a part of it has been paid for. A request
// is rejected before its caller gives up waiting for the first event, or if the
// complete response can't be finished in time; a rejection with a Retry-After
// is more useful to the caller.
// A stream whose response has started waits for as long as an event may still
// arrive in time: it can't be rejected any more, and its caller leaves by
// itself.
//
// Load pattern covered: bursts of about twice what the engines' memory holds,
// for a few seconds.
#ifndef DECIDE_RESERVATION_RETRY_POLICY_H_
#define DECIDE_RESERVATION_RETRY_POLICY_H_

#include <optional>

#include "base/clock.h"
#include "base/random.h"

namespace mimosa {

struct WaitingRequest {
  Duration waited{};          // time since its arrival
  Duration time_left{};       // time until its caller gives up
  Duration target_latency{};  // latency target of the first event
  // How long the caller waits for the first event, from the request's arrival;
  // zero if as long as for the complete response.
  Duration first_event_timeout{};
  // Expected time from the reservation to the next event: prefill and
  // transfer.
  Duration time_to_first_event{};
  Duration run_time{};  // expected time from the first event to the last
  // The caller has the begin of the response, so it can't be refused any more,
  // and each moment of waiting is a gap in it.
  bool response_started = false;
  // The caller takes up a stream of which it has events from another response.
  bool resumes_stream = false;
};

class ReservationRetryPolicy {
 public:
  struct Options {
    // Mean delay between attempts of a request that can still meet its target:
    // a few round trips to an engine.
    Duration in_time_retry_delay = std::chrono::milliseconds(30);
    // Mean delay between attempts of a request that is late: about the time in
    // which an engine finishes a run.
    Duration late_retry_delay = std::chrono::milliseconds(250);
    // Share of the caller's first-event timeout that may be used.
    double first_event_timeout_share = 0.9;
    // Longest wait, as a share of the caller's total time.
    double max_wait_share = 0.4;
  };

  ReservationRetryPolicy(const Options& options, RandomSource* random)
      : options_(options), random_(random) {}

  // Returns how much longer the request may wait for memory; negative if it
  // should be given up now.
  Duration MaxFurtherWait(const WaitingRequest& request) const;

  // Returns the delay until the next attempt, or nullopt if the request should
  // be given up.
  std::optional<Duration> NextRetryDelay(const WaitingRequest& request) const;

  // Returns whether the first event can still meet its latency target.
  static bool CanMeetTarget(const WaitingRequest& request) {
    return request.waited + request.time_to_first_event <
           request.target_latency;
  }

  // Returns whether waiting costs the request its target: it can still meet it,
  // or its stream stands still.
  static bool IsUrgent(const WaitingRequest& request) {
    return request.response_started || request.resumes_stream ||
           CanMeetTarget(request);
  }

  // Returns when a rejected caller should retry: after a random part of its
  // remaining time, so that callers rejected together don't return together.
  Duration RetryAfter(const WaitingRequest& request) const;

 private:
  const Options options_;
  RandomSource* const random_;
};

}  // namespace mimosa

#endif  // DECIDE_RESERVATION_RETRY_POLICY_H_
