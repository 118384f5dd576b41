// This daemon's copy of the fleet's records, and how it stays up to date.
//
// Model: the first few members in rendezvous order hold a watch on the platform
// each; so does a member that has heard from no peer for a while. All others
// learn from peers: Versions ride on every call that is made anyway, a daemon
// that learnt something pokes a few random peers, and whoever finds itself
// behind pulls the difference from the one that told it. The platform's load
// does not depend on the size of the fleet.
//
// The catalogue's version spreads the same way; what belongs to a version is
// somebody else's to fetch.
#ifndef ROUTER_FLEET_RECORDS_H_
#define ROUTER_FLEET_RECORDS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/kv_store.h"
#include "base/random.h"
#include "decide/membership.h"
#include "net/event_loop.h"
#include "router/fleet_options.h"
#include "router/peer_bus.h"

namespace mimosa {

class FleetRecords {
 public:
  struct Observers {
    std::function<void()> view_changed;  // the view is another one
    // A catalogue head record as the platform gave it.
    std::function<void(const KvRecord&)> catalogue_head;
    // `peer` has a catalogue newer than the one set here.
    std::function<void(const MemberId& peer, uint64_t version)> newer_catalogue;
  };

  FleetRecords(EventLoop* loop, KvStore* kv, PeerBus* bus, RandomSource* random,
               const FleetOptions& options, Observers observers);

  const FleetView& view() const { return view_; }

  // Reads everything from the platform; `done(ok)`.
  void Load(std::function<void(bool)> done);
  // The member whose rank decides who watches; from then on Tick() does.
  void SetSelf(const MemberId& self) { self_ = self; }
  // Several times a grant.
  void Tick();

  // One record that this daemon read or wrote itself.
  void ApplyRecord(const KvRecord& record);

  wire::Versions versions() const;
  // Came with a peer's message; `sent`: when the call that it answers was sent
  // (kNever: it came with a request, which says nothing about age).
  void OnPeerVersions(const MemberId& peer, const wire::Versions& versions,
                      MonoTime sent);
  // A call to the platform that was sent at `sent` was answered.
  void OnPlatformContact(MonoTime sent);

  void SetCatalogueVersion(uint64_t version);

  // Peers' calls.
  wire::StateReply HandleStateRequest(const wire::StateRequest& request) const;
  wire::PokeReply HandlePoke(const wire::PokeRequest& request);

  Duration TimeSincePlatformContact() const {
    return loop_->Now() - last_platform_contact_;
  }
  Duration TimeSinceAnyContact() const { return loop_->Now() - last_contact_; }

  // Where a member's peers' port is; false if the member is not known.
  bool FindPeerAddress(const MemberId& id, Endpoint* address) const;

 private:
  struct PeerExchange {
    std::unique_ptr<PeerCall> call;
    wire::StateReply state;
    wire::PokeReply poke;
  };

  void WatchFleet();
  void OnFleetRecords(Revision after, const KvListResult& result, bool whole);
  void WatchCatalogueHead();
  void OnCatalogueHead(const KvListResult& result);
  void PullFrom(const MemberId& peer);
  void OnPullReply(const MemberId& peer, Revision after, MonoTime sent,
                   PeerStatus status);
  void NotifyRandomPeers();
  void NotifyPeer(const MemberId& peer);
  bool ShouldWatch() const;

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  const FleetOptions options_;
  const Observers observers_;
  FleetView view_;
  MemberId self_;

  KvStore::CallPtr load_;
  KvStore::CallPtr fleet_call_;      // the watch, or a list after its loss
  KvStore::CallPtr catalogue_call_;  // the same for the head record
  Revision catalogue_revision_;      // 0: a list comes first
  MonoTime fleet_retry_at_ = MonoTime::min();
  MonoTime catalogue_retry_at_ = MonoTime::min();

  std::unique_ptr<PeerExchange> pull_;  // one at a time
  std::map<MemberId, std::unique_ptr<PeerExchange>> notifications_;
  uint64_t catalogue_version_ = 0;
  MonoTime last_platform_contact_;
  MonoTime last_contact_;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_RECORDS_H_
