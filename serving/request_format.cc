// Estimates from a caller's request.
#include "serving/request_format.h"

#include <algorithm>

namespace mimosa {
namespace {

// Factor on the caller's estimate of the output: estimates match the median,
// and the mean is higher.
constexpr double kOutputEstimateFactor = 1.2;

}  // namespace

Tokens LikelyOutput(const TokenCounts& counts) {
  if (!counts.expected_output) return counts.max_output;
  const auto estimate = static_cast<int64_t>(
      kOutputEstimateFactor *
      static_cast<double>(counts.expected_output->count()));
  return std::min(counts.max_output, Tokens(estimate));
}

}  // namespace mimosa
