// Places by reservation at the owners of the engines' books.
//
// Model: a request waits for a turn at a prefill engine, and with that for
// memory at a decode engine; nothing is started before it has both, so no
// prefill is computed whose result has nowhere to go. The turn comes first:
// while it waits a request then holds no memory, and a prefill engine that
// idles for want of memory costs nothing that could be used. PlaceSearch says
// whom to ask. When this member owns the book itself, it is asked without
// network.
//
// The daemon keeps the last summary that it heard of each engine; summaries
// come with replies only. A reservation lapses at the owner unless renewed:
// what is held longer than half its hold is renewed in one call per engine,
// and everything at an engine is told to a new owner of its book at once.
//
// The naive policies (decide/placement.h) reserve nothing: a place is just the
// choice of two engines.
#ifndef ROUTER_FLEET_RESERVATION_CLIENT_H_
#define ROUTER_FLEET_RESERVATION_CLIENT_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/engine_search.h"
#include "decide/placement.h"
#include "decide/prefix_index.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "router/catalogue_view.h"
#include "router/fleet.h"
#include "router/ledger_server.h"
#include "router/peer_bus.h"
#include "router/reservation_client.h"
#include "wire/fleet.pb.h"

namespace mimosa {

struct ReservationOptions {
  PlacementKind placement = PlacementKind::kReserve;
  LedgerServerOptions ledger_server;
  // A reservation lapses so long after its grant or last renewal.
  Duration reservation_ttl = std::chrono::seconds(20);
  // Expected times, until some requests were seen.
  Duration initial_prefill_per_token = std::chrono::microseconds(100);
  Duration initial_decode_time = std::chrono::seconds(5);
};

class FleetReservationClient : public ReservationClient {
 public:
  // All pointers outlive this.
  FleetReservationClient(EventLoop* loop, PeerBus* bus, Fleet* fleet,
                         CatalogueView* catalogue, HttpClient* client,
                         RandomSource* random,
                         const ReservationOptions& options);
  ~FleetReservationClient() override;

  [[nodiscard]] std::unique_ptr<PendingReservation> Reserve(
      const ReservationRequest& request, DoneCallback done) override;

  LedgerServer* ledger_server() { return &ledger_server_; }
  // Reservations that this daemon holds at any engine.
  size_t held_reservations() const { return held_reservations_.size(); }

 private:
  class Attempt;
  class GrantedReservation;

  // The last word on an engine's book.
  struct ReceivedSummary {
    wire::EngineSummary summary;
    MonoTime received_at;
  };
  // A reservation that was granted to this daemon and not released.
  struct HeldReservation {
    wire::ReserveRequest request;
    MonoTime renewed_at;
  };
  using ReservationKey = std::pair<BackEndId, RequestId>;
  // Calls of releases and renewals under way.
  struct BackgroundCall;

  void ForgetRemovedEngines();
  // Whether the owner of the engine's book did not answer lately.
  bool IsOwnerSuspected(const BackEndId& engine);
  void RecordSummary(const wire::EngineSummary& summary);
  void RecordReservation(const wire::ReserveRequest& request);
  // Gives back a reservation, or one that may have been granted.
  void ReleaseReservation(const BackEndId& engine, const RequestId& request);
  void SendReleases();
  void SendRelease(const wire::ReleaseRequest& release, int tries_left);
  void RenewDueReservations();
  void RenewAtNewOwners();
  void SendRenewal(const BackEndId& engine,
                   const std::vector<wire::ReserveRequest>& held);
  void StartBackgroundCall(const Endpoint& to, const std::string& method,
                           const google::protobuf::Message& params,
                           std::unique_ptr<google::protobuf::Message> result,
                           std::function<void(PeerStatus)> done);
  // Learns from one observation of a duration.
  static void UpdateMean(Duration seen, Duration* mean);

  EventLoop* const loop_;
  PeerBus* const bus_;
  Fleet* const fleet_;
  CatalogueView* const catalogue_;
  RandomSource* const random_;
  const ReservationOptions options_;
  LedgerServer ledger_server_;
  const std::unique_ptr<PlacementPolicy> policy_;
  PrefixIndex prefixes_;
  Duration mean_prefill_per_token_;
  Duration mean_decode_time_;
  std::map<BackEndId, ReceivedSummary> summaries_;
  std::map<ReservationKey, HeldReservation> held_reservations_;
  std::map<MemberId, MonoTime> suspected_owners_;  // until when
  // Owner at the last look, of each engine in held_.
  std::map<BackEndId, MemberId> last_owners_;
  std::map<BackEndId, std::vector<RequestId>> pending_releases_;
  std::map<uint64_t, std::unique_ptr<BackgroundCall>> background_calls_;
  uint64_t next_background_call_ = 0;
  std::set<Attempt*> attempts_;  // those that were not answered or dropped
  // Expires with this object; what outlives it (places, posted calls) checks.
  std::shared_ptr<FleetReservationClient*> self_;
  TimerHandle renew_timer_;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_RESERVATION_CLIENT_H_
