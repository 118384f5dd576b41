// HTTP face of the stand-in engine.
#include "standins/engine_server.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa::standins {
namespace {

constexpr size_t kReceivedBytes = 64U << 20;

Json::Value HeldJson(const EngineLoad& load) {
  Json::Value held(Json::arrayValue);
  for (const HeldPieces& entry : load.held) {
    Json::Value value;
    value["request"] = entry.request;
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
             options.cache_event_gap_every, &random_),
      prefill_(loop, &options_.engine, &behaviour_, &cache_),
      decode_(loop, client, &options_.engine, &behaviour_),
      is_prefill_(options.prefill),
      received_(kReceivedBytes) {
  RefreshReport();
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
    Debug(exchange, target.path);
    return;
  }
  received_.Add(exchange->request());
  Serve(exchange, target);
}

void EngineServer::Serve(const ExchangePtr& exchange, const Target& target) {
  if (target.path == "/v1/load") {
    if (options_.load_lag == Duration::zero()) report_ = Report();
    RespondJson(exchange.get(), 200, report_);
    return;
  }
  if (target.path == "/v1/cache_events") {
    CacheEvents(exchange, target);
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
    Cancel(exchange, body);
  } else if (target.path == "/v1/order") {
    Order(exchange, body);
  } else if (!role()->Handle(target.path, exchange, body)) {
    RespondError(exchange.get(), 404, "path");
  }
}

// An order without a number is obeyed: fencing is for those who take part.
bool EngineServer::PassesFence(const ExchangePtr& exchange,
                               const Json::Value& body) {
  const int64_t fence = IntOf(body, "fence");
  if (fence == 0) return true;
  if (fence >= fence_) {
    fence_ = fence;
    return true;
  }
  ++stale_orders_;
  if (!options_.check_fencing) return true;
  Json::Value value;
  value["error"] = "fenced";
  value["fence"] = Json::Int64(fence_);
  RespondJson(exchange.get(), 409, value);
  return false;
}

void EngineServer::Cancel(const ExchangePtr& exchange,
                          const Json::Value& body) {
  const RequestMatcher matcher(StringMember(body, "request"),
                               StringMember(body, "prefix"),
                               IntOf(body, "attempt", -1));
  CancelResult result = prefill_.Cancel(matcher);
  const CancelResult decoded = decode_.Cancel(matcher);
  result.cancelled += decoded.cancelled;
  result.freed += decoded.freed;
  Json::Value value;
  value["cancelled"] = Json::Int64(result.cancelled);
  value["freed_pieces"] = Json::Int64(result.freed.count());
  RespondJson(exchange.get(), 200, value);
}

void EngineServer::Order(const ExchangePtr& exchange, const Json::Value& body) {
  orders_.append(body);
  const std::string role =
      body["order"].isObject() ? StringMember(body["order"], "role") : "";
  if (role == "prefill" || role == "decode") is_prefill_ = role == "prefill";
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
}

void EngineServer::CacheEvents(const ExchangePtr& exchange,
                               const Target& target) {
  Json::Value value;
  value["events"] = cache_.EventsAfter(target.Int("after", 0), loop_->Now());
  RespondJson(exchange.get(), 200, value);
}

void EngineServer::RefreshReport() {
  report_ = Report();
  if (options_.load_lag > Duration::zero())
    report_timer_ =
        loop_->After(options_.load_lag, [this] { RefreshReport(); });
}

Json::Value EngineServer::Report() const {
  const EngineLoad load = role()->Load();
  Json::Value value;
  value["running"] = Json::Int64(load.running);
  value["waiting"] = Json::Int64(load.waiting);
  value["free_pieces"] = Json::Int64(load.free.count());
  value["held"] = HeldJson(load);
  value["fence"] = Json::Int64(fence_);
  return value;
}

Json::Value EngineServer::State() const {
  Json::Value state = Report();
  Json::Int64 held = 0;
  for (const HeldPieces& entry : role()->Load().held)
    held += entry.pieces.count();
  state["held_pieces"] = held;
  state["stale_orders"] = Json::Int64(stale_orders_);
  state["orders"] = orders_;
  state["role"] = is_prefill_ ? "prefill" : "decode";
  prefill_.AddState(&state);
  decode_.AddState(&state);
  return state;
}

void EngineServer::Debug(const ExchangePtr& exchange, const std::string& path) {
  if (path == "/debug/state") {
    RespondJson(exchange.get(), 200, State());
  } else if (path == "/debug/journal") {
    RespondRaw(exchange.get(), received_.Dump());
  } else if (path == "/debug/behave") {
    Behave(exchange);
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void EngineServer::Behave(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  if (!body) {
    RespondError(exchange.get(), 400, "json");
    return;
  }
  EngineBehaviour& b = behaviour_;
  b.stall_prefill = IntOf(*body, "stall_prefill", b.stall_prefill);
  b.stall_decode_after =
      IntOf(*body, "stall_decode_after", b.stall_decode_after);
  b.die_after_tokens = IntOf(*body, "die_after_tokens", b.die_after_tokens);
  b.cross_answers = BoolOf(*body, "cross_answers", b.cross_answers);
  b.double_answers = BoolOf(*body, "double_answers", b.double_answers);
  b.late = MillisOf(*body, "late_ms", b.late);
  b.nonsense = BoolOf(*body, "nonsense", b.nonsense);
  b.close_after_bytes = IntOf(*body, "close_after_bytes", b.close_after_bytes);
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
}

}  // namespace mimosa::standins
