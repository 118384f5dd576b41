// Serves the stand-in engine over HTTP: the paths of its current role, and what
// both roles share: fencing, cancellation, load reports, role orders, cache
// events and the test-only interface under /debug/.
//
//   POST /v1/prefill, GET /v1/kv/<id>          role prefill
//   POST /v1/decode, /v1/resume                role decode
//   POST /v1/cancel {request | prefix, attempt: last attempt to cancel}
//   POST /v1/order                             changes the role
//   GET  /v1/load, /v1/cache_events?after=<seq>
//   POST /debug/behave    sets members of EngineFaults (response_delay is
//                         "late_ms")
//   GET  /debug/state     exact counters
//   GET  /debug/journal   raw head and body of the requests received
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
  bool starts_as_prefill = false;  // an order may change the role
  bool check_fencing = true;
  Duration load_lag{};  // maximum age of load reports
  size_t cache_blocks = 0;
  Duration cache_event_lag{};
  // On average one in this many events is lost; 0: none.
  uint64_t cache_event_loss_one_in = 0;
  uint64_t seed = 1;
};

class EngineServer : public HttpHandler {
 public:
  EngineServer(EventLoop* loop, HttpClient* client,
               const EngineServerOptions& options);

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

 private:
  void HandleRequest(const ExchangePtr& exchange, const Target& target);
  // Returns false, after responding with an error, if the request carries an
  // old fencing number and fencing is checked.
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
  int64_t max_fence_ = 0;  // the highest fencing number received
  // Requests with an old fencing number, whether rejected or not.
  int64_t stale_orders_ = 0;
  ReceivedLog received_log_;
  Json::Value orders_{Json::arrayValue};
  Json::Value load_report_;  // response of /v1/load, up to load_lag old
  TimerHandle report_timer_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_ENGINE_SERVER_H_
