// The books of the engines that this member owns (Fleet::BookOwner).
//
// Serves the peers' calls "places.reserve", "places.release" and
// "places.renew", and the same from this daemon without network. A reservation
// that waits keeps its reply open until the book answers.
//
// Model of a change of owners: a member that becomes the owner starts with a
// paused book. The holders see the same change of members and renew what they
// hold at the new owner; the engine's load report tells what it holds in fact.
// After both the book opens. Until then, requests wait. The former owner
// answers what still waits with not_owner and drops its book.
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
  // Whether an engine takes no new work (router/drain_checker.h).
  std::function<bool(const wire::BackEnd&)> is_draining =
      [](const wire::BackEnd& engine) { return engine.draining(); };
  QueueKind queue = QueueKind::kFair;
  SheddingKind shedding = SheddingKind::kDeadline;
  // How long a new owner listens to the holders before it grants.
  Duration rebuild_period = std::chrono::seconds(1);
  Duration load_poll_period = std::chrono::seconds(1);
};

class LedgerServer {
 public:
  using ReplyCallback = std::function<void(const wire::ReserveReply&)>;
  // A load report of an engine whose book this member owns.
  using LoadObserver =
      std::function<void(const BackEndId&, const EngineLoadReport&)>;

  LedgerServer(EventLoop* loop, PeerBus* bus, Fleet* fleet,
               CatalogueView* catalogue, HttpClient* client,
               const LedgerServerOptions& options);

  // `reply` runs once, unless the reservation is released before; never from
  // within this call.
  void Reserve(const wire::ReserveRequest& request, ReplyCallback reply);
  void Release(const wire::ReleaseRequest& request);
  wire::RenewReply Renew(const wire::RenewRequest& request);

  void SetLoadObserver(LoadObserver observer) {
    load_observer_ = std::move(observer);
  }
  // Brings the books in line with fleet, catalogue and draining; runs by itself
  // after changes of the first two.
  void SyncLedgers();

  size_t owned_ledgers() const { return ledgers_.size(); }
  // Nullptr if this member doesn't own the engine's book.
  const EngineLedger* FindLedger(const BackEndId& engine) const;

 private:
  struct OwnedLedger {
    std::unique_ptr<EngineLedger> ledger;
    bool decode = false;
    Units capacity;
    MonoTime owned_since;
    bool load_known = false;  // a load report came, or the engine is down
    bool down = false;
    bool draining = false;
    bool opened = false;
    // What the latest reports list and no holder told of. A request is entered
    // as held when two reports list it: the first may just lag.
    std::set<RequestId> unaccounted;
    std::set<RequestId> adopted;
    // Replies of the requests that wait in `book`.
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
                   const LedgerReplies& answers);
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
  std::set<MemberId> known_members_;  // of the fleet, at the last Sync()
  TimerHandle tick_timer_;
};

// The member that made the request: "<member>/<serial>".
MemberId MemberOfRequest(const RequestId& request);

}  // namespace mimosa

#endif  // ROUTER_LEDGER_SERVER_H_
