// Admission of streams during a shutdown.
#include "decide/shutdown_policy.h"

#include <algorithm>

namespace mimosa {

void ShutdownPolicy::Begin(MonoTime stream_cutoff, MonoTime ends_at,
                           Duration check_time) {
  stream_cutoff_ = std::min(stream_cutoff, ends_at);
  ends_at_ = ends_at;
  check_time_ = check_time;
}

void ShutdownPolicy::EndBy(MonoTime ends_at) {
  if (!has_begun()) return;
  ends_at_ = std::min(ends_at_, ends_at);
}

bool ShutdownPolicy::AdmitsStream(
    MonoTime now, std::optional<Duration> expected_duration) const {
  if (!has_begun()) return true;
  if (now > stream_cutoff_) return false;
  return !expected_duration || now + *expected_duration <= ends_at_;
}

}  // namespace mimosa
