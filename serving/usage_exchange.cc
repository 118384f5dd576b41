// Reports, summaries and the choice of the collector.
#include "serving/usage_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "decide/rendezvous.h"

namespace mimosa {
namespace {

constexpr char kCollectorThing[] = "usage";

// Engines named in one datagram, so that it stays within its limit.
constexpr size_t kMaxOpenEntries = 250;

using OpenList = google::protobuf::RepeatedPtrField<wire::OpenWork>;

std::map<BackEndId, BackEndChoice::PeerLoad> ToLoad(const OpenList& list) {
  std::map<BackEndId, BackEndChoice::PeerLoad> load;
  for (const wire::OpenWork& work : list)
    load[BackEndId(work.back_end())] = {static_cast<int>(work.calls()),
                                        Tokens(work.tokens())};
  return load;
}

void FromLoad(const std::map<BackEndId, BackEndChoice::PeerLoad>& load,
              OpenList* list) {
  for (const auto& [id, work] : load) {
    if (static_cast<size_t>(list->size()) >= kMaxOpenEntries) return;
    wire::OpenWork* const item = list->Add();
    item->set_back_end(id.value());
    item->set_calls(work.calls);
    item->set_tokens(work.tokens.count());
  }
}

AdmittedByCustomer ToMap(
    const google::protobuf::RepeatedPtrField<wire::AdmittedCost>& list) {
  AdmittedByCustomer map;
  for (const wire::AdmittedCost& cost : list)
    map[CustomerId(cost.customer())] = cost.cost();
  return map;
}

void FromMap(const AdmittedByCustomer& map,
             google::protobuf::RepeatedPtrField<wire::AdmittedCost>* list) {
  for (const auto& [customer, cost] : map) {
    wire::AdmittedCost* const item = list->Add();
    item->set_customer(customer.value());
    item->set_cost(cost);
  }
}

}  // namespace

UsageExchange::UsageExchange(EventLoop* loop, const MemberList* members,
                             Allotments* allotments, BackEndChoice* choice,
                             const StageMeter* meter, LineLog* log,
                             const Options& options)
    : loop_(loop),
      members_(members),
      allotments_(allotments),
      choice_(choice),
      meter_(meter),
      log_(log),
      options_(options) {}

void UsageExchange::Start(DatagramSocket* socket) {
  socket_ = socket;
  Tick();
}

void UsageExchange::Tick() {
  const MonoTime now = loop_->Now();
  timer_ = loop_->After(Pause(), [this] { Tick(); });
  allotments_->SetMembers(members_->size());
  const bool news = allotments_->admitted() != reported_;
  if (!news && now - reported_at_ < options_.idle_pause) return;
  ChooseCollector(now);
  SendReport();
  reported_ = allotments_->admitted();
  reported_at_ = now;
}

Duration UsageExchange::Pause() const {
  return std::max(options_.busy_pause,
                  options_.report_spacing * members_->size());
}

void UsageExchange::ChooseCollector(MonoTime now) {
  const std::string& self = members_->self().name();
  if (collector_ != self && !collector_.empty() &&
      now - collector_heard_ > std::max(options_.silence, 3 * Pause())) {
    passed_over_until_[collector_] = now + options_.penalty;
    log_->Write(LogLine("collector_silent")
                    .Add("collector", collector_)
                    .AddMillis("age_ms", now - collector_heard_));
  }
  const auto usable = [&](const std::string& name) {
    const auto it = passed_over_until_.find(name);
    return it == passed_over_until_.end() || now >= it->second;
  };
  std::string first = self;
  uint64_t first_weight = RendezvousWeight(kCollectorThing, self);
  for (const auto& [name, member] : members_->others()) {
    const uint64_t weight = RendezvousWeight(kCollectorThing, name);
    if (weight > first_weight && usable(name)) {
      first = name;
      first_weight = weight;
    }
  }
  if (first == collector_) return;
  collector_ = first;
  collector_heard_ = now;
  log_->Write(LogLine("collector_chosen").Add("collector", collector_));
}

wire::UsageReport UsageExchange::OwnReport() {
  wire::UsageReport report;
  report.set_name(members_->self().name());
  report.set_boot(members_->self().boot());
  report.set_serial(++serial_);
  FromMap(allotments_->admitted(), report.mutable_admitted());
  FromLoad(choice_->OwnLoad(), report.mutable_open());
  for (const auto& [service, sums] : meter_->sums()) {
    wire::StageWork* const work = report.add_stages();
    work->set_service(service.value());
    work->set_prefills(sums.prefills);
    work->set_prefill_seconds(sums.prefill_s);
    work->set_runs(sums.runs);
    work->set_run_token_seconds(sums.run_token_s);
  }
  return report;
}

void UsageExchange::SendReport() {
  const wire::UsageReport report = OwnReport();
  if (collector_ == members_->self().name()) {
    totals_.Take(report.name(), report.boot(), report.serial(),
                 allotments_->admitted(), loop_->Now());
    choice_->SetPeerLoad(OpenOfOthers(report.name(), loop_->Now()));
    TakeOthers(collector_, report.boot(), report.serial(),
               totals_.AllBut(report.name(), loop_->Now()));
    return;
  }
  const auto member = members_->others().find(collector_);
  Endpoint to;
  if (member == members_->others().end() ||
      !Endpoint::Parse(member->second.peer_address(), &to))
    return;
  wire::UsageDatagram datagram;
  *datagram.mutable_report() = report;
  socket_->Send(to, datagram.SerializeAsString());
}

void UsageExchange::OnDatagram(const Endpoint& from, std::string_view data) {
  wire::UsageDatagram datagram;
  if (!datagram.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
    log_->Write(LogLine("datagram_unreadable").Add("from", from.ToString()));
    return;
  }
  if (datagram.has_report()) TakeReport(datagram.report(), from);
  if (datagram.has_summary()) TakeSummary(datagram.summary());
}

UsageExchange::Load UsageExchange::OpenOfOthers(const std::string& name,
                                                MonoTime now) const {
  Load sum;
  const auto add = [&sum](const Load& load) {
    for (const auto& [id, work] : load) {
      sum[id].calls += work.calls;
      sum[id].tokens += work.tokens;
    }
  };
  for (const auto& [member, report] : open_reports_)
    if (member != name &&
        now - report.at < std::max(options_.open_life, 3 * Pause()))
      add(report.load);
  if (name != members_->self().name()) add(choice_->OwnLoad());
  return sum;
}

std::optional<UsageExchange::FleetWork> UsageExchange::fleet_work() const {
  const std::string& self = members_->self().name();
  if (collector_ != self) return std::nullopt;
  FleetWork work{OpenOfOthers(self, loop_->Now()), others_stages_};
  for (const auto& [id, own] : choice_->OwnLoad()) {
    work.open[id].calls += own.calls;
    work.open[id].tokens += own.tokens;
  }
  for (const auto& [service, sums] : meter_->sums())
    work.stages[service] += sums;
  return work;
}

void UsageExchange::TakeStages(const wire::UsageReport& report) {
  StageReport& last = stage_reports_[report.name()];
  const bool follows =
      last.boot == report.boot() && last.serial < report.serial();
  if (!follows && last.boot == report.boot()) return;  // overtaken
  StageReport next{report.boot(), report.serial(), {}};
  for (const wire::StageWork& work : report.stages()) {
    const ServiceId service(work.service());
    const StageSums sums{work.prefills(), work.prefill_seconds(), work.runs(),
                         work.run_token_seconds()};
    next.sums[service] = sums;
    // The first report is only the next one's base.
    if (follows) others_stages_[service] += sums - last.sums[service];
  }
  last = std::move(next);
}

void UsageExchange::OnMemberGone(const std::string& name) {
  totals_.Forget(name);
  open_reports_.erase(name);
  stage_reports_.erase(name);
}

void UsageExchange::TakeReport(const wire::UsageReport& report,
                               const Endpoint& from) {
  totals_.Take(report.name(), report.boot(), report.serial(),
               ToMap(report.admitted()), loop_->Now());
  open_reports_[report.name()] = {ToLoad(report.open()), loop_->Now()};
  TakeStages(report);
  // What this daemon admitted belongs to the sum, whether or not it is its own
  // collector.
  const wire::UsageReport own = OwnReport();
  totals_.Take(own.name(), own.boot(), own.serial(), allotments_->admitted(),
               loop_->Now());
  wire::UsageDatagram datagram;
  wire::UsageSummary* const summary = datagram.mutable_summary();
  summary->set_collector(own.name());
  summary->set_collector_boot(own.boot());
  summary->set_serial(report.serial());
  FromMap(totals_.AllBut(report.name(), loop_->Now()),
          summary->mutable_admitted_by_others());
  FromLoad(OpenOfOthers(report.name(), loop_->Now()),
           summary->mutable_open_of_others());
  socket_->Send(from, datagram.SerializeAsString());
}

void UsageExchange::TakeSummary(const wire::UsageSummary& summary) {
  if (summary.collector() != collector_) return;
  collector_heard_ = loop_->Now();
  choice_->SetPeerLoad(ToLoad(summary.open_of_others()));
  TakeOthers(summary.collector(), summary.collector_boot(), summary.serial(),
             ToMap(summary.admitted_by_others()));
}

void UsageExchange::TakeOthers(const std::string& collector, uint64_t boot,
                               uint64_t serial, const AdmittedByCustomer& sum) {
  AdmittedByCustomer difference;
  if (difference_.Next(collector, boot, serial, sum, &difference))
    allotments_->OthersAdmitted(difference, loop_->Now());
}

}  // namespace mimosa
