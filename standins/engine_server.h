// The stand-in engine over HTTP: one role's paths, and what both roles have:
// fencing, cancel, load reports, orders, cache events and the test-only
// interface under /debug/.
//
//   POST /v1/prefill, GET /v1/kv/<id>          role prefill
//   POST /v1/decode, /v1/resume                role decode
//   POST /v1/cancel {request | prefix, attempt: the last one meant}, /v1/order
//   GET  /v1/load, /v1/cache_events?after=<seq>
//   POST /debug/behave    members of EngineBehaviour
//   GET  /debug/state     exact counts
//   GET  /debug/journal   raw head and body of all requests
#ifndef STANDINS_ENGINE_SERVER_H_
#define STANDINS_ENGINE_SERVER_H_

#include <memory>
#include <string>

#include "base/random.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "standins/decode_role.h"
#include "standins/engine.h"
#include "standins/http_json.h"
#include "standins/prefill_role.h"
#include "standins/prefix_cache.h"

namespace mimosa::standins {

struct EngineServerOptions {
  EngineOptions engine;
  bool starts_as_prefill = false;  // the role at start; an order may change it
  bool check_fencing = true;
  Duration load_lag{};  // age of load reports
  size_t cache_blocks = 0;
  Duration cache_event_lag{};
  uint64_t cache_event_loss_one_in = 0;  // one event in so many is lost
  uint64_t seed = 1;
};

class EngineServer : public HttpHandler {
 public:
  EngineServer(EventLoop* loop, HttpClient* client,
               const EngineServerOptions& options);

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

 private:
  void HandleRequest(const ExchangePtr& exchange, const Target& target);
  // False, and answered, if the order carries an old fencing number.
  bool PassesFence(const ExchangePtr& exchange, const Json::Value& body);
  void HandleCancel(const ExchangePtr& exchange, const Json::Value& body);
  void HandleOrder(const ExchangePtr& exchange, const Json::Value& body);
  void HandleCacheEvents(const ExchangePtr& exchange, const Target& target);
  void HandleDebug(const ExchangePtr& exchange, const std::string& path);
  void SetFaults(const ExchangePtr& exchange);
  void RefreshLoadReport();
  Json::Value LoadReportJson() const;
  Json::Value DebugStateJson() const;
  EngineRole* role();
  const EngineRole* role() const;

  EventLoop* const loop_;
  const EngineServerOptions options_;
  EngineFaults faults_;
  SeededRandom random_;
  PrefixCache cache_;
  PrefillRole prefill_;
  DecodeRole decode_;
  bool is_prefill_;
  int64_t max_fence_ = 0;     // the highest fencing number seen
  int64_t stale_orders_ = 0;  // carried an old number, obeyed or not
  ReceivedLog received_log_;
  Json::Value orders_{Json::arrayValue};
  Json::Value load_report_;  // what /v1/load says: up to load_lag old
  TimerHandle report_timer_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_ENGINE_SERVER_H_
