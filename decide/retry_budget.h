// Limits the load that retries add to a service, over the whole fleet.
//
// Model: within any window the retries of the fleet to a service are limited to
// `ratio` times the callers' requests for it, plus a fixed slack. The first
// attempt of each request doesn't count. Each daemon earns the ratio from its
// own callers' requests and gets an equal share of the slack (see
// decide/even_share.h). This needs no communication, and the sum over the
// daemons stays within the limit whatever they know of each other. A part of
// the limit is left unused, since calls arrive later than they are charged.
//
// A process doesn't know what its predecessor has spent. Until that has left
// the window it uses a small part of what its requests earn and of its slack,
// which daemons leave unused otherwise.
//
// Load pattern covered: engines that reject or fail requests for seconds during
// a burst. Without a limit, the retries would keep them overloaded.
#ifndef DECIDE_RETRY_BUDGET_H_
#define DECIDE_RETRY_BUDGET_H_

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "decide/even_share.h"
#include "decide/site.h"

namespace mimosa {

class RetryBudget {
 public:
  struct Options {
    double ratio = 0.2;
    double slack = 50;  // retries of the whole fleet, per window
    Duration window = std::chrono::seconds(10);
    // Part of the limit that is used. The rest covers the time between charge
    // and arrival, and processes that have just started.
    double usable_share = 0.8;
    // Part that a process uses after its start. Two starts of all daemons
    // within one window stay within the limit.
    double starting_share = 0.1;
    // A fraction of a retry that is left is rounded up if it is at least this.
    // Drawn at random for each daemon, so that many daemons that each may use a
    // fraction use together what they may.
    double rounding = 1;
  };

  // Without `share`, the daemon has the whole slack. Otherwise `share` must
  // outlive the budget.
  explicit RetryBudget(const Options& options, const EvenShare* share = nullptr)
      : options_(options), share_(share) {}

  void SetOptions(const Options& options) { options_ = options; }
  // The process has started at that time, and may have a predecessor.
  void SetStart(MonoTime started_at) { started_at_ = started_at; }

  // Records that a caller's request for the service arrived.
  void RecordRequest(const ServiceId& service, MonoTime now);
  // A retry that was taken from the budget.
  struct Charge {
    int64_t bucket = 0;
  };
  // Takes one retry from the budget. Returns nullopt if none is left.
  std::optional<Charge> TryAcquireRetry(const ServiceId& service, MonoTime now);
  // Puts a retry back that was not sent.
  void Refund(const ServiceId& service, const Charge& charge);

  // The budget of a service in the window that ends now, for log lines and
  // status pages.
  struct State {
    double requests = 0;
    double retries = 0;
    double allowed = 0;  // retries
    double slack = 0;    // part of `allowed` that needs no requests
  };
  State GetState(const ServiceId& service, MonoTime now) const;
  // The services with requests or retries so far.
  std::vector<ServiceId> Services() const;

 private:
  // A window is counted in buckets. The retries in the current bucket and the
  // kBucketsPerWindow before it are an upper bound of those in the window that
  // ends now.
  static constexpr size_t kBucketsPerWindow = 10;
  struct Bucket {
    int64_t number = -1;  // counted from the clock's origin; -1: unused
    double requests = 0;
    double retries = 0;
  };
  using Buckets = std::array<Bucket, kBucketsPerWindow + 1>;

  Bucket* BucketAt(const ServiceId& service, int64_t number);
  int64_t BucketNumber(MonoTime now) const;

  bool MayHavePredecessor(MonoTime now) const;
  // Returns the part of the fleet's slack that this daemon may use.
  double SlackPart(MonoTime now) const;

  Options options_;
  const EvenShare* share_;  // May be null.
  std::optional<MonoTime> started_at_;
  std::map<ServiceId, Buckets> buckets_by_service_;
};

}  // namespace mimosa

#endif  // DECIDE_RETRY_BUDGET_H_
