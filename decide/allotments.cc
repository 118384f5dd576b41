// Replicas of the customers' buckets.
#include "decide/allotments.h"

#include <algorithm>
#include <cmath>
#include <numeric>
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
    bucket.at = now;
    if (is_new && configured_) bucket.level = PaceDepth(bucket);
    if (is_new && !configured_) {
      bucket.level = customer.burst / 2;
      Slide(&bucket, now);
      bucket.parts.fill(bucket.rate / 2 * ToSeconds(options_.window) / kParts);
    }
    bucket.level = std::min(bucket.level, PaceDepth(bucket));
  }
  configured_ = true;
  for (auto it = buckets_.begin(); it != buckets_.end();)
    it = known.count(it->first) == 0 ? buckets_.erase(it) : std::next(it);
}

void Allotments::Refill(Bucket* bucket, MonoTime now) {
  const Duration passed = now - bucket->at;
  const double seconds = ToSeconds(passed);
  Slide(bucket, now);
  bucket->level += PaceRate(*bucket) * seconds;
  if (members_ > 1) {
    const double assumed = OthersRate(*bucket, now) * seconds;
    bucket->level -= assumed;
    bucket->assumed += assumed;
    Spread(bucket, assumed, passed);
  }
  bucket->level = std::min(bucket->level, PaceDepth(*bucket));
  bucket->at = now;
}

// Adds `cost` to the parts of the last `passed`, evenly; what lies before the
// window is left out.
void Allotments::Spread(Bucket* bucket, double cost, Duration passed) const {
  const int64_t count = passed / (options_.window / kParts) + 1;
  for (int64_t i = 0; i < std::min<int64_t>(count, kRing); ++i)
    bucket->parts[static_cast<size_t>((bucket->part - i) % kRing)] +=
        cost / static_cast<double>(count);
}

// What the others are taken to admit a second. In a lasting silence they go on
// as before, if there was room for all. Where there was not, the shares before
// decide: by the others' rate, an error in it would count once for each daemon
// that is cut off.
double Allotments::OthersRate(const Bucket& bucket, MonoTime now) const {
  const double pace = PaceRate(bucket);
  if (now - reported_at_ <= options_.report_patience)
    return std::min(bucket.others_rate.value(), pace);
  const double own = bucket.own_slow_rate.value();
  const double all = own + bucket.others_slow_rate.value();
  if (all < options_.busy_share * pace)
    return bucket.others_slow_rate.value() / options_.busy_share;
  const double share = all > 0 ? own / all : 0;
  return pace * (1 - std::max(share, options_.least_share / members_));
}

double Allotments::PaceRate(const Bucket& bucket) const {
  return bucket.rate + bucket.burst / ToSeconds(options_.window);
}

double Allotments::PaceDepth(const Bucket& bucket) const {
  return std::max(bucket.burst, bucket.rate * options_.pace_depth_s);
}

void Allotments::Slide(Bucket* bucket, MonoTime now) const {
  const int64_t part = now.time_since_epoch() / (options_.window / kParts);
  const int64_t passed = std::min<int64_t>(part - bucket->part, kRing);
  for (int64_t i = 0; i < passed; ++i)
    bucket->parts[static_cast<size_t>((part - i) % kRing)] = 0;
  bucket->part = part;
}

double Allotments::LeftInWindow(const Bucket& bucket) const {
  const double used =
      std::accumulate(bucket.parts.begin(), bucket.parts.end(), 0.0);
  return bucket.rate * ToSeconds(options_.window) + bucket.burst - used;
}

double Allotments::UnreportedLimit(const Bucket& bucket) const {
  const double share = std::max(1.0 / members_, options_.unreported_share);
  return PaceDepth(bucket) * share;
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
  // Without reports the others' share is set aside as it was; nothing waits to
  // be reported.
  const bool silent = now - reported_at_ > options_.report_patience;
  const bool within = members_ == 1 || silent || bucket.unreported == 0 ||
                      bucket.unreported + cost <= UnreportedLimit(bucket);
  // A level above zero admits one request of any size: what it overdraws is
  // paid back before the next.
  const double left = LeftInWindow(bucket);
  if (bucket.level > 0 && left > 0 && within) {
    bucket.level -= cost;
    bucket.parts[static_cast<size_t>(bucket.part % kRing)] += cost;
    bucket.unreported += cost;
    admitted_[customer] += cost;
    return true;
  }
  const double missing =
      std::max({0.0, -bucket.level, -left}) + cost / members_;
  const double own_rate = std::max(bucket.rate / members_,
                                   bucket.rate - bucket.others_rate.value());
  *wait = FromSeconds(missing / std::max(own_rate, 1e-9));
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
    bucket.level = std::min(bucket.level, PaceDepth(bucket));
    bucket.parts[static_cast<size_t>(bucket.part % kRing)] +=
        admitted - bucket.assumed;
    bucket.assumed = 0;
    const auto blend = [&](Estimate* rate, double cost, Duration half_life) {
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
  reported_at_ = now;
}

double Allotments::LevelOf(const CustomerId& customer, MonoTime now) {
  const auto it = buckets_.find(customer);
  if (it == buckets_.end()) return 0;
  Refill(&it->second, now);
  return it->second.level;
}

}  // namespace mimosa
