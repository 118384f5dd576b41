// Sums up the admitted cost that the daemons of a fleet report.
//
// Model: reports carry totals since a daemon's start, so that a lost report
// only delays the sum. A restarted daemon counts from zero; what it reported
// before its restart stays in the sum. The first report of a daemon that has
// been running for long only sets a baseline: the daemon reported to another
// collector before, and its total would look like current usage.
//
// A silent member may only be cut off from this collector and still serve. Each
// daemon therefore has a share of every rate that it may use in isolation. The
// shares add up to at most the whole rate. One part of the rate is split by the
// daemons' recent usage, the other evenly, since callers move. The collector
// tells every daemon its share, and assumes that a silent member uses all of it
// until it reports again or is no longer a member. Members that never reported
// to this collector count with an even share.
//
// Readers use the differences between the sums.
//
// Load pattern covered: one customer sends several times its rate while a large
// part of the fleet is cut off, alone or in groups that have their own
// collectors, or has just been restarted.
#ifndef DECIDE_USAGE_TOTALS_H_
#define DECIDE_USAGE_TOTALS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

using AdmittedByCustomer = std::map<CustomerId, double>;
// Shares of the customers' rates, each from 0 to 1.
using ShareByCustomer = std::map<CustomerId, double>;

class UsageTotals {
 public:
  struct Options {
    // Length of the window in which usage is limited. What a silent daemon was
    // assumed to use before it can't be corrected any more.
    Duration window = std::chrono::seconds(8);
  };

  explicit UsageTotals(const Options& options) : options_(options) {}

  // Adds a report. Ignores reports that are older than the last one.
  void AddReport(const std::string& daemon, uint64_t boot, uint64_t serial,
                 const AdmittedByCustomer& admitted, MonoTime now);
  // Sets the names of all members, this daemon included.
  void SetMembers(const std::vector<std::string>& names, MonoTime now);
  // The daemon is no longer a member, so no further usage is assumed for it.
  void OnMemberGone(const std::string& daemon);
  // Sets the rates per second of the customers that have one. For other
  // customers a silent daemon is assumed to go on at its previous rate.
  void SetRates(AdmittedByCustomer rates);

  // The sum over all starts of all daemons, without the current start of
  // `daemon`.
  AdmittedByCustomer SumExcept(const std::string& daemon, MonoTime now);
  // The shares of the customers' rates that `daemon` may use in isolation, and
  // of those of contended customers at any time.
  ShareByCustomer IsolatedShares(const std::string& daemon) const;
  // Returns whether any daemon but `daemon` has reported and isn't silent.
  bool HearsOthers(const std::string& daemon, MonoTime now);
  // The share of the members that have reported and aren't silent.
  double HeardShare(MonoTime now);

 private:
  // Usage of silent daemons as a function of time: per_second * now - offset.
  struct AssumedUsage {
    double per_second = 0;
    double offset = 0;
  };
  using AssumedByCustomer = std::map<CustomerId, AssumedUsage>;

  struct Report {
    uint64_t boot = 0;
    uint64_t serial = 0;
    // Time of the last report; for a member that has not reported, when this
    // daemon began to expect one.
    MonoTime received_at{};
    AdmittedByCustomer admitted;  // As last reported.
    // The part of `admitted` that sum_ includes.
    AdmittedByCustomer counted_in_sum;
    // Recent rate per second, times rate_weight.
    AdmittedByCustomer weighted_rate;
    double rate_weight = 0;  // Approaches 1 as reports come in.
    // Shares as of the last report, of the customers that the daemon served.
    ShareByCustomer shares;
    // Has reported since this daemon became the collector. A daemon that has
    // not counts as silent.
    bool heard = false;
    bool is_member = true;
    bool silent = false;
    AssumedByCustomer assumed;  // While silent.
  };

  void ExpectReportsFrom(MonoTime now);
  // Recent rates of the daemon per second.
  static AdmittedByCustomer RecentRates(const Report& report);
  // Returns the usage that is assumed for a member while it is silent.
  AssumedByCustomer AssumedFor(const Report& report) const;
  void StartSilence(Report* report);
  // Removes what is assumed for a silent member.
  void EndSilence(Report* report);
  // Counts daemons as silent whose reports are overdue.
  void DetectSilence(MonoTime now);
  // Computes anew what is assumed, after a change of rates or members.
  void RefreshAssumed();
  double ShareOf(const Report* report, const CustomerId& customer) const;
  double EvenShare() const;

  void ReplaceAssumed(const AssumedByCustomer& assumed, Duration silence,
                      AdmittedByCustomer* counted) const;

  const Options options_;
  std::map<std::string, Report> reports_;
  // The daemons that aren't silent, the oldest report first.
  std::set<std::pair<MonoTime, std::string>> by_received_at_;
  // Sum over the silent members, updated as they come and go, so that a report
  // costs the same in a fleet of any size.
  AssumedByCustomer assumed_;
  int silent_count_ = 0;      // Silent members.
  AdmittedByCustomer sum_;    // Over all starts, the current ones included.
  AdmittedByCustomer rates_;  // Of the customers that have a rate.
  // Sum of the daemons' recent rates, as of each one's last report.
  AdmittedByCustomer total_rate_;
  int member_count_ = 1;
  int unheard_count_ = 0;      // Members that have not reported.
  MonoTime last_report_at_{};  // Of any daemon.
};

// Differences between consecutive sums of one collector. A difference is
// negative where a silent daemon admitted less than was assumed. The first sum
// of a new collector only sets the baseline for the next one.
class UsageDelta {
 public:
  // Returns whether the last sum came from this start of the collector.
  bool IsFrom(const std::string& collector, uint64_t boot) const {
    return collector == collector_ && boot == boot_;
  }
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
