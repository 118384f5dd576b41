// Random numbers as the decisions see them: a source that is injected, so that
// a run can be repeated from its seed.
#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace mimosa {

class RandomSource {
 public:
  virtual ~RandomSource() = default;

  // A uniform 64-bit number.
  virtual uint64_t Next() = 0;

  // Uniform in [0, bound); `bound` must be > 0. The modulo bias is below
  // bound / 2^64, which no caller can notice.
  uint64_t UniformInt(uint64_t bound) { return Next() % bound; }

  // Uniform in [0, 1).
  double UniformDouble() {
    return static_cast<double>(Next() >> 11) * 0x1.0p-53;
  }
};

// Repeatable: the same seed gives the same numbers on every platform.
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace mimosa

#endif  // BASE_RANDOM_H_
