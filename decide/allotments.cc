// Replicas of the customers' buckets.
#include "decide/allotments.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace mimosa {

void Allotments::SetCustomers(const std::vector<SiteCustomer>& customers,
                              MonoTime now) {
  std::set<CustomerId> known;
  for (const SiteCustomer& customer : customers) {
    if (customer.rate_per_second <= 0) continue;
    known.insert(customer.id);
    const auto [it, is_new] = buckets_.try_emplace(customer.id);
    Bucket& bucket = it->second;
    if (!is_new) Refill(&bucket, now);
    bucket.rate = customer.rate_per_second;
    bucket.burst = customer.burst;
    bucket.level =
        is_new ? customer.burst : std::min(bucket.level, customer.burst);
    bucket.at = now;
  }
  for (auto it = buckets_.begin(); it != buckets_.end();)
    it = known.count(it->first) == 0 ? buckets_.erase(it) : std::next(it);
}

void Allotments::Refill(Bucket* bucket, MonoTime now) {
  const double seconds = ToSeconds(now - bucket->at);
  bucket->level += bucket->rate * seconds;
  if (members_ > 1) {
    const double assumed =
        std::min(bucket->others_rate, bucket->rate) * seconds;
    bucket->level -= assumed;
    bucket->assumed += assumed;
  }
  bucket->level = std::min(bucket->level, bucket->burst);
  bucket->at = now;
}

double Allotments::UnreportedLimit(const Bucket& bucket) const {
  const double share = std::max(1.0 / members_, options_.unreported_share);
  return std::max(bucket.burst, bucket.rate) * share;
}

bool Allotments::Take(const CustomerId& customer, double cost, MonoTime now,
                      Duration* wait) {
  const auto it = buckets_.find(customer);
  if (it == buckets_.end()) {
    admitted_[customer] += cost;
    return true;
  }
  Bucket& bucket = it->second;
  Refill(&bucket, now);
  const bool within = members_ == 1 || bucket.unreported == 0 ||
                      bucket.unreported + cost <= UnreportedLimit(bucket);
  // A level above zero admits one request of any size: what it overdraws is
  // paid back before the next.
  if (bucket.level > 0 && within) {
    bucket.level -= cost;
    bucket.unreported += cost;
    admitted_[customer] += cost;
    return true;
  }
  const double missing = std::max(0.0, -bucket.level) + cost / members_;
  const double own_rate =
      std::max(bucket.rate / members_, bucket.rate - bucket.others_rate);
  *wait = Duration(
      static_cast<Duration::rep>(missing / std::max(own_rate, 1e-9) * 1e6));
  return false;
}

void Allotments::OthersAdmitted(const std::map<CustomerId, double>& costs,
                                MonoTime now) {
  const double seconds = std::max(
      0.05, reported_at_ == MonoTime{} ? 1.0 : ToSeconds(now - reported_at_));
  for (auto& [customer, bucket] : buckets_) {
    Refill(&bucket, now);
    const auto cost = costs.find(customer);
    const double admitted = cost == costs.end() ? 0 : cost->second;
    bucket.level += bucket.assumed - admitted;
    bucket.level = std::min(bucket.level, bucket.burst);
    bucket.assumed = 0;
    bucket.unreported = 0;
    const double keep =
        std::exp2(-seconds / ToSeconds(options_.rate_half_life));
    bucket.others_rate =
        keep * bucket.others_rate + (1 - keep) * admitted / seconds;
  }
  reported_at_ = now;
}

double Allotments::LevelOf(const CustomerId& customer, MonoTime now) {
  const auto it = buckets_.find(customer);
  if (it == buckets_.end()) return 0;
  Refill(&it->second, now);
  return it->second.level;
}

}  // namespace mimosa
