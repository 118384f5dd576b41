// A stand-in backend server of the users' platform: registers itself in the
// stand-in store and serves as prefill engine, decode engine or plain service.
//
// It journals what runs by request id before it answers. Handles of prefills
// and rooms lapse, memory is counted by tokens, and what doesn't fit is refused
// with the mark that it has not run.
//
//   POST /debug/behave   any of {"gap_ms", "events", "delay_ms",
//                        "abort_runs", "draining": bool, "silent": bool}
//   GET  /debug/journal  {"runs": {id: count}, "foreign": n, "used": tokens,
//                        "handles": n, "rooms": n, "stage", "orders": n}
#ifndef STANDINS_SITE_SERVER_H_
#define STANDINS_SITE_SERVER_H_

#include <json/value.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/http.h"
#include "standins/delayed_tasks.h"
#include "standins/http_json.h"

namespace mimosa::standins {

struct SiteServerOptions {
  std::string id;
  std::string service;
  std::string zone = "z";
  std::string stage;  // "prefill", "decode"; empty: a plain service
  Endpoint listen;
  std::string address;  // as registered; empty: listen
  Endpoint store;
  int64_t memory_tokens = 36000;
};

class SiteServer : public HttpHandler {
 public:
  SiteServer(LwsLoop* loop, SiteServerOptions options);

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct Run {
    ExchangePtr exchange;
    int64_t tokens = 0;
    int64_t next_event = 1;
    TimerHandle timer;
  };

  void Register();
  std::string RegistrationJson() const;
  void HandleDebug(const ExchangePtr& exchange, const std::string& path);
  void HandleBehave(const ExchangePtr& exchange);
  Json::Value JournalJson() const;
  void HandleReport(const ExchangePtr& exchange);
  // Changes the stage, unless the fence is too low or the order too late.
  void HandleOrder(const ExchangePtr& exchange);
  void HandleReserve(const ExchangePtr& exchange);
  void HandlePrefill(const ExchangePtr& exchange);
  // Takes the prefill's result from its engine, then runs.
  void ClaimKvThenAdmit(const ExchangePtr& exchange, const std::string& source);
  void AdmitRun(const ExchangePtr& exchange);
  void HandlePlainRequest(const ExchangePtr& exchange);
  void SendNextEvent(uint64_t serial);
  void EndRun(uint64_t serial);
  static void RespondNotExecuted(const ExchangePtr& exchange, int status);

  LwsLoop* const loop_;
  const SiteServerOptions options_;
  const std::unique_ptr<HttpClient> client_;
  std::string stage_;
  bool changing_stage_ = false;  // to another stage
  int64_t accepted_orders_ = 0;
  int64_t max_fence_ = 0;  // the highest one seen
  TimerHandle stage_change_timer_;
  const int64_t incarnation_;
  bool draining_ = false;
  bool unresponsive_ = false;  // answers nothing
  int64_t events_per_run_ = 5;
  int64_t runs_to_abort_ = 0;  // next runs that break off after an event
  Duration event_interval_ = std::chrono::milliseconds(10);
  Duration response_delay_{};
  std::map<std::string, int64_t> run_counts_;
  int64_t requests_with_api_key_ = 0;  // requests that carried a caller's key
  int64_t used_tokens_ = 0;            // tokens of runs and rooms
  uint64_t last_serial_ = 0;
  std::map<uint64_t, Run> running_;
  std::map<std::string, TimerHandle> handles_;
  std::map<std::string, std::pair<int64_t, TimerHandle>> reservations_;
  std::list<std::unique_ptr<HttpCall>> calls_;
  DelayedTasks delayed_tasks_;
  TimerHandle register_timer_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_SITE_SERVER_H_
