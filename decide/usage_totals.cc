// Sums and differences of reported usage.
#include "decide/usage_totals.h"

#include <algorithm>
#include <cmath>

namespace mimosa {
namespace {

// What a daemon admits a second is averaged over about this time.
constexpr Duration kRateHalfLife = std::chrono::seconds(6);
// A daemon reports at least this often, lost reports aside.
constexpr Duration kSilence = std::chrono::milliseconds(1200);

// A daemon that has sent no more reports than these has been running for some
// seconds at most: all that it admitted is recent.
constexpr uint64_t kFreshReports = 10;

}  // namespace

void UsageTotals::AddReport(const std::string& daemon, uint64_t boot,
                            uint64_t serial, const AdmittedByCustomer& admitted,
                            MonoTime now) {
  Report& report = reports_[daemon];
  const bool base_only = report.boot != boot && serial > kFreshReports;
  if (report.boot != boot) {
    report = Report{};
    report.boot = boot;
    report.received_at = now;
  } else if (serial <= report.serial) {
    return;
  }
  report.serial = serial;
  report.is_member = true;
  const double seconds = ToSeconds(now - report.received_at);
  report.received_at = now;
  const double keep = std::exp2(-seconds / ToSeconds(kRateHalfLife));
  report.rate_weight = keep * report.rate_weight + (1 - keep);
  for (const auto& [customer, total] : admitted) {
    double& known = report.admitted[customer];
    const double grown = std::max(0.0, total - known);
    known += grown;
    if (base_only) continue;
    sum_[customer] += grown;
    report.counted_in_sum[customer] += grown;
    if (seconds <= 0) continue;
    double& rate = report.weighted_rate[customer];
    rate = keep * rate + (1 - keep) * grown / seconds;
  }
}

void UsageTotals::OnMemberGone(const std::string& daemon) {
  const auto report = reports_.find(daemon);
  if (report != reports_.end()) report->second.is_member = false;
}

AdmittedByCustomer UsageTotals::SumExcept(const std::string& daemon,
                                          MonoTime now) const {
  AdmittedByCustomer others = sum_;
  for (const auto& [name, report] : reports_) {
    const Duration silent = now - report.received_at;
    if (name == daemon || !report.is_member || silent < kSilence) continue;
    for (const auto& [customer, rate] : report.weighted_rate)
      others[customer] += rate / report.rate_weight * ToSeconds(silent);
  }
  const auto report = reports_.find(daemon);
  if (report == reports_.end()) return others;
  for (const auto& [customer, total] : report->second.counted_in_sum)
    others[customer] = std::max(0.0, others[customer] - total);
  return others;
}

bool UsageDelta::NextDelta(const std::string& collector, uint64_t boot,
                           uint64_t serial, const AdmittedByCustomer& sum,
                           AdmittedByCustomer* difference) {
  const bool same = collector == collector_ && boot == boot_;
  if (same && serial <= serial_) return false;  // overtaken on the way
  serial_ = serial;
  if (!same) {
    collector_ = collector;
    boot_ = boot;
    last_sum_ = sum;
    return false;
  }
  difference->clear();
  for (const auto& [customer, total] : sum) {
    const double grown = total - last_sum_[customer];
    if (grown != 0) (*difference)[customer] = grown;
  }
  last_sum_ = sum;
  return true;
}

}  // namespace mimosa
