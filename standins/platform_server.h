// Serves the stand-in platform over HTTP: the protocol of the platform's
// metadata store (its client is platform/store_client.h), and under /debug/ the
// interface that tests use to inject faults.
//
//   POST /debug/control  any of {"outage": bool, "busy": bool, "slow_ms",
//                        "lose_replies", "lose_replies_prefix", "late_writes",
//                        "late_ms", "compact": bool, "pause_leases": bool,
//                        "save_copy": bool, "restore_copy": bool,
//                        "refused": [client ips], "vms": [...], "vms_lag_ms"}
//       "restore_copy": the store comes back from the last saved copy, in a new
//       era; usually set together with the end of an outage
//   PUT  /debug/record?key=K    writes a record as the operator or a backend
//                               server would
//   DELETE /debug/record?key=K  removes a record
//   GET  /debug/stats    calls by kind, waiting watches, writes by key prefix
//   GET  /debug/records  all records, with values that aren't base64-encoded
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
  size_t history_limit = 4096;       // number of past changes kept for watches
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
    bool outage = false;        // connections are closed without a response
    bool busy = false;          // all calls get 503
    bool pause_leases = false;  // leases don't expire while in outage or busy
    Duration call_delay{};
    // Remaining writes that take effect without a response.
    int64_t lose_replies = 0;
    std::string lose_replies_prefix;
    // Remaining writes that take effect late, without a response.
    int64_t late_writes = 0;
    Duration late_write_delay = std::chrono::seconds(1);
    std::set<std::string> refused_clients;  // client IP addresses that get 503
    Duration vms_lag{};
  };

  void HandleDebug(const ExchangePtr& exchange, const Target& target);
  void HandleControl(const ExchangePtr& exchange);
  void HandleDebugRecord(const ExchangePtr& exchange, const Target& target);
  void SetOutage(bool outage, bool busy);
  void AbortWatches();
  void ScheduleVmsWrite(const Json::Value& vms);
  void WriteVms(const Json::Value& vms);
  Json::Value StatsJson() const;

  // Respond to a call of the protocol, in which each response names the era.
  void Reply(HttpExchange* exchange, int status,
             const Json::Value& value) const;
  void ReplyError(HttpExchange* exchange, int status, const char* error) const;

  // Counts a call. Returns false if it exceeds the rate limit.
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
  // Responds to the watch if a record under its prefix changed or it has timed
  // out. Returns whether it responded.
  bool TryCompleteWatch(const Watch& watch, bool timed_out);
  void CompleteReadyWatches();
  void Tick();
  // Returns whether the response to this write is to be lost, and if so counts
  // it.
  bool ShouldLoseReply(const PlatformStore::Transaction& transaction);

  EventLoop* const loop_;
  const PlatformOptions options_;
  PlatformStore store_;
  Faults faults_;
  std::set<std::string> listed_vms_;  // addresses in the VM list
  TimerHandle vms_timer_;
  TimerHandle tick_timer_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, Watch> watches_;
  DelayedTasks delayed_tasks_;  // delayed calls and late writes
  std::map<std::string, int64_t> calls_by_kind_;
  // Write counts by the first two segments of the key.
  std::map<std::string, int64_t> writes_by_prefix_;
  int64_t rate_limited_calls_ = 0;
  MonoTime rate_window_start_{};
  int64_t calls_in_rate_window_ = 0;
};

}  // namespace mimosa::standins

#endif  // STANDINS_PLATFORM_SERVER_H_
