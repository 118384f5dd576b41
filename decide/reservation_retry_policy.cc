// Pauses and the end of waiting.
#include "decide/reservation_retry_policy.h"

#include <algorithm>

namespace mimosa {
namespace {

// Callers follow a Retry-After up to a third of the time that they have left.
constexpr double kFollowedShare = 0.33;
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kLongestRetryAfter = std::chrono::milliseconds(4500);

}  // namespace

std::optional<Duration> ReservationRetryPolicy::NextRetryDelay(
    const WaitingRequest& request) const {
  const Duration given = request.waited + request.time_left;
  if (request.time_left < request.time_to_first_event + request.run_time)
    return std::nullopt;
  if (request.waited > Scaled(given, options_.max_wait_share))
    return std::nullopt;
  if (request.first_event_timeout > Duration::zero() &&
      request.waited + request.time_to_first_event >
          Scaled(request.first_event_timeout,
                 options_.first_event_timeout_share))
    return std::nullopt;
  const Duration pause = CanMeetTarget(request) ? options_.in_time_retry_delay
                                                : options_.late_retry_delay;
  // Within half of it either way: waiting requests don't ask in step.
  return Scaled(pause, 0.5 + random_->Unit());
}

Duration ReservationRetryPolicy::RetryAfter(
    const WaitingRequest& request) const {
  const Duration most =
      std::min(kLongestRetryAfter, Scaled(request.time_left, kFollowedShare));
  const Duration least = std::min(kLeastRetryAfter, most);
  return least + Scaled(most - least, random_->Unit());
}

}  // namespace mimosa
