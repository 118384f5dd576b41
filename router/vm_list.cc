// Asking the platform's list and spreading what it shows.
#include "router/vm_list.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/json.h"
#include "decide/rendezvous.h"

namespace mimosa {
namespace {

constexpr char kTellMethod[] = "vms.tell";
constexpr char kAskMethod[] = "vms.ask";
constexpr Duration kPeerTimeout = std::chrono::seconds(2);

// {"state": "live" | "leaving", ...}; what can't be read isn't leaving.
bool IsLeavingRecord(const std::string& value) {
  const auto object = ParseJson(value);
  return object && object->isObject() && (*object)["state"].isString() &&
         (*object)["state"].asString() == "leaving";
}

}  // namespace

bool ListsVm(const KvListResult& listing, const std::string& ip) {
  return std::any_of(
      listing.records.begin(), listing.records.end(),
      [&](const KvRecord& record) { return record.key == kVmPrefix + ip; });
}

VmList::VmList(EventLoop* loop, KvStore* kv, PeerBus* bus, const Fleet* fleet)
    : loop_(loop), kv_(kv), bus_(bus), fleet_(fleet) {
  bus_->Register(kTellMethod, wire::LeavingReport::default_instance(),
                 [this](const google::protobuf::Message& params,
                        const std::shared_ptr<PeerReply>& reply) {
                   Take(static_cast<const wire::LeavingReport&>(params));
                   reply->Reply(wire::LeavingQuery());
                 });
  bus_->Register(kAskMethod, wire::LeavingQuery::default_instance(),
                 [this](const google::protobuf::Message&,
                        const std::shared_ptr<PeerReply>& reply) {
                   reply->Reply(OwnReport());
                 });
  timer_ = loop_->After(Duration::zero(), [this] { Tick(); });
}

VmList::~VmList() = default;

bool VmList::IsLeaving(const std::string& ip) const {
  return std::any_of(reports_.begin(), reports_.end(), [&](const auto& entry) {
    return loop_->Now() - entry.second.at < kReportLife &&
           entry.second.leaving.count(ip) != 0;
  });
}

std::vector<const FleetMember*> VmList::Askers() const {
  return FirstInLine(fleet_->members(), "vm-list", kAskers);
}

void VmList::Tick() {
  timer_ = loop_->After(kAskPause, [this] { Tick(); });
  const auto askers = Askers();
  const bool asker = std::any_of(
      askers.begin(), askers.end(),
      [this](const FleetMember* m) { return m->id == fleet_->self(); });
  if (asker) {
    AskPlatform();
  } else if (!askers.empty() && loop_->Now() >= next_peer_ask_) {
    next_peer_ask_ = loop_->Now() + kPeerPause;
    AskPeer(*askers.front());
  }
}

void VmList::AskPlatform() {
  platform_call_ = kv_->List(
      kVmPrefix, [this](const KvListResult& result) { OnList(result); });
}

void VmList::OnList(const KvListResult& result) {
  if (result.status != KvStatus::kOk) return;
  wire::LeavingReport report;
  report.set_member(fleet_->self().value());
  for (const KvRecord& record : result.records) {
    if (IsLeavingRecord(record.value))
      report.add_leaving(record.key.substr(sizeof(kVmPrefix) - 1));
  }
  const auto known = reports_.find(report.member());
  const std::set<std::string> leaving(report.leaving().begin(),
                                      report.leaving().end());
  const bool changed = known == reports_.end()
                           ? !leaving.empty()
                           : known->second.leaving != leaving;
  Take(report);
  if (changed) Tell(report);
}

void VmList::Tell(const wire::LeavingReport& report) {
  for (const FleetMember& member : fleet_->members()) {
    if (member.id == fleet_->self()) continue;
    tellings_.emplace_back();
    const auto telling = std::prev(tellings_.end());
    telling->call =
        bus_->Call(member.peer_address, kTellMethod, report, &telling->result,
                   kPeerTimeout, [this, telling](PeerStatus) {
                     // Posted: the finished call is still on the stack.
                     loop_->Post([this, telling] { tellings_.erase(telling); });
                   });
  }
}

void VmList::AskPeer(const FleetMember& asker) {
  peer_ask_.call.reset();
  peer_ask_.result.Clear();
  peer_ask_.call = bus_->Call(
      asker.peer_address, kAskMethod, wire::LeavingQuery(), &peer_ask_.result,
      kPeerTimeout, [this](PeerStatus status) {
        if (status == PeerStatus::kOk && !peer_ask_.result.member().empty())
          Take(peer_ask_.result);
      });
}

void VmList::Take(const wire::LeavingReport& report) {
  Report& entry = reports_[report.member()];
  std::set<std::string> leaving(report.leaving().begin(),
                                report.leaving().end());
  const bool changed = entry.leaving != leaving;
  entry.leaving = std::move(leaving);
  entry.at = loop_->Now();
  for (auto it = reports_.begin(); it != reports_.end();) {
    const bool old = loop_->Now() - it->second.at >= kReportLife;
    it = old ? reports_.erase(it) : std::next(it);
  }
  if (changed && observer_) observer_();
}

wire::LeavingReport VmList::OwnReport() const {
  wire::LeavingReport report;
  const auto own = reports_.find(fleet_->self().value());
  if (own == reports_.end()) return report;
  report.set_member(own->first);
  for (const std::string& ip : own->second.leaving) report.add_leaving(ip);
  return report;
}

}  // namespace mimosa
