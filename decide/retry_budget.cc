// Counts requests and retries in buckets of a sliding window.
#include "decide/retry_budget.h"

namespace mimosa {

int64_t RetryBudget::BucketNumber(MonoTime now) const {
  return now.time_since_epoch() / (options_.window / kBucketsPerWindow);
}

RetryBudget::Bucket* RetryBudget::BucketAt(const ServiceId& service,
                                           int64_t number) {
  Buckets& buckets = buckets_by_service_[service];
  Bucket& bucket = buckets[static_cast<size_t>(number) % buckets.size()];
  if (bucket.number != number) {
    bucket = Bucket{};
    bucket.number = number;
  }
  return &bucket;
}

void RetryBudget::RecordRequest(const ServiceId& service, MonoTime now) {
  BucketAt(service, BucketNumber(now))->requests += 1;
}

bool RetryBudget::MayHavePredecessor(MonoTime now) const {
  constexpr int kBuckets = static_cast<int>(kBucketsPerWindow);
  return started_at_ &&
         now < *started_at_ + options_.window + options_.window / kBuckets;
}

double RetryBudget::SlackPart(MonoTime now) const {
  const EvenShare::Standing standing = share_ == nullptr
                                           ? EvenShare::Standing::kEstablished
                                           : share_->GetStanding(now);
  const bool is_established =
      standing == EvenShare::Standing::kEstablished && !MayHavePredecessor(now);
  return (is_established ? options_.usable_share : options_.starting_share) *
         (share_ == nullptr ? 1 : share_->Get(now));
}

RetryBudget::State RetryBudget::GetState(const ServiceId& service,
                                         MonoTime now) const {
  const int64_t oldest =
      BucketNumber(now) - static_cast<int64_t>(kBucketsPerWindow);
  State state;
  const auto found = buckets_by_service_.find(service);
  if (found != buckets_by_service_.end()) {
    for (const Bucket& bucket : found->second) {
      if (bucket.number < oldest) continue;
      state.retries += bucket.retries;
      if (bucket.number > oldest) state.requests += bucket.requests;
    }
  }
  state.slack = SlackPart(now) * options_.slack;
  state.allowed = (MayHavePredecessor(now) ? options_.starting_share
                                           : options_.usable_share) *
                      options_.ratio * state.requests +
                  state.slack;
  return state;
}

std::vector<ServiceId> RetryBudget::Services() const {
  std::vector<ServiceId> services;
  for (const auto& [service, buckets] : buckets_by_service_)
    services.push_back(service);
  return services;
}

std::optional<RetryBudget::Charge> RetryBudget::TryAcquireRetry(
    const ServiceId& service, MonoTime now) {
  const State state = GetState(service, now);
  if (state.retries + options_.rounding > state.allowed) return std::nullopt;
  const int64_t number = BucketNumber(now);
  BucketAt(service, number)->retries += 1;
  return Charge{number};
}

void RetryBudget::Refund(const ServiceId& service, const Charge& charge) {
  Buckets& buckets = buckets_by_service_[service];
  Bucket& bucket = buckets[static_cast<size_t>(charge.bucket) % buckets.size()];
  if (bucket.number == charge.bucket) bucket.retries -= 1;
}

}  // namespace mimosa
