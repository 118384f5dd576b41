// Sums per service, and the speed of idle prefill engines.
#include "decide/stage_meter.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// Prefill time per token until an idle engine has been measured. All engine
// types in use have about this speed.
constexpr double kDefaultSecondsPerToken = 1.0 / 30000;
// The mean speed follows a change of the engines within about this many
// prefills.
constexpr int kSpeedSamples = 20;

}  // namespace

StageSums& StageSums::operator+=(const StageSums& other) {
  prefills += other.prefills;
  prefill_s += other.prefill_s;
  runs += other.runs;
  run_token_s += other.run_token_s;
  return *this;
}

StageSums operator-(StageSums a, const StageSums& b) {
  a.prefills -= b.prefills;
  a.prefill_s -= b.prefill_s;
  a.runs -= b.runs;
  a.run_token_s -= b.run_token_s;
  return a;
}

StageSums& StageSums::operator*=(double factor) {
  prefills *= factor;
  prefill_s *= factor;
  runs *= factor;
  run_token_s *= factor;
  return *this;
}

void StageTotals::AddReport(const std::string& daemon, uint64_t boot,
                            uint64_t serial, StageSumsByService sums) {
  Report& last = reports_[daemon];
  const bool same_start = last.boot == boot;
  if (same_start && serial <= last.serial) return;
  if (same_start)
    for (const auto& [service, sum] : sums)
      sums_[service] += sum - last.sums[service];
  last = {boot, serial, std::move(sums)};
}

void StageMeter::RecordPrefill(const ServiceId& service, Tokens prompt,
                               Duration duration, bool otherwise_idle) {
  if (prompt <= Tokens(0)) return;
  const auto tokens = static_cast<double>(prompt.count());
  Speed& speed = speeds_[service];
  if (otherwise_idle) {
    speed.samples = std::min(speed.samples + 1, kSpeedSamples);
    speed.seconds_per_token +=
        (ToSeconds(duration) / tokens - speed.seconds_per_token) /
        speed.samples;
  }
  StageSums& sums = sums_[service];
  ++sums.prefills;
  sums.prefill_s += ToSeconds(PrefillTime(service, prompt));
}

Duration StageMeter::PrefillTime(const ServiceId& service,
                                 Tokens prompt) const {
  const auto speed = speeds_.find(service);
  const double seconds_per_token =
      speed != speeds_.end() && speed->second.samples > 0
          ? speed->second.seconds_per_token
          : kDefaultSecondsPerToken;
  return FromSeconds(seconds_per_token * static_cast<double>(prompt.count()));
}

void StageMeter::RecordRun(const ServiceId& service, Tokens memory,
                           Duration duration) {
  StageSums& sums = sums_[service];
  ++sums.runs;
  sums.run_token_s += static_cast<double>(memory.count()) * ToSeconds(duration);
}

}  // namespace mimosa
