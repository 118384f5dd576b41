// Customers' rates over the whole fleet, without a home for any of them.
//
// Model: every daemon keeps a replica of each customer's bucket. It charges it
// with what it admits itself at once, and with what the other daemons have
// admitted when it is told. Between reports it charges what the others were
// admitting before, and corrects that by the next one, so that daemons that
// lost each other share a rate as they did. Between two reports a daemon admits
// at most a part of the bucket on its own, so that all of them together can't
// spend it many times over.
//
// Load pattern answered: one customer sending several times its rate through
// all daemons at once, with daemons cut off from each other, killed and added.
#ifndef DECIDE_ALLOTMENTS_H_
#define DECIDE_ALLOTMENTS_H_

#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

class Allotments {
 public:
  struct Options {
    // How much of the bucket a daemon may admit between two reports, if that is
    // more than its even share. Bounds what the whole fleet can overdraw before
    // it knows of it.
    double unreported_share = 0.5;
    // Half-life of the estimate of what the other daemons admit.
    Duration rate_half_life = std::chrono::milliseconds(1500);
  };

  explicit Allotments(const Options& options) : options_(options) {}

  // Takes the customers' rates from a configuration. A bucket that is new is
  // full; one whose limits change keeps its level.
  void SetCustomers(const std::vector<SiteCustomer>& customers, MonoTime now);
  // Daemons that share the rates, this one included (at least 1).
  void SetMembers(int members) { members_ = members; }

  // Takes `cost` from the customer's bucket, or says how long it takes until
  // there is as much. Customers without a rate are never refused.
  bool Take(const CustomerId& customer, double cost, MonoTime now,
            Duration* wait);

  // Cost admitted here since the start, by customer: what reports carry.
  const std::map<CustomerId, double>& admitted() const { return admitted_; }

  // A report: what all other daemons admitted since the report before.
  void OthersAdmitted(const std::map<CustomerId, double>& costs, MonoTime now);

  // Time since the last report of the others.
  Duration ReportAge(MonoTime now) const { return now - reported_at_; }
  // For status pages; 0 if the customer has no rate.
  double LevelOf(const CustomerId& customer, MonoTime now);

 private:
  struct Bucket {
    double rate = 0;   // a second
    double burst = 0;  // the level is at most this; it may be below zero
    double level = 0;
    MonoTime at{};           // as of when
    double others_rate = 0;  // a second; estimate
    double unreported = 0;   // admitted here since the last report
    double assumed = 0;      // charged for the others without a report
  };

  void Refill(Bucket* bucket, MonoTime now);
  double UnreportedLimit(const Bucket& bucket) const;

  const Options options_;
  int members_ = 1;
  MonoTime reported_at_{};  // the epoch: no report yet
  std::map<CustomerId, Bucket> buckets_;
  std::map<CustomerId, double> admitted_;
};

}  // namespace mimosa

#endif  // DECIDE_ALLOTMENTS_H_
