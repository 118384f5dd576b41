// Learns how fast each engine is, relative to the other engines of its service,
// at prefill and at generating.
//
// Model: each daemon sums the logarithms of what it measures at each engine
// incarnation: milliseconds per prompt token on an otherwise idle engine, and
// milliseconds per event of a complete run. The sums are cumulative, so a lost
// or repeated report has no effect. The daemon that aggregates the fleet's load
// turns the differences into one estimate per engine and stage, each step of
// which is bounded: a passing slow moment hardly moves it, and a lasting change
// is followed within about 20 measurements. An engine's speed is the ratio of
// the middle of its service to its estimate. It is 1 for an engine with few
// measurements and for one within the tolerance, so that engines which hardly
// differ are treated alike. The state is soft: it expires, and a new
// incarnation of an engine starts without any.
//
// Load patterns covered: engines of unlike speed in one service; slow moments
// of some hundred milliseconds on any engine; an engine that becomes slow for
// good; an engine that restarts on other hardware.
#ifndef DECIDE_ENGINE_SPEEDS_H_
#define DECIDE_ENGINE_SPEEDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/back_end_list.h"

namespace mimosa {

// Cumulative measurements of one stage of an engine.
struct SpeedSums {
  int64_t samples = 0;
  double log_sum = 0;  // of the logarithms of the measured times
};

struct EngineSpeedSums {
  int64_t incarnation = 0;
  SpeedSums prefill;  // milliseconds per prompt token
  SpeedSums decode;   // milliseconds per event
};
using EngineSpeedSumsByBackEnd = std::map<BackEndId, EngineSpeedSums>;

// Returns whether a daemon can have measured these sums.
bool IsPlausible(const EngineSpeedSums& sums);

// Speeds relative to the middle of the service; 2 is twice as fast.
struct EngineSpeed {
  int64_t incarnation = 0;
  double prefill = 1;
  double decode = 1;
  MonoTime measured_at{};
  // It has differed from the middle. Others need to know only such engines.
  bool was_unlike = false;
};
using EngineSpeedsByBackEnd = std::map<BackEndId, EngineSpeed>;

bool IsPlausible(const EngineSpeed& speed);

// What this daemon has measured.
class EngineSpeedMeter {
 public:
  // Ignores a prefill at an engine with other work, and one too short to be
  // told from the overhead of the call.
  void RecordPrefill(const BackEndEntry& engine, Tokens prompt,
                     Duration duration, bool otherwise_idle, MonoTime now);
  // `duration`: between the first and the last of `events` events of a run that
  // the reader did not slow down, beside `other_runs` at the engine.
  void RecordRun(const BackEndEntry& engine, int64_t events, Duration duration,
                 int other_runs, MonoTime now);
  // Returns at most `limit` of the sums that have changed lately; `turn`
  // selects which, if there are more.
  EngineSpeedSumsByBackEnd RecentSums(uint64_t turn, size_t limit,
                                      MonoTime now) const;

 private:
  struct Measured {
    EngineSpeedSums sums;
    MonoTime changed_at{};
  };
  EngineSpeedSums& SumsOf(const BackEndEntry& engine, MonoTime now);

  std::map<BackEndId, Measured> measured_;
};

// Estimates from the reports of all daemons.
class EngineSpeedEstimates {
 public:
  // The first sums of an engine from a daemon count as one or two measurements,
  // since an earlier aggregator may have counted the others.
  void AddReport(const std::string& daemon, uint64_t boot, uint64_t serial,
                 const EngineSpeedSumsByBackEnd& sums, MonoTime now);
  void RemoveReport(const std::string& daemon) { reports_.erase(daemon); }

  // A change of an engine between slower, alike and faster than the middle.
  struct ClassChange {
    BackEndId engine;
    const char* stage = "";
    const char* speed_class = "";
    double speed = 1;
  };
  // Returns the speeds of the listed engines that have been measured, and
  // appends the changes of class since the last call.
  EngineSpeedsByBackEnd Speeds(const BackEndList& list, MonoTime now,
                               std::vector<ClassChange>* changes);

 private:
  struct Estimate {
    int64_t samples = 0;
    double log_ms = 0;
    // -1: slower than the middle of the service; 0: alike; 1: faster.
    int speed_class = 0;
  };
  struct Engine {
    int64_t incarnation = 0;
    Estimate prefill;
    Estimate decode;
    MonoTime measured_at{};
  };
  struct Report {
    uint64_t boot = 0;
    uint64_t serial = 0;
    EngineSpeedSumsByBackEnd sums;
  };

  static bool AddSamples(const SpeedSums& sums, const SpeedSums& previous,
                         bool is_first, Estimate* estimate);
  static bool IsMeasured(const Estimate& estimate);
  static double MiddleOf(std::vector<double> values);
  // Returns the speed of `estimate` and updates its class.
  static double RelativeSpeed(double middle, bool is_prefill,
                              Estimate* estimate);

  std::map<std::string, Report> reports_;  // newest sums of each daemon
  std::map<BackEndId, Engine> engines_;
};

// The speeds that this daemon uses: the newest of each engine, wherever it came
// from. The order and repetition of merges don't matter.
class EngineSpeedView {
 public:
  void Merge(const BackEndId& engine, const EngineSpeed& speed);
  void RemoveExpired(MonoTime now);
  // Returns the entry if it describes this incarnation, else nullptr.
  const EngineSpeed* Find(const BackEndEntry& engine) const;
  const EngineSpeedsByBackEnd& speeds() const { return speeds_; }

 private:
  EngineSpeedsByBackEnd speeds_;
};

}  // namespace mimosa

#endif  // DECIDE_ENGINE_SPEEDS_H_
