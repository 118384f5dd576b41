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
// What a customer may have is its rate times a window, plus its burst, in any
// such window. Within that its pace is bounded by a bucket that holds some
// seconds of its rate: a surge of a few seconds passes, a flood is slowed down
// before it has spent the whole window.
//
// Load pattern answered: one customer sending several times its rate through
// all daemons at once, with daemons cut off from each other, killed and added.
#ifndef DECIDE_ALLOTMENTS_H_
#define DECIDE_ALLOTMENTS_H_

#include <array>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

class Allotments {
 public:
  struct Options {
    // Length of the window in which rate and burst are counted.
    Duration window = std::chrono::seconds(8);
    // Rate that the pace's bucket holds, in seconds: as long as bursts of twice
    // the usual traffic last.
    double pace_depth_s = 3;
    // How much of the bucket a daemon may admit between two reports, if that is
    // more than its even share. Bounds what the whole fleet can overdraw before
    // it knows of it.
    double unreported_share = 0.5;
    // Half-life of the estimate of what the other daemons admit.
    Duration rate_half_life = std::chrono::milliseconds(1500);
    // The same for lasting silence.
    Duration slow_rate_half_life = std::chrono::seconds(6);
    // Of the rate: a customer that uses more of it is short of room.
    double busy_share = 0.8;
    // A daemon that hears nothing keeps at least this part of its even share.
    double least_share = 0.3;
    // Reports that are later than this are missing.
    Duration report_patience = std::chrono::milliseconds(1200);
  };

  explicit Allotments(const Options& options) : options_(options) {}

  // Takes the customers' rates from a configuration. The buckets of the first
  // one start as if half of the rate had been used, since nobody knows what was
  // admitted before this daemon's start; one that is new later is full; one
  // whose limits change keeps its level.
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
  // A window is counted in parts; the one under way comes on top, so that the
  // parts together are never shorter than the window.
  static constexpr int kParts = 32;
  static constexpr int kRing = kParts + 1;

  // Of what the others admit a second, from reports; 0 without any.
  struct Estimate {
    double value() const { return weight > 0 ? sum / weight : 0; }
    double sum = 0;
    double weight = 0;  // 1 once there were reports for long
  };

  struct Bucket {
    double rate = 0;  // a second
    double burst = 0;
    double level = 0;  // of the pace; it may be below zero
    MonoTime at{};     // as of when
    Estimate others_rate;
    Estimate others_slow_rate;
    Estimate own_slow_rate;
    double unreported = 0;  // admitted here since the last report
    double assumed = 0;     // charged for the others without a report
    // Admitted by all, by parts of the window.
    std::array<double, kRing> parts{};
    int64_t part = 0;  // number of the newest, since the clock's origin
  };

  void Refill(Bucket* bucket, MonoTime now);
  void Spread(Bucket* bucket, double cost, Duration passed) const;
  double OthersRate(const Bucket& bucket, MonoTime now) const;
  double PaceRate(const Bucket& bucket) const;
  double PaceDepth(const Bucket& bucket) const;
  // Moves the window on to `now`.
  void Slide(Bucket* bucket, MonoTime now) const;
  // What may still be admitted in the window that ends now.
  double LeftInWindow(const Bucket& bucket) const;
  double UnreportedLimit(const Bucket& bucket) const;

  const Options options_;
  int members_ = 1;
  bool configured_ = false;
  MonoTime reported_at_{};  // the epoch: no report yet
  std::map<CustomerId, Bucket> buckets_;
  std::map<CustomerId, double> admitted_;
};

}  // namespace mimosa

#endif  // DECIDE_ALLOTMENTS_H_
