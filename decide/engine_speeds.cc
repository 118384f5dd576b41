// Sums, bounded estimates and relative speeds.
#include "decide/engine_speeds.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mimosa {
namespace {

// Shorter prompts and runs show the overhead of a call rather than the engine.
constexpr Tokens kMinPrompt(500);
constexpr int64_t kMinEvents = 8;
// Share by which each run beside it slows a run down.
constexpr double kSlowdownPerRun = 0.02;
// Sums that have not changed for this long are not reported again.
constexpr Duration kReportedFor = std::chrono::seconds(2);
// Measurements and speeds are forgotten after this time.
constexpr Duration kLifetime = std::chrono::seconds(60);
// Largest number of engines of which anything is kept.
constexpr size_t kMaxEngines = 5000;
// An estimate with fewer measurements is not used.
constexpr int64_t kMinSamples = 10;
// Most measurements of one report that count separately.
constexpr int64_t kMaxSamplesPerReport = 4;
constexpr int64_t kMaxFirstSamples = 2;
// Weight of one measurement, and the largest step that it may stand for once
// there are some: a factor of about 1.5.
constexpr double kMinWeight = 0.1;
constexpr double kMaxStep = 0.4;
// Without this many measured engines there is no middle to compare with.
constexpr size_t kMinEngines = 4;
// Deviation, as a logarithm, from which an engine counts as faster or slower
// than the middle, and below which it no longer does. Prefills that wait for
// one that this daemon doesn't know of make their times less certain.
struct Tolerance {
  double to_leave = 0;
  double to_return = 0;
};
constexpr Tolerance kPrefillTolerance = {0.3, 0.2};
constexpr Tolerance kDecodeTolerance = {0.2, 0.12};
// Bounds of what is measured and of speeds.
constexpr double kMaxAbsLog = 12;
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 10;

bool IsPlausibleStage(const SpeedSums& sums) {
  return sums.samples >= 0 && std::isfinite(sums.log_sum) &&
         std::abs(sums.log_sum) <=
             kMaxAbsLog * static_cast<double>(sums.samples);
}

bool IsPlausibleSpeed(double speed) {
  return std::isfinite(speed) && speed >= kMinSpeed && speed <= kMaxSpeed;
}

void AddTime(double millis, SpeedSums* sums) {
  if (!(millis > 0)) return;
  ++sums->samples;
  sums->log_sum += std::clamp(std::log(millis), -kMaxAbsLog, kMaxAbsLog);
}

const char* ClassName(int speed_class) {
  if (speed_class == 0) return "alike";
  return speed_class > 0 ? "faster" : "slower";
}

}  // namespace

bool IsPlausible(const EngineSpeedSums& sums) {
  return IsPlausibleStage(sums.prefill) && IsPlausibleStage(sums.decode);
}

bool IsPlausible(const EngineSpeed& speed) {
  return IsPlausibleSpeed(speed.prefill) && IsPlausibleSpeed(speed.decode);
}

EngineSpeedSums& EngineSpeedMeter::SumsOf(const BackEndEntry& engine,
                                          MonoTime now) {
  if (measured_.size() >= kMaxEngines && measured_.count(engine.id) == 0) {
    const auto oldest = std::min_element(
        measured_.begin(), measured_.end(), [](const auto& a, const auto& b) {
          return a.second.changed_at < b.second.changed_at;
        });
    measured_.erase(oldest);
  }
  Measured& measured = measured_[engine.id];
  if (measured.sums.incarnation != engine.incarnation) {
    measured.sums = EngineSpeedSums{};
    measured.sums.incarnation = engine.incarnation;
  }
  measured.changed_at = now;
  return measured.sums;
}

void EngineSpeedMeter::RecordPrefill(const BackEndEntry& engine, Tokens prompt,
                                     Duration duration, bool otherwise_idle,
                                     MonoTime now) {
  if (!otherwise_idle || prompt < kMinPrompt) return;
  AddTime(ToSeconds(duration) * 1000 / static_cast<double>(prompt.count()),
          &SumsOf(engine, now).prefill);
}

void EngineSpeedMeter::RecordRun(const BackEndEntry& engine, int64_t events,
                                 Duration duration, int other_runs,
                                 MonoTime now) {
  if (events < kMinEvents) return;
  AddTime(ToSeconds(duration) * 1000 / static_cast<double>(events - 1) /
              (1 + kSlowdownPerRun * std::max(0, other_runs)),
          &SumsOf(engine, now).decode);
}

EngineSpeedSumsByBackEnd EngineSpeedMeter::RecentSums(uint64_t turn,
                                                      size_t limit,
                                                      MonoTime now) const {
  std::vector<std::map<BackEndId, Measured>::const_iterator> recent;
  for (auto it = measured_.begin(); it != measured_.end(); ++it)
    if (now - it->second.changed_at < kReportedFor) recent.push_back(it);
  EngineSpeedSumsByBackEnd sums;
  const size_t count = std::min(limit, recent.size());
  for (size_t i = 0; i < count; ++i) {
    const auto& it = recent[(turn * limit + i) % recent.size()];
    sums[it->first] = it->second.sums;
  }
  return sums;
}

bool EngineSpeedEstimates::AddSamples(const SpeedSums& sums,
                                      const SpeedSums& previous, bool is_first,
                                      Estimate* estimate) {
  const int64_t added = sums.samples - previous.samples;
  if (added <= 0) return false;
  const double log_ms =
      std::clamp((sums.log_sum - previous.log_sum) / static_cast<double>(added),
                 -kMaxAbsLog, kMaxAbsLog);
  const int64_t count =
      std::min(added, is_first ? kMaxFirstSamples : kMaxSamplesPerReport);
  for (int64_t i = 0; i < count; ++i) {
    ++estimate->samples;
    const double weight =
        std::max(1.0 / static_cast<double>(estimate->samples), kMinWeight);
    double step = log_ms - estimate->log_ms;
    if (estimate->samples >= kMinSamples)
      step = std::clamp(step, -kMaxStep, kMaxStep);
    estimate->log_ms += weight * step;
  }
  return true;
}

void EngineSpeedEstimates::AddReport(const std::string& daemon, uint64_t boot,
                                     uint64_t serial,
                                     const EngineSpeedSumsByBackEnd& sums,
                                     MonoTime now) {
  Report& report = reports_[daemon];
  if (report.boot != boot) {
    report = Report{};
    report.boot = boot;
  } else if (serial <= report.serial) {
    return;
  }
  report.serial = serial;
  for (const auto& [id, reported] : sums) {
    if (!IsPlausible(reported)) continue;
    if (engines_.size() >= kMaxEngines && engines_.count(id) == 0) continue;
    Engine& engine = engines_[id];
    if (reported.incarnation < engine.incarnation) continue;
    if (engine.incarnation != reported.incarnation) {
      engine = Engine{};
      engine.incarnation = reported.incarnation;
    }
    EngineSpeedSums& previous = report.sums[id];
    const bool is_first = previous.incarnation != reported.incarnation;
    if (is_first) previous = EngineSpeedSums{};
    const bool has_prefill = AddSamples(reported.prefill, previous.prefill,
                                        is_first, &engine.prefill);
    const bool has_run =
        AddSamples(reported.decode, previous.decode, is_first, &engine.decode);
    if (has_prefill || has_run) engine.measured_at = now;
    previous = reported;
  }
  if (report.sums.size() > kMaxEngines) report.sums.clear();
}

bool EngineSpeedEstimates::IsMeasured(const Estimate& estimate) {
  return estimate.samples >= kMinSamples;
}

double EngineSpeedEstimates::MiddleOf(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double EngineSpeedEstimates::RelativeSpeed(double middle, bool is_prefill,
                                           Estimate* estimate) {
  const Tolerance tolerance = is_prefill ? kPrefillTolerance : kDecodeTolerance;
  const double faster_by = middle - estimate->log_ms;
  const double bound =
      estimate->speed_class == 0 ? tolerance.to_leave : tolerance.to_return;
  if (faster_by > bound) {
    estimate->speed_class = 1;
  } else if (faster_by < -bound) {
    estimate->speed_class = -1;
  } else {
    estimate->speed_class = 0;
    return 1;
  }
  return std::clamp(std::exp(faster_by), kMinSpeed, kMaxSpeed);
}

EngineSpeedsByBackEnd EngineSpeedEstimates::Speeds(
    const BackEndList& list, MonoTime now, std::vector<ClassChange>* changes) {
  // Times of the measured engines, by service and stage.
  std::map<ServiceId, std::vector<double>> prefill_times;
  std::map<ServiceId, std::vector<double>> decode_times;
  for (auto it = engines_.begin(); it != engines_.end();) {
    const auto listed = list.entries().find(it->first);
    if (now - it->second.measured_at >= kLifetime ||
        (listed != list.entries().end() &&
         listed->second.entry.incarnation != it->second.incarnation)) {
      it = engines_.erase(it);
      continue;
    }
    if (listed != list.entries().end()) {
      const ServiceId& service = listed->second.entry.service;
      if (IsMeasured(it->second.prefill))
        prefill_times[service].push_back(it->second.prefill.log_ms);
      if (IsMeasured(it->second.decode))
        decode_times[service].push_back(it->second.decode.log_ms);
    }
    ++it;
  }
  EngineSpeedsByBackEnd speeds;
  for (auto& [id, engine] : engines_) {
    const auto listed = list.entries().find(id);
    if (listed == list.entries().end()) continue;
    const ServiceId& service = listed->second.entry.service;
    const auto speed_of = [&, &id = id, &engine = engine](const char* stage,
                                                          const auto& times,
                                                          Estimate* estimate) {
      const auto of_service = times.find(service);
      if (!IsMeasured(*estimate) || of_service == times.end() ||
          of_service->second.size() < kMinEngines)
        return 0.0;
      const int previous = estimate->speed_class;
      const double speed = RelativeSpeed(MiddleOf(of_service->second),
                                         estimate == &engine.prefill, estimate);
      if (estimate->speed_class != previous)
        changes->push_back(
            {id, stage, ClassName(estimate->speed_class), speed});
      return speed;
    };
    const double prefill = speed_of("prefill", prefill_times, &engine.prefill);
    const double decode = speed_of("decode", decode_times, &engine.decode);
    if (prefill == 0 && decode == 0) continue;
    // An engine that was measured at one stage only is taken to be as fast at
    // the other.
    speeds[id] = {engine.incarnation, prefill > 0 ? prefill : decode,
                  decode > 0 ? decode : prefill, engine.measured_at};
  }
  return speeds;
}

void EngineSpeedView::Merge(const BackEndId& engine, const EngineSpeed& speed) {
  if (!IsPlausible(speed)) return;
  const auto it = speeds_.find(engine);
  if (it == speeds_.end() && speeds_.size() >= kMaxEngines) return;
  EngineSpeed& known = it == speeds_.end() ? speeds_[engine] : it->second;
  const bool is_new = it == speeds_.end();
  if (!is_new && (speed.incarnation < known.incarnation ||
                  (speed.incarnation == known.incarnation &&
                   speed.measured_at < known.measured_at)))
    return;
  const bool was_unlike =
      known.was_unlike || speed.prefill != 1 || speed.decode != 1;
  known = speed;
  known.was_unlike = was_unlike;
}

void EngineSpeedView::RemoveExpired(MonoTime now) {
  for (auto it = speeds_.begin(); it != speeds_.end();)
    it = now - it->second.measured_at >= kLifetime ? speeds_.erase(it)
                                                   : std::next(it);
}

const EngineSpeed* EngineSpeedView::Find(const BackEndEntry& engine) const {
  const auto it = speeds_.find(engine.id);
  return it != speeds_.end() && it->second.incarnation == engine.incarnation
             ? &it->second
             : nullptr;
}

}  // namespace mimosa
