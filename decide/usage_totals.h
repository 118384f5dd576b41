// Sums up the admitted cost that the daemons of a fleet report.
//
// Model: reports carry totals since a daemon's start, so that a lost report
// only delays the sum. A restarted daemon counts from zero; what it reported
// before its restart stays in the sum. The first report of a daemon that has
// been running for long only sets a baseline: the daemon reported to another
// collector before, and its total would look like current usage. A silent
// daemon is assumed to go on at its previous rate while the fleet counts it as
// a member, because it may only be cut off from this collector. Readers use the
// differences between the sums.
#ifndef DECIDE_USAGE_TOTALS_H_
#define DECIDE_USAGE_TOTALS_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

using AdmittedByCustomer = std::map<CustomerId, double>;

class UsageTotals {
 public:
  // Adds a report. Ignores reports that are older than the last one.
  void AddReport(const std::string& daemon, uint64_t boot, uint64_t serial,
                 const AdmittedByCustomer& admitted, MonoTime now);
  // The daemon is no longer a member, so no further usage is assumed for it.
  void OnMemberGone(const std::string& daemon);

  // The sum over all starts of all daemons, without the current start of
  // `daemon`.
  AdmittedByCustomer SumExcept(const std::string& daemon, MonoTime now) const;

 private:
  struct Report {
    uint64_t boot = 0;
    uint64_t serial = 0;
    MonoTime received_at{};
    AdmittedByCustomer admitted;  // As last reported.
    // The part of `admitted` that sum_ includes.
    AdmittedByCustomer counted_in_sum;
    // Recent rate per second, times rate_weight.
    AdmittedByCustomer weighted_rate;
    double rate_weight = 0;  // Approaches 1 as reports come in.
    bool is_member = true;
  };

  std::map<std::string, Report> reports_;
  AdmittedByCustomer sum_;  // Over all starts, the current ones included.
};

// Differences between consecutive sums of one collector. A difference is
// negative where a silent daemon admitted less than was assumed. The first sum
// of a new collector only sets the baseline for the next one.
class UsageDelta {
 public:
  // Returns false if there is nothing to compare with.
  bool NextDelta(const std::string& collector, uint64_t boot, uint64_t serial,
                 const AdmittedByCustomer& sum, AdmittedByCustomer* difference);

 private:
  std::string collector_;
  uint64_t boot_ = 0;
  uint64_t serial_ = 0;
  AdmittedByCustomer last_sum_;
};

}  // namespace mimosa

#endif  // DECIDE_USAGE_TOTALS_H_
