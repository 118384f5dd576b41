// Replicas of the customers' buckets.
#include "decide/replicated_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace mimosa {

void ReplicatedRateLimiter::SetCustomers(
    const std::vector<SiteCustomer>& customers, MonoTime now) {
  std::set<CustomerId> known;
  for (const SiteCustomer& customer : customers) {
    if (customer.rate_per_second <= 0) continue;
    known.insert(customer.id);
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
    it = known.count(it->first) == 0 ? buckets_.erase(it) : std::next(it);
}

void ReplicatedRateLimiter::AdvanceTo(Bucket* bucket, MonoTime now) {
  const Duration passed = now - bucket->updated_at;
  const double seconds = ToSeconds(passed);
  AdvanceWindow(bucket, now);
  bucket->level += PacingRate(*bucket) * seconds;
  if (member_count_ > 1) {
    const double assumed = OthersRate(*bucket, now) * seconds;
    bucket->level -= assumed;
    bucket->assumed_of_others += assumed;
    SpreadOverSlices(bucket, assumed, passed);
  }
  bucket->level = std::min(bucket->level, PacingDepth(*bucket));
  bucket->updated_at = now;
}

// Adds `cost` to the parts of the last `passed`, evenly; what lies before the
// window is left out.
void ReplicatedRateLimiter::SpreadOverSlices(Bucket* bucket, double cost,
                                             Duration passed) const {
  const int64_t count = passed / (options_.window / kWindowSlices) + 1;
  for (int64_t i = 0; i < std::min<int64_t>(count, kSliceRingSize); ++i)
    bucket->slices[static_cast<size_t>((bucket->newest_slice - i) %
                                       kSliceRingSize)] +=
        cost / static_cast<double>(count);
}

// What the others are taken to admit a second. In a lasting silence they go on
// as before, if there was room for all. Where there was not, the shares before
// decide: by the others' rate, an error in it would count once for each daemon
// that is cut off.
double ReplicatedRateLimiter::OthersRate(const Bucket& bucket,
                                         MonoTime now) const {
  const double pace = PacingRate(bucket);
  if (now - last_report_at_ <= options_.report_timeout)
    return std::min(bucket.others_rate.value(), pace);
  const double own = bucket.own_slow_rate.value();
  const double all = own + bucket.others_slow_rate.value();
  if (all < options_.contention_threshold * pace)
    return bucket.others_slow_rate.value() / options_.contention_threshold;
  const double share = all > 0 ? own / all : 0;
  return pace * (1 - std::max(share, options_.min_share_of_even_split /
                                         member_count_));
}

double ReplicatedRateLimiter::PacingRate(const Bucket& bucket) const {
  return bucket.rate + bucket.burst / ToSeconds(options_.window);
}

double ReplicatedRateLimiter::PacingDepth(const Bucket& bucket) const {
  return std::max(bucket.burst, bucket.rate * options_.pacing_depth_s);
}

void ReplicatedRateLimiter::AdvanceWindow(Bucket* bucket, MonoTime now) const {
  const int64_t part =
      now.time_since_epoch() / (options_.window / kWindowSlices);
  const int64_t passed =
      std::min<int64_t>(part - bucket->newest_slice, kSliceRingSize);
  for (int64_t i = 0; i < passed; ++i)
    bucket->slices[static_cast<size_t>((part - i) % kSliceRingSize)] = 0;
  bucket->newest_slice = part;
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
  // Without reports the others' share is set aside as it was; nothing waits to
  // be reported.
  const bool silent = now - last_report_at_ > options_.report_timeout;
  const bool within = member_count_ == 1 || silent || bucket.unreported == 0 ||
                      bucket.unreported + cost <= UnreportedLimit(bucket);
  // A level above zero admits one request of any size: what it overdraws is
  // paid back before the next.
  const double left = RemainingInWindow(bucket);
  if (bucket.level > 0 && left > 0 && within) {
    bucket.level -= cost;
    bucket.slices[static_cast<size_t>(bucket.newest_slice % kSliceRingSize)] +=
        cost;
    bucket.unreported += cost;
    admitted_[customer] += cost;
    return true;
  }
  const double missing =
      std::max({0.0, -bucket.level, -left}) + cost / member_count_;
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
    const auto blend = [&](RateEstimate* rate, double cost,
                           Duration half_life) {
      const double keep = std::exp2(-seconds / ToSeconds(half_life));
      rate->sum = keep * rate->sum + (1 - keep) * cost / seconds;
      rate->weight = keep * rate->weight + (1 - keep);
    };
    // Below zero if a report corrects an assumption: no rate.
    const double used = std::max(0.0, admitted);
    blend(&bucket.others_rate, used, options_.rate_half_life);
    blend(&bucket.others_slow_rate, used, options_.slow_rate_half_life);
    blend(&bucket.own_slow_rate, bucket.unreported,
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
