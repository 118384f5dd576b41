// Sums and differences of reported usage.
#include "decide/usage_totals.h"

#include <algorithm>
#include <cmath>

namespace mimosa {
namespace {

// Half-life of the average of a daemon's admitted rate.
constexpr Duration kRateHalfLife = std::chrono::seconds(20);
// A daemon whose last report is older than this counts as silent: longer than
// the time between two reports of an idle daemon. What the daemon is assumed to
// have used in this time is charged at once.
constexpr Duration kReportTimeout = std::chrono::milliseconds(2000);
// If no daemon reported for this long, this daemon was not the collector, and
// the silence of the others means nothing.
constexpr Duration kCollectingPause = std::chrono::seconds(5);
// Part of each rate that is split evenly among the daemons.
constexpr double kEvenlySplitShare = 0.5;

// A daemon that has sent at most this many reports started seconds ago, so that
// all of its usage is recent.
constexpr uint64_t kMaxReportsOfFreshStart = 10;

double ValueOf(const std::map<CustomerId, double>& values,
               const CustomerId& customer) {
  const auto it = values.find(customer);
  return it == values.end() ? 0 : it->second;
}

}  // namespace

// Starts a new period as the collector: every member is silent until it
// reports.
void UsageTotals::ExpectReportsFrom(MonoTime now) {
  by_received_at_.clear();
  unheard_count_ = 0;
  for (auto it = reports_.begin(); it != reports_.end();) {
    Report& report = it->second;
    EndSilence(&report);
    if (!report.is_member) {
      for (const auto& [customer, rate] : RecentRates(report))
        total_rate_[customer] -= rate;
      it = reports_.erase(it);
      continue;
    }
    report.received_at = now;
    report.heard = false;
    ++unheard_count_;
    StartSilence(&report);
    ++it;
  }
}

AdmittedByCustomer UsageTotals::RecentRates(const Report& report) {
  AdmittedByCustomer rates;
  for (const auto& [customer, rate] : report.weighted_rate)
    rates[customer] = rate / report.rate_weight;
  return rates;
}

void UsageTotals::AddReport(const std::string& daemon, uint64_t boot,
                            uint64_t serial, const AdmittedByCustomer& admitted,
                            MonoTime now) {
  if (now - last_report_at_ > kCollectingPause) ExpectReportsFrom(now);
  const auto [it, is_new] = reports_.try_emplace(daemon);
  Report& report = it->second;
  const bool restarted = report.boot != boot;
  if (!restarted && serial <= report.serial && report.heard) return;
  last_report_at_ = now;
  DetectSilence(now);
  const bool starts_baseline = restarted || !report.heard;
  const bool baseline_only =
      starts_baseline && serial > kMaxReportsOfFreshStart;
  const Duration silence = is_new ? Duration::zero() : now - report.received_at;
  // A restarted daemon did not serve for most of its silence.
  AssumedByCustomer assumed;
  if (!restarted || !report.heard) assumed = report.assumed;
  EndSilence(&report);
  by_received_at_.erase({report.received_at, daemon});
  for (const auto& [customer, rate] : RecentRates(report))
    total_rate_[customer] -= rate;
  if (starts_baseline) {
    if (!is_new && !report.heard && report.is_member) --unheard_count_;
    report = Report{};
    report.boot = boot;
    report.received_at = now;
    report.heard = true;
  }
  report.serial = serial;
  report.is_member = true;
  const double seconds = ToSeconds(now - report.received_at);
  report.received_at = now;
  by_received_at_.insert({now, daemon});
  const double decay = std::exp2(-seconds / ToSeconds(kRateHalfLife));
  report.rate_weight = decay * report.rate_weight + (1 - decay);
  AdmittedByCustomer counted;
  for (const auto& [customer, total] : admitted) {
    double& last_total = report.admitted[customer];
    const double increase = std::max(0.0, total - last_total);
    last_total += increase;
    if (baseline_only) continue;
    counted[customer] = increase;
    if (seconds <= 0) continue;
    double& rate = report.weighted_rate[customer];
    rate = decay * rate + (1 - decay) * increase / seconds;
  }
  if (baseline_only) {
    for (const auto& [customer, usage] : assumed)
      counted[customer] = usage.per_second * ToSeconds(silence);
  } else {
    ReplaceAssumed(assumed, silence, &counted);
  }
  for (const auto& [customer, cost] : counted) {
    sum_[customer] += cost;
    report.counted_in_sum[customer] += cost;
  }
  for (const auto& [customer, rate] : RecentRates(report))
    total_rate_[customer] += rate;
  report.shares.clear();
  for (const auto& [customer, rate] : report.weighted_rate)
    if (rate > 0) report.shares[customer] = ShareOf(&report, customer);
}

// The report at the end of a silence replaces what was assumed. Only the part
// that falls into the window is replaced, evenly spread over the silence, since
// readers no longer hold the rest.
void UsageTotals::ReplaceAssumed(const AssumedByCustomer& assumed,
                                 Duration silence,
                                 AdmittedByCustomer* counted) const {
  if (assumed.empty() || silence <= options_.window) return;
  const double in_window = ToSeconds(options_.window) / ToSeconds(silence);
  for (auto& [customer, cost] : *counted) cost *= in_window;
  for (const auto& [customer, usage] : assumed)
    (*counted)[customer] +=
        (1 - in_window) * usage.per_second * ToSeconds(silence);
}

void UsageTotals::SetMembers(const std::vector<std::string>& names,
                             MonoTime now) {
  member_count_ = std::max(1, static_cast<int>(names.size()));
  for (const std::string& name : names) {
    const auto [it, is_new] = reports_.try_emplace(name);
    if (!is_new) continue;
    it->second.received_at = now;
    StartSilence(&it->second);
    ++unheard_count_;
  }
  RefreshAssumed();
}

void UsageTotals::OnMemberGone(const std::string& daemon) {
  const auto it = reports_.find(daemon);
  if (it == reports_.end() || !it->second.is_member) return;
  Report& report = it->second;
  report.is_member = false;
  EndSilence(&report);
  if (report.heard) return;
  --unheard_count_;
  for (const auto& [customer, rate] : RecentRates(report))
    total_rate_[customer] -= rate;
  reports_.erase(it);
}

void UsageTotals::SetRates(AdmittedByCustomer rates) {
  rates_ = std::move(rates);
  RefreshAssumed();
}

double UsageTotals::EvenShare() const { return 1.0 / member_count_; }

double UsageTotals::ShareOf(const Report* report,
                            const CustomerId& customer) const {
  const double total = ValueOf(total_rate_, customer);
  if (report == nullptr || !report->heard || total <= 0) return EvenShare();
  const double own =
      report->rate_weight > 0
          ? ValueOf(report->weighted_rate, customer) / report->rate_weight
          : 0;
  const double by_usage =
      (1 - kEvenlySplitShare) * std::clamp(own / total, 0.0, 1.0) +
      kEvenlySplitShare * EvenShare();
  // The members that have not reported count with an even share.
  return by_usage * (1 - std::min(1.0, unheard_count_ * EvenShare()));
}

ShareByCustomer UsageTotals::IsolatedShares(const std::string& daemon) const {
  const auto it = reports_.find(daemon);
  ShareByCustomer shares;
  for (const auto& [customer, rate] : rates_)
    shares[customer] =
        ShareOf(it == reports_.end() ? nullptr : &it->second, customer);
  return shares;
}

UsageTotals::AssumedByCustomer UsageTotals::AssumedFor(
    const Report& report) const {
  AssumedByCustomer assumed;
  const double since = ToSeconds(report.received_at.time_since_epoch());
  const auto set = [&](const CustomerId& customer, double per_second) {
    assumed[customer] = {per_second, per_second * since};
  };
  for (const auto& [customer, rate] : RecentRates(report)) set(customer, rate);
  const double even =
      report.heard ? kEvenlySplitShare * EvenShare() : EvenShare();
  for (const auto& [customer, rate] : rates_) {
    const auto share = report.shares.find(customer);
    set(customer, rate * (share == report.shares.end() ? even : share->second));
  }
  return assumed;
}

void UsageTotals::StartSilence(Report* report) {
  report->silent = true;
  report->assumed = AssumedFor(*report);
  ++silent_count_;
  for (const auto& [customer, usage] : report->assumed) {
    AssumedUsage& sum = assumed_[customer];
    sum.per_second += usage.per_second;
    sum.offset += usage.offset;
  }
}

void UsageTotals::EndSilence(Report* report) {
  if (!report->silent) return;
  report->silent = false;
  --silent_count_;
  for (const auto& [customer, usage] : report->assumed) {
    AssumedUsage& sum = assumed_[customer];
    sum.per_second -= usage.per_second;
    sum.offset -= usage.offset;
  }
  report->assumed.clear();
  // Without silent members nothing is assumed, also after rounding.
  if (silent_count_ == 0) assumed_.clear();
}

void UsageTotals::DetectSilence(MonoTime now) {
  while (!by_received_at_.empty()) {
    const auto oldest = by_received_at_.begin();
    if (now - oldest->first < kReportTimeout) return;
    Report& report = reports_.at(oldest->second);
    by_received_at_.erase(oldest);
    if (report.is_member) StartSilence(&report);
  }
}

void UsageTotals::RefreshAssumed() {
  assumed_.clear();
  silent_count_ = 0;
  for (auto& [daemon, report] : reports_)
    if (report.silent) StartSilence(&report);
}

bool UsageTotals::HearsOthers(const std::string& daemon, MonoTime now) {
  DetectSilence(now);
  const auto own = reports_.find(daemon);
  const bool hears_itself =
      own != reports_.end() &&
      by_received_at_.count({own->second.received_at, daemon}) > 0;
  return by_received_at_.size() > (hears_itself ? 1U : 0U);
}

double UsageTotals::HeardShare(MonoTime now) {
  DetectSilence(now);
  return 1 - std::min(1.0, silent_count_ * EvenShare());
}

AdmittedByCustomer UsageTotals::SumExcept(const std::string& daemon,
                                          MonoTime now) {
  DetectSilence(now);
  AdmittedByCustomer others = sum_;
  const double seconds = ToSeconds(now.time_since_epoch());
  for (const auto& [customer, usage] : assumed_)
    others[customer] += usage.per_second * seconds - usage.offset;
  const auto report = reports_.find(daemon);
  if (report == reports_.end()) return others;
  for (const auto& [customer, usage] : report->second.assumed)
    others[customer] -= usage.per_second * seconds - usage.offset;
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
