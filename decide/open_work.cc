// Maintains the sum as reports come and go.
#include "decide/open_work.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// Subtracts `work` from `*sum` and erases entries that have no calls left.
void Subtract(const OpenWorkByBackEnd& work, OpenWorkByBackEnd* sum) {
  for (const auto& [id, open] : work) {
    const auto it = sum->find(id);
    if (it == sum->end()) continue;
    it->second.calls -= open.calls;
    it->second.tokens -= open.tokens;
    if (it->second.calls <= 0) sum->erase(it);
  }
}

}  // namespace

OpenWorkSums::Reports::iterator OpenWorkSums::EraseReport(
    Reports::iterator report) {
  Subtract(report->second.work, &sum_);
  return reports_.erase(report);
}

void OpenWorkSums::SetReport(const std::string& daemon, OpenWorkByBackEnd work,
                             MonoTime now) {
  Report& report = reports_[daemon];
  Subtract(report.work, &sum_);
  for (auto it = work.begin(); it != work.end();) {
    if (it->second.calls <= 0) {
      it = work.erase(it);
      continue;
    }
    OpenWork& sum = sum_[it->first];
    sum.calls += it->second.calls;
    sum.tokens += it->second.tokens;
    ++it;
  }
  report.work = std::move(work);
  report.received_at = now;
}

void OpenWorkSums::RemoveReport(const std::string& daemon) {
  const auto report = reports_.find(daemon);
  if (report != reports_.end()) EraseReport(report);
}

void OpenWorkSums::RemoveReportsBefore(MonoTime cutoff) {
  if (cutoff <= oldest_bound_) return;
  oldest_bound_ = kNever;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (it->second.received_at < cutoff) {
      it = EraseReport(it);
    } else {
      oldest_bound_ = std::min(oldest_bound_, it->second.received_at);
      ++it;
    }
  }
  // Without reports, any later report is at least as new as `cutoff`.
  if (reports_.empty()) oldest_bound_ = cutoff;
}

OpenWorkByBackEnd OpenWorkSums::SumExcept(const std::string& daemon) const {
  OpenWorkByBackEnd others = sum_;
  const auto own = reports_.find(daemon);
  if (own != reports_.end()) Subtract(own->second.work, &others);
  return others;
}

}  // namespace mimosa
