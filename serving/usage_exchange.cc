// Reports, summaries and the selection of the collector.
#include "serving/usage_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "base/saturated_cast.h"

namespace mimosa {
namespace {

// Most engines named in one datagram, so that it stays within the size limit.
constexpr size_t kMaxOpenEntries = 250;

// Most engines whose times or speeds are in one datagram. The others follow in
// the next ones.
constexpr size_t kMaxEngineTimes = 32;
constexpr size_t kMaxEngineSpeeds = 16;

using OpenWorkList = google::protobuf::RepeatedPtrField<wire::OpenWork>;

// Most work at one engine that a datagram is believed to state, so that sums
// over the fleet stay in range.
constexpr int64_t kMaxOpenCalls = int64_t{1} << 16;
constexpr int64_t kMaxOpenTokens = int64_t{1} << 42;

OpenWorkByBackEnd ParseOpenWork(const OpenWorkList& list) {
  OpenWorkByBackEnd load;
  for (const wire::OpenWork& work : list)
    load[BackEndId(work.back_end())] = {
        static_cast<int>(std::clamp<int64_t>(work.calls(), 0, kMaxOpenCalls)),
        Tokens(std::clamp<int64_t>(work.tokens(), 0, kMaxOpenTokens))};
  return load;
}

// Whether `amount` can be a sum of costs or times.
bool IsAmount(double amount) { return std::isfinite(amount) && amount >= 0; }

void WriteOpenWork(const OpenWorkByBackEnd& load, OpenWorkList* list) {
  for (const auto& [id, work] : load) {
    if (static_cast<size_t>(list->size()) >= kMaxOpenEntries) return;
    wire::OpenWork* const item = list->Add();
    item->set_back_end(id.value());
    item->set_calls(work.calls);
    item->set_tokens(work.tokens.count());
  }
}

AdmittedByCustomer ParseAdmitted(
    const google::protobuf::RepeatedPtrField<wire::AdmittedCost>& list) {
  AdmittedByCustomer admitted;
  for (const wire::AdmittedCost& cost : list)
    if (std::isfinite(cost.cost()))
      admitted[CustomerId(cost.customer())] = cost.cost();
  return admitted;
}

AdmittedByCustomer ParseUsedInWindow(
    const google::protobuf::RepeatedPtrField<wire::AdmittedCost>& list) {
  AdmittedByCustomer used;
  for (const wire::AdmittedCost& cost : list)
    if (IsAmount(cost.used_in_window()) && cost.used_in_window() > 0)
      used[CustomerId(cost.customer())] = cost.used_in_window();
  return used;
}

// Writes the costs, the receiver's shares in isolation and the fleet's usage in
// the window. The latter two may be empty.
void WriteUsage(const AdmittedByCustomer& sums, const ShareByCustomer& shares,
                const AdmittedByCustomer& used_in_window,
                google::protobuf::RepeatedPtrField<wire::AdmittedCost>* list) {
  std::map<CustomerId, wire::AdmittedCost> items;
  for (const auto& [customer, cost] : sums) items[customer].set_cost(cost);
  for (const auto& [customer, share] : shares)
    items[customer].set_isolated_share(share);
  for (const auto& [customer, used] : used_in_window)
    items[customer].set_used_in_window(used);
  for (auto& [customer, item] : items) {
    item.set_customer(customer.value());
    *list->Add() = std::move(item);
  }
}

StageSumsByService ParseStages(
    const google::protobuf::RepeatedPtrField<wire::StageWork>& list) {
  StageSumsByService stages;
  for (const wire::StageWork& work : list) {
    const StageSums sums = {work.prefills(), work.prefill_seconds(),
                            work.runs(), work.run_token_seconds()};
    if (IsAmount(sums.prefills) && IsAmount(sums.prefill_s) &&
        IsAmount(sums.runs) && IsAmount(sums.run_token_s))
      stages[ServiceId(work.service())] = sums;
  }
  return stages;
}

void WriteStages(const StageSumsByService& stages,
                 google::protobuf::RepeatedPtrField<wire::StageWork>* list) {
  for (const auto& [service, sums] : stages) {
    wire::StageWork* const work = list->Add();
    work->set_service(service.value());
    work->set_prefills(sums.prefills);
    work->set_prefill_seconds(sums.prefill_s);
    work->set_runs(sums.runs);
    work->set_run_token_seconds(sums.run_token_s);
  }
}

void WriteEngineTimes(const EngineSpeedSumsByBackEnd& sums,
                      wire::UsageReport* report) {
  for (const auto& [id, engine] : sums) {
    wire::EngineTimes* const times = report->add_engine_times();
    times->set_back_end(id.value());
    times->set_incarnation(engine.incarnation);
    times->set_prefills(engine.prefill.samples);
    times->set_prefill_log_sum(engine.prefill.log_sum);
    times->set_runs(engine.decode.samples);
    times->set_run_log_sum(engine.decode.log_sum);
  }
}

// Counts the entries that can't have been measured in `dropped`.
EngineSpeedSumsByBackEnd ParseEngineTimes(const wire::UsageReport& report,
                                          uint64_t* dropped) {
  EngineSpeedSumsByBackEnd sums;
  for (const wire::EngineTimes& times : report.engine_times()) {
    const EngineSpeedSums engine = {times.incarnation(),
                                    {times.prefills(), times.prefill_log_sum()},
                                    {times.runs(), times.run_log_sum()}};
    if (IsPlausible(engine) && !times.back_end().empty()) {
      sums[BackEndId(times.back_end())] = engine;
    } else {
      ++*dropped;
    }
  }
  return sums;
}

uint32_t Percent(double speed) {
  return SaturatedCast<uint32_t>(std::round(100 * speed));
}

// Writes the speeds whose turn it is.
void WriteEngineSpeeds(const EngineSpeedsByBackEnd& speeds, uint64_t turn,
                       MonoTime now, wire::UsageSummary* summary) {
  std::vector<const EngineSpeedsByBackEnd::value_type*> unlike;
  for (const auto& entry : speeds)
    if (entry.second.was_unlike) unlike.push_back(&entry);
  const size_t count = std::min(unlike.size(), kMaxEngineSpeeds);
  for (size_t i = 0; i < count; ++i) {
    const auto& [id, engine] =
        *unlike[(turn * kMaxEngineSpeeds + i) % unlike.size()];
    wire::EngineSpeed* const speed = summary->add_engine_speeds();
    speed->set_back_end(id.value());
    speed->set_incarnation(engine.incarnation);
    speed->set_prefill_pct(Percent(engine.prefill));
    speed->set_decode_pct(Percent(engine.decode));
    speed->set_age_ms(
        SaturatedCast<uint32_t>(ToMillis(now - engine.measured_at)));
  }
}

}  // namespace

UsageExchange::UsageExchange(EventLoop* loop, const MemberList* members,
                             ReplicatedRateLimiter* rate_limiter,
                             BackEndSelector* selector,
                             const StageMeter* stage_meter, LineLog* log,
                             const Options& options)
    : loop_(loop),
      members_(members),
      rate_limiter_(rate_limiter),
      selector_(selector),
      stage_meter_(stage_meter),
      log_(log),
      options_(options),
      choice_({members->self().name(), members->self().link_mbps()},
              options.collector_choice),
      usage_totals_(UsageTotals::Options{rate_limiter->window()}) {}

void UsageExchange::Start(DatagramSocket* socket) {
  socket_ = socket;
  ReportIfDue();
}

void UsageExchange::ReportIfDue() {
  const MonoTime now = loop_->Now();
  rate_limiter_->SetReportInterval(ReportInterval());
  report_timer_ = loop_->After(ReportInterval(), [this] { ReportIfDue(); });
  // A daemon that has just started needs contact before its callers come.
  const bool is_idle = rate_limiter_->admitted() == last_reported_ &&
                       rate_limiter_->has_had_contact();
  if (is_idle && now - last_report_time_ < options_.idle_report_interval)
    return;
  ChooseCollector(now);
  SendReport();
  last_reported_ = rate_limiter_->admitted();
  last_report_time_ = now;
}

Duration UsageExchange::ReportInterval() const {
  return std::max(options_.report_interval,
                  options_.report_spacing * members_->size());
}

std::vector<CollectorChoice::Member> UsageExchange::OtherMembers() const {
  std::vector<CollectorChoice::Member> others;
  others.reserve(members_->others().size());
  for (const auto& [name, member] : members_->others())
    others.push_back({name, member.link_mbps()});
  return others;
}

void UsageExchange::ChooseCollector(MonoTime now) {
  const std::string previous = choice_.collector();
  const Duration unanswered = choice_.UnansweredTime(now);
  if (!choice_.Choose(OtherMembers(), now)) return;
  log_->Write(LogLine("collector_chosen")
                  .Add("collector", choice_.collector())
                  .Add("previous", previous)
                  .AddMillis("unanswered_ms", unanswered));
}

void UsageExchange::OnMembersChanged() {
  members_changed_ = true;
  rate_limiter_->SetMemberCount(members_->size());
  if (knows_members_ || socket_ == nullptr) return;
  knows_members_ = true;
  loop_->Post([this] { ReportIfDue(); });
}

void UsageExchange::RefreshUsageTotals() {
  AdmittedByCustomer rates = rate_limiter_->PacingRates();
  if (rates != known_rates_) {
    known_rates_ = rates;
    usage_totals_.SetRates(std::move(rates));
  }
  if (!members_changed_) return;
  members_changed_ = false;
  std::vector<std::string> names = {members_->self().name()};
  names.reserve(static_cast<size_t>(members_->size()));
  for (const auto& [name, member] : members_->others()) names.push_back(name);
  usage_totals_.SetMembers(names, loop_->Now());
}

wire::UsageReport UsageExchange::MakeReport() {
  wire::UsageReport report;
  report.set_name(members_->self().name());
  report.set_boot(members_->self().boot());
  report.set_serial(++serial_);
  const MonoTime now = loop_->Now();
  report.set_wants_used_in_window(rate_limiter_->NeedsUsedInWindow(now));
  report.set_isolated(rate_limiter_->IsIsolated(now));
  WriteUsage(rate_limiter_->admitted(), {},
             collector_wants_used_in_window_
                 ? rate_limiter_->UsedInWindow(loop_->Now())
                 : AdmittedByCustomer(),
             report.mutable_admitted());
  WriteOpenWork(selector_->LocalLoad(), report.mutable_open());
  WriteStages(stage_meter_->sums(), report.mutable_stages());
  WriteEngineTimes(stage_meter_->engine_speeds().RecentSums(
                       report.serial(), kMaxEngineTimes, now),
                   &report);
  return report;
}

void UsageExchange::SendReport() {
  const MonoTime now = loop_->Now();
  if (const auto probe = choice_.NextProbe(OtherMembers(), now))
    SendReportTo(*probe);
  const wire::EntryMember& self = members_->self();
  if (collector() != self.name()) {
    SendReportTo(collector());
    choice_.OnReportSent(now);
    rate_limiter_->OnReportSent(now);
    return;
  }
  RecordOwnUsage();
  selector_->SetPeerLoad(open_work_.SumExcept(self.name()));
  rate_limiter_->SetIsolatedShares(usage_totals_.IsolatedShares(self.name()));
  // A collector that hears no other daemon is as isolated as any.
  if (members_->size() > 1 && !usage_totals_.HearsOthers(self.name(), now)) {
    rate_limiter_->OnReportSent(now);
    return;
  }
  rate_limiter_->SetHeardShare(usage_totals_.HeardShare(now));
  ApplyPeerUsage(self.name(), self.boot(), serial_,
                 usage_totals_.SumExcept(self.name(), now),
                 /*starts_from_window=*/false);
}

void UsageExchange::SendReportTo(const std::string& member) {
  const auto to = members_->FindAddress(member);
  if (!to) return;
  wire::UsageDatagram datagram;
  *datagram.mutable_report() = MakeReport();
  Send(*to, datagram);
}

void UsageExchange::Send(const Endpoint& to,
                         const wire::UsageDatagram& datagram) {
  socket_->Send(to, datagram.SerializeAsString());
}

void UsageExchange::OnDatagram(const Endpoint& from,
                               const wire::UsageDatagram& datagram) {
  if (datagram.has_report()) HandleReport(datagram.report(), from);
  if (datagram.has_summary()) HandleSummary(datagram.summary());
}

void UsageExchange::RecordOwnUsage() {
  const MonoTime now = loop_->Now();
  const wire::EntryMember& self = members_->self();
  own_usage_recorded_at_ = now;
  RefreshUsageTotals();
  usage_totals_.AddReport(self.name(), self.boot(), ++serial_,
                          rate_limiter_->admitted(), now);
  open_work_.RemoveReportsBefore(
      now - std::max(options_.open_work_ttl, 3 * ReportInterval()));
  open_work_.SetReport(self.name(), selector_->LocalLoad(), now);
  RecordEngineTimes(
      self.name(), self.boot(), serial_,
      stage_meter_->engine_speeds().RecentSums(serial_, kMaxEngineTimes, now));
  UpdateEngineSpeeds();
}

void UsageExchange::RecordEngineTimes(const std::string& daemon, uint64_t boot,
                                      uint64_t serial,
                                      const EngineSpeedSumsByBackEnd& sums) {
  speed_estimates_.AddReport(daemon, boot, serial, sums, loop_->Now());
}

void UsageExchange::UpdateEngineSpeeds() {
  const MonoTime now = loop_->Now();
  if (now - speeds_updated_at_ < options_.engine_speed_refresh) return;
  speeds_updated_at_ = now;
  std::vector<EngineSpeedEstimates::ClassChange> changes;
  EngineSpeedView& view = selector_->engine_speeds();
  for (const auto& [id, speed] :
       speed_estimates_.Speeds(selector_->list(), now, &changes))
    view.Merge(id, speed);
  view.RemoveExpired(now);
  for (const EngineSpeedEstimates::ClassChange& change : changes)
    log_->Write(
        LogLine("engine_speed_changed")
            .Add("back_end", change.engine.value())
            .Add("stage", change.stage)
            .Add("class", change.speed_class)
            .Add("speed_pct", static_cast<int64_t>(100 * change.speed)));
}

void UsageExchange::ApplyEngineSpeeds(const wire::UsageSummary& summary) {
  const MonoTime now = loop_->Now();
  EngineSpeedView& view = selector_->engine_speeds();
  view.RemoveExpired(now);
  const auto& listed = selector_->list().entries();
  for (const wire::EngineSpeed& entry : summary.engine_speeds()) {
    const BackEndId id(entry.back_end());
    const EngineSpeed speed = {entry.incarnation(), entry.prefill_pct() / 100.0,
                               entry.decode_pct() / 100.0,
                               now - std::chrono::milliseconds(entry.age_ms())};
    if (!IsPlausible(speed)) {
      ++dropped_speeds_;
      continue;
    }
    const auto found = listed.find(id);
    if (found != listed.end() &&
        found->second.entry.incarnation == speed.incarnation)
      view.Merge(id, speed);
  }
}

std::optional<UsageExchange::FleetLoad> UsageExchange::fleet_load() const {
  const std::string& self = members_->self().name();
  if (collector() != self) return std::nullopt;
  FleetLoad load{open_work_.SumExcept(""), peer_stage_totals_.sums()};
  for (const auto& [service, sums] : stage_meter_->sums())
    load.stage_sums[service] += sums;
  return load;
}

void UsageExchange::OnMemberGone(const std::string& name) {
  OnMembersChanged();
  usage_totals_.OnMemberGone(name);
  open_work_.RemoveReport(name);
  peer_stage_totals_.RemoveReport(name);
  speed_estimates_.RemoveReport(name);
}

void UsageExchange::HandleReport(const wire::UsageReport& report,
                                 const Endpoint& from) {
  const MonoTime now = loop_->Now();
  const wire::EntryMember& self = members_->self();
  wire::UsageDatagram datagram;
  wire::UsageSummary* const summary = datagram.mutable_summary();
  summary->set_collector(self.name());
  summary->set_collector_boot(self.boot());
  summary->set_serial(report.serial());
  // Sums of a daemon that few others report to would look like an idle fleet.
  if (collector() != self.name()) {
    summary->set_redirect_to(collector());
    Send(from, datagram);
    return;
  }
  // An isolated daemon may use its shares whatever it has used so far, so it
  // counts as silent.
  if (!report.isolated())
    usage_totals_.AddReport(report.name(), report.boot(), report.serial(),
                            ParseAdmitted(report.admitted()), now);
  open_work_.SetReport(report.name(), ParseOpenWork(report.open()), now);
  peer_stage_totals_.AddReport(report.name(), report.boot(), report.serial(),
                               ParseStages(report.stages()));
  RecordEngineTimes(report.name(), report.boot(), report.serial(),
                    ParseEngineTimes(report, &dropped_speeds_));
  rate_limiter_->SetUsedInWindow(ParseUsedInWindow(report.admitted()), now);
  if (now - own_usage_recorded_at_ >= options_.own_usage_refresh)
    RecordOwnUsage();
  summary->set_heard_share(usage_totals_.HeardShare(now));
  summary->set_wants_used_in_window(rate_limiter_->NeedsUsedInWindow(now));
  WriteUsage(usage_totals_.SumExcept(report.name(), now),
             usage_totals_.IsolatedShares(report.name()),
             report.wants_used_in_window() ? rate_limiter_->UsedInWindow(now)
                                           : AdmittedByCustomer(),
             summary->mutable_admitted_by_others());
  WriteOpenWork(open_work_.SumExcept(report.name()),
                summary->mutable_open_of_others());
  WriteEngineSpeeds(selector_->engine_speeds().speeds(), report.serial(), now,
                    summary);
  Send(from, datagram);
}

void UsageExchange::HandleSummary(const wire::UsageSummary& summary) {
  const MonoTime now = loop_->Now();
  if (!summary.redirect_to().empty()) {
    if (choice_.OnRedirect(summary.collector(), summary.redirect_to(), now)) {
      ChooseCollector(now);
      SendReport();
    }
    return;
  }
  choice_.OnResponse(summary.collector());
  if (summary.collector() != collector()) return;
  selector_->SetPeerLoad(ParseOpenWork(summary.open_of_others()));
  ApplyEngineSpeeds(summary);
  ShareByCustomer shares;
  for (const wire::AdmittedCost& cost : summary.admitted_by_others())
    if (cost.isolated_share() > 0)
      shares[CustomerId(cost.customer())] =
          std::min(1.0, cost.isolated_share());
  rate_limiter_->SetIsolatedShares(std::move(shares));
  const bool starts_from_window = rate_limiter_->SetUsedInWindow(
      ParseUsedInWindow(summary.admitted_by_others()), now);
  collector_wants_used_in_window_ = summary.wants_used_in_window();
  rate_limiter_->SetHeardShare(
      summary.heard_share() > 0 ? std::min(1.0, summary.heard_share()) : 1);
  ApplyPeerUsage(summary.collector(), summary.collector_boot(),
                 summary.serial(), ParseAdmitted(summary.admitted_by_others()),
                 starts_from_window);
}

void UsageExchange::ApplyPeerUsage(const std::string& collector, uint64_t boot,
                                   uint64_t serial,
                                   const AdmittedByCustomer& sum,
                                   bool starts_from_window) {
  const MonoTime now = loop_->Now();
  if (!usage_delta_.IsFrom(collector, boot)) rate_limiter_->OnNewCollector(now);
  AdmittedByCustomer difference;
  const bool has_difference =
      usage_delta_.NextDelta(collector, boot, serial, sum, &difference);
  // The window's usage includes the difference.
  if (has_difference && !starts_from_window)
    rate_limiter_->OnOthersAdmitted(difference, now);
}

}  // namespace mimosa
