// Implements ReservationClient by reserving at the owners of the engines'
// reservation ledgers.
//
// A request first waits for a turn at a prefill engine and, while it holds that
// turn, for memory at a decode engine. It is not started before it has both, so
// no prefill is computed whose result can't be stored. The turn is reserved
// first so that a request that waits for it holds no decode memory; a prefill
// engine that idles because there is no decode memory wastes nothing that could
// be used. EngineSearch chooses the engine to reserve next. If this member owns
// the ledger itself, the reservation needs no network call.
//
// The daemon keeps the last summary that it received of each engine; summaries
// only come with replies. A reservation expires at the ledger's owner unless it
// is renewed. Reservations that were not renewed for half of their time to live
// are renewed in one call per engine, and a new owner of a ledger at once
// receives all reservations that this daemon holds at that engine.
//
// The naive policies (decide/placement.h) reserve nothing. With them a
// reservation only names the two selected engines.
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
  // A reservation expires this long after its grant or last renewal.
  Duration reservation_ttl = std::chrono::seconds(20);
  // Initial values of the means, until requests have been observed.
  Duration initial_prefill_per_token = std::chrono::microseconds(100);
  Duration initial_decode_time = std::chrono::seconds(5);
};

class FleetReservationClient : public ReservationClient {
 public:
  // All pointers must outlive this object.
  FleetReservationClient(EventLoop* loop, PeerBus* bus, Fleet* fleet,
                         CatalogueView* catalogue, HttpClient* client,
                         RandomSource* random,
                         const ReservationOptions& options);
  ~FleetReservationClient() override;

  [[nodiscard]] std::unique_ptr<PendingReservation> Reserve(
      const ReservationRequest& request, DoneCallback done) override;

  LedgerServer* ledger_server() { return &ledger_server_; }
  // Number of reservations that this daemon holds at all engines.
  size_t held_reservations() const { return held_reservations_.size(); }

 private:
  class Attempt;
  class GrantedReservation;

  // The last summary received of an engine's ledger.
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
  // A release or renewal in progress.
  struct BackgroundCall;

  void ForgetRemovedEngines();
  // Returns true if the owner of the engine's ledger failed to reply recently.
  bool IsOwnerSuspected(const BackEndId& engine);
  void RecordSummary(const wire::EngineSummary& summary);
  void RecordReservation(const wire::ReserveRequest& request);
  // Releases a reservation, or one that may have been granted.
  void ReleaseReservation(const BackEndId& engine, const RequestId& request);
  void SendReleases();
  void SendRelease(const wire::ReleaseRequest& release, int attempts_left);
  void RenewDueReservations();
  void RenewAtNewOwners();
  void SendRenewal(const BackEndId& engine,
                   const std::vector<wire::ReserveRequest>& held);
  void StartBackgroundCall(const Endpoint& to, const std::string& method,
                           const google::protobuf::Message& params,
                           std::unique_ptr<google::protobuf::Message> result,
                           std::function<void(PeerStatus)> done);
  // Updates a moving average with one observed duration.
  static void UpdateMean(Duration observed, Duration* mean);

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
  // Ledger owners that failed to reply, with the end of their backoff.
  std::map<MemberId, MonoTime> suspected_owners_;
  // Last observed ledger owner of each engine in `held_reservations_`.
  std::map<BackEndId, MemberId> last_owners_;
  std::map<BackEndId, std::vector<RequestId>> pending_releases_;
  std::map<uint64_t, std::unique_ptr<BackgroundCall>> background_calls_;
  uint64_t next_background_call_ = 0;
  // All attempts that have not been destroyed.
  std::set<Attempt*> attempts_;
  // Expires with this object. Reservations and posted calls, which may outlive
  // it, hold a weak pointer and check it.
  std::shared_ptr<FleetReservationClient*> self_;
  TimerHandle renew_timer_;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_RESERVATION_CLIENT_H_
