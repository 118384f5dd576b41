// Registration, stages and runs of the stand-in backend server.
#include "standins/site_server.h"

#include <cstdlib>
#include <ctime>
#include <utility>
#include <vector>

#include "base/json.h"
#include "base/text.h"

namespace mimosa::standins {
namespace {

constexpr Duration kHeartbeat = std::chrono::milliseconds(300);
constexpr Duration kHandleLife = std::chrono::milliseconds(500);
// An ordered change of the stage takes so long.
constexpr Duration kStageChange = std::chrono::milliseconds(500);

std::string Field(const HttpRequest& request, const char* name) {
  const std::string* value = request.headers.Find(name);
  return value == nullptr ? "" : *value;
}

HttpHeaders Marks(const HttpRequest& request, const std::string& id) {
  HttpHeaders headers;
  headers.Add("Mimosarouter-Request-Id",
              Field(request, "Mimosarouter-Request-Id"));
  headers.Add("Mimosarouter-Response-Seal", "seal-of-" + id);
  return headers;
}

// The sum of "PROMPT,OUTPUT".
int64_t TokensOf(const HttpRequest& request) {
  const std::string text = Field(request, "Mimosarouter-Token-Counts");
  const size_t comma = text.find(',');
  if (comma == std::string::npos) return 0;
  return std::atoll(text.c_str()) + std::atoll(text.c_str() + comma + 1);
}

}  // namespace

SiteServer::SiteServer(LwsLoop* loop, SiteServerOptions options)
    : loop_(loop),
      options_(std::move(options)),
      client_(MakeHttpClient(loop)),
      stage_(options_.stage),
      born_(static_cast<int64_t>(time(nullptr)) * 1000 +
            loop->Now().time_since_epoch().count() % 1000),
      delays_(loop) {
  Register();
}

std::string SiteServer::Entry() const {
  Json::Value entry;
  entry["service"] = options_.service;
  entry["address"] =
      options_.address.empty() ? options_.listen.ToString() : options_.address;
  entry["zone"] = options_.zone;
  entry["version"] = "v1";
  entry["slots"] = 48;
  entry["state"] = draining_ ? "draining" : "ready";
  entry["cold_remaining_ms"] = 0;
  if (!stage_.empty()) entry["stage"] = stage_;
  entry["born"] = Json::Int64(born_);
  return WriteJson(entry);
}

void SiteServer::Register() {
  register_timer_ = loop_->After(kHeartbeat, [this] { Register(); });
  if (silent_) return;
  HttpCallOptions options;
  options.to = options_.store;
  options.reuse_connection = true;
  options.connect_timeout = kHeartbeat;
  options.head_timeout = kHeartbeat;
  HttpRequest request;
  request.method = "PUT";
  request.target = "/debug/record?key=servers/" + options_.id;
  request.body = Entry();
  calls_.clear();
  calls_.push_back(Fetch(client_.get(), options, std::move(request),
                         [](const HttpResult&) {}));
}

void SiteServer::Refuse(const ExchangePtr& exchange, int status) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Mimosarouter-Not-Executed", "1");
  exchange->Respond(std::move(response));
}

void SiteServer::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request();
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (IsDebugPath(path)) {
    Debug(exchange, path);
    return;
  }
  if (silent_) return;
  const std::string expected = Field(request, "Mimosarouter-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    Refuse(exchange, 421);
    return;
  }
  if (!Field(request, "X-Api-Key").empty()) ++foreign_;
  const std::string source = Field(request, "Mimosarouter-Kv-Source");
  if (path == "/mimosarouter/report") {
    Report(exchange);
  } else if (path == "/mimosarouter/order") {
    Order(exchange);
  } else if (changing_) {
    Refuse(exchange, 503);
  } else if (path == "/mimosarouter/hold-take") {
    SetAside(exchange);
  } else if (request.method == "DELETE") {
    const std::string id = path.substr(path.rfind('/') + 1);
    handles_.erase(id);
    const auto room = rooms_.find(id);
    if (room != rooms_.end()) {
      used_ -= room->second.first;
      rooms_.erase(room);
    }
    exchange->Respond({200, {}, ""});
  } else if (!Field(request, "Mimosarouter-Serving-Stage").empty()) {
    Prefill(exchange);
  } else if (stage_.empty()) {
    Plain(exchange);
  } else if (stage_ != "decode") {
    Refuse(exchange, 421);
  } else if (!source.empty()) {
    Take(exchange, source);
  } else {
    Admit(exchange);
  }
}

void SiteServer::Report(const ExchangePtr& exchange) {
  Json::Value answer;
  answer["stage"] = stage_;
  answer["busy"] = changing_;
  answer["sequence"] = Json::Int64(orders_taken_);
  RespondJson(exchange.get(), 200, answer);
}

void SiteServer::Order(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  const int64_t fence = body ? IntOf(*body, "fencing_token") : 0;
  const std::string stage = body ? StringMember(*body, "stage") : "";
  if (fence <= 0 || stage.empty()) {
    exchange->Respond({400, {}, ""});
  } else if (fence < fence_) {
    exchange->Respond({412, {}, ""});
  } else if (changing_ ||
             IntOf(*body, "expected", orders_taken_) != orders_taken_) {
    exchange->Respond({409, {}, ""});
  } else if (stage == stage_) {
    fence_ = fence;
    exchange->Respond({200, {}, ""});
  } else {
    fence_ = fence;
    ++orders_taken_;
    changing_ = true;
    change_timer_ = loop_->After(kStageChange, [this, stage] {
      stage_ = stage;
      changing_ = false;
    });
    exchange->Respond({202, {}, ""});
  }
}

void SiteServer::SetAside(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  const int64_t tokens = body ? IntOf(*body, "tokens") : 0;
  if (tokens <= 0 || used_ + tokens > options_.memory_tokens) {
    Refuse(exchange, 503);
    return;
  }
  const std::string id = "room" + std::to_string(++serial_);
  used_ += tokens;
  rooms_[id] = {
      tokens, loop_->After(MillisOf(*body, "ttl_ms", kHandleLife), [this, id] {
        used_ -= rooms_[id].first;
        rooms_.erase(id);
      })};
  Json::Value answer;
  answer["hold"] = id;
  RespondJson(exchange.get(), 200, answer);
}

void SiteServer::Prefill(const ExchangePtr& exchange) {
  delays_.Run(delay_, [this, exchange] {
    const std::string id = "kv" + std::to_string(++serial_);
    handles_[id] =
        loop_->After(kHandleLife, [this, id] { handles_.erase(id); });
    Json::Value answer;
    answer["handle"] = id;
    answer["tokens"] = Json::Int64(TokensOf(exchange->request()));
    answer["version"] = 1;
    RespondJson(exchange.get(), 200, answer);
  });
}

void SiteServer::Take(const ExchangePtr& exchange, const std::string& source) {
  const size_t slash = source.find('/');
  HttpCallOptions options;
  Endpoint::Parse(source.substr(0, slash), &options.to);
  HttpRequest request;
  request.method = "POST";
  request.target = "/debug/take/" + source.substr(slash + 1);
  calls_.push_back(Fetch(client_.get(), options, std::move(request),
                         [this, exchange](const HttpResult& result) {
                           if (result.ok && result.response.status == 200) {
                             Admit(exchange);
                           } else {
                             Refuse(exchange, 503);
                           }
                         }));
}

void SiteServer::Admit(const ExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  const auto room = rooms_.find(Field(request, "Mimosarouter-Kv-Hold"));
  if (room != rooms_.end()) {
    used_ -= room->second.first;
    rooms_.erase(room);
  }
  const int64_t tokens = TokensOf(request);
  if (used_ + tokens > options_.memory_tokens) {
    Refuse(exchange, 503);
    return;
  }
  ++runs_[Field(request, "Mimosarouter-Request-Id")];
  const uint64_t serial = ++serial_;
  Run& run = running_[serial];
  run.exchange = exchange;
  run.tokens = tokens;
  used_ += tokens;
  const std::string last = Field(request, "Last-Event-Id");
  if (!last.empty()) run.next_event = std::atoll(last.c_str()) + 1;
  HttpHeaders headers = Marks(request, options_.id);
  headers.Add("Content-Type", "text/event-stream");
  exchange->StartStream(200, headers);
  exchange->OnClientGone([this, serial] { EndRun(serial); });
  StepRun(serial);
}

void SiteServer::StepRun(uint64_t serial) {
  Run& run = running_[serial];
  if (run.next_event > events_) {  // resumed behind its last event
    run.exchange->Finish();
    EndRun(serial);
    return;
  }
  const std::string id = std::to_string(run.next_event);
  run.exchange->Write("id: " + id + "\ndata: event " + id + "\n\n");
  if (abort_runs_ > 0) {
    --abort_runs_;
    run.exchange->Write("id: 99\nda");
    AbortWhenDrained(run.exchange);
    EndRun(serial);
    return;
  }
  if (run.next_event++ >= events_) {
    run.exchange->Finish();
    EndRun(serial);
    return;
  }
  run.timer = loop_->After(gap_, [this, serial] { StepRun(serial); });
}

void SiteServer::EndRun(uint64_t serial) {
  const auto run = running_.find(serial);
  if (run == running_.end()) return;
  used_ -= run->second.tokens;
  // Its timer may be on the stack.
  auto node = std::make_shared<Run>(std::move(run->second));
  running_.erase(run);
  loop_->Post([node] {});
}

void SiteServer::Plain(const ExchangePtr& exchange) {
  delays_.Run(delay_, [this, exchange] {
    const HttpRequest& request = exchange->request();
    ++runs_[Field(request, "Mimosarouter-Request-Id")];
    if (abort_runs_ > 0) {
      --abort_runs_;
      exchange->Abort();
      return;
    }
    HttpResponse response;
    response.status = 200;
    response.headers = Marks(request, options_.id);
    response.body = request.target + " " + request.body + " for " +
                    Field(request, "Mimosarouter-Tenant");
    exchange->Respond(std::move(response));
  });
}

void SiteServer::Debug(const ExchangePtr& exchange, const std::string& path) {
  constexpr std::string_view kTake = "/debug/take/";
  if (path == "/debug/behave") {
    Behave(exchange);
  } else if (path == "/debug/journal") {
    RespondJson(exchange.get(), 200, Journal());
  } else if (StartsWith(path, kTake)) {
    const bool there = handles_.erase(path.substr(kTake.size())) > 0;
    exchange->Respond({there ? 200 : 404, {}, ""});
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void SiteServer::Behave(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  if (!body) {
    RespondError(exchange.get(), 400, "json");
    return;
  }
  gap_ = MillisOf(*body, "gap_ms", gap_);
  delay_ = MillisOf(*body, "delay_ms", delay_);
  events_ = IntOf(*body, "events", events_);
  abort_runs_ = IntOf(*body, "abort_runs", abort_runs_);
  silent_ = BoolOf(*body, "silent", silent_);
  draining_ = BoolOf(*body, "draining", draining_);
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
  Register();
}

Json::Value SiteServer::Journal() const {
  Json::Value journal;
  journal["runs"] = Json::Value(Json::objectValue);
  for (const auto& [id, count] : runs_)
    journal["runs"][id] = Json::Int64(count);
  journal["foreign"] = Json::Int64(foreign_);
  journal["stage"] = stage_;
  journal["orders"] = Json::Int64(orders_taken_);
  journal["used"] = Json::Int64(used_);
  journal["handles"] = Json::UInt64(handles_.size());
  journal["rooms"] = Json::UInt64(rooms_.size());
  return journal;
}

}  // namespace mimosa::standins
