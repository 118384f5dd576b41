// The stand-in platform over HTTP: the protocol of the platform's metadata
// store (platform/store_client.h is its client), and under /debug/ the faults
// that a test asks for.
//
//   POST /debug/control  any of {"outage": bool, "busy": bool, "slow_ms",
//                        "lose_replies", "lose_replies_prefix", "late_writes",
//                        "late_ms", "compact": bool, "pause_leases": bool,
//                        "refused": [client ips], "vms": [...], "vms_lag_ms"}
//   PUT  /debug/record?key=K  the operator's and the servers' way to write
//   DELETE /debug/record?key=K
//   GET  /debug/stats    calls by kind, waiting watches, writes by key prefix
//   GET  /debug/records  all records, values as they are
#ifndef STANDINS_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_SERVER_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/event_loop.h"
#include "net/http.h"
#include "standins/delayed_tasks.h"
#include "standins/http_json.h"
#include "standins/platform_store.h"

namespace mimosa::standins {

struct PlatformOptions {
  size_t history_limit = 4096;       // changes that a watch can look back
  int64_t max_calls_per_second = 0;  // 0: no limit
};

class PlatformServer : public HttpHandler {
 public:
  PlatformServer(EventLoop* loop, const PlatformOptions& options);

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct Watch {
    ExchangePtr exchange;
    std::string prefix;
    int64_t after_revision = 0;
    TimerHandle timeout_timer;
  };
  struct Faults {
    bool outage = false;        // connections are closed unanswered
    bool busy = false;          // 503
    bool pause_leases = false;  // while in outage or busy
    Duration call_delay{};
    int64_t lose_replies = 0;  // writes left that take effect unanswered
    std::string lose_replies_prefix;
    int64_t late_writes = 0;  // writes left that take effect late, unanswered
    Duration late_write_delay = std::chrono::seconds(1);
    std::set<std::string> refused_clients;  // client addresses that get 503
    Duration vms_lag{};
  };

  void HandleDebug(const ExchangePtr& exchange, const Target& target);
  void HandleControl(const ExchangePtr& exchange);
  void HandleDebugRecord(const ExchangePtr& exchange, const Target& target);
  void SetOutage(bool outage, bool busy);
  void ScheduleVmsWrite(const Json::Value& vms);
  void WriteVms(const Json::Value& vms);
  Json::Value StatsJson() const;

  // Counts the call; false if it goes beyond the rate.
  bool AdmitCall();
  void HandleCall(const ExchangePtr& exchange);
  void DispatchCall(const ExchangePtr& exchange, const Target& target);
  void CountCall(const char* kind);

  void HandleGet(const ExchangePtr& exchange, const Target& target);
  void HandleList(const ExchangePtr& exchange, const Target& target);
  void HandleTransaction(const ExchangePtr& exchange);
  void RespondToTransaction(const ExchangePtr& exchange,
                            const PlatformStore::Transaction& transaction);
  void HandleCreateLease(const ExchangePtr& exchange);
  void HandleRenewLease(const ExchangePtr& exchange, int64_t lease);
  void StartWatch(const ExchangePtr& exchange, const Target& target);
  // Answers the watch if something changed or `timed_out`. True if answered.
  bool TryCompleteWatch(const Watch& watch, bool timed_out);
  void CompleteReadyWatches();
  void Tick();
  // Whether this write's answer is to be lost; counts it if so.
  bool ShouldLoseReply(const PlatformStore::Transaction& transaction);

  EventLoop* const loop_;
  const PlatformOptions options_;
  PlatformStore store_;
  Faults faults_;
  std::set<std::string> listed_vms_;  // addresses that are listed
  TimerHandle vms_timer_;
  TimerHandle tick_timer_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, Watch> watches_;
  DelayedTasks delayed_tasks_;  // calls held back by slowness
  std::map<std::string, int64_t> calls_by_kind_;
  std::map<std::string, int64_t>
      writes_by_prefix_;            // by the key's first two segments
  int64_t rate_limited_calls_ = 0;  // beyond the rate
  MonoTime rate_window_start_{};
  int64_t calls_in_rate_window_ = 0;
};

}  // namespace mimosa::standins

#endif  // STANDINS_PLATFORM_SERVER_H_
