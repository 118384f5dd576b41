// Moves engines between the prefill and decode roles when the site's requests
// need a different ratio (decide/role_balancer.h).
//
// One record in the store names the moves in progress. Every daemon reads it
// and sends no new work to those engines until they are listed under their new
// role. The record is written by the daemon that aggregates the fleet's load.
// The revision of the record is the fencing token of the orders that follow, so
// that engines reject orders of a previous writer. A writer sends orders only
// for a limited time after the store has acknowledged its record, and another
// daemon overwrites the record only after it has been unchanged for longer than
// that.
//
// A store that comes back from an older copy may have lost the record of a
// writer that still sends orders. In a new era of the store, the orders of the
// era before end, and for as long as they might go on elsewhere nobody writes
// the record.
//
// Neither reports are requested from nor orders sent to an engine that leaves,
// is gone or evacuated, or is in the pause that it asked for.
#ifndef SERVING_ROLE_CONTROLLER_H_
#define SERVING_ROLE_CONTROLLER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/kv_store.h"
#include "base/line_log.h"
#include "decide/back_end_list.h"
#include "decide/back_end_selector.h"
#include "decide/role_balancer.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "serving/request_format.h"
#include "serving/usage_exchange.h"
#include "wire/usage.pb.h"

namespace mimosa {

class RoleController {
 public:
  struct Options {
    std::string record_key;  // Key of the record of moves.
    // Time between two evaluations of the balance.
    Duration evaluation_interval = std::chrono::milliseconds(500);
    // If the store takes longer to acknowledge the record, the writer sends no
    // orders.
    Duration ack_timeout = std::chrono::seconds(1);
    // Time until all daemons have read the record: the response of a watch plus
    // the delay between two watches. Orders are sent after it.
    Duration propagation_delay = std::chrono::milliseconds(700);
    // Orders are sent and retried for this long.
    Duration order_window = std::chrono::milliseconds(2500);
    // Timeout of a call to an engine, and the delay before its retry.
    Duration call_timeout = std::chrono::milliseconds(700);
    // Another daemon's record is not overwritten for this long. It covers that
    // daemon's orders and the time that the platform requires between the
    // orders of two holders.
    Duration takeover_delay = std::chrono::seconds(10);
    // A move that is not complete after this has failed. A move takes the time
    // of the running requests and twice the engine's own switch time.
    Duration move_timeout = std::chrono::seconds(20);
    RoleBalancer::Options balancer;
  };
  using FleetLoad = UsageExchange::FleetLoad;
  // Returns nullopt if another daemon aggregates the fleet's load.
  using FleetLoadSource = std::function<std::optional<FleetLoad>()>;

  RoleController(EventLoop* loop, HttpClient* client, KvStore* store,
                 const RequestFormat* format, const BackEndList* back_ends,
                 BackEndSelector* selector, LineLog* log,
                 FleetLoadSource fleet_load_source, std::string holder,
                 uint64_t boot, Options options);
  ~RoleController();

  void Start();
  // Starts no further moves and drops pending orders.
  void Stop();
  void SetServices(std::vector<SiteService> services);
  // Called by the watch on the store; nullptr if the record was removed.
  void OnRecord(const KvRecord* record);
  // Called before the records of an era of the store are applied, also those of
  // the first one.
  void OnEraBegun(StoreEra era);

  size_t active_moves() const { return moves_.size(); }
  uint64_t orders_sent() const { return orders_sent_; }

 private:
  struct Move {
    int64_t incarnation = 0;
    EngineRole role = EngineRole::kNone;
    MonoTime expires_at{};
  };
  // An order that this daemon has to send to an engine.
  struct Order {
    BackEndEntry engine;
    EngineRole role = EngineRole::kNone;
    std::unique_ptr<HttpCall> call;
    TimerHandle retry_timer;
  };
  using Orders = std::map<BackEndId, Order>;

  // Evaluates the balance periodically and announces the moves it proposes.
  void Evaluate();
  // Removes moves that are complete, obsolete or timed out, and updates the
  // selector.
  void PruneMoves();
  void UpdateBalance(const SiteService& service,
                     const StageSumsByService& stages);
  void ProposeMoves(const SiteService& service, const FleetLoad& load);
  std::vector<RoleBalancer::Engine> EnginesOf(const SiteService& service,
                                              const FleetLoad& load) const;
  bool MayWriteRecord(MonoTime now) const;
  void AnnounceMoves();
  void OnMovesAnnounced(const KvResult& result, MonoTime sent_at);
  void StartOrders();
  void RequestReport(const BackEndId& id);
  // Records an engine that says in the response that it is about to terminate.
  void RecordIfLeaving(const BackEndEntry& engine, const HttpResult& result);
  void OnReport(const BackEndEntry& engine, const HttpResult& result);
  void SendOrder(const BackEndId& id, int64_t orders_accepted);
  void OnOrderResponse(const BackEndEntry& engine, const HttpResult& result);
  void RetryOrderLater(const BackEndId& id);
  void FinishOrder(const BackEndId& id, const char* outcome);
  // Returns what keeps a call for an order from its engine at this moment; the
  // role change that it is about doesn't.
  CallObstacle FindObstacle(const BackEndEntry& engine) const;
  // Returns whether a call for the order may begin. If not, ends the order, or
  // retries it later if its engine is only in the pause that it asked for.
  bool PrepareCall(const Order& order);
  HttpCallOptions CallOptionsFor(const BackEndEntry& engine) const;

  EventLoop* const loop_;
  HttpClient* const client_;
  KvStore* const store_;
  const RequestFormat* const format_;
  const BackEndList* const back_ends_;
  BackEndSelector* const selector_;
  LineLog* const log_;
  const FleetLoadSource fleet_load_source_;
  const std::string holder_;
  const uint64_t boot_;
  const Options options_;
  bool stopped_ = false;
  // Services whose engines can change roles.
  std::vector<SiteService> services_;
  std::map<ServiceId, RoleBalancer> balancers_;
  // At the previous evaluation.
  std::optional<StageSumsByService> previous_stage_sums_;
  std::map<BackEndId, Move> moves_;  // The unfinished moves of the record.

  // State of the record as last received.
  Revision revision_;
  bool owns_record_ = false;  // Written by this process.
  MonoTime record_received_at_{};
  std::optional<StoreEra> era_;  // Of the records that are in force.
  // Until then, orders of a writer whose record is lost may be sent.
  MonoTime former_orders_until_{};

  // State of this daemon as the writer.
  std::vector<RoleMove> pending_moves_;  // Not announced yet.
  MonoTime pending_until_{};
  bool announcing_ = false;
  Revision fence_;
  MonoTime orders_until_{};
  Orders orders_;
  uint64_t orders_sent_ = 0;
  KvStore::CallPtr store_call_;
  // May be on the stack.
  std::vector<std::unique_ptr<HttpCall>> finished_calls_;
  TimerHandle evaluation_timer_;
  TimerHandle propagation_timer_;
};

}  // namespace mimosa

#endif  // SERVING_ROLE_CONTROLLER_H_
