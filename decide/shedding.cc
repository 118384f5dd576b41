// The shedding policies and the computation of Retry-After.
#include "decide/shedding.h"

#include <algorithm>

namespace mimosa {
namespace {

class NoShedding : public SheddingPolicy {
 public:
  bool ShouldShed(const WaitForecast& /*forecast*/) const override {
    return false;
  }
  bool DropsExpired() const override { return false; }
};

class DeadlineShedding : public SheddingPolicy {
 public:
  bool ShouldShed(const WaitForecast& forecast) const override {
    if (forecast.start_by == kNever) return false;
    return forecast.start_by - forecast.now < forecast.expected_wait;
  }
  bool DropsExpired() const override { return true; }
};

}  // namespace

std::optional<SheddingKind> ParseSheddingKind(std::string_view name) {
  if (name == "none") return SheddingKind::kNone;
  if (name == "deadline") return SheddingKind::kDeadline;
  return std::nullopt;
}

std::unique_ptr<SheddingPolicy> MakeSheddingPolicy(SheddingKind kind) {
  if (kind == SheddingKind::kNone) return std::make_unique<NoShedding>();
  return std::make_unique<DeadlineShedding>();
}

Duration RetryAfter(const WaitForecast& forecast) {
  Duration excess = forecast.expected_wait;
  if (forecast.start_by != kNever && forecast.start_by > forecast.now) {
    excess -= forecast.start_by - forecast.now;
  }
  return std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace mimosa
