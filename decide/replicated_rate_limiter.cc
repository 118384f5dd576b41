// Implementation of the replicated buckets.
#include "decide/replicated_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace mimosa {

void ReplicatedRateLimiter::SetCustomers(
    const std::vector<SiteCustomer>& customers, MonoTime now) {
  std::set<CustomerId> limited_customers;
  for (const SiteCustomer& customer : customers) {
    if (customer.rate_per_second <= 0) continue;
    limited_customers.insert(customer.id);
    const auto [it, is_new] = buckets_.try_emplace(customer.id);
    Bucket& bucket = it->second;
    if (!is_new) AdvanceTo(&bucket, now);
    bucket.rate = customer.rate_per_second;
    bucket.burst = customer.burst;
    bucket.updated_at = now;
    if (is_new && configured_) bucket.level = PacingDepth(bucket);
    if (is_new && !configured_) {
      bucket.level = customer.burst / 2;
      AdvanceWindow(&bucket, now);
      bucket.slices.fill(bucket.rate / 2 * ToSeconds(options_.window) /
                         kWindowSlices);
    }
    bucket.level = std::min(bucket.level, PacingDepth(bucket));
  }
  configured_ = true;
  for (auto it = buckets_.begin(); it != buckets_.end();)
    it = limited_customers.count(it->first) == 0 ? buckets_.erase(it)
                                                 : std::next(it);
}

void ReplicatedRateLimiter::AdvanceTo(Bucket* bucket, MonoTime now) {
  const Duration elapsed = now - bucket->updated_at;
  const double seconds = ToSeconds(elapsed);
  AdvanceWindow(bucket, now);
  bucket->level += PacingRate(*bucket) * seconds;
  if (member_count_ > 1) {
    const double assumed = OthersRate(*bucket, now) * seconds;
    bucket->level -= assumed;
    bucket->assumed_of_others += assumed;
    SpreadOverSlices(bucket, assumed, elapsed);
  }
  bucket->level = std::min(bucket->level, PacingDepth(*bucket));
  bucket->updated_at = now;
}

// Adds `cost` evenly to the slices of the last `elapsed`. Drops the part that
// lies before the window.
void ReplicatedRateLimiter::SpreadOverSlices(Bucket* bucket, double cost,
                                             Duration elapsed) const {
  const int64_t count = elapsed / (options_.window / kWindowSlices) + 1;
  for (int64_t i = 0; i < std::min<int64_t>(count, kSliceRingSize); ++i)
    bucket->slices[static_cast<size_t>((bucket->newest_slice - i) %
                                       kSliceRingSize)] +=
        cost / static_cast<double>(count);
}

// Estimates the rate that the other daemons admit. While reports are overdue,
// the others are assumed to go on as before if the rate had room for all. If it
// had not, this daemon keeps the share of the rate that it had before.
// Subtracting the others' estimated rate instead would repeat an error of that
// estimate once for each daemon that is cut off.
double ReplicatedRateLimiter::OthersRate(const Bucket& bucket,
                                         MonoTime now) const {
  const double pacing_rate = PacingRate(bucket);
  if (now - last_report_at_ <= options_.report_timeout)
    return std::min(bucket.others_rate.value(), pacing_rate);
  const double own = bucket.own_slow_rate.value();
  const double total = own + bucket.others_slow_rate.value();
  if (total < options_.contention_threshold * pacing_rate)
    return bucket.others_slow_rate.value() / options_.contention_threshold;
  const double share = total > 0 ? own / total : 0;
  return pacing_rate * (1 - std::max(share, options_.min_share_of_even_split /
                                                member_count_));
}

double ReplicatedRateLimiter::PacingRate(const Bucket& bucket) const {
  return bucket.rate + bucket.burst / ToSeconds(options_.window);
}

double ReplicatedRateLimiter::PacingDepth(const Bucket& bucket) const {
  return std::max(bucket.burst, bucket.rate * options_.pacing_depth_s);
}

void ReplicatedRateLimiter::AdvanceWindow(Bucket* bucket, MonoTime now) const {
  const int64_t slice =
      now.time_since_epoch() / (options_.window / kWindowSlices);
  const int64_t new_slices =
      std::min<int64_t>(slice - bucket->newest_slice, kSliceRingSize);
  for (int64_t i = 0; i < new_slices; ++i)
    bucket->slices[static_cast<size_t>((slice - i) % kSliceRingSize)] = 0;
  bucket->newest_slice = slice;
}

double ReplicatedRateLimiter::RemainingInWindow(const Bucket& bucket) const {
  const double used =
      std::accumulate(bucket.slices.begin(), bucket.slices.end(), 0.0);
  return bucket.rate * ToSeconds(options_.window) + bucket.burst - used;
}

double ReplicatedRateLimiter::UnreportedLimit(const Bucket& bucket) const {
  const double share =
      std::max(1.0 / member_count_, options_.max_unreported_share);
  return PacingDepth(bucket) * share;
}

bool ReplicatedRateLimiter::TryAdmit(const CustomerId& customer, double cost,
                                     MonoTime now, Duration* wait) {
  const auto it = buckets_.find(customer);
  if (it == buckets_.end()) {
    admitted_[customer] += cost;
    return true;
  }
  Bucket& bucket = it->second;
  AdvanceTo(&bucket, now);
  // While reports are overdue, the others' share is already charged by
  // estimate, and the limit on unreported cost doesn't apply.
  const bool reports_overdue = now - last_report_at_ > options_.report_timeout;
  const bool within_unreported_limit =
      member_count_ == 1 || reports_overdue || bucket.unreported == 0 ||
      bucket.unreported + cost <= UnreportedLimit(bucket);
  // A level above zero admits one request of any size. The overdraft is repaid
  // before the next request is admitted.
  const double remaining = RemainingInWindow(bucket);
  if (bucket.level > 0 && remaining > 0 && within_unreported_limit) {
    bucket.level -= cost;
    bucket.slices[static_cast<size_t>(bucket.newest_slice % kSliceRingSize)] +=
        cost;
    bucket.unreported += cost;
    admitted_[customer] += cost;
    return true;
  }
  const double missing =
      std::max({0.0, -bucket.level, -remaining}) + cost / member_count_;
  const double own_rate = std::max(bucket.rate / member_count_,
                                   bucket.rate - bucket.others_rate.value());
  *wait = FromSeconds(missing / std::max(own_rate, 1e-9));
  return false;
}

void ReplicatedRateLimiter::OnOthersAdmitted(
    const std::map<CustomerId, double>& costs, MonoTime now) {
  const double seconds = std::max(0.05, last_report_at_ == MonoTime{}
                                            ? 1.0
                                            : ToSeconds(now - last_report_at_));
  for (auto& [customer, bucket] : buckets_) {
    AdvanceTo(&bucket, now);
    const auto cost = costs.find(customer);
    const double admitted = cost == costs.end() ? 0 : cost->second;
    bucket.level += bucket.assumed_of_others - admitted;
    bucket.level = std::min(bucket.level, PacingDepth(bucket));
    bucket.slices[static_cast<size_t>(bucket.newest_slice % kSliceRingSize)] +=
        admitted - bucket.assumed_of_others;
    bucket.assumed_of_others = 0;
    const auto update_estimate = [&](RateEstimate* rate, double cost,
                                     Duration half_life) {
      const double decay = std::exp2(-seconds / ToSeconds(half_life));
      rate->sum = decay * rate->sum + (1 - decay) * cost / seconds;
      rate->weight = decay * rate->weight + (1 - decay);
    };
    // Negative if the report corrects an earlier estimate; that is not a rate.
    const double used = std::max(0.0, admitted);
    update_estimate(&bucket.others_rate, used, options_.rate_half_life);
    update_estimate(&bucket.others_slow_rate, used,
                    options_.slow_rate_half_life);
    update_estimate(&bucket.own_slow_rate, bucket.unreported,
                    options_.slow_rate_half_life);
    bucket.unreported = 0;
  }
  last_report_at_ = now;
}

double ReplicatedRateLimiter::BucketLevel(const CustomerId& customer,
                                          MonoTime now) {
  const auto it = buckets_.find(customer);
  if (it == buckets_.end()) return 0;
  AdvanceTo(&it->second, now);
  return it->second.level;
}

}  // namespace mimosa
