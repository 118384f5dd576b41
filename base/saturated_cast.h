// Conversion of numbers that a peer or a document states to narrower types.
#ifndef BASE_SATURATED_CAST_H_
#define BASE_SATURATED_CAST_H_

#include <cstdint>
#include <limits>
#include <type_traits>

namespace mimosa {

// Returns `value`, or the bound of `To` that is nearest to it. A fraction is
// dropped, and NaN is zero.
template <typename To, typename From>
constexpr To SaturatedCast(From value) {
  static_assert(std::is_integral_v<To> && std::is_arithmetic_v<From>);
  using Limits = std::numeric_limits<To>;
  if constexpr (std::is_floating_point_v<From>) {
    // One above the maximum is a power of two, unlike the maximum itself.
    constexpr To kHalf = Limits::max() / 2 + 1;
    constexpr From kEnd = static_cast<From>(kHalf) * 2;
    if (value != value) return 0;
    if (value >= kEnd) return Limits::max();
    if (value <= static_cast<From>(Limits::min())) return Limits::min();
  } else {
    if (value < 0) {
      if (std::is_unsigned_v<To>) return 0;
      if (static_cast<int64_t>(value) < static_cast<int64_t>(Limits::min()))
        return Limits::min();
    } else if (static_cast<uint64_t>(value) >
               static_cast<uint64_t>(Limits::max())) {
      return Limits::max();
    }
  }
  return static_cast<To>(value);
}

}  // namespace mimosa

#endif  // BASE_SATURATED_CAST_H_
