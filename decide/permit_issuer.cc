// The token bucket of permits.
#include "decide/permit_issuer.h"

#include <algorithm>

#include "base/saturated_cast.h"

namespace mimosa {
namespace {

// Permits that a bucket holds: enough for one call of any kind, and what is
// issued in this time.
constexpr double kMinBurst = 2;
constexpr double kBurstSeconds = 0.1;

}  // namespace

double PermitIssuer::Burst() const {
  return std::max(kMinBurst, rate_ * kBurstSeconds);
}

double PermitIssuer::LevelAt(MonoTime now) const {
  const double filled =
      level_ + rate_ * std::max(0.0, ToSeconds(now - updated_at_));
  return std::min(filled, Burst());
}

void PermitIssuer::SetRate(double per_second, MonoTime now) {
  level_ = LevelAt(now);
  updated_at_ = now;
  rate_ = per_second;
}

int PermitIssuer::Issue(int count, int minimum, MonoTime now) {
  level_ = LevelAt(now);
  updated_at_ = now;
  const int issued = std::min(count, SaturatedCast<int>(level_));
  if (issued < minimum) return 0;
  level_ -= issued;
  return issued;
}

Duration PermitIssuer::TimeUntil(int count, MonoTime now) const {
  return FromSeconds(std::max(0.0, count - LevelAt(now)) / rate_);
}

}  // namespace mimosa
