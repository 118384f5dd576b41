// Keeps this daemon's copy of the fleet's records up to date.
//
// The first few members in rendezvous order each hold a watch on the platform,
// and so does a member that has had no contact with any peer for a while. All
// other members are updated by peers: calls between members that are made
// anyway carry Versions, a daemon that received an update notifies a few random
// peers, and a daemon that finds itself behind pulls the difference from the
// peer that has the newer version. The load on the platform therefore does not
// depend on the size of the fleet.
//
// The version of the catalogue spreads the same way. This class doesn't fetch
// the catalogue's content.
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
    // Runs after the view changed.
    std::function<void()> view_changed;
    // Receives the catalogue's head record as read from the platform.
    std::function<void(const KvRecord&)> catalogue_head;
    // Runs when `peer` has a catalogue newer than the one passed to
    // SetCatalogueVersion().
    std::function<void(const MemberId& peer, uint64_t version)> newer_catalogue;
  };

  FleetRecords(EventLoop* loop, KvStore* kv, PeerBus* bus, RandomSource* random,
               const FleetOptions& options, Observers observers);

  const FleetView& view() const { return view_; }

  // Reads all records from the platform, then calls `done` with whether that
  // succeeded.
  void Load(std::function<void(bool)> done);
  // Sets this daemon's member id. Its rendezvous rank decides whether Tick()
  // watches the platform.
  void SetSelf(const MemberId& self) { self_ = self; }
  // Starts or stops the watches. To be called several times per lease duration.
  void Tick();

  // Applies one record that this daemon read or wrote itself.
  void ApplyRecord(const KvRecord& record);

  wire::Versions versions() const;
  // Processes versions that came with a message of `peer`. `sent` is when the
  // call was sent to which the message is the reply, or kNever if the message
  // is a request, which proves nothing about the age of its versions.
  void OnPeerVersions(const MemberId& peer, const wire::Versions& versions,
                      MonoTime sent);
  // Records that a call sent to the platform at `sent` got a reply.
  void OnPlatformContact(MonoTime sent);

  // Sets the catalogue version in force here. A raise is announced to a few
  // random peers.
  void SetCatalogueVersion(uint64_t version);

  // Handlers of the peers' calls "fleet.state" and "fleet.poke".
  wire::StateReply HandleStateRequest(const wire::StateRequest& request) const;
  wire::PokeReply HandlePoke(const wire::PokeRequest& request);

  Duration TimeSincePlatformContact() const {
    return loop_->Now() - last_platform_contact_;
  }
  Duration TimeSinceAnyContact() const { return loop_->Now() - last_contact_; }

  // Finds the address at which a member serves peers. Returns false if the
  // member is not known.
  bool FindPeerAddress(const MemberId& id, Endpoint* address) const;

 private:
  // A call to a peer and its reply; only one of the two replies is used.
  struct PeerExchange {
    std::unique_ptr<PeerCall> call;
    wire::StateReply state;
    wire::PokeReply poke;
  };

  void WatchFleet();
  void OnFleetRecords(Revision after, const KvListResult& result,
                      bool is_snapshot);
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
  // The watch on the fleet's records, or a list call after compaction.
  KvStore::CallPtr fleet_call_;
  // The watch or list call for the catalogue's head record.
  KvStore::CallPtr catalogue_call_;
  // Revision up to which the head record is known; 0 if a list must come first.
  Revision catalogue_revision_;
  MonoTime fleet_retry_at_ = MonoTime::min();
  MonoTime catalogue_retry_at_ = MonoTime::min();

  // The only pull in progress, if any.
  std::unique_ptr<PeerExchange> pull_;
  // Notifications in progress, at most one per peer.
  std::map<MemberId, std::unique_ptr<PeerExchange>> notifications_;
  uint64_t catalogue_version_ = 0;
  // Latest contact with the platform, directly or through a peer.
  MonoTime last_platform_contact_;
  // Latest contact with the platform or any peer.
  MonoTime last_contact_;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_RECORDS_H_
