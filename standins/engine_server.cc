// Implements the HTTP interface of the stand-in engine.
#include "standins/engine_server.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa::standins {
namespace {

constexpr size_t kReceivedLogBytes = 64U << 20;

Json::Value HeldJson(const EngineLoad& load) {
  Json::Value held(Json::arrayValue);
  for (const HeldPieces& entry : load.held_pieces) {
    Json::Value value;
    value["request"] = entry.request_id;
    value["pieces"] = Json::Int64(entry.pieces.count());
    held.append(std::move(value));
  }
  return held;
}

}  // namespace

EngineServer::EngineServer(EventLoop* loop, HttpClient* client,
                           const EngineServerOptions& options)
    : loop_(loop),
      options_(options),
      random_(options.seed),
      cache_(options.cache_blocks, options.cache_event_lag,
             options.cache_event_loss_one_in, &random_),
      prefill_(loop, &options_.engine, &faults_, &cache_),
      decode_(loop, client, &options_.engine, &faults_),
      is_prefill_(options.starts_as_prefill),
      received_log_(kReceivedLogBytes) {
  RefreshLoadReport();
}

EngineRole* EngineServer::role() {
  if (is_prefill_) return &prefill_;
  return &decode_;
}

const EngineRole* EngineServer::role() const {
  if (is_prefill_) return &prefill_;
  return &decode_;
}

void EngineServer::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const Target target = ParseTarget(exchange->request().target);
  if (IsDebugPath(target.path)) {
    HandleDebug(exchange, target.path);
    return;
  }
  received_log_.Add(exchange->request());
  HandleRequest(exchange, target);
}

void EngineServer::HandleRequest(const ExchangePtr& exchange,
                                 const Target& target) {
  if (target.path == "/v1/load") {
    if (options_.load_lag == Duration::zero()) load_report_ = LoadReportJson();
    RespondJson(exchange.get(), 200, load_report_);
    return;
  }
  if (target.path == "/v1/cache_events") {
    HandleCacheEvents(exchange, target);
    return;
  }
  Json::Value body(Json::objectValue);
  if (exchange->request().method == "POST") {
    const auto parsed = ParseObject(exchange->request().body);
    if (!parsed) {
      RespondError(exchange.get(), 400, "json");
      return;
    }
    body = *parsed;
  }
  if (!PassesFence(exchange, body)) return;
  if (target.path == "/v1/cancel") {
    HandleCancel(exchange, body);
  } else if (target.path == "/v1/order") {
    HandleOrder(exchange, body);
  } else if (!role()->HandleRequest(target.path, exchange, body)) {
    RespondError(exchange.get(), 404, "path");
  }
}

// Requests without a fencing number are accepted, since fencing only applies to
// callers that use it.
bool EngineServer::PassesFence(const ExchangePtr& exchange,
                               const Json::Value& body) {
  const int64_t fence = IntMember(body, "fence");
  if (fence == 0) return true;
  if (fence >= max_fence_) {
    max_fence_ = fence;
    return true;
  }
  ++stale_orders_;
  if (!options_.check_fencing) return true;
  Json::Value value;
  value["error"] = "fenced";
  value["fence"] = Json::Int64(max_fence_);
  RespondJson(exchange.get(), 409, value);
  return false;
}

void EngineServer::HandleCancel(const ExchangePtr& exchange,
                                const Json::Value& body) {
  const RequestMatcher matcher(StringMember(body, "request"),
                               StringMember(body, "prefix"),
                               IntMember(body, "attempt", -1));
  CancelResult result = prefill_.CancelMatching(matcher);
  const CancelResult decoded = decode_.CancelMatching(matcher);
  result.cancelled += decoded.cancelled;
  result.freed += decoded.freed;
  Json::Value value;
  value["cancelled"] = Json::Int64(result.cancelled);
  value["freed_pieces"] = Json::Int64(result.freed.count());
  RespondJson(exchange.get(), 200, value);
}

void EngineServer::HandleOrder(const ExchangePtr& exchange,
                               const Json::Value& body) {
  orders_.append(body);
  const std::string role =
      body["order"].isObject() ? StringMember(body["order"], "role") : "";
  if (role == "prefill" || role == "decode") is_prefill_ = role == "prefill";
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
}

void EngineServer::HandleCacheEvents(const ExchangePtr& exchange,
                                     const Target& target) {
  Json::Value value;
  value["events"] =
      cache_.EventsAfter(target.IntParam("after", 0), loop_->Now());
  RespondJson(exchange.get(), 200, value);
}

void EngineServer::RefreshLoadReport() {
  load_report_ = LoadReportJson();
  if (options_.load_lag > Duration::zero())
    report_timer_ =
        loop_->After(options_.load_lag, [this] { RefreshLoadReport(); });
}

Json::Value EngineServer::LoadReportJson() const {
  const EngineLoad load = role()->CurrentLoad();
  Json::Value value;
  value["running"] = Json::Int64(load.running);
  value["waiting"] = Json::Int64(load.waiting);
  value["free_pieces"] = Json::Int64(load.free_pieces.count());
  value["held"] = HeldJson(load);
  value["fence"] = Json::Int64(max_fence_);
  return value;
}

Json::Value EngineServer::DebugStateJson() const {
  Json::Value state = LoadReportJson();
  Json::Int64 held = 0;
  for (const HeldPieces& entry : role()->CurrentLoad().held_pieces)
    held += entry.pieces.count();
  state["held_pieces"] = held;
  state["stale_orders"] = Json::Int64(stale_orders_);
  state["orders"] = orders_;
  state["role"] = is_prefill_ ? "prefill" : "decode";
  prefill_.AddDebugState(&state);
  decode_.AddDebugState(&state);
  return state;
}

void EngineServer::HandleDebug(const ExchangePtr& exchange,
                               const std::string& path) {
  if (path == "/debug/state") {
    RespondJson(exchange.get(), 200, DebugStateJson());
  } else if (path == "/debug/journal") {
    RespondRaw(exchange.get(), received_log_.Dump());
  } else if (path == "/debug/behave") {
    SetFaults(exchange);
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void EngineServer::SetFaults(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  if (!body) {
    RespondError(exchange.get(), 400, "json");
    return;
  }
  EngineFaults& faults = faults_;
  faults.stall_prefill =
      IntMember(*body, "stall_prefill", faults.stall_prefill);
  faults.stall_decode_after =
      IntMember(*body, "stall_decode_after", faults.stall_decode_after);
  faults.die_after_tokens =
      IntMember(*body, "die_after_tokens", faults.die_after_tokens);
  faults.cross_answers =
      BoolMember(*body, "cross_answers", faults.cross_answers);
  faults.double_answers =
      BoolMember(*body, "double_answers", faults.double_answers);
  faults.response_delay = MillisMember(*body, "late_ms", faults.response_delay);
  faults.nonsense = BoolMember(*body, "nonsense", faults.nonsense);
  faults.close_after_bytes =
      IntMember(*body, "close_after_bytes", faults.close_after_bytes);
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
}

}  // namespace mimosa::standins
