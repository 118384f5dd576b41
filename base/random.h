// Random numbers from an injected source, so that a run can be reproduced from
// its seed.
#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace mimosa {

class RandomSource {
 public:
  virtual ~RandomSource() = default;

  // Returns a uniformly distributed 64-bit number.
  virtual uint64_t Next() = 0;

  // Returns a uniform integer in [0, bound); `bound` must be > 0. The modulo
  // bias is below bound / 2^64, which is negligible for all callers.
  uint64_t UniformInt(uint64_t bound) { return Next() % bound; }

  // Returns a uniform number in [0, 1).
  double UniformDouble() {
    return static_cast<double>(Next() >> 11) * 0x1.0p-53;
  }
};

// Deterministic: a seed gives the same numbers on every platform.
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace mimosa

#endif  // BASE_RANDOM_H_
