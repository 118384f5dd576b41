// Polls the platform's list of VMs and distributes the set of leaving ones.
#include "router/leaving_vm_tracker.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/json.h"
#include "decide/rendezvous.h"

namespace mimosa {
namespace {

constexpr char kBroadcastMethod[] = "vms.tell";
constexpr char kPollMethod[] = "vms.ask";
constexpr Duration kPeerTimeout = std::chrono::seconds(2);

// A VM's record is {"state": "live" | "leaving", ...}. A record that can't be
// parsed counts as not leaving.
bool IsLeavingRecord(const std::string& value) {
  const auto object = ParseJson(value);
  return object && object->isObject() && (*object)["state"].isString() &&
         (*object)["state"].asString() == "leaving";
}

}  // namespace

bool ContainsVm(const KvListResult& listing, const std::string& ip) {
  return std::any_of(
      listing.records.begin(), listing.records.end(),
      [&](const KvRecord& record) { return record.key == kVmKeyPrefix + ip; });
}

LeavingVmTracker::LeavingVmTracker(EventLoop* loop, KvStore* kv, PeerBus* bus,
                                   const Fleet* fleet)
    : loop_(loop), kv_(kv), bus_(bus), fleet_(fleet) {
  bus_->RegisterMethod(
      kBroadcastMethod, wire::LeavingReport::default_instance(),
      [this](const google::protobuf::Message& params,
             const std::shared_ptr<PeerReply>& reply) {
        ApplyReport(static_cast<const wire::LeavingReport&>(params));
        reply->Reply(wire::LeavingQuery());
      });
  bus_->RegisterMethod(kPollMethod, wire::LeavingQuery::default_instance(),
                       [this](const google::protobuf::Message&,
                              const std::shared_ptr<PeerReply>& reply) {
                         reply->Reply(OwnReport());
                       });
  timer_ = loop_->After(Duration::zero(), [this] { Tick(); });
}

LeavingVmTracker::~LeavingVmTracker() = default;

bool LeavingVmTracker::IsLeaving(const std::string& ip) const {
  return std::any_of(reports_.begin(), reports_.end(), [&](const auto& entry) {
    return loop_->Now() - entry.second.received_at < kReportTtl &&
           entry.second.leaving.count(ip) != 0;
  });
}

std::vector<const FleetMember*> LeavingVmTracker::Pollers() const {
  return TopByRendezvousWeight(fleet_->members(), "vm-list", kPollerCount);
}

void LeavingVmTracker::Tick() {
  timer_ = loop_->After(kPlatformPollInterval, [this] { Tick(); });
  const auto pollers = Pollers();
  const bool is_poller = std::any_of(
      pollers.begin(), pollers.end(),
      [this](const FleetMember* m) { return m->id == fleet_->self(); });
  if (is_poller) {
    PollPlatform();
  } else if (!pollers.empty() && loop_->Now() >= next_peer_poll_at_) {
    next_peer_poll_at_ = loop_->Now() + kPeerPollInterval;
    PollPeer(*pollers.front());
  }
}

void LeavingVmTracker::PollPlatform() {
  platform_call_ = kv_->List(kVmKeyPrefix, [this](const KvListResult& result) {
    OnVmListing(result);
  });
}

void LeavingVmTracker::OnVmListing(const KvListResult& result) {
  if (result.status != KvStatus::kOk) return;
  wire::LeavingReport report;
  report.set_member(fleet_->self().value());
  for (const KvRecord& record : result.records) {
    if (IsLeavingRecord(record.value))
      report.add_leaving(record.key.substr(sizeof(kVmKeyPrefix) - 1));
  }
  const auto known_report = reports_.find(report.member());
  const std::set<std::string> leaving(report.leaving().begin(),
                                      report.leaving().end());
  const bool changed = known_report == reports_.end()
                           ? !leaving.empty()
                           : known_report->second.leaving != leaving;
  ApplyReport(report);
  if (changed) BroadcastReport(report);
}

void LeavingVmTracker::BroadcastReport(const wire::LeavingReport& report) {
  for (const FleetMember& member : fleet_->members()) {
    if (member.id == fleet_->self()) continue;
    broadcast_calls_.emplace_back();
    const auto broadcast_call = std::prev(broadcast_calls_.end());
    broadcast_call->call = bus_->Call(
        member.peer_address, kBroadcastMethod, report, &broadcast_call->result,
        kPeerTimeout, [this, broadcast_call](PeerStatus) {
          // Posted because the finished call is still on the stack.
          loop_->Post([this, broadcast_call] {
            broadcast_calls_.erase(broadcast_call);
          });
        });
  }
}

void LeavingVmTracker::PollPeer(const FleetMember& poller) {
  peer_poll_.call.reset();
  peer_poll_.result.Clear();
  peer_poll_.call = bus_->Call(
      poller.peer_address, kPollMethod, wire::LeavingQuery(),
      &peer_poll_.result, kPeerTimeout, [this](PeerStatus status) {
        if (status == PeerStatus::kOk && !peer_poll_.result.member().empty())
          ApplyReport(peer_poll_.result);
      });
}

void LeavingVmTracker::ApplyReport(const wire::LeavingReport& report) {
  Report& entry = reports_[report.member()];
  std::set<std::string> leaving(report.leaving().begin(),
                                report.leaving().end());
  const bool changed = entry.leaving != leaving;
  entry.leaving = std::move(leaving);
  entry.received_at = loop_->Now();
  for (auto it = reports_.begin(); it != reports_.end();) {
    const bool is_expired = loop_->Now() - it->second.received_at >= kReportTtl;
    it = is_expired ? reports_.erase(it) : std::next(it);
  }
  if (changed && observer_) observer_();
}

wire::LeavingReport LeavingVmTracker::OwnReport() const {
  wire::LeavingReport report;
  const auto own = reports_.find(fleet_->self().value());
  if (own == reports_.end()) return report;
  report.set_member(own->first);
  for (const std::string& ip : own->second.leaving) report.add_leaving(ip);
  return report;
}

}  // namespace mimosa
