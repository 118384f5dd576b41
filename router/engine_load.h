// Polls the engines' load reports.
//
// GET /v1/load returns {"running","waiting","free_pieces",
// "held":[{"request","pieces"}],"fence"}. A report lags behind the engine's
// state. An engine that fails to answer several polls in a row is considered
// down until it answers again.
#ifndef ROUTER_ENGINE_LOAD_H_
#define ROUTER_ENGINE_LOAD_H_

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa {

// A request that an engine holds, and how much KV memory it occupies.
struct HeldRequest {
  RequestId request;
  Pieces pieces;
};

struct EngineLoadReport {
  int64_t running = 0;
  int64_t waiting = 0;
  Pieces free_pieces;
  uint64_t fence = 0;  // highest fencing number that the engine has received
  std::vector<HeldRequest> held;
};

// Parses a load report. Returns false if `text` isn't one.
bool ParseEngineLoadReport(std::string_view text, EngineLoadReport* report);

class EngineLoadPoller {
 public:
  // Receives a load report of an engine; `report` is null if the engine is
  // down.
  using Observer =
      std::function<void(const BackEndId&, const EngineLoadReport* report)>;

  EngineLoadPoller(EventLoop* loop, HttpClient* client, Duration period);

  // Sets the engines to poll. New ones are polled at once.
  void SetEngines(const std::map<BackEndId, Endpoint>& engines);
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

 private:
  struct PolledEngine {
    Endpoint address;
    int consecutive_failures = 0;
    std::unique_ptr<HttpCall> call;
  };

  void PollAll();
  void PollEngine(const BackEndId& engine, PolledEngine* polled);
  void OnLoadReply(const BackEndId& engine, const HttpResult& result);

  EventLoop* const loop_;
  HttpClient* const client_;
  const Duration period_;
  Observer observer_;
  std::map<BackEndId, PolledEngine> engines_;
  TimerHandle poll_timer_;
};

}  // namespace mimosa

#endif  // ROUTER_ENGINE_LOAD_H_
