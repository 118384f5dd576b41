// The stand-in platform over HTTP: the protocol in the head comment of
// router/kv_store.h, and under /debug/ the faults that a test asks for.
//
//   POST /debug/control  any of {"outage": bool, "slow_ms", "lose_replies",
//                        "lose_replies_prefix", "vms": [...], "vms_lag_ms"}
//   GET  /debug/stats    calls by kind, waiting watches, writes by key prefix
//   GET  /debug/records  all records
#ifndef STANDINS_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_SERVER_H_

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/http.h"
#include "standins/delays.h"
#include "standins/http_json.h"
#include "standins/platform_store.h"

namespace mimosa::standins {

struct PlatformOptions {
  size_t history = 4096;             // changes that a watch can look back
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
    int64_t after = 0;
    TimerHandle timeout;
  };
  struct Faults {
    bool outage = false;
    Duration slowness{};
    int64_t lose_replies = 0;  // writes left that take effect unanswered
    std::string lose_replies_prefix;
    Duration vms_lag{};
  };

  void Debug(const ExchangePtr& exchange, const Target& target);
  void Control(const ExchangePtr& exchange);
  void SetOutage(bool outage);
  void SetVms(Json::Value vms);
  Json::Value Stats() const;

  // Counts the call; false if it goes beyond the rate.
  bool Admit();
  void Serve(const ExchangePtr& exchange);
  void Dispatch(const ExchangePtr& exchange, const Target& target);
  void Count(const char* kind);

  void ServeRecord(const ExchangePtr& exchange, const Target& target);
  void Get(const ExchangePtr& exchange, const std::string& key);
  void Put(const ExchangePtr& exchange, const Target& target,
           const std::string& key);
  void Delete(const ExchangePtr& exchange, const Target& target,
              const std::string& key);
  void AnswerWrite(const ExchangePtr& exchange, const std::string& key,
                   const PlatformStore::WriteResult& result);
  void List(const ExchangePtr& exchange, const Target& target);
  void ServeLease(const ExchangePtr& exchange, const Target& target);
  void StartWatch(const ExchangePtr& exchange, const Target& target);
  // Answers the watch if something changed or `timed_out`. True if answered.
  bool TryAnswer(const Watch& watch, bool timed_out);
  void WakeWatches();
  void Tick();
  // Whether this write's answer is to be lost; counts it if so.
  bool LosesReply(const std::string& key);

  EventLoop* const loop_;
  const PlatformOptions options_;
  PlatformStore store_;
  Faults faults_;
  Json::Value vms_{Json::arrayValue};
  TimerHandle vms_timer_;
  TimerHandle tick_timer_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, Watch> watches_;
  Delays delays_;  // calls held back by slowness
  std::map<std::string, int64_t> calls_;
  std::map<std::string, int64_t> writes_;  // by the key's first two segments
  int64_t refused_ = 0;                    // beyond the rate
  MonoTime second_start_{};
  int64_t calls_this_second_ = 0;
};

}  // namespace mimosa::standins

#endif  // STANDINS_PLATFORM_SERVER_H_
