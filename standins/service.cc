// Execution, journal and faults of the stand-in plain service.
#include "standins/service.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/digest.h"

namespace mimosa::standins {
namespace {

constexpr size_t kReceivedBytes = 64U << 20;
constexpr size_t kEchoChunkBytes = 1000;

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  const std::string* value = request.headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

}  // namespace

Service::Service(EventLoop* loop, std::string name)
    : loop_(loop),
      name_(std::move(name)),
      received_(kReceivedBytes),
      delays_(loop) {}

void Service::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const Target target = ParseTarget(exchange->request().target);
  if (IsDebugPath(target.path)) {
    Debug(exchange, target.path);
    return;
  }
  received_.Add(exchange->request());
  if (behaviour_.close_before_run > 0) {
    --behaviour_.close_before_run;
    exchange->Abort();
    return;
  }
  delays_.Run(behaviour_.delay, [this, exchange] { Execute(exchange); });
}

void Service::Execute(const ExchangePtr& exchange) {
  const int64_t run = Journal(exchange->request());
  if (behaviour_.close_after_run > 0) {
    --behaviour_.close_after_run;
    exchange->Abort();
    return;
  }
  delays_.Run(behaviour_.late,
              [this, exchange, run] { Answer(exchange, run); });
}

int64_t Service::Journal(const HttpRequest& request) {
  const Json::Int64 run = Json::Int64(runs_.size()) + 1;
  Json::Value entry;
  entry["run"] = run;
  entry["method"] = request.method;
  entry["target"] = request.target;
  entry["idempotency_key"] = HeaderOf(request, "Idempotency-Key");
  entry["body_sha256"] = Sha256Hex(request.body);
  entry["at_us"] = Json::Int64(loop_->Now().time_since_epoch().count());
  runs_.append(std::move(entry));
  return run;
}

Json::Value Service::Describe(const HttpRequest& request, int64_t run) const {
  Json::Value value;
  value["service"] = name_;
  value["run"] = Json::Int64(run);
  value["method"] = request.method;
  value["target"] = request.target;
  value["body_sha256"] = Sha256Hex(request.body);
  value["headers"] = Json::Value(Json::arrayValue);
  for (const auto& [name, content] : request.headers.fields()) {
    Json::Value field(Json::arrayValue);
    field.append(name);
    field.append(content);
    value["headers"].append(std::move(field));
  }
  return value;
}

void Service::Answer(const ExchangePtr& exchange, int64_t run) {
  const HttpRequest& request = exchange->request();
  HttpResponse response;
  const int status = std::atoi(HeaderOf(request, "X-Status").c_str());
  response.status = status >= 200 && status < 600 ? status : 200;
  response.headers.Add("X-Service", name_);
  response.headers.Add("X-Run", std::to_string(run));
  // A field that comes twice must reach the caller twice.
  response.headers.Add("Set-Cookie", "first=1");
  response.headers.Add("Set-Cookie", "second=2");
  if (HeaderOf(request, "X-Echo").empty()) {
    response.headers.Add("Content-Type", "application/json");
    response.body = Describe(request, run).toStyledString();
  } else {
    response.headers.Add("Content-Type", "application/octet-stream");
    response.body = request.body;
  }
  AnswerBody(exchange, std::move(response));
}

void Service::AnswerBody(const ExchangePtr& exchange, HttpResponse response) {
  const bool chunked = HeaderOf(exchange->request(), "X-Echo") == "chunked" ||
                       behaviour_.cut_chunked;
  const bool cut = behaviour_.close_after_bytes >= 0;
  if (!chunked && !cut) {
    exchange->Respond(std::move(response));
    return;
  }
  exchange->StartStream(
      response.status, std::move(response.headers),
      chunked ? -1 : static_cast<int64_t>(response.body.size()));
  std::string_view rest = response.body;
  if (cut)
    rest = rest.substr(0, static_cast<size_t>(behaviour_.close_after_bytes));
  for (; !rest.empty();
       rest.remove_prefix(std::min(rest.size(), kEchoChunkBytes)))
    exchange->Write(rest.substr(0, kEchoChunkBytes));
  if (cut || behaviour_.cut_chunked)
    AbortWhenDrained(exchange);
  else
    exchange->Finish();
}

void Service::Debug(const ExchangePtr& exchange, const std::string& path) {
  if (path == "/debug/behave") {
    Behave(exchange);
  } else if (path == "/debug/journal") {
    Json::Value value;
    value["runs"] = runs_;
    RespondJson(exchange.get(), 200, value);
  } else if (path == "/debug/received") {
    RespondRaw(exchange.get(), received_.Dump());
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void Service::Behave(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  if (!body) {
    RespondError(exchange.get(), 400, "json");
    return;
  }
  Behaviour& b = behaviour_;
  b.delay = MillisOf(*body, "delay_ms", b.delay);
  b.late = MillisOf(*body, "late_ms", b.late);
  b.close_before_run = IntOf(*body, "close_before_run", b.close_before_run);
  b.close_after_run = IntOf(*body, "close_after_run", b.close_after_run);
  b.close_after_bytes = IntOf(*body, "close_after_bytes", b.close_after_bytes);
  b.cut_chunked = BoolOf(*body, "cut_chunked", b.cut_chunked);
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
}

}  // namespace mimosa::standins
