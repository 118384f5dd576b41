// How a model request waits for room at a decode engine, and when it is turned
// away.
//
// Model: no daemon knows the whole queue, so there is none: each waiting
// request asks again after a pause. One whose first event can still come in
// time asks often; one that is late already asks seldom, so that in a burst the
// fresh requests get what becomes free and the late ones what is left of it. A
// request is turned away before its caller leaves for want of a first event, or
// if the whole answer could not come in its time: an answer that says when to
// come back serves it better.
//
// Load pattern answered: bursts of about twice what the engines' memory holds,
// for a few seconds.
#ifndef DECIDE_RESERVATION_RETRY_POLICY_H_
#define DECIDE_RESERVATION_RETRY_POLICY_H_

#include <optional>

#include "base/clock.h"
#include "base/random.h"

namespace mimosa {

struct WaitingRequest {
  Duration waited{};               // since its arrival
  Duration time_left{};            // until its caller gives up
  Duration target_latency{};       // to the first event
  Duration first_event_timeout{};  // for it; zero: as long as `left`
  Duration time_to_first_event{};  // once it has room: prefill and transfer
  Duration run_time{};             // expected, from the first event to the last
};

class ReservationRetryPolicy {
 public:
  struct Options {
    // Between questions of a request that can be in time: a few times the way
    // to an engine and back.
    Duration in_time_retry_delay = std::chrono::milliseconds(30);
    // Of one that is late: about the time in which an engine ends a run.
    Duration late_retry_delay = std::chrono::milliseconds(250);
    // Of the caller's patience for the first event: what is used of it at most.
    double first_event_timeout_share = 0.9;
    // The longest wait, as a share of the time that the caller gave.
    double max_wait_share = 0.4;
  };

  ReservationRetryPolicy(const Options& options, RandomSource* random)
      : options_(options), random_(random) {}

  // The pause until the request should ask again; nothing: turn it away.
  std::optional<Duration> NextRetryDelay(const WaitingRequest& request) const;

  // Whether its first event can still come in time.
  static bool CanMeetTarget(const WaitingRequest& request) {
    return request.waited + request.time_to_first_event <
           request.target_latency;
  }

  // When a caller that is turned away should come back: after a share of what
  // it still has, spread so that callers turned away together don't return
  // together.
  Duration RetryAfter(const WaitingRequest& request) const;

 private:
  const Options options_;
  RandomSource* const random_;
};

}  // namespace mimosa

#endif  // DECIDE_RESERVATION_RETRY_POLICY_H_
