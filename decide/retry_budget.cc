// Counts requests and retries in buckets of a sliding window.
#include "decide/retry_budget.h"

#include <algorithm>

namespace mimosa {

int64_t RetryBudget::BucketNumber(MonoTime now) const {
  return now.time_since_epoch() / (options_.window / kBucketsPerWindow);
}

RetryBudget::Bucket* RetryBudget::BucketAt(const ServiceId& service,
                                           MonoTime now) {
  const int64_t number = BucketNumber(now);
  Buckets& buckets = buckets_by_service_[service];
  Bucket& bucket = buckets[static_cast<size_t>(number) % buckets.size()];
  if (bucket.number != number) {
    bucket = Bucket{};
    bucket.number = number;
  }
  return &bucket;
}

void RetryBudget::RecordRequest(const ServiceId& service, MonoTime now) {
  BucketAt(service, now)->requests += 1;
}

bool RetryBudget::TryAcquireRetry(const ServiceId& service, MonoTime now) {
  Bucket* const current = BucketAt(service, now);
  const int64_t oldest =
      current->number - static_cast<int64_t>(kBucketsPerWindow);
  double requests = 0;
  double retries = 0;
  for (const Bucket& bucket : buckets_by_service_[service]) {
    if (bucket.number < oldest) continue;
    retries += bucket.retries;
    if (bucket.number > oldest) requests += bucket.requests;
  }
  const double allowed =
      options_.usable_share *
      (options_.ratio * requests + options_.slack / std::max(1, member_count_));
  if (retries + 1 > allowed) return false;
  current->retries += 1;
  return true;
}

}  // namespace mimosa
