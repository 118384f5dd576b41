// Measures what requests cost at the two stages of a model service, to
// determine the share of engines that each stage needs
// (decide/role_balancer.h).
//
// Model: the sums are cumulative since the start, so readers use differences
// and a lost report has no effect. A prefill counts as the time that its prompt
// takes on an otherwise idle engine, measured only on such engines: a queue
// shows how late prefills are, not how much work there is. A run counts as the
// KV memory that it occupied multiplied by its duration.
#ifndef DECIDE_STAGE_METER_H_
#define DECIDE_STAGE_METER_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/engine_speeds.h"
#include "decide/site.h"

namespace mimosa {

struct StageSums {
  double prefills = 0;
  double prefill_s = 0;  // engine time in seconds
  double runs = 0;
  double run_token_s = 0;  // tokens of KV memory times seconds

  StageSums& operator+=(const StageSums& other);
  friend StageSums operator-(StageSums a, const StageSums& b);
  // Scales all sums by `factor`, to decay them.
  StageSums& operator*=(double factor);
};

using StageSumsByService = std::map<ServiceId, StageSums>;

// Sums the reports of the other daemons. The first report of a daemon since it
// started, or since it was removed, only sets the baseline for the next one. A
// report older than the last one is ignored.
class StageTotals {
 public:
  void AddReport(const std::string& daemon, uint64_t boot, uint64_t serial,
                 StageSumsByService sums);
  void RemoveReport(const std::string& daemon) { reports_.erase(daemon); }

  const StageSumsByService& sums() const { return sums_; }

 private:
  struct Report {
    uint64_t boot = 0;
    uint64_t serial = 0;
    StageSumsByService sums;
  };

  std::map<std::string, Report> reports_;  // newest report of each daemon
  StageSumsByService sums_;
};

class StageMeter {
 public:
  // `otherwise_idle`: the engine was otherwise idle, as far as is known.
  void RecordPrefill(const ServiceId& service, Tokens prompt, Duration duration,
                     bool otherwise_idle);
  // Records a run that completed.
  void RecordRun(const ServiceId& service, Tokens memory, Duration duration);

  const StageSumsByService& sums() const { return sums_; }
  EngineSpeedMeter& engine_speeds() { return engine_speeds_; }
  const EngineSpeedMeter& engine_speeds() const { return engine_speeds_; }
  // Returns the expected time of a prefill on an otherwise idle engine.
  Duration PrefillTime(const ServiceId& service, Tokens prompt) const;

 private:
  // Mean speed of otherwise idle engines.
  struct Speed {
    double seconds_per_token = 0;
    int samples = 0;
  };

  StageSumsByService sums_;
  EngineSpeedMeter engine_speeds_;
  std::map<ServiceId, Speed> speeds_;
};

}  // namespace mimosa

#endif  // DECIDE_STAGE_METER_H_
