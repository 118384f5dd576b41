// Measures what requests cost at the two stages of a model service, for the
// share of engines that each stage needs (decide/role_balancer.h).
//
// Model: sums since the start, so that readers work with differences and a lost
// report costs nothing. A prefill counts as the time that its prompt takes an
// engine that has nothing else to do, measured on such engines only: a queue
// says how late prefills are, not how much there is to read. A run counts with
// the KV memory that it took, times its length.
#ifndef DECIDE_STAGE_METER_H_
#define DECIDE_STAGE_METER_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

struct StageSums {
  double prefills = 0;
  double prefill_s = 0;  // engine time
  double runs = 0;
  double run_token_s = 0;  // tokens of KV memory times seconds

  StageSums& operator+=(const StageSums& other);
  friend StageSums operator-(StageSums a, const StageSums& b);
  // Fades all by the same factor.
  StageSums& operator*=(double factor);
};

using StageSumsByService = std::map<ServiceId, StageSums>;

// Adds up what other daemons report. A daemon's first report since its start,
// or since it was forgotten, is only the next one's base; one older than the
// last is passed over.
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

  std::map<std::string, Report> reports_;  // the newest of each
  StageSumsByService sums_;
};

class StageMeter {
 public:
  // `alone`: the engine had nothing else to do, as far as is known.
  void RecordPrefill(const ServiceId& service, Tokens prompt, Duration took,
                     bool alone);
  // A run that came to its end.
  void RecordRun(const ServiceId& service, Tokens memory, Duration took);

  const StageSumsByService& sums() const { return sums_; }
  // What a prefill takes an engine that has nothing else to do.
  Duration PrefillTime(const ServiceId& service, Tokens prompt) const;

 private:
  // Of an engine that has nothing else to do.
  struct Speed {
    double seconds_per_token = 0;
    int samples = 0;
  };

  StageSumsByService sums_;
  std::map<ServiceId, Speed> speeds_;
};

}  // namespace mimosa

#endif  // DECIDE_STAGE_METER_H_
