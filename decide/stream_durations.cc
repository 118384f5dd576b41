// Smoothed durations of streams.
#include "decide/stream_durations.h"

#include <algorithm>
#include <cmath>

namespace mimosa {
namespace {

// Weights of a new sample, those of RFC 6298 for round-trip times.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
// The bound is so many mean deviations above the mean.
constexpr double kDeviations = 2;
// Fewer streams say little.
constexpr int kMinSamples = 4;

double PerToken(Duration generation, Tokens expected_output) {
  const int64_t tokens = std::max<int64_t>(1, expected_output.count());
  return ToSeconds(generation) / static_cast<double>(tokens);
}

}  // namespace

void StreamDurations::Smoothed::Add(double sample, bool is_first) {
  if (is_first) {
    mean = sample;
    deviation = sample / 2;
    return;
  }
  deviation += kDeviationWeight * (std::abs(sample - mean) - deviation);
  mean += kMeanWeight * (sample - mean);
}

double StreamDurations::Smoothed::UpperBound() const {
  return mean + kDeviations * deviation;
}

void StreamDurations::Record(const ServiceId& service, Tokens expected_output,
                             Duration to_first_event, Duration generation) {
  Streams& streams = streams_[service];
  const bool is_first = streams.samples == 0;
  streams.samples = std::min(streams.samples + 1, kMinSamples);
  streams.to_first_event.Add(ToSeconds(to_first_event), is_first);
  streams.per_token.Add(PerToken(generation, expected_output), is_first);
}

std::optional<StreamDurations::Estimate> StreamDurations::Find(
    const ServiceId& service, Tokens expected_output) const {
  const auto it = streams_.find(service);
  if (it == streams_.end() || it->second.samples < kMinSamples)
    return std::nullopt;
  const Streams& streams = it->second;
  Estimate estimate;
  estimate.to_first_event = FromSeconds(streams.to_first_event.UpperBound());
  estimate.generation = FromSeconds(
      streams.per_token.UpperBound() *
      static_cast<double>(std::max<int64_t>(1, expected_output.count())));
  return estimate;
}

}  // namespace mimosa
