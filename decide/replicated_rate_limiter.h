// Rate limiting per customer over all daemons by replicated buckets, without an
// owner of any bucket.
//
// Model: every daemon keeps a replica of each customer's bucket. It charges the
// replica at once for what it admits itself, and on each report for what the
// other daemons have admitted. Between reports it charges an estimate of the
// others' usage, based on their recent rate, and the next report corrects the
// estimate. Between two reports a daemon admits at most a fraction of the
// bucket on its own, so that all daemons together can't spend the bucket many
// times over.
//
// A customer whose bucket is empty is contended. Reports of a large fleet are
// too old to start and stop all daemons by one level, so each daemon then has
// an allowance, which is refilled at its share of the rate as the collector
// told it. The shares of all daemons add up to at most the whole rate
// (decide/usage_totals.h).
//
// A daemon whose own reports are left unanswered, or which has just started, is
// isolated: it can't know what the others admit, and any number of daemons may
// be in the same position. It has an allowance as well, which starts with its
// share of what the bucket holds. Back in contact, it counts customers as
// contended at first, since other daemons may have come back as well; after its
// start, only those that it has refused.
//
// Shares of hundreds of daemons are smaller than single requests. A request
// that costs more than the allowance is therefore admitted with the probability
// that makes the expected cost right.
//
// In any window of the configured length, a customer may use its rate times the
// window plus its burst. Within that limit a second bucket paces the usage. It
// holds a few seconds of the rate: a surge of a few seconds passes, and a flood
// is slowed down before it has spent the whole window.
//
// Load pattern: one customer sends several times its rate through all daemons
// at once, while any part of them is partitioned from the others, killed,
// restarted and added.
#ifndef DECIDE_REPLICATED_RATE_LIMITER_H_
#define DECIDE_REPLICATED_RATE_LIMITER_H_

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/site.h"
#include "decide/usage_totals.h"

namespace mimosa {

class ReplicatedRateLimiter {
 public:
  struct Options {
    // Length of the window over which rate and burst are enforced.
    Duration window = std::chrono::seconds(8);
    // Depth of the pacing bucket, in seconds of the rate: as long as bursts of
    // twice the usual traffic last. It is reduced by the time in which the
    // fleet can overdraw the bucket before reports show the usage.
    double pacing_depth_s = 3;
    double min_pacing_depth_s = 1;
    // Maximum share of the pacing bucket that a daemon may admit between two
    // reports, unless its even share is larger. Bounds by how much the fleet
    // can overdraw the bucket before reports show the usage.
    double max_unreported_share = 0.5;
    // Half-life of the estimate of the other daemons' admitted rate.
    Duration rate_half_life = std::chrono::milliseconds(1500);
    // Contention ends when this share of the pacing bucket is filled and the
    // same share of the window is unused, or nothing was refused for a while.
    double contention_end_level = 0.5;
    Duration contention_quiet_time = std::chrono::seconds(3);
    // Overdraft of the window at which nothing more is admitted, in seconds of
    // the rate.
    double overdraft_depth_s = 2;
    // Part by which a full pacing bucket raises the rate that the daemons in
    // contact share.
    double level_gain = 0.5;
    // Most that the daemons may admit at once when they enter isolation, all
    // together, in seconds of the rate.
    double initial_allowance_s = 2;
    // A daemon whose oldest unanswered report is older is isolated.
    Duration report_timeout = std::chrono::milliseconds(1200);
  };

  ReplicatedRateLimiter(const Options& options, RandomSource* random)
      : options_(options), random_(random) {}

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

  // Sets the time between two reports of a daemon.
  void SetReportInterval(Duration interval) { report_interval_ = interval; }
  // This daemon reports its totals to the collector. Without an answer it is
  // isolated after a while.
  void OnReportSent(MonoTime now);
  // Applies a report: the cost that all other daemons admitted since the
  // previous report.
  void OnOthersAdmitted(const std::map<CustomerId, double>& costs,
                        MonoTime now);
  // Another collector has begun to report. What was estimated until now stays,
  // since its reports don't cover that time.
  void OnNewCollector(MonoTime now);
  // Sets the shares of the rates that this daemon may use in isolation, and of
  // those of contended customers at any time; an even split until then.
  void SetIsolatedShares(ShareByCustomer shares) {
    isolated_shares_ = std::move(shares);
  }

  // Sets the share of the members that this daemon's collector hears. The other
  // members may be in contact with each other, so only this share of a full
  // pacing bucket may be used.
  void SetHeardShare(double share) { heard_share_ = share; }

  // Cost admitted by the fleet in the window that ends now, by customer.
  // Returns nothing if this daemon has not been in contact for a whole window.
  std::map<CustomerId, double> UsedInWindow(MonoTime now);
  // Returns whether this daemon has received a report since its start.
  bool has_had_contact() const { return last_report_at_ != MonoTime{}; }
  // Returns whether this daemon has no contact and limits itself to its shares.
  bool IsIsolated(MonoTime now) const;
  // Returns whether this daemon can't know the cost admitted in the window,
  // since it has just started or was isolated.
  bool NeedsUsedInWindow(MonoTime now) const;
  // Sets the cost admitted by the fleet in the window that ends now; the next
  // report counts from here. Returns false if this daemon knows it already.
  bool SetUsedInWindow(const std::map<CustomerId, double>& used, MonoTime now);

  Duration window() const { return options_.window; }
  // Time since the last report of the others.
  Duration ReportAge(MonoTime now) const { return now - last_report_at_; }
  // The customers' rates per second, bursts included.
  std::map<CustomerId, double> PacingRates() const;
  // Level of the customer's pacing bucket, or this daemon's allowance if it has
  // one, for status pages; 0 if the customer has no rate.
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
    bool contended = false;
    MonoTime last_refusal_at{};
    // What this daemon may still admit on its own account; may be negative. Set
    // in isolation and in contention.
    std::optional<double> allowance;
    // A request is admitted if the allowance exceeds this share of its cost.
    double rounding = 0;
    // Times and costs of this daemon's admissions in isolation, of one window.
    std::deque<std::pair<MonoTime, double>> isolated_admissions;
    double unreported = 0;  // Admitted by this daemon since the last report.
    // Charged for the other daemons since the last report, by estimate.
    double assumed_of_others = 0;
    // Cost admitted by all daemons, by slice of the window.
    std::array<double, kSliceRingSize> slices{};
    // Index of the newest slice, counted from the clock's origin.
    int64_t newest_slice = 0;
  };

  void AdvanceTo(const CustomerId& customer, Bucket* bucket, MonoTime now);
  void SpreadOverSlices(Bucket* bucket, double cost, Duration elapsed) const;
  double OthersRate(const CustomerId& customer, const Bucket& bucket,
                    MonoTime now) const;
  double IsolatedShare(const CustomerId& customer) const;
  void UpdateAllowance(const CustomerId& customer, double seconds, MonoTime now,
                       Bucket* bucket);
  double InitialAllowance(const Bucket& bucket) const;
  bool HasContentionEnded(const Bucket& bucket, MonoTime now) const;
  double ContendedRate(const Bucket& bucket) const;
  double PacingRate(const Bucket& bucket) const;
  double PacingDepth(const Bucket& bucket) const;
  // Moves the window forward to `now`.
  void AdvanceWindow(Bucket* bucket, MonoTime now) const;
  void CorrectWindow(double cost, Bucket* bucket) const;
  // Cost admitted in the window that ends now.
  double UsedInWindow(const Bucket& bucket) const;
  // Cost that may be admitted in any window.
  double WindowLimit(const Bucket& bucket) const;
  // Cost that may still be admitted in the window that ends now.
  double RemainingInWindow(const Bucket& bucket) const;
  double RemainingInIsolation(const CustomerId& customer, MonoTime now,
                              Bucket* bucket) const;
  double UnreportedLimit(const Bucket& bucket) const;

  const Options options_;
  RandomSource* const random_;
  int member_count_ = 1;
  bool configured_ = false;
  ShareByCustomer isolated_shares_;
  double heard_share_ = 1;
  Duration report_interval_{};
  // When the oldest unanswered report was sent, if there is one.
  std::optional<MonoTime> unanswered_since_;
  // Since when all usage of the fleet is known: the start of the contact, or
  // a window before it if the collector told the usage in the window.
  std::optional<MonoTime> in_contact_since_;
  MonoTime last_report_at_{};  // Zero before the first report.
  std::map<CustomerId, Bucket> buckets_;
  std::map<CustomerId, double> admitted_;
};

}  // namespace mimosa

#endif  // DECIDE_REPLICATED_RATE_LIMITER_H_
