// Reports, summaries and the selection of the collector.
#include "serving/usage_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "decide/rendezvous.h"

namespace mimosa {
namespace {

constexpr char kCollectorKey[] = "usage";

// Most engines named in one datagram, so that it stays within the size limit.
constexpr size_t kMaxOpenEntries = 250;

using OpenWorkList = google::protobuf::RepeatedPtrField<wire::OpenWork>;

OpenWorkByBackEnd ParseOpenWork(const OpenWorkList& list) {
  OpenWorkByBackEnd load;
  for (const wire::OpenWork& work : list)
    load[BackEndId(work.back_end())] = {static_cast<int>(work.calls()),
                                        Tokens(work.tokens())};
  return load;
}

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
    admitted[CustomerId(cost.customer())] = cost.cost();
  return admitted;
}

void WriteAdmitted(
    const AdmittedByCustomer& admitted,
    google::protobuf::RepeatedPtrField<wire::AdmittedCost>* list) {
  for (const auto& [customer, cost] : admitted) {
    wire::AdmittedCost* const item = list->Add();
    item->set_customer(customer.value());
    item->set_cost(cost);
  }
}

StageSumsByService ParseStages(
    const google::protobuf::RepeatedPtrField<wire::StageWork>& list) {
  StageSumsByService stages;
  for (const wire::StageWork& work : list)
    stages[ServiceId(work.service())] = {work.prefills(),
                                         work.prefill_seconds(), work.runs(),
                                         work.run_token_seconds()};
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
      options_(options) {}

void UsageExchange::Start(DatagramSocket* socket) {
  socket_ = socket;
  ReportIfDue();
}

void UsageExchange::ReportIfDue() {
  const MonoTime now = loop_->Now();
  report_timer_ = loop_->After(ReportInterval(), [this] { ReportIfDue(); });
  rate_limiter_->SetMemberCount(members_->size());
  const bool changed = rate_limiter_->admitted() != last_reported_;
  if (!changed && now - last_report_time_ < options_.idle_report_interval)
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

void UsageExchange::ChooseCollector(MonoTime now) {
  const std::string& self = members_->self().name();
  if (collector_ != self && !collector_.empty() &&
      now - collector_last_contact_ >
          std::max(options_.collector_timeout, 3 * ReportInterval())) {
    backoff_until_[collector_] = now + options_.collector_backoff;
    log_->Write(LogLine("collector_silent")
                    .Add("collector", collector_)
                    .AddMillis("age_ms", now - collector_last_contact_));
  }
  const auto usable = [&](const std::string& name) {
    const auto it = backoff_until_.find(name);
    return it == backoff_until_.end() || now >= it->second;
  };
  std::string highest = self;
  uint64_t highest_weight = RendezvousWeight(kCollectorKey, self);
  for (const auto& [name, member] : members_->others()) {
    const uint64_t weight = RendezvousWeight(kCollectorKey, name);
    if (weight > highest_weight && usable(name)) {
      highest = name;
      highest_weight = weight;
    }
  }
  if (highest == collector_) return;
  collector_ = highest;
  collector_last_contact_ = now;
  log_->Write(LogLine("collector_chosen").Add("collector", collector_));
}

wire::UsageReport UsageExchange::MakeReport() {
  wire::UsageReport report;
  report.set_name(members_->self().name());
  report.set_boot(members_->self().boot());
  report.set_serial(++serial_);
  WriteAdmitted(rate_limiter_->admitted(), report.mutable_admitted());
  WriteOpenWork(selector_->LocalLoad(), report.mutable_open());
  WriteStages(stage_meter_->sums(), report.mutable_stages());
  return report;
}

void UsageExchange::SendReport() {
  const wire::EntryMember& self = members_->self();
  if (collector_ == self.name()) {
    RecordOwnUsage();
    selector_->SetPeerLoad(open_work_.SumExcept(self.name()));
    ApplyPeerUsage(collector_, self.boot(), serial_,
                   usage_totals_.SumExcept(self.name(), loop_->Now()));
    return;
  }
  const auto member = members_->others().find(collector_);
  Endpoint to;
  if (member == members_->others().end() ||
      !Endpoint::Parse(member->second.peer_address(), &to))
    return;
  wire::UsageDatagram datagram;
  *datagram.mutable_report() = MakeReport();
  socket_->Send(to, datagram.SerializeAsString());
}

void UsageExchange::OnDatagram(const Endpoint& from, std::string_view data) {
  wire::UsageDatagram datagram;
  if (!datagram.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
    log_->Write(LogLine("datagram_unreadable").Add("from", from.ToString()));
    return;
  }
  if (datagram.has_report()) HandleReport(datagram.report(), from);
  if (datagram.has_summary()) HandleSummary(datagram.summary());
}

void UsageExchange::RecordOwnUsage() {
  const MonoTime now = loop_->Now();
  const wire::EntryMember& self = members_->self();
  usage_totals_.AddReport(self.name(), self.boot(), ++serial_,
                          rate_limiter_->admitted(), now);
  open_work_.RemoveReportsBefore(
      now - std::max(options_.open_work_ttl, 3 * ReportInterval()));
  open_work_.SetReport(self.name(), selector_->LocalLoad(), now);
}

std::optional<UsageExchange::FleetLoad> UsageExchange::fleet_load() const {
  const std::string& self = members_->self().name();
  if (collector_ != self) return std::nullopt;
  FleetLoad load{open_work_.SumExcept(""), peer_stage_totals_.sums()};
  for (const auto& [service, sums] : stage_meter_->sums())
    load.stage_sums[service] += sums;
  return load;
}

void UsageExchange::OnMemberGone(const std::string& name) {
  usage_totals_.OnMemberGone(name);
  open_work_.RemoveReport(name);
  peer_stage_totals_.RemoveReport(name);
}

void UsageExchange::HandleReport(const wire::UsageReport& report,
                                 const Endpoint& from) {
  const MonoTime now = loop_->Now();
  usage_totals_.AddReport(report.name(), report.boot(), report.serial(),
                          ParseAdmitted(report.admitted()), now);
  open_work_.SetReport(report.name(), ParseOpenWork(report.open()), now);
  peer_stage_totals_.AddReport(report.name(), report.boot(), report.serial(),
                               ParseStages(report.stages()));
  // The summary includes this daemon's own usage even if it uses another
  // collector.
  RecordOwnUsage();
  const wire::EntryMember& self = members_->self();
  wire::UsageDatagram datagram;
  wire::UsageSummary* const summary = datagram.mutable_summary();
  summary->set_collector(self.name());
  summary->set_collector_boot(self.boot());
  summary->set_serial(report.serial());
  WriteAdmitted(usage_totals_.SumExcept(report.name(), now),
                summary->mutable_admitted_by_others());
  WriteOpenWork(open_work_.SumExcept(report.name()),
                summary->mutable_open_of_others());
  socket_->Send(from, datagram.SerializeAsString());
}

void UsageExchange::HandleSummary(const wire::UsageSummary& summary) {
  if (summary.collector() != collector_) return;
  collector_last_contact_ = loop_->Now();
  selector_->SetPeerLoad(ParseOpenWork(summary.open_of_others()));
  ApplyPeerUsage(summary.collector(), summary.collector_boot(),
                 summary.serial(), ParseAdmitted(summary.admitted_by_others()));
}

void UsageExchange::ApplyPeerUsage(const std::string& collector, uint64_t boot,
                                   uint64_t serial,
                                   const AdmittedByCustomer& sum) {
  AdmittedByCustomer difference;
  if (usage_delta_.NextDelta(collector, boot, serial, sum, &difference))
    rate_limiter_->OnOthersAdmitted(difference, loop_->Now());
}

}  // namespace mimosa
