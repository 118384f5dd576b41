// Watches the platform or pulls updates from peers, and announces updates.
#include "router/fleet_records.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// Longest wait of one watch call. A shorter wait costs more calls; with a
// longer one the watching members notice a dead platform later.
constexpr Duration kWatchWait = std::chrono::seconds(5);
constexpr Duration kWatchRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kPullTimeout = std::chrono::seconds(2);
constexpr Duration kNotifyTimeout = std::chrono::seconds(1);
// Number of peers that each daemon notifies of a change. With this fan-out a
// change reaches all members of a fleet of hundreds within a handful of rounds.
constexpr size_t kNotifyFanOut = 4;

FleetDelta DeltaOf(const KvListResult& result, bool is_snapshot) {
  FleetDelta delta;
  delta.revision = result.revision;
  delta.is_snapshot = is_snapshot;
  for (const KvRecord& record : result.records) {
    delta.records.push_back({record.key, record.value, record.revision});
  }
  delta.deleted_keys = result.deleted;
  return delta;
}

}  // namespace

FleetRecords::FleetRecords(EventLoop* loop, KvStore* kv, PeerBus* bus,
                           RandomSource* random, const FleetOptions& options,
                           Observers observers)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      options_(options),
      observers_(std::move(observers)),
      view_(options.FleetPrefix()),
      last_platform_contact_(loop->Now()),
      last_contact_(loop->Now()) {}

void FleetRecords::Load(std::function<void(bool)> done) {
  const MonoTime sent = loop_->Now();
  load_ = kv_->List(
      options_.FleetPrefix(),
      [this, sent, done = std::move(done)](const KvListResult& result) {
        if (result.status == KvStatus::kOk) {
          OnPlatformContact(sent);
          OnFleetRecords(view_.revision(), result, true);
        }
        done(result.status == KvStatus::kOk);
      });
}

bool FleetRecords::ShouldWatch() const {
  return IsWatcher(view_, self_, options_.watcher_count) ||
         TimeSinceAnyContact() > 2 * options_.lease_duration;
}

void FleetRecords::Tick() {
  const MonoTime now = loop_->Now();
  if (!ShouldWatch()) {
    fleet_call_.reset();
    catalogue_call_.reset();
    return;
  }
  if (!fleet_call_ && now >= fleet_retry_at_) WatchFleet();
  if (!catalogue_call_ && now >= catalogue_retry_at_) WatchCatalogueHead();
}

void FleetRecords::WatchFleet() {
  const MonoTime sent = loop_->Now();
  const Revision after = view_.revision();
  fleet_call_ = kv_->Watch(
      options_.FleetPrefix(), after, kWatchWait,
      [this, sent, after](const KvListResult& result) {
        fleet_call_.reset();
        if (result.status == KvStatus::kOk) {
          OnPlatformContact(sent);
          OnFleetRecords(after, result, false);
          if (ShouldWatch()) WatchFleet();
        } else if (result.status == KvStatus::kCompacted) {
          fleet_call_ = kv_->List(
              options_.FleetPrefix(), [this](const KvListResult& list) {
                fleet_call_.reset();
                if (list.status != KvStatus::kOk) return;
                OnFleetRecords(view_.revision(), list, true);
              });
        } else {
          fleet_retry_at_ = loop_->Now() + kWatchRetryDelay;
        }
      });
}

void FleetRecords::OnFleetRecords(Revision after, const KvListResult& result,
                                  bool is_snapshot) {
  const bool has_changes = !result.records.empty() || !result.deleted.empty();
  const bool is_newer = result.revision > view_.revision();
  view_.ApplyDelta(after, DeltaOf(result, is_snapshot));
  if (!has_changes || !is_newer) return;
  NotifyRandomPeers();
  observers_.view_changed();
}

void FleetRecords::WatchCatalogueHead() {
  const MonoTime sent = loop_->Now();
  const auto done = [this, sent](const KvListResult& result) {
    catalogue_call_.reset();
    if (result.status == KvStatus::kOk) {
      OnPlatformContact(sent);
      OnCatalogueHead(result);
      if (ShouldWatch()) WatchCatalogueHead();
    } else {
      if (result.status == KvStatus::kCompacted)
        catalogue_revision_ = Revision(0);
      catalogue_retry_at_ = loop_->Now() + kWatchRetryDelay;
    }
  };
  const std::string key = options_.CatalogueHeadKey();
  catalogue_call_ =
      catalogue_revision_ == Revision(0)
          ? kv_->List(key, done)
          : kv_->Watch(key, catalogue_revision_, kWatchWait, done);
}

void FleetRecords::OnCatalogueHead(const KvListResult& result) {
  catalogue_revision_ = std::max(catalogue_revision_, result.revision);
  for (const KvRecord& record : result.records) {
    if (record.key == options_.CatalogueHeadKey() &&
        observers_.catalogue_head) {
      observers_.catalogue_head(record);
    }
  }
}

void FleetRecords::ApplyRecord(const KvRecord& record) {
  if (view_.ApplyRecord({record.key, record.value, record.revision})) {
    observers_.view_changed();
  }
}

wire::Versions FleetRecords::versions() const {
  wire::Versions versions;
  versions.set_catalogue(catalogue_version_);
  versions.set_fleet(view_.revision().count());
  versions.set_platform_age_ms(ToMillis(TimeSincePlatformContact()));
  return versions;
}

void FleetRecords::OnPeerVersions(const MemberId& peer,
                                  const wire::Versions& versions,
                                  MonoTime sent) {
  if (sent != kNever) {
    last_contact_ = std::max(last_contact_, sent);
    const Duration age = FromMillis(versions.platform_age_ms());
    last_platform_contact_ = std::max(last_platform_contact_, sent - age);
  }
  if (Revision(versions.fleet()) > view_.revision()) PullFrom(peer);
  if (versions.catalogue() > catalogue_version_ && observers_.newer_catalogue) {
    observers_.newer_catalogue(peer, versions.catalogue());
  }
}

void FleetRecords::OnPlatformContact(MonoTime sent) {
  last_platform_contact_ = std::max(last_platform_contact_, sent);
  last_contact_ = std::max(last_contact_, sent);
}

void FleetRecords::SetCatalogueVersion(uint64_t version) {
  if (version <= catalogue_version_) return;
  catalogue_version_ = version;
  NotifyRandomPeers();
}

wire::StateReply FleetRecords::HandleStateRequest(
    const wire::StateRequest& request) const {
  const FleetDelta delta = view_.DeltaSince(Revision(request.after()));
  wire::StateReply reply;
  reply.set_revision(delta.revision.count());
  reply.set_whole(delta.is_snapshot);
  for (const FleetRecord& record : delta.records) {
    auto* out = reply.add_records();
    out->set_key(record.key);
    out->set_value(record.value);
    out->set_revision(record.revision.count());
  }
  for (const std::string& key : delta.deleted_keys) reply.add_deleted(key);
  *reply.mutable_versions() = versions();
  return reply;
}

wire::PokeReply FleetRecords::HandlePoke(const wire::PokeRequest& request) {
  OnPeerVersions(MemberId(request.member()), request.versions(), kNever);
  wire::PokeReply reply;
  *reply.mutable_versions() = versions();
  return reply;
}

bool FleetRecords::FindPeerAddress(const MemberId& id,
                                   Endpoint* address) const {
  const MemberEntry* entry = view_.FindMember(id);
  return entry != nullptr &&
         Endpoint::Parse(entry->record.peer_address(), address);
}

void FleetRecords::PullFrom(const MemberId& peer) {
  Endpoint address;
  if (pull_ || !FindPeerAddress(peer, &address)) return;
  pull_ = std::make_unique<PeerExchange>();
  const MonoTime sent = loop_->Now();
  const Revision after = view_.revision();
  wire::StateRequest request;
  request.set_after(after.count());
  pull_->call = bus_->Call(
      address, "fleet.state", request, &pull_->state, kPullTimeout,
      [=](PeerStatus status) { OnPullReply(peer, after, sent, status); });
}

void FleetRecords::OnPullReply(const MemberId& peer, Revision after,
                               MonoTime sent, PeerStatus status) {
  const std::unique_ptr<PeerExchange> exchange = std::move(pull_);
  if (status != PeerStatus::kOk) return;
  const wire::StateReply& state = exchange->state;
  FleetDelta delta;
  delta.revision = Revision(state.revision());
  delta.is_snapshot = state.whole();
  for (const auto& record : state.records()) {
    delta.records.push_back(
        {record.key(), record.value(), Revision(record.revision())});
  }
  delta.deleted_keys.assign(state.deleted().begin(), state.deleted().end());
  const bool is_newer = delta.revision > view_.revision();
  const bool has_changes =
      !delta.records.empty() || !delta.deleted_keys.empty();
  if (view_.ApplyDelta(after, delta) && is_newer && has_changes) {
    NotifyRandomPeers();
    observers_.view_changed();
  }
  OnPeerVersions(peer, state.versions(), sent);
}

void FleetRecords::NotifyRandomPeers() {
  std::vector<MemberId> peers;
  for (const auto& [id, entry] : view_.members()) {
    if (id != self_ && !entry.record.ended()) peers.push_back(id);
  }
  for (size_t i = 0; i < kNotifyFanOut && !peers.empty(); ++i) {
    const size_t pick = random_->UniformInt(peers.size());
    NotifyPeer(peers[pick]);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void FleetRecords::NotifyPeer(const MemberId& peer) {
  Endpoint address;
  if (notifications_.count(peer) > 0 || self_.empty() ||
      !FindPeerAddress(peer, &address))
    return;
  auto exchange = std::make_unique<PeerExchange>();
  wire::PokeRequest request;
  request.set_member(self_.value());
  *request.mutable_versions() = versions();
  const MonoTime sent = loop_->Now();
  exchange->call = bus_->Call(
      address, "fleet.poke", request, &exchange->poke, kNotifyTimeout,
      [this, peer, sent](PeerStatus status) {
        auto it = notifications_.find(peer);
        const std::unique_ptr<PeerExchange> finished = std::move(it->second);
        notifications_.erase(it);
        if (status != PeerStatus::kOk) return;
        OnPeerVersions(peer, finished->poke.versions(), sent);
      });
  notifications_.emplace(peer, std::move(exchange));
}

}  // namespace mimosa
