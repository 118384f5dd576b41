// The sum and its upkeep.
#include "decide/open_work.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// Takes `work` out of `*sum`; entries left without calls go.
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

OpenWorkSums::Reports::iterator OpenWorkSums::Drop(Reports::iterator report) {
  Subtract(report->second.work, &sum_);
  return reports_.erase(report);
}

void OpenWorkSums::Take(const std::string& daemon, OpenWorkByBackEnd work,
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
  report.at = now;
}

void OpenWorkSums::Forget(const std::string& daemon) {
  const auto report = reports_.find(daemon);
  if (report != reports_.end()) Drop(report);
}

void OpenWorkSums::ForgetBefore(MonoTime then) {
  if (then <= oldest_) return;
  oldest_ = kNever;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (it->second.at < then) {
      it = Drop(it);
    } else {
      oldest_ = std::min(oldest_, it->second.at);
      ++it;
    }
  }
  // Later reports are at least as new as any bound so far.
  if (reports_.empty()) oldest_ = then;
}

OpenWorkByBackEnd OpenWorkSums::AllBut(const std::string& daemon) const {
  OpenWorkByBackEnd others = sum_;
  const auto own = reports_.find(daemon);
  if (own != reports_.end()) Subtract(own->second.work, &others);
  return others;
}

}  // namespace mimosa
