// Retry delays and the limits of waiting.
#include "decide/reservation_retry_policy.h"

#include <algorithm>

namespace mimosa {
namespace {

// Callers honor a Retry-After of up to a third of their remaining time.
constexpr double kHonoredRetryAfterShare = 0.33;
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kLongestRetryAfter = std::chrono::milliseconds(4500);

}  // namespace

Duration ReservationRetryPolicy::MaxFurtherWait(
    const WaitingRequest& request) const {
  if (request.response_started)
    return request.time_left - request.time_to_first_event;
  const Duration total_time = request.waited + request.time_left;
  Duration wait = std::min(
      request.time_left - request.time_to_first_event - request.run_time,
      Scaled(total_time, options_.max_wait_share) - request.waited);
  if (request.first_event_timeout > Duration::zero()) {
    wait = std::min(wait, Scaled(request.first_event_timeout,
                                 options_.first_event_timeout_share) -
                              request.waited - request.time_to_first_event);
  }
  return wait;
}

std::optional<Duration> ReservationRetryPolicy::NextRetryDelay(
    const WaitingRequest& request) const {
  if (MaxFurtherWait(request) < Duration::zero()) return std::nullopt;
  const Duration delay = IsUrgent(request) ? options_.in_time_retry_delay
                                           : options_.late_retry_delay;
  // Spreads the delay by up to half in either direction, so that waiting
  // requests don't retry in step.
  return Scaled(delay, 0.5 + random_->UniformDouble());
}

Duration ReservationRetryPolicy::RetryAfter(
    const WaitingRequest& request) const {
  const Duration longest = std::min(
      kLongestRetryAfter, Scaled(request.time_left, kHonoredRetryAfterShare));
  const Duration shortest = std::min(kShortestRetryAfter, longest);
  return shortest + Scaled(longest - shortest, random_->UniformDouble());
}

}  // namespace mimosa
