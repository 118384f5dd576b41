// Policies that decide whether a request that would have to wait is rejected at
// once instead.
//
// A request that can't meet its deadline uses memory and prefill time to no
// one's benefit. Rejecting it at once, with a Retry-After derived from the time
// in which the queue drains, leaves the decision to its caller. The baseline
// policy never sheds and serves late.
//
// The policies map a forecast to a decision and have no other inputs.
#ifndef DECIDE_SHEDDING_H_
#define DECIDE_SHEDDING_H_

#include <memory>
#include <optional>
#include <string_view>

#include "base/clock.h"

namespace mimosa {

struct WaitForecast {
  MonoTime now;
  Duration expected_wait{};    // until the request would be served
  MonoTime start_by = kNever;  // a later start is useless
};

class SheddingPolicy {
 public:
  virtual ~SheddingPolicy() = default;
  // Returns whether to reject the request now.
  virtual bool ShouldShed(const WaitForecast& forecast) const = 0;
  // Returns whether requests that waited past their start_by are rejected
  // instead of served.
  virtual bool DropsExpired() const = 0;
};

enum class SheddingKind { kNone, kDeadline };

// Parses "none" or "deadline"; returns nullopt for any other name.
std::optional<SheddingKind> ParseSheddingKind(std::string_view name);

std::unique_ptr<SheddingPolicy> MakeSheddingPolicy(SheddingKind kind);

// Limits of a Retry-After that is computed from a queue.
inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
inline constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

// Returns when a request like the one of the forecast would be in time: the
// time until the expected wait has shrunk to what the deadline leaves.
Duration RetryAfter(const WaitForecast& forecast);

}  // namespace mimosa

#endif  // DECIDE_SHEDDING_H_
