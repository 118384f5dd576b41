// Whether a request that would have to wait is refused at once instead.
//
// A request that can't meet its deadline costs memory and prefill and helps
// nobody; refusing it at once with a Retry-After that the queue's drain time
// gives lets its caller decide. The baseline never sheds and serves late.
//
// Pure: a forecast in, a verdict out.
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
  MonoTime start_by = kNever;  // a later start is of no use
};

class SheddingPolicy {
 public:
  virtual ~SheddingPolicy() = default;
  // True: refuse now.
  virtual bool ShouldShed(const WaitForecast& forecast) const = 0;
  // True: what waited beyond its start_by is refused rather than served.
  virtual bool DropsExpired() const = 0;
};

enum class SheddingKind { kNone, kDeadline };

// "none" or "deadline"; nothing for any other name.
std::optional<SheddingKind> ParseSheddingKind(std::string_view name);

std::unique_ptr<SheddingPolicy> MakeSheddingPolicy(SheddingKind kind);

// Bounds of a Retry-After that is computed from a queue.
inline constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
inline constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

// When a request like the one of the forecast would be in time: the wait has to
// shrink to what the deadline leaves.
Duration RetryAfter(const WaitForecast& forecast);

}  // namespace mimosa

#endif  // DECIDE_SHEDDING_H_
