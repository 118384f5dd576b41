// Polls the engines and parses their load reports.
#include "router/engine_load.h"

#include <json/value.h>

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

// Consecutive failed polls after which an engine counts as down.
constexpr int kFailuresUntilDown = 2;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kResponseTimeout = std::chrono::seconds(1);
constexpr size_t kMaxReportBytes = 1U << 20;

int64_t IntegerOr0(const Json::Value& value) {
  return value.isIntegral() ? value.asInt64() : 0;
}

}  // namespace

bool ParseEngineLoadReport(std::string_view text, EngineLoadReport* report) {
  const leaf::result<Json::Value> parsed = ParseJson(text);
  if (!parsed || !parsed->isObject()) return false;
  const Json::Value& json = *parsed;
  report->running = IntegerOr0(json["running"]);
  report->waiting = IntegerOr0(json["waiting"]);
  report->free_pieces = Pieces(IntegerOr0(json["free_pieces"]));
  report->fence =
      static_cast<uint64_t>(std::max<int64_t>(IntegerOr0(json["fence"]), 0));
  report->held.clear();
  if (!json["held"].isArray()) return true;
  for (const Json::Value& item : json["held"]) {
    if (!item.isObject() || !item["request"].isString()) continue;
    report->held.push_back({RequestId(item["request"].asString()),
                            Pieces(IntegerOr0(item["pieces"]))});
  }
  return true;
}

EngineLoadPoller::EngineLoadPoller(EventLoop* loop, HttpClient* client,
                                   Duration period)
    : loop_(loop), client_(client), period_(period) {
  poll_timer_ = loop_->After(period_, [this] { PollAll(); });
}

void EngineLoadPoller::SetEngines(
    const std::map<BackEndId, Endpoint>& engines) {
  for (auto it = engines_.begin(); it != engines_.end();) {
    auto wanted = engines.find(it->first);
    const bool unchanged =
        wanted != engines.end() && wanted->second == it->second.address;
    it = unchanged ? std::next(it) : engines_.erase(it);
  }
  for (const auto& [id, address] : engines) {
    auto [it, inserted] = engines_.try_emplace(id);
    if (!inserted) continue;
    it->second.address = address;
    PollEngine(id, &it->second);
  }
}

void EngineLoadPoller::PollAll() {
  poll_timer_ = loop_->After(period_, [this] { PollAll(); });
  for (auto& [id, polled] : engines_) {
    if (polled.call == nullptr) PollEngine(id, &polled);
  }
}

void EngineLoadPoller::PollEngine(const BackEndId& engine,
                                  PolledEngine* polled) {
  HttpCallOptions options;
  options.to = polled->address;
  options.connect_timeout = kConnectTimeout;
  options.head_timeout = kResponseTimeout;
  options.idle_timeout = kResponseTimeout;
  options.max_response_bytes = kMaxReportBytes;
  options.reuse_connection = true;
  HttpRequest request;
  request.method = "GET";
  request.target = "/v1/load";
  polled->call = Fetch(client_, options, std::move(request),
                       [this, engine](const HttpResult& result) {
                         OnLoadReply(engine, result);
                       });
}

void EngineLoadPoller::OnLoadReply(const BackEndId& engine,
                                   const HttpResult& result) {
  PolledEngine& polled = engines_.at(engine);
  // Keeps the call alive until this function returns: the call's callback runs
  // it.
  const std::unique_ptr<HttpCall> call = std::move(polled.call);
  EngineLoadReport report;
  if (result.ok && result.response.status == 200 &&
      ParseEngineLoadReport(result.response.body, &report)) {
    polled.consecutive_failures = 0;
    if (observer_) observer_(engine, &report);
    return;
  }
  ++polled.consecutive_failures;
  if (polled.consecutive_failures >= kFailuresUntilDown && observer_) {
    observer_(engine, nullptr);
  }
}

}  // namespace mimosa
