// Pauses and the end of waiting.
#include "decide/room_wait.h"

#include <algorithm>

namespace mimosa {
namespace {

// Callers follow a Retry-After up to a third of the time that they have left.
constexpr double kFollowedShare = 0.33;
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kLongestRetryAfter = std::chrono::milliseconds(4500);

}  // namespace

std::optional<Duration> RoomWait::NextPause(
    const WaitingRequest& request) const {
  const Duration given = request.waited + request.left;
  if (request.left < request.to_first_event + request.run) return std::nullopt;
  if (request.waited > Scaled(given, options_.longest_share))
    return std::nullopt;
  if (request.patience > Duration::zero() &&
      request.waited + request.to_first_event >
          Scaled(request.patience, options_.patience_share))
    return std::nullopt;
  const Duration pause =
      InTime(request) ? options_.eager_pause : options_.late_pause;
  // Within half of it either way: waiting requests don't ask in step.
  return Scaled(pause, 0.5 + random_->Unit());
}

Duration RoomWait::RetryAfter(const WaitingRequest& request) const {
  const Duration most =
      std::min(kLongestRetryAfter, Scaled(request.left, kFollowedShare));
  const Duration least = std::min(kLeastRetryAfter, most);
  return least + Scaled(most - least, random_->Unit());
}

}  // namespace mimosa
