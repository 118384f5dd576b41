// Counting of requests and repeats by parts of a window.
#include "decide/retry_budget.h"

#include <algorithm>

namespace mimosa {

int64_t RetryBudget::BucketNumber(MonoTime now) const {
  return now.time_since_epoch() / (options_.window / kBucketsPerWindow);
}

RetryBudget::Bucket* RetryBudget::BucketAt(const ServiceId& service,
                                           MonoTime now) {
  const int64_t number = BucketNumber(now);
  Buckets& parts = buckets_by_service_[service];
  Bucket& part = parts[static_cast<size_t>(number) % parts.size()];
  if (part.number != number) {
    part = Bucket{};
    part.number = number;
  }
  return &part;
}

void RetryBudget::RecordRequest(const ServiceId& service, MonoTime now) {
  BucketAt(service, now)->requests += 1;
}

bool RetryBudget::TryAcquireRetry(const ServiceId& service, MonoTime now) {
  Bucket* const current = BucketAt(service, now);
  const int64_t oldest =
      current->number - static_cast<int64_t>(kBucketsPerWindow);
  double requests = 0;
  double repeats = 0;
  for (const Bucket& part : buckets_by_service_[service]) {
    if (part.number < oldest) continue;
    repeats += part.retries;
    if (part.number > oldest) requests += part.requests;
  }
  const double allowed =
      options_.usable_share *
      (options_.ratio * requests + options_.slack / std::max(1, member_count_));
  if (repeats + 1 > allowed) return false;
  current->retries += 1;
  return true;
}

}  // namespace mimosa
