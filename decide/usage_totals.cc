// Sums and differences of reported usage.
#include "decide/usage_totals.h"

#include <algorithm>

namespace mimosa {

void UsageTotals::Take(const std::string& daemon, uint64_t boot,
                       uint64_t serial, const AdmittedByCustomer& admitted) {
  Report& report = reports_[daemon];
  if (report.boot != boot) {
    report = Report{};
    report.boot = boot;
  } else if (serial <= report.serial) {
    return;
  }
  report.serial = serial;
  for (const auto& [customer, total] : admitted) {
    double& known = report.admitted[customer];
    if (total <= known) continue;
    sum_[customer] += total - known;
    known = total;
  }
}

AdmittedByCustomer UsageTotals::AllBut(const std::string& daemon) const {
  AdmittedByCustomer others = sum_;
  const auto report = reports_.find(daemon);
  if (report == reports_.end()) return others;
  for (const auto& [customer, total] : report->second.admitted)
    others[customer] = std::max(0.0, others[customer] - total);
  return others;
}

bool UsageDifference::Next(const std::string& collector, uint64_t boot,
                           uint64_t serial, const AdmittedByCustomer& sum,
                           AdmittedByCustomer* difference) {
  const bool same = collector == collector_ && boot == boot_;
  if (same && serial <= serial_) return false;  // overtaken on the way
  serial_ = serial;
  if (!same) {
    collector_ = collector;
    boot_ = boot;
    last_ = sum;
    return false;
  }
  difference->clear();
  for (const auto& [customer, total] : sum) {
    const double grown = total - last_[customer];
    if (grown > 0) (*difference)[customer] = grown;
  }
  last_ = sum;
  return true;
}

}  // namespace mimosa
