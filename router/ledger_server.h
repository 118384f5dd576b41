// Serves the reservation ledgers of the engines that this member owns
// (Fleet::LedgerOwner).
//
// Peers call "places.reserve", "places.release" and "places.renew"; this daemon
// calls the same functions without the network. The reply to a reservation that
// waits is held back until the ledger decides.
//
// Change of ownership: a member that becomes an engine's owner starts with a
// paused ledger. The holders of reservations see the same membership change and
// renew their reservations at the new owner, and the engine's load report lists
// the requests that it actually holds. After both the ledger opens; until then
// requests wait. The former owner answers its waiting requests with not_owner
// and drops its ledger.
#ifndef ROUTER_LEDGER_SERVER_H_
#define ROUTER_LEDGER_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/engine_ledger.h"
#include "decide/request_queue.h"
#include "decide/shedding.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "router/catalogue_view.h"
#include "router/engine_load.h"
#include "router/fleet.h"
#include "router/peer_bus.h"
#include "wire/fleet.pb.h"

namespace mimosa {

inline constexpr char kReserveMethod[] = "places.reserve";
inline constexpr char kReleaseMethod[] = "places.release";
inline constexpr char kRenewMethod[] = "places.renew";

struct LedgerServerOptions {
  // Returns whether an engine accepts no new work (router/drain_checker.h).
  std::function<bool(const wire::BackEnd&)> is_draining =
      [](const wire::BackEnd& engine) { return engine.draining(); };
  QueueKind queue = QueueKind::kFair;
  SheddingKind shedding = SheddingKind::kDeadline;
  // How long a new owner collects renewals from holders before it grants.
  Duration rebuild_period = std::chrono::seconds(1);
  Duration load_poll_period = std::chrono::seconds(1);
};

class LedgerServer {
 public:
  using ReplyCallback = std::function<void(const wire::ReserveReply&)>;
  // Receives the load reports of the engines whose ledgers this member owns.
  using LoadObserver =
      std::function<void(const BackEndId&, const EngineLoadReport&)>;

  LedgerServer(EventLoop* loop, PeerBus* bus, Fleet* fleet,
               CatalogueView* catalogue, HttpClient* client,
               const LedgerServerOptions& options);

  // Reserves capacity of an engine, in Units (decide/request_queue.h). `reply`
  // runs once, never from within this call; it doesn't run if the reservation
  // is released first.
  void Reserve(const wire::ReserveRequest& request, ReplyCallback reply);
  void Release(const wire::ReleaseRequest& request);
  wire::RenewReply Renew(const wire::RenewRequest& request);

  void SetLoadObserver(LoadObserver observer) {
    load_observer_ = std::move(observer);
  }
  // Reconciles the ledgers with fleet, catalogue and drain state. Runs
  // automatically after changes of fleet and catalogue; a change of the drain
  // state needs a call.
  void SyncLedgers();

  size_t owned_ledgers() const { return ledgers_.size(); }
  // Returns nullptr if this member doesn't own the engine's ledger.
  const EngineLedger* FindLedger(const BackEndId& engine) const;

 private:
  struct OwnedLedger {
    std::unique_ptr<EngineLedger> ledger;
    bool decode = false;
    Units capacity;
    MonoTime owned_since;
    // Set once a load report has arrived or the engine is known to be down.
    bool load_known = false;
    bool down = false;
    bool draining = false;
    bool opened = false;
    // Requests that the latest load report lists and no member has renewed.
    // Once the ledger is open, a request is adopted only when two reports in a
    // row list it, because a report may lag behind.
    std::set<RequestId> unaccounted_requests;
    // Requests whose reservations were entered in the ledger because load
    // reports listed them.
    std::set<RequestId> adopted_requests;
    // Replies to the requests that wait in `ledger`.
    std::unordered_map<RequestId, ReplyCallback> pending_replies;
  };

  void RegisterMethods();
  void ServeReserve(const wire::ReserveRequest& request,
                    const std::shared_ptr<PeerReply>& reply);
  void DropUnownedLedgers();
  void DropEndedMembers();
  OwnedLedger* FindOwnedLedger(const std::string& engine);
  void UpdateOpenState(const BackEndId& engine, OwnedLedger* owned);
  void OnLoadReport(const BackEndId& engine, const EngineLoadReport* report);
  void AdoptUnaccounted(const BackEndId& engine, const EngineLoadReport& report,
                        OwnedLedger* owned);
  void SendReplies(const BackEndId& engine, OwnedLedger* owned,
                   const LedgerReplies& replies);
  wire::EngineSummary SummaryOf(const BackEndId& engine,
                                const OwnedLedger& owned) const;
  void Tick();

  EventLoop* const loop_;
  PeerBus* const bus_;
  Fleet* const fleet_;
  CatalogueView* const catalogue_;
  const LedgerServerOptions options_;
  EngineLoadPoller load_poller_;
  LoadObserver load_observer_;
  std::map<BackEndId, OwnedLedger> ledgers_;
  // Members of the fleet at the last SyncLedgers().
  std::set<MemberId> known_members_;
  TimerHandle tick_timer_;
};

// Returns the member that issued the request: request ids have the form
// "<member>/<serial>". Empty if `request` has another form.
MemberId MemberOfRequest(const RequestId& request);

}  // namespace mimosa

#endif  // ROUTER_LEDGER_SERVER_H_
