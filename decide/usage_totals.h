// Adds up what the daemons of a fleet report to have admitted.
//
// Model: reports carry totals since a daemon's start, so that a lost one costs
// nothing but time. A daemon that starts again counts from zero: what its
// former start had reported stays in the sum. The first report of a daemon that
// has been running for long is a base only: it told another collector before,
// and its total would look like usage of this moment. A daemon that falls
// silent is taken to go on as before while the fleet counts it as a member: it
// may only be cut off from here. Readers work with differences of the sums.
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
  // Reports older than one already taken are passed over.
  void AddReport(const std::string& daemon, uint64_t boot, uint64_t serial,
                 const AdmittedByCustomer& admitted, MonoTime now);
  // The daemon is no member any more: nothing is assumed of it.
  void OnMemberGone(const std::string& daemon);

  // Summed over all starts of all daemons but the present one of `daemon`.
  AdmittedByCustomer SumExcept(const std::string& daemon, MonoTime now) const;

 private:
  struct Report {
    uint64_t boot = 0;
    uint64_t serial = 0;
    MonoTime received_at{};
    AdmittedByCustomer admitted;        // as reported last
    AdmittedByCustomer counted_in_sum;  // of it, what is in the sum
    AdmittedByCustomer weighted_rate;   // lately, times weight
    double rate_weight = 0;             // 1 once it has reported for long
    bool is_member = true;
  };

  std::map<std::string, Report> reports_;
  AdmittedByCustomer sum_;  // over all starts, the present ones included
};

// Differences between consecutive sums of one collector; below zero where what
// was assumed of a silent daemon has not come. A new collector's first sum says
// nothing: it is the next one's base.
class UsageDelta {
 public:
  // False if there is nothing to compare with.
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
