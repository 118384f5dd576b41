// Bounds what repeats add to a service's load, over the whole fleet.
//
// Model: within any window the fleet may send a service `ratio` times the
// callers' requests for it, plus a fixed slack, beyond the first arrival of
// each request. Every daemon earns the ratio from its own callers' requests and
// has an equal share of the slack: no message is needed, and the sum over the
// daemons stays within the bound whatever they know of each other. A share of
// the bound is left free for members that come and go within one window.
//
// Load pattern answered: engines that reject or fail for seconds under a burst;
// without a bound the repeats would keep them overloaded.
#ifndef DECIDE_RETRY_BUDGET_H_
#define DECIDE_RETRY_BUDGET_H_

#include <array>
#include <map>

#include "base/clock.h"
#include "decide/site.h"

namespace mimosa {

class RetryBudget {
 public:
  struct Options {
    double ratio = 0.2;
    double slack = 50;  // of the fleet, in each window
    Duration window = std::chrono::seconds(10);
    // Left unused for daemons that are replaced within a window.
    double usable_share = 0.8;
  };

  explicit RetryBudget(const Options& options) : options_(options) {}

  void SetOptions(const Options& options) { options_ = options; }
  // Daemons that share the slack, this one included (at least 1).
  void SetMemberCount(int members) { member_count_ = members; }

  // A caller's request for the service has come.
  void RecordRequest(const ServiceId& service, MonoTime now);
  // Takes one repeat from the budget; false if none is left.
  bool TryAcquireRetry(const ServiceId& service, MonoTime now);

 private:
  // A window is counted in parts; the part under way and those before it that
  // make up a whole window bound it from above.
  static constexpr size_t kBucketsPerWindow = 10;
  struct Bucket {
    int64_t number = -1;  // since the clock's origin; -1: never used
    double requests = 0;
    double retries = 0;
  };
  using Buckets = std::array<Bucket, kBucketsPerWindow + 1>;

  Bucket* BucketAt(const ServiceId& service, MonoTime now);
  int64_t BucketNumber(MonoTime now) const;

  Options options_;
  int member_count_ = 1;
  std::map<ServiceId, Buckets> buckets_by_service_;
};

}  // namespace mimosa

#endif  // DECIDE_RETRY_BUDGET_H_
