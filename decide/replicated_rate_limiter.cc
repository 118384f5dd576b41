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
    if (!is_new) AdvanceTo(customer.id, &bucket, now);
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

void ReplicatedRateLimiter::AdvanceTo(const CustomerId& customer,
                                      Bucket* bucket, MonoTime now) {
  const Duration elapsed = now - bucket->updated_at;
  const double seconds = ToSeconds(elapsed);
  AdvanceWindow(bucket, now);
  bucket->level += PacingRate(*bucket) * seconds;
  if (member_count_ > 1) {
    const double assumed = OthersRate(customer, *bucket, now) * seconds;
    bucket->level -= assumed;
    bucket->assumed_of_others += assumed;
    SpreadOverSlices(bucket, assumed, elapsed);
  }
  bucket->level = std::min(bucket->level, heard_share_ * PacingDepth(*bucket));
  bucket->updated_at = now;
  UpdateAllowance(customer, seconds, now, bucket);
}

// Gives or withdraws the allowance, and refills it for the last `seconds`.
void ReplicatedRateLimiter::UpdateAllowance(const CustomerId& customer,
                                            double seconds, MonoTime now,
                                            Bucket* bucket) {
  const bool isolated = IsIsolated(now);
  bucket->contended = member_count_ > 1 &&
                      (bucket->contended ? !HasContentionEnded(*bucket, now)
                                         : bucket->level <= 0);
  if (!isolated) bucket->isolated_admissions.clear();
  if (!isolated && !bucket->contended) {
    bucket->allowance.reset();
    return;
  }
  const double share = IsolatedShare(customer);
  if (!bucket->allowance) {
    bucket->allowance = share * InitialAllowance(*bucket);
    bucket->rounding = random_->UniformDouble();
    return;
  }
  const double rate = isolated ? PacingRate(*bucket) : ContendedRate(*bucket);
  const double depth = isolated ? WindowLimit(*bucket) : PacingDepth(*bucket);
  *bucket->allowance =
      std::min(*bucket->allowance + share * rate * seconds, share * depth);
}

// Hysteresis: contention ends well above the level at which it begins, and only
// when the allowances no longer hold back the demand.
bool ReplicatedRateLimiter::HasContentionEnded(const Bucket& bucket,
                                               MonoTime now) const {
  const double end_level =
      options_.contention_end_level * heard_share_ * PacingDepth(bucket);
  const bool is_quiet =
      now - bucket.last_refusal_at >= options_.contention_quiet_time;
  const bool has_room = !NeedsUsedInWindow(now) &&
                        RemainingInWindow(bucket) >
                            options_.contention_end_level * WindowLimit(bucket);
  return bucket.level > end_level && (is_quiet || has_room);
}

// What a daemon with the whole rate could admit at once.
double ReplicatedRateLimiter::InitialAllowance(const Bucket& bucket) const {
  const double available =
      std::min({bucket.level, RemainingInWindow(bucket),
                options_.initial_allowance_s * bucket.rate});
  return std::max(0.0, available);
}

// The rate that the daemons in contact share. An overdraft of the window lowers
// it in proportion, since its cause may lie a few reports back, and what the
// bucket holds raises it.
double ReplicatedRateLimiter::ContendedRate(const Bucket& bucket) const {
  const double overdraft =
      -RemainingInWindow(bucket) / (options_.overdraft_depth_s * bucket.rate);
  const double filled =
      std::clamp(bucket.level / PacingDepth(bucket), 0.0, 1.0);
  return PacingRate(bucket) * std::clamp(1 - overdraft, 0.0, 1.0) *
         (1 + options_.level_gain * filled);
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

// Estimates the rate that the other daemons admit. In isolation the others are
// assumed to use all of their shares.
double ReplicatedRateLimiter::OthersRate(const CustomerId& customer,
                                         const Bucket& bucket,
                                         MonoTime now) const {
  const double pacing_rate = PacingRate(bucket);
  if (IsIsolated(now)) return pacing_rate * (1 - IsolatedShare(customer));
  return std::min(bucket.others_rate.value(), pacing_rate);
}

bool ReplicatedRateLimiter::IsIsolated(MonoTime now) const {
  if (member_count_ == 1) return false;
  return !has_had_contact() ||
         (unanswered_since_ &&
          now - *unanswered_since_ > options_.report_timeout);
}

double ReplicatedRateLimiter::IsolatedShare(const CustomerId& customer) const {
  const auto share = isolated_shares_.find(customer);
  return share == isolated_shares_.end() ? 1.0 / member_count_ : share->second;
}

void ReplicatedRateLimiter::OnReportSent(MonoTime now) {
  if (!unanswered_since_) unanswered_since_ = now;
  // Allowances start with what the buckets hold when the isolation begins.
  if (!IsIsolated(now)) return;
  for (auto& [customer, bucket] : buckets_) AdvanceTo(customer, &bucket, now);
}

double ReplicatedRateLimiter::PacingRate(const Bucket& bucket) const {
  return bucket.rate + bucket.burst / ToSeconds(options_.window);
}

double ReplicatedRateLimiter::PacingDepth(const Bucket& bucket) const {
  const double depth_s =
      std::max(options_.min_pacing_depth_s,
               options_.pacing_depth_s - 2 * ToSeconds(report_interval_));
  return std::max(bucket.burst, bucket.rate * depth_s);
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

// Adds `cost` to the newest slice. A negative cost takes back estimates that
// lie in unknown slices, so it lowers all slices in proportion: in the newest
// slice it would outlast the estimates.
void ReplicatedRateLimiter::CorrectWindow(double cost, Bucket* bucket) const {
  const double used = UsedInWindow(*bucket);
  if (cost < 0 && used > 0) {
    const double factor = std::max(0.0, 1 + cost / used);
    for (double& slice : bucket->slices) slice *= factor;
  } else {
    bucket
        ->slices[static_cast<size_t>(bucket->newest_slice % kSliceRingSize)] +=
        std::max(0.0, cost);
  }
}

double ReplicatedRateLimiter::UsedInWindow(const Bucket& bucket) const {
  return std::accumulate(bucket.slices.begin(), bucket.slices.end(), 0.0);
}

double ReplicatedRateLimiter::WindowLimit(const Bucket& bucket) const {
  return bucket.rate * ToSeconds(options_.window) + bucket.burst;
}

double ReplicatedRateLimiter::RemainingInWindow(const Bucket& bucket) const {
  return WindowLimit(bucket) - UsedInWindow(bucket);
}

// This daemon's share of the window, less what it has admitted in isolation.
double ReplicatedRateLimiter::RemainingInIsolation(const CustomerId& customer,
                                                   MonoTime now,
                                                   Bucket* bucket) const {
  auto& admissions = bucket->isolated_admissions;
  while (!admissions.empty() &&
         now - admissions.front().first >= options_.window)
    admissions.pop_front();
  double used = 0;
  for (const auto& [time, cost] : admissions) used += cost;
  return IsolatedShare(customer) * WindowLimit(*bucket) - used;
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
  AdvanceTo(customer, &bucket, now);
  const bool isolated = IsIsolated(now);
  const double remaining = isolated
                               ? RemainingInIsolation(customer, now, &bucket)
                               : RemainingInWindow(bucket);
  bool admit = false;
  if (bucket.allowance) {
    admit = std::min(*bucket.allowance, remaining) > bucket.rounding * cost;
  } else {
    // A level above zero admits one request of any size. The overdraft is
    // repaid before the next request is admitted.
    const bool within_unreported_limit =
        member_count_ == 1 || bucket.unreported == 0 ||
        bucket.unreported + cost <= UnreportedLimit(bucket);
    admit = bucket.level > 0 && remaining > 0 && within_unreported_limit;
  }
  if (admit) {
    bucket.level -= cost;
    bucket.slices[static_cast<size_t>(bucket.newest_slice % kSliceRingSize)] +=
        cost;
    bucket.unreported += cost;
    admitted_[customer] += cost;
    if (isolated) bucket.isolated_admissions.emplace_back(now, cost);
    if (bucket.allowance) {
      *bucket.allowance -= cost;
      bucket.rounding = random_->UniformDouble();
    }
    return true;
  }
  bucket.last_refusal_at = now;
  if (bucket.allowance) {
    const double own_rate = IsolatedShare(customer) * PacingRate(bucket);
    *wait = FromSeconds(
        std::max(-remaining, bucket.rounding * cost - *bucket.allowance) /
        std::max(own_rate, 1e-9));
    return false;
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
  const bool was_isolated = IsIsolated(now);
  const bool has_returned = was_isolated && has_had_contact();
  for (auto& [customer, bucket] : buckets_) {
    AdvanceTo(customer, &bucket, now);
    // Many daemons may start or return at once, before their reports show their
    // usage. A start under low load is told apart by the lack of refusals.
    const bool has_refused = bucket.last_refusal_at != MonoTime{};
    if (has_returned || (was_isolated && has_refused)) bucket.contended = true;
    const auto cost = costs.find(customer);
    const double admitted = cost == costs.end() ? 0 : cost->second;
    bucket.level += bucket.assumed_of_others - admitted;
    bucket.level = std::min(bucket.level, PacingDepth(bucket));
    CorrectWindow(admitted - bucket.assumed_of_others, &bucket);
    bucket.assumed_of_others = 0;
    // Negative if the report corrects an earlier estimate; that is not a rate.
    const double used = std::max(0.0, admitted);
    RateEstimate& rate = bucket.others_rate;
    const double decay =
        std::exp2(-seconds / ToSeconds(options_.rate_half_life));
    rate.sum = decay * rate.sum + (1 - decay) * used / seconds;
    rate.weight = decay * rate.weight + (1 - decay);
    bucket.unreported = 0;
  }
  if (was_isolated) in_contact_since_ = now;
  unanswered_since_.reset();
  last_report_at_ = now;
}

void ReplicatedRateLimiter::OnNewCollector(MonoTime now) {
  for (auto& [customer, bucket] : buckets_) {
    AdvanceTo(customer, &bucket, now);
    bucket.assumed_of_others = 0;
  }
}

bool ReplicatedRateLimiter::NeedsUsedInWindow(MonoTime now) const {
  return !in_contact_since_ || IsIsolated(now) ||
         now - *in_contact_since_ < options_.window;
}

std::map<CustomerId, double> ReplicatedRateLimiter::UsedInWindow(MonoTime now) {
  std::map<CustomerId, double> used;
  if (NeedsUsedInWindow(now)) return used;
  for (auto& [customer, bucket] : buckets_) {
    AdvanceTo(customer, &bucket, now);
    used[customer] = UsedInWindow(bucket);
  }
  return used;
}

bool ReplicatedRateLimiter::SetUsedInWindow(
    const std::map<CustomerId, double>& used, MonoTime now) {
  if (!NeedsUsedInWindow(now) || used.empty()) return false;
  for (const auto& [customer, cost] : used) {
    const auto it = buckets_.find(customer);
    if (it == buckets_.end()) continue;
    Bucket& bucket = it->second;
    AdvanceTo(customer, &bucket, now);
    bucket.slices.fill(cost / kSliceRingSize);
    bucket.level = std::min(PacingDepth(bucket), RemainingInWindow(bucket));
    bucket.assumed_of_others = 0;
    bucket.contended = true;
    bucket.allowance.reset();
  }
  last_report_at_ = now;
  in_contact_since_ = now - options_.window;
  unanswered_since_.reset();
  return true;
}

std::map<CustomerId, double> ReplicatedRateLimiter::PacingRates() const {
  std::map<CustomerId, double> rates;
  for (const auto& [customer, bucket] : buckets_)
    rates[customer] = PacingRate(bucket);
  return rates;
}

double ReplicatedRateLimiter::BucketLevel(const CustomerId& customer,
                                          MonoTime now) {
  const auto it = buckets_.find(customer);
  if (it == buckets_.end()) return 0;
  AdvanceTo(customer, &it->second, now);
  return it->second.allowance ? *it->second.allowance : it->second.level;
}

}  // namespace mimosa
