// The two simulated workloads, at the sizes of the two deployments.
//
// Times and costs are those of the models in engine_models.h. A prompt consists
// of one of a few shared prefixes (course notes, terminal rules) and tokens
// that are unique to the request.
#ifndef BENCH_WORKLOAD_H_
#define BENCH_WORKLOAD_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"

namespace mimosa::bench {

inline constexpr int kCustomerCount = 5;
// Share of the requests by customer: a few customers are large.
inline constexpr std::array<double, kCustomerCount> kTrafficShares = {
    0.34, 0.26, 0.2, 0.12, 0.08};

struct Workload {
  std::string name;
  int prefill_engines;
  int decode_engines;
  int routers;
  Duration one_way_latency;  // network latency between failure domains
  // Prompts.
  int shared_prefix_count;
  int64_t shared_prefix_tokens;
  double unique_tokens_mean;  // exponentially distributed, bounded
  int64_t unique_tokens_max;
  double output_tokens_mean;  // exponentially distributed, bounded
  int64_t output_tokens_max;
  double prompt_class_share;  // of requests; the rest is patient
  Duration patient_first_token_target;
  Duration prompt_first_token_target;
  Duration between_tokens_target;
  Duration deadline;
  // Engines.
  Pieces decode_memory;
  Duration prefill_base;
  Duration prefill_per_token;
  int cached_prefixes;  // capacity of a prefill engine's cache
  Duration step_base;
  Duration step_per_stream;
  double link_tokens_per_second;
  Duration prefill_result_ttl;
};

inline Workload TrustWorkload() {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  return {"trust",
          15,
          5,
          8,
          microseconds(500),
          12,
          1536,
          1500,
          8000,
          300,
          512,
          0.1,
          seconds(5),
          seconds(2),
          milliseconds(20),
          seconds(40),
          Pieces(46),
          milliseconds(10),
          microseconds(200),
          4,
          milliseconds(8),
          microseconds(200),
          40000,
          seconds(1)};
}

inline Workload PortWorkload() {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  return {"port",
          8,
          2,
          6,
          milliseconds(1),
          6,
          1024,
          2500,
          12000,
          300,
          512,
          0.3,
          seconds(5),
          seconds(2),
          milliseconds(20),
          seconds(40),
          Pieces(52),
          milliseconds(10),
          microseconds(200),
          3,
          milliseconds(8),
          microseconds(200),
          40000,
          seconds(1)};
}

// Number of streams in a full batch of a decode engine.
inline constexpr double kFullBatchStreams = 20;

inline double MeanPromptTokens(const Workload& w) {
  return static_cast<double>(w.shared_prefix_tokens) + w.unique_tokens_mean;
}

// Returns the requests per second that the engines can sustain. This is the
// smaller of two rates: that of the decode engines with full batches, where
// memory is held from the start of the prefill so that every prefill result has
// memory reserved; and that of the prefill engines if the shared prefix is
// cached for half of the requests.
inline double SustainableRate(const Workload& w) {
  const double uncached =
      MeanPromptTokens(w) - static_cast<double>(w.shared_prefix_tokens) / 2;
  const double prefill =
      ToSeconds(w.prefill_base) + uncached * ToSeconds(w.prefill_per_token);
  const double transfer = MeanPromptTokens(w) / w.link_tokens_per_second;
  const double step =
      ToSeconds(w.step_base) + ToSeconds(w.step_per_stream) * kFullBatchStreams;
  const double mean_output =
      w.output_tokens_mean *
      (1 - std::exp(-static_cast<double>(w.output_tokens_max) /
                    w.output_tokens_mean));
  const double memory_held = prefill + transfer + mean_output * step;
  return std::min(w.decode_engines * kFullBatchStreams / memory_held,
                  w.prefill_engines / prefill);
}

// Draws from an exponential distribution, clamped to [1, max].
inline int64_t BoundedExponential(double mean, int64_t max,
                                  RandomSource* random) {
  const double drawn = -mean * std::log(1 - random->UniformDouble());
  return std::clamp<int64_t>(static_cast<int64_t>(drawn), 1, max);
}

}  // namespace mimosa::bench

#endif  // BENCH_WORKLOAD_H_
