// Implements execution, journal and injected faults of the stand-in plain
// service.
#include "standins/service.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/digest.h"

namespace mimosa::standins {
namespace {

constexpr size_t kReceivedLogBytes = 64U << 20;
constexpr size_t kEchoChunkBytes = 1000;

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  const std::string* value = request.headers.Find(name);
  return value == nullptr ? std::string() : *value;
}

}  // namespace

Service::Service(EventLoop* loop, std::string name)
    : loop_(loop),
      name_(std::move(name)),
      received_log_(kReceivedLogBytes),
      delayed_tasks_(loop) {}

void Service::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const Target target = ParseTarget(exchange->request().target);
  if (IsDebugPath(target.path)) {
    HandleDebug(exchange, target.path);
    return;
  }
  received_log_.Add(exchange->request());
  if (faults_.close_before_run > 0) {
    --faults_.close_before_run;
    exchange->Abort();
    return;
  }
  delayed_tasks_.RunAfter(faults_.run_delay,
                          [this, exchange] { ExecuteRequest(exchange); });
}

void Service::ExecuteRequest(const ExchangePtr& exchange) {
  const int64_t run = JournalRun(exchange->request());
  if (faults_.close_after_run > 0) {
    --faults_.close_after_run;
    exchange->Abort();
    return;
  }
  delayed_tasks_.RunAfter(faults_.response_delay, [this, exchange, run] {
    SendResponse(exchange, run);
  });
}

int64_t Service::JournalRun(const HttpRequest& request) {
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

Json::Value Service::DescribeRequest(const HttpRequest& request,
                                     int64_t run) const {
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

void Service::SendResponse(const ExchangePtr& exchange, int64_t run) {
  const HttpRequest& request = exchange->request();
  HttpResponse response;
  const int status = std::atoi(HeaderOf(request, "X-Status").c_str());
  response.status = status >= 200 && status < 600 ? status : 200;
  response.headers.Add("X-Service", name_);
  response.headers.Add("X-Run", std::to_string(run));
  // The header field is sent twice, so that tests can check that the caller
  // receives both.
  response.headers.Add("Set-Cookie", "first=1");
  response.headers.Add("Set-Cookie", "second=2");
  if (HeaderOf(request, "X-Echo").empty()) {
    response.headers.Add("Content-Type", "application/json");
    response.body = DescribeRequest(request, run).toStyledString();
  } else {
    response.headers.Add("Content-Type", "application/octet-stream");
    response.body = request.body;
  }
  WriteResponse(exchange, std::move(response));
}

void Service::WriteResponse(const ExchangePtr& exchange,
                            HttpResponse response) {
  const bool chunked = HeaderOf(exchange->request(), "X-Echo") == "chunked" ||
                       faults_.cut_chunked;
  const bool cut = faults_.close_after_bytes >= 0;
  if (!chunked && !cut) {
    exchange->Respond(std::move(response));
    return;
  }
  exchange->StartStream(
      response.status, std::move(response.headers),
      chunked ? -1 : static_cast<int64_t>(response.body.size()));
  std::string_view rest = response.body;
  if (cut)
    rest = rest.substr(0, static_cast<size_t>(faults_.close_after_bytes));
  for (; !rest.empty();
       rest.remove_prefix(std::min(rest.size(), kEchoChunkBytes)))
    exchange->Write(rest.substr(0, kEchoChunkBytes));
  if (cut || faults_.cut_chunked)
    AbortWhenDrained(exchange);
  else
    exchange->Finish();
}

void Service::HandleDebug(const ExchangePtr& exchange,
                          const std::string& path) {
  if (path == "/debug/behave") {
    SetFaults(exchange);
  } else if (path == "/debug/journal") {
    Json::Value value;
    value["runs"] = runs_;
    RespondJson(exchange.get(), 200, value);
  } else if (path == "/debug/received") {
    RespondRaw(exchange.get(), received_log_.Dump());
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void Service::SetFaults(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  if (!body) {
    RespondError(exchange.get(), 400, "json");
    return;
  }
  Faults& faults = faults_;
  faults.run_delay = MillisMember(*body, "delay_ms", faults.run_delay);
  faults.response_delay = MillisMember(*body, "late_ms", faults.response_delay);
  faults.close_before_run =
      IntMember(*body, "close_before_run", faults.close_before_run);
  faults.close_after_run =
      IntMember(*body, "close_after_run", faults.close_after_run);
  faults.close_after_bytes =
      IntMember(*body, "close_after_bytes", faults.close_after_bytes);
  faults.cut_chunked = BoolMember(*body, "cut_chunked", faults.cut_chunked);
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
}

}  // namespace mimosa::standins
