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
  bool prefill = false;  // the role at start; an order may change it
  bool check_fencing = true;
  Duration load_lag{};  // age of load reports
  size_t cache_blocks = 0;
  Duration cache_event_lag{};
  uint64_t cache_event_gap_every = 0;  // one event in so many is lost
  uint64_t seed = 1;
};

class EngineServer : public HttpHandler {
 public:
  EngineServer(EventLoop* loop, HttpClient* client,
               const EngineServerOptions& options);

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

 private:
  void Serve(const ExchangePtr& exchange, const Target& target);
  // False, and answered, if the order carries an old fencing number.
  bool PassesFence(const ExchangePtr& exchange, const Json::Value& body);
  void Cancel(const ExchangePtr& exchange, const Json::Value& body);
  void Order(const ExchangePtr& exchange, const Json::Value& body);
  void CacheEvents(const ExchangePtr& exchange, const Target& target);
  void Debug(const ExchangePtr& exchange, const std::string& path);
  void Behave(const ExchangePtr& exchange);
  void RefreshReport();
  Json::Value Report() const;
  Json::Value State() const;
  EngineRole* role();
  const EngineRole* role() const;

  EventLoop* const loop_;
  const EngineServerOptions options_;
  EngineBehaviour behaviour_;
  SeededRandom random_;
  PrefixCache cache_;
  PrefillRole prefill_;
  DecodeRole decode_;
  bool is_prefill_;
  int64_t fence_ = 0;         // the highest fencing number seen
  int64_t stale_orders_ = 0;  // carried an old number, obeyed or not
  ReceivedLog received_;
  Json::Value orders_{Json::arrayValue};
  Json::Value report_;  // what /v1/load says: up to load_lag old
  TimerHandle report_timer_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_ENGINE_SERVER_H_
