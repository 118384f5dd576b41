// Sums and differences of reported usage.
#include "decide/usage_totals.h"

#include <algorithm>
#include <cmath>

namespace mimosa {
namespace {

// Half-life of the average of a daemon's admitted rate.
constexpr Duration kRateHalfLife = std::chrono::seconds(6);
// A daemon whose last report is older than this counts as silent. Without
// losses, daemons report at least this often.
constexpr Duration kReportTimeout = std::chrono::milliseconds(1200);

// A daemon that has sent at most this many reports started seconds ago, so that
// all of its usage is recent.
constexpr uint64_t kMaxReportsOfFreshStart = 10;

}  // namespace

void UsageTotals::AddReport(const std::string& daemon, uint64_t boot,
                            uint64_t serial, const AdmittedByCustomer& admitted,
                            MonoTime now) {
  Report& report = reports_[daemon];
  const bool baseline_only =
      report.boot != boot && serial > kMaxReportsOfFreshStart;
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
  const double decay = std::exp2(-seconds / ToSeconds(kRateHalfLife));
  report.rate_weight = decay * report.rate_weight + (1 - decay);
  for (const auto& [customer, total] : admitted) {
    double& last_total = report.admitted[customer];
    const double increase = std::max(0.0, total - last_total);
    last_total += increase;
    if (baseline_only) continue;
    sum_[customer] += increase;
    report.counted_in_sum[customer] += increase;
    if (seconds <= 0) continue;
    double& rate = report.weighted_rate[customer];
    rate = decay * rate + (1 - decay) * increase / seconds;
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
    const Duration silence = now - report.received_at;
    if (name == daemon || !report.is_member || silence < kReportTimeout)
      continue;
    for (const auto& [customer, rate] : report.weighted_rate)
      others[customer] += rate / report.rate_weight * ToSeconds(silence);
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
  const bool same_collector = collector == collector_ && boot == boot_;
  if (same_collector && serial <= serial_)
    return false;  // Overtaken by a newer report.
  serial_ = serial;
  if (!same_collector) {
    collector_ = collector;
    boot_ = boot;
    last_sum_ = sum;
    return false;
  }
  difference->clear();
  for (const auto& [customer, total] : sum) {
    const double increase = total - last_sum_[customer];
    if (increase != 0) (*difference)[customer] = increase;
  }
  last_sum_ = sum;
  return true;
}

}  // namespace mimosa
