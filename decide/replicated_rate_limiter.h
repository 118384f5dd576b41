// Rate limiting per customer over all daemons by replicated buckets, without an
// owner of any bucket.
//
// Model: every daemon keeps a replica of each customer's bucket. It charges the
// replica at once for what it admits itself, and on each report for what the
// other daemons have admitted. Between reports it charges an estimate of the
// others' usage, based on their recent rate, and the next report corrects the
// estimate. Daemons that lose contact therefore keep sharing a rate as they did
// before. Between two reports a daemon admits at most a fraction of the bucket
// on its own, so that all daemons together can't spend the bucket many times
// over.
//
// In any window of the configured length, a customer may use its rate times the
// window plus its burst. Within that limit a second bucket paces the usage. It
// holds a few seconds of the rate: a surge of a few seconds passes, and a flood
// is slowed down before it has spent the whole window.
//
// Load pattern: one customer sends several times its rate through all daemons
// at once, while daemons are partitioned from each other, killed and added.
#ifndef DECIDE_REPLICATED_RATE_LIMITER_H_
#define DECIDE_REPLICATED_RATE_LIMITER_H_

#include <array>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

class ReplicatedRateLimiter {
 public:
  struct Options {
    // Length of the window over which rate and burst are enforced.
    Duration window = std::chrono::seconds(8);
    // Depth of the pacing bucket, in seconds of the rate: as long as bursts of
    // twice the usual traffic last.
    double pacing_depth_s = 3;
    // Maximum share of the pacing bucket that a daemon may admit between two
    // reports, unless its even share is larger. Bounds by how much the fleet
    // can overdraw the bucket before reports show the usage.
    double max_unreported_share = 0.5;
    // Half-life of the estimate of the other daemons' admitted rate.
    Duration rate_half_life = std::chrono::milliseconds(1500);
    // Half-life of the estimates that are used when reports are overdue.
    Duration slow_rate_half_life = std::chrono::seconds(6);
    // Share of the pacing rate. A customer with less total usage leaves room
    // for all daemons when reports are overdue.
    double contention_threshold = 0.8;
    // Without reports a daemon keeps at least this share of its even split of
    // the rate.
    double min_share_of_even_split = 0.3;
    // Without a report for longer than this, reports are treated as overdue.
    Duration report_timeout = std::chrono::milliseconds(1200);
  };

  explicit ReplicatedRateLimiter(const Options& options) : options_(options) {}

  // Sets the customers' rates from a configuration. Buckets of the first
  // configuration start as if half of the rate had been used, because usage
  // before this daemon's start is unknown. Buckets of customers that are added
  // later start full. A customer whose limits change keeps its level.
  void SetCustomers(const std::vector<SiteCustomer>& customers, MonoTime now);
  // Sets the number of daemons that share the rates, this one included (at
  // least 1).
  void SetMemberCount(int member_count) { member_count_ = member_count; }

  // Takes `cost` from the customer's bucket and returns true. If the bucket has
  // too little, returns false and sets `*wait` to the estimated time until it
  // has enough. Never refuses customers without a rate.
  bool TryAdmit(const CustomerId& customer, double cost, MonoTime now,
                Duration* wait);

  // Cost admitted by this daemon since its start, by customer. Reports to the
  // collector carry these totals.
  const std::map<CustomerId, double>& admitted() const { return admitted_; }

  // Applies a report: the cost that all other daemons admitted since the
  // previous report.
  void OnOthersAdmitted(const std::map<CustomerId, double>& costs,
                        MonoTime now);

  // Time since the last report of the others.
  Duration ReportAge(MonoTime now) const { return now - last_report_at_; }
  // Level of the customer's pacing bucket, for status pages; 0 if the customer
  // has no rate.
  double BucketLevel(const CustomerId& customer, MonoTime now);

 private:
  // Number of slices in a window. The ring also holds the current, partial
  // slice, so that the counted time is never shorter than the window.
  static constexpr int kWindowSlices = 32;
  static constexpr int kSliceRingSize = kWindowSlices + 1;

  // Decaying average of a rate per second, updated by reports; 0 before the
  // first one.
  struct RateEstimate {
    double value() const { return weight > 0 ? sum / weight : 0; }
    double sum = 0;
    double weight = 0;  // Approaches 1 as reports come in.
  };

  struct Bucket {
    double rate = 0;  // Per second.
    double burst = 0;
    double level = 0;       // Of the pacing bucket; may be negative.
    MonoTime updated_at{};  // Time for which `level` is valid.
    RateEstimate others_rate;
    RateEstimate others_slow_rate;
    RateEstimate own_slow_rate;
    double unreported = 0;  // Admitted by this daemon since the last report.
    // Charged for the other daemons since the last report, by estimate.
    double assumed_of_others = 0;
    // Cost admitted by all daemons, by slice of the window.
    std::array<double, kSliceRingSize> slices{};
    // Index of the newest slice, counted from the clock's origin.
    int64_t newest_slice = 0;
  };

  void AdvanceTo(Bucket* bucket, MonoTime now);
  void SpreadOverSlices(Bucket* bucket, double cost, Duration elapsed) const;
  double OthersRate(const Bucket& bucket, MonoTime now) const;
  double PacingRate(const Bucket& bucket) const;
  double PacingDepth(const Bucket& bucket) const;
  // Moves the window forward to `now`.
  void AdvanceWindow(Bucket* bucket, MonoTime now) const;
  // Cost that may still be admitted in the window that ends now.
  double RemainingInWindow(const Bucket& bucket) const;
  double UnreportedLimit(const Bucket& bucket) const;

  const Options options_;
  int member_count_ = 1;
  bool configured_ = false;
  MonoTime last_report_at_{};  // Zero before the first report.
  std::map<CustomerId, Bucket> buckets_;
  std::map<CustomerId, double> admitted_;
};

}  // namespace mimosa

#endif  // DECIDE_REPLICATED_RATE_LIMITER_H_
