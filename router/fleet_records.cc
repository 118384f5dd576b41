// Watching the platform or following peers, and pushing what is new.
#include "router/fleet_records.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// One wait of a watch. Shorter: more calls; longer: a dead platform is noticed
// later by those who watch.
constexpr Duration kWatchWait = std::chrono::seconds(5);
constexpr Duration kWatchRetry = std::chrono::milliseconds(500);
constexpr Duration kPullTimeout = std::chrono::seconds(2);
constexpr Duration kPokeTimeout = std::chrono::seconds(1);
// Peers told of a change by each daemon that learns of it: the change reaches
// all of a fleet of hundreds in a handful of rounds.
constexpr size_t kPokes = 4;

FleetDelta DeltaOf(const KvListResult& result, bool whole) {
  FleetDelta delta;
  delta.revision = result.revision;
  delta.whole = whole;
  for (const KvRecord& record : result.records) {
    delta.records.push_back({record.key, record.value, record.revision});
  }
  delta.deleted = result.deleted;
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
      platform_word_(loop->Now()),
      any_word_(loop->Now()) {}

void FleetRecords::Load(std::function<void(bool)> done) {
  const MonoTime sent = loop_->Now();
  load_ = kv_->List(
      options_.FleetPrefix(),
      [this, sent, done = std::move(done)](const KvListResult& result) {
        if (result.status == KvStatus::kOk) {
          OnPlatformWord(sent);
          OnFleet(view_.revision(), result, true);
        }
        done(result.status == KvStatus::kOk);
      });
}

bool FleetRecords::ShouldWatch() const {
  return IsWatcher(view_, self_, options_.watchers) ||
         SilenceAge() > 2 * options_.grant;
}

void FleetRecords::Tick() {
  const MonoTime now = loop_->Now();
  if (!ShouldWatch()) {
    fleet_call_.reset();
    catalogue_call_.reset();
    return;
  }
  if (!fleet_call_ && now >= fleet_retry_at_) WatchFleet();
  if (!catalogue_call_ && now >= catalogue_retry_at_) WatchCatalogue();
}

void FleetRecords::WatchFleet() {
  const MonoTime sent = loop_->Now();
  const Revision after = view_.revision();
  fleet_call_ = kv_->Watch(options_.FleetPrefix(), after, kWatchWait,
                           [this, sent, after](const KvListResult& result) {
                             fleet_call_.reset();
                             if (result.status == KvStatus::kOk) {
                               OnPlatformWord(sent);
                               OnFleet(after, result, false);
                               if (ShouldWatch()) WatchFleet();
                             } else if (result.status == KvStatus::kCompacted) {
                               fleet_call_ = kv_->List(
                                   options_.FleetPrefix(),
                                   [this](const KvListResult& list) {
                                     fleet_call_.reset();
                                     if (list.status != KvStatus::kOk) return;
                                     OnFleet(view_.revision(), list, true);
                                   });
                             } else {
                               fleet_retry_at_ = loop_->Now() + kWatchRetry;
                             }
                           });
}

void FleetRecords::OnFleet(Revision after, const KvListResult& result,
                           bool whole) {
  const bool news = !result.records.empty() || !result.deleted.empty();
  const bool further = result.revision > view_.revision();
  view_.Apply(after, DeltaOf(result, whole));
  if (!news || !further) return;
  PokeSome();
  observers_.changed();
}

void FleetRecords::WatchCatalogue() {
  const MonoTime sent = loop_->Now();
  const auto done = [this, sent](const KvListResult& result) {
    catalogue_call_.reset();
    if (result.status == KvStatus::kOk) {
      OnPlatformWord(sent);
      OnCatalogue(result);
      if (ShouldWatch()) WatchCatalogue();
    } else {
      if (result.status == KvStatus::kCompacted) catalogue_after_ = Revision(0);
      catalogue_retry_at_ = loop_->Now() + kWatchRetry;
    }
  };
  const std::string key = options_.CatalogueHeadKey();
  catalogue_call_ = catalogue_after_ == Revision(0)
                        ? kv_->List(key, done)
                        : kv_->Watch(key, catalogue_after_, kWatchWait, done);
}

void FleetRecords::OnCatalogue(const KvListResult& result) {
  catalogue_after_ = std::max(catalogue_after_, result.revision);
  for (const KvRecord& record : result.records) {
    if (record.key == options_.CatalogueHeadKey() &&
        observers_.catalogue_head) {
      observers_.catalogue_head(record);
    }
  }
}

void FleetRecords::Learn(const KvRecord& record) {
  if (view_.ApplyRecord({record.key, record.value, record.revision})) {
    observers_.changed();
  }
}

wire::Versions FleetRecords::versions() const {
  wire::Versions versions;
  versions.set_catalogue(catalogue_version_);
  versions.set_fleet(view_.revision().count());
  versions.set_platform_age_ms(ToMillis(PlatformAge()));
  return versions;
}

void FleetRecords::OnVersions(const MemberId& peer,
                              const wire::Versions& versions, MonoTime sent) {
  if (sent != kNever) {
    any_word_ = std::max(any_word_, sent);
    const Duration age = std::chrono::milliseconds(versions.platform_age_ms());
    platform_word_ = std::max(platform_word_, sent - age);
  }
  if (Revision(versions.fleet()) > view_.revision()) Pull(peer);
  if (versions.catalogue() > catalogue_version_ && observers_.newer_catalogue) {
    observers_.newer_catalogue(peer, versions.catalogue());
  }
}

void FleetRecords::OnPlatformWord(MonoTime sent) {
  platform_word_ = std::max(platform_word_, sent);
  any_word_ = std::max(any_word_, sent);
}

void FleetRecords::SetCatalogueVersion(uint64_t version) {
  if (version <= catalogue_version_) return;
  catalogue_version_ = version;
  PokeSome();
}

wire::StateReply FleetRecords::State(const wire::StateRequest& request) const {
  const FleetDelta delta = view_.Since(Revision(request.after()));
  wire::StateReply reply;
  reply.set_revision(delta.revision.count());
  reply.set_whole(delta.whole);
  for (const FleetRecord& record : delta.records) {
    auto* out = reply.add_records();
    out->set_key(record.key);
    out->set_value(record.value);
    out->set_revision(record.revision.count());
  }
  for (const std::string& key : delta.deleted) reply.add_deleted(key);
  *reply.mutable_versions() = versions();
  return reply;
}

wire::PokeReply FleetRecords::Poke(const wire::PokeRequest& request) {
  OnVersions(MemberId(request.member()), request.versions(), kNever);
  wire::PokeReply reply;
  *reply.mutable_versions() = versions();
  return reply;
}

bool FleetRecords::AddressOf(const MemberId& id, Endpoint* address) const {
  const MemberEntry* entry = view_.Find(id);
  return entry != nullptr &&
         Endpoint::Parse(entry->record.peer_address(), address);
}

void FleetRecords::Pull(const MemberId& peer) {
  Endpoint address;
  if (pull_ || !AddressOf(peer, &address)) return;
  pull_ = std::make_unique<PeerTalk>();
  const MonoTime sent = loop_->Now();
  const Revision after = view_.revision();
  wire::StateRequest request;
  request.set_after(after.count());
  pull_->call = bus_->Call(
      address, "fleet.state", request, &pull_->state, kPullTimeout,
      [=](PeerStatus status) { OnPulled(peer, after, sent, status); });
}

void FleetRecords::OnPulled(const MemberId& peer, Revision after, MonoTime sent,
                            PeerStatus status) {
  const std::unique_ptr<PeerTalk> talk = std::move(pull_);
  if (status != PeerStatus::kOk) return;
  const wire::StateReply& state = talk->state;
  FleetDelta delta;
  delta.revision = Revision(state.revision());
  delta.whole = state.whole();
  for (const auto& record : state.records()) {
    delta.records.push_back(
        {record.key(), record.value(), Revision(record.revision())});
  }
  delta.deleted.assign(state.deleted().begin(), state.deleted().end());
  const bool further = delta.revision > view_.revision();
  const bool news = !delta.records.empty() || !delta.deleted.empty();
  if (view_.Apply(after, delta) && further && news) {
    PokeSome();
    observers_.changed();
  }
  OnVersions(peer, state.versions(), sent);
}

void FleetRecords::PokeSome() {
  std::vector<MemberId> peers;
  for (const auto& [id, entry] : view_.members()) {
    if (id != self_ && !entry.record.ended()) peers.push_back(id);
  }
  for (size_t i = 0; i < kPokes && !peers.empty(); ++i) {
    const size_t pick = random_->Below(peers.size());
    PokeOne(peers[pick]);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void FleetRecords::PokeOne(const MemberId& peer) {
  Endpoint address;
  if (pokes_.count(peer) > 0 || self_.empty() || !AddressOf(peer, &address))
    return;
  auto talk = std::make_unique<PeerTalk>();
  wire::PokeRequest request;
  request.set_member(self_.value());
  *request.mutable_versions() = versions();
  const MonoTime sent = loop_->Now();
  talk->call = bus_->Call(address, "fleet.poke", request, &talk->poke,
                          kPokeTimeout, [this, peer, sent](PeerStatus status) {
                            auto it = pokes_.find(peer);
                            const std::unique_ptr<PeerTalk> own =
                                std::move(it->second);
                            pokes_.erase(it);
                            if (status != PeerStatus::kOk) return;
                            OnVersions(peer, own->poke.versions(), sent);
                          });
  pokes_.emplace(peer, std::move(talk));
}

}  // namespace mimosa
