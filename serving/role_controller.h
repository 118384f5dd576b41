// Moves engines between prefill and decode where the site's requests need
// another proportion (decide/role_balancer.h).
//
// Every daemon reads one record of the store that names the moves under way and
// sends nothing new to those engines until they are listed under their new
// role. The record is written by the daemon that adds up the fleet's load; its
// revision is the fence of the orders that follow, so that engines refuse what
// a former writer still sends. A writer sends orders only for a short while
// after the store has acknowledged its record, and another daemon writes only
// when the record has stood untouched for longer than that.
#ifndef SERVING_ROLE_CONTROLLER_H_
#define SERVING_ROLE_CONTROLLER_H_

#include <map>
#include <memory>
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
    std::string record_key;  // of the record
    Duration evaluation_interval = std::chrono::milliseconds(500);
    // A store that takes longer to acknowledge the record leaves the writer
    // without orders to send.
    Duration ack_timeout = std::chrono::seconds(1);
    // Until all daemons have read the record: a watch's answer and the pause
    // between two watches.
    Duration propagation_delay = std::chrono::milliseconds(700);
    // Orders are sent and repeated for so long.
    Duration order_window = std::chrono::milliseconds(2500);
    Duration call_timeout = std::chrono::milliseconds(700);
    // Another daemon's record is left alone for so long: its orders, and the
    // time between two holders' orders that the platform asks for, fit in.
    Duration takeover_delay = std::chrono::seconds(10);
    // A move takes the running requests' time and twice the engine's own; what
    // isn't done by then has failed.
    Duration move_timeout = std::chrono::seconds(20);
    RoleBalancer::Options balance;
  };
  using FleetLoad = UsageExchange::FleetLoad;
  // Nothing where another daemon adds it up.
  using FleetLoadSource = std::function<std::optional<FleetLoad>()>;

  RoleController(EventLoop* loop, HttpClient* client, KvStore* store,
                 const RequestFormat* format, const BackEndList* back_ends,
                 BackEndSelector* choice, LineLog* log,
                 FleetLoadSource fleet_work, std::string holder, uint64_t boot,
                 Options options);
  ~RoleController();

  void Start();
  // No more moves are begun.
  void Stop();
  void SetServices(std::vector<SiteService> services);
  // From the watch over the store; nullptr: the record is gone.
  void OnRecord(const KvRecord* record);

  size_t active_moves() const { return moves_.size(); }
  uint64_t orders_sent() const { return orders_sent_; }

 private:
  struct Move {
    int64_t incarnation = 0;
    EngineRole role = EngineRole::kNone;
    MonoTime expires_at{};
  };
  // One engine that this daemon has to give an order.
  struct Order {
    BackEndEntry engine;
    EngineRole role = EngineRole::kNone;
    std::unique_ptr<HttpCall> call;
    TimerHandle retry_timer;
  };
  using Orders = std::map<BackEndId, Order>;

  void Evaluate();
  // Forgets moves that are done, void or too old.
  void PruneMoves();
  void UpdateBalance(const SiteService& service,
                     const StageSumsByService& stages);
  void ProposeMoves(const SiteService& service, const FleetLoad& work);
  std::vector<RoleBalancer::Engine> EnginesOf(const SiteService& service,
                                              const FleetLoad& work) const;
  bool MayWriteRecord(MonoTime now) const;
  void AnnounceMoves();
  void OnMovesAnnounced(const KvResult& result, MonoTime sent);
  void StartOrders();
  void RequestReport(const BackEndId& id);
  void OnReport(const BackEndId& id, const HttpResult& result);
  void SendOrder(const BackEndId& id, int64_t orders_taken);
  void OnOrderResponse(const BackEndId& id, const HttpResult& result);
  void RetryOrderLater(const BackEndId& id);
  void FinishOrder(const BackEndId& id, const char* outcome);
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
  std::vector<SiteService> services_;  // with engines
  std::map<ServiceId, RoleBalancer> balances_;
  std::optional<StageSumsByService> previous_stage_sums_;  // at the last look
  std::map<BackEndId, Move> moves_;  // as the record says, while they last

  // The record as last seen.
  Revision revision_;
  bool owns_record_ = false;  // written by this start of this daemon
  MonoTime record_seen_at_{};

  // As writer.
  std::vector<RoleMove> pending_moves_;  // not announced yet
  MonoTime pending_until_{};
  bool announcing_ = false;
  Revision fence_;
  MonoTime orders_until_{};
  Orders orders_;
  uint64_t orders_sent_ = 0;
  KvStore::CallPtr store_call_;
  std::vector<std::unique_ptr<HttpCall>>
      finished_calls_;  // may be on the stack
  TimerHandle evaluation_timer_;
  TimerHandle propagation_timer_;
};

}  // namespace mimosa

#endif  // SERVING_ROLE_CONTROLLER_H_
