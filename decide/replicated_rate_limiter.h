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
    // Length of the window in which rate and burst are counted.
    Duration window = std::chrono::seconds(8);
    // Rate that the pace's bucket holds, in seconds: as long as bursts of twice
    // the usual traffic last.
    double pacing_depth_s = 3;
    // How much of the bucket a daemon may admit between two reports, if that is
    // more than its even share. Bounds what the whole fleet can overdraw before
    // it knows of it.
    double max_unreported_share = 0.5;
    // Half-life of the estimate of what the other daemons admit.
    Duration rate_half_life = std::chrono::milliseconds(1500);
    // The same for lasting silence.
    Duration slow_rate_half_life = std::chrono::seconds(6);
    // Of the rate: a customer that uses more of it is short of room.
    double contention_threshold = 0.8;
    // A daemon that hears nothing keeps at least this part of its even share.
    double min_share_of_even_split = 0.3;
    // Reports that are later than this are missing.
    Duration report_timeout = std::chrono::milliseconds(1200);
  };

  explicit ReplicatedRateLimiter(const Options& options) : options_(options) {}

  // Takes the customers' rates from a configuration. The buckets of the first
  // one start as if half of the rate had been used, since nobody knows what was
  // admitted before this daemon's start; one that is new later is full; one
  // whose limits change keeps its level.
  void SetCustomers(const std::vector<SiteCustomer>& customers, MonoTime now);
  // Daemons that share the rates, this one included (at least 1).
  void SetMemberCount(int members) { member_count_ = members; }

  // Takes `cost` from the customer's bucket, or says how long it takes until
  // there is as much. Customers without a rate are never refused.
  bool TryAdmit(const CustomerId& customer, double cost, MonoTime now,
                Duration* wait);

  // Cost admitted here since the start, by customer: what reports carry.
  const std::map<CustomerId, double>& admitted() const { return admitted_; }

  // A report: what all other daemons admitted since the report before.
  void OnOthersAdmitted(const std::map<CustomerId, double>& costs,
                        MonoTime now);

  // Time since the last report of the others.
  Duration ReportAge(MonoTime now) const { return now - last_report_at_; }
  // For status pages; 0 if the customer has no rate.
  double BucketLevel(const CustomerId& customer, MonoTime now);

 private:
  // A window is counted in parts; the one under way comes on top, so that the
  // parts together are never shorter than the window.
  static constexpr int kWindowSlices = 32;
  static constexpr int kSliceRingSize = kWindowSlices + 1;

  // Of what the others admit a second, from reports; 0 without any.
  struct RateEstimate {
    double value() const { return weight > 0 ? sum / weight : 0; }
    double sum = 0;
    double weight = 0;  // 1 once there were reports for long
  };

  struct Bucket {
    double rate = 0;  // a second
    double burst = 0;
    double level = 0;       // of the pace; it may be below zero
    MonoTime updated_at{};  // as of when
    RateEstimate others_rate;
    RateEstimate others_slow_rate;
    RateEstimate own_slow_rate;
    double unreported = 0;         // admitted here since the last report
    double assumed_of_others = 0;  // charged for the others without a report
    // Admitted by all, by parts of the window.
    std::array<double, kSliceRingSize> slices{};
    int64_t newest_slice = 0;  // number of the newest, since the clock's origin
  };

  void AdvanceTo(Bucket* bucket, MonoTime now);
  void SpreadOverSlices(Bucket* bucket, double cost, Duration passed) const;
  double OthersRate(const Bucket& bucket, MonoTime now) const;
  double PacingRate(const Bucket& bucket) const;
  double PacingDepth(const Bucket& bucket) const;
  // Moves the window on to `now`.
  void AdvanceWindow(Bucket* bucket, MonoTime now) const;
  // What may still be admitted in the window that ends now.
  double RemainingInWindow(const Bucket& bucket) const;
  double UnreportedLimit(const Bucket& bucket) const;

  const Options options_;
  int member_count_ = 1;
  bool configured_ = false;
  MonoTime last_report_at_{};  // the epoch: no report yet
  std::map<CustomerId, Bucket> buckets_;
  std::map<CustomerId, double> admitted_;
};

}  // namespace mimosa

#endif  // DECIDE_REPLICATED_RATE_LIMITER_H_
