// Implements registration, stages and runs of the stand-in backend server.
#include "standins/site_server.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iterator>
#include <utility>
#include <vector>

#include "base/json.h"
#include "base/text.h"

namespace mimosa::standins {
namespace {

constexpr Duration kRegistrationInterval = std::chrono::milliseconds(300);
// Time from the head of a response that crashes the server to the crash.
constexpr Duration kCrashDelay = std::chrono::milliseconds(20);
// Of the paths that callers' requests don't have.
constexpr std::string_view kOwnPathPrefix = "/mimosarouter/";
constexpr std::string_view kReportPath = "/mimosarouter/report";
constexpr char kInstanceId[] = "Mimosarouter-Instance-Id";
constexpr Duration kHandleLifetime = std::chrono::milliseconds(500);
// How old the runs are that a report lists.
constexpr Duration kReportAge = std::chrono::milliseconds(300);
constexpr Duration kStallCheckInterval = std::chrono::milliseconds(20);
// Shorter ones are not recorded.
constexpr Duration kMinStall = std::chrono::milliseconds(50);
// Duration of a stage change.
constexpr Duration kStageChangeTime = std::chrono::milliseconds(500);

std::string HeaderField(const HttpRequest& request, const char* name) {
  const std::string* value = request.headers.Find(name);
  return value == nullptr ? "" : *value;
}

// Returns the sum of the two counts in the header "PROMPT,OUTPUT".
int64_t TokenCount(const HttpRequest& request) {
  const std::string text = HeaderField(request, "Mimosarouter-Token-Counts");
  const size_t comma = text.find(',');
  if (comma == std::string::npos) return 0;
  return std::atoll(text.c_str()) + std::atoll(text.c_str() + comma + 1);
}

int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Only requests of callers and health checks have paths of the services, and
// callers' requests have ids.
bool IsHealthCheck(const HttpRequest& request) {
  return request.method == "GET" &&
         !StartsWith(request.target, kOwnPathPrefix) &&
         HeaderField(request, "Mimosarouter-Request-Id").empty();
}

}  // namespace

SiteServer::SiteServer(LwsLoop* loop, SiteServerOptions options)
    : loop_(loop),
      options_(std::move(options)),
      client_(MakeHttpClient(loop)),
      stage_(options_.stage),
      incarnation_(UnixMillis()),
      delayed_tasks_(loop) {
  SetBehavior(options_.behavior);
  register_timer_ =
      loop_->After(options_.registration_delay, [this] { Register(); });
  ScheduleStallCheck();
}

std::string SiteServer::RegistrationJson() const {
  Json::Value entry;
  entry["service"] = options_.service;
  entry["address"] =
      options_.address.empty() ? options_.listen.ToString() : options_.address;
  entry["zone"] = options_.zone;
  entry["version"] = options_.software_version;
  entry["slots"] = 48;
  entry["state"] = draining_ ? "draining" : "ready";
  entry["cold_remaining_ms"] = 0;
  if (!stage_.empty()) entry["stage"] = stage_;
  entry["born"] = Json::Int64(incarnation_);
  return WriteJson(entry);
}

void SiteServer::Register() {
  register_timer_ = loop_->After(kRegistrationInterval, [this] { Register(); });
  if (unresponsive_ || crashed_) return;
  HttpCallOptions options;
  options.to = options_.store;
  options.reuse_connection = true;
  options.connect_timeout = kRegistrationInterval;
  options.head_timeout = kRegistrationInterval;
  HttpRequest request;
  request.method = "PUT";
  request.target = "/debug/record?key=servers/" + options_.id;
  request.body = RegistrationJson();
  register_call_ = Fetch(client_.get(), options, std::move(request),
                         [](const HttpResult&) {});
}

HttpHeaders SiteServer::ResponseHeaders(const HttpRequest& request) const {
  HttpHeaders headers;
  headers.Add("Mimosarouter-Request-Id",
              HeaderField(request, "Mimosarouter-Request-Id"));
  headers.Add("Mimosarouter-Response-Seal", "seal-of-" + options_.id);
  if (says_leaving_) headers.Add("Server-Leaving", "1");
  if (limit_ >= 0) headers.Add("Server-Limit", std::to_string(limit_));
  return headers;
}

bool SiteServer::RejectInPause(const ExchangePtr& exchange) {
  // Until then, requests that were sent before the rejection may arrive.
  constexpr Duration kInFlight = std::chrono::milliseconds(500);
  const MonoTime now = loop_->Now();
  if (now >= pause_until_) return false;
  if (now - pause_began_ > kInFlight) ++requests_in_pause_;
  HttpResponse response;
  response.status = 503;
  response.headers.Add("Mimosarouter-Not-Executed", "1");
  response.headers.Add("Retry-After",
                       std::to_string(ToSeconds(pause_until_ - now)));
  exchange->Respond(std::move(response));
  return true;
}

void SiteServer::RecordArrival(const HttpRequest& request) {
  arrivals_.push_back(
      {HeaderField(request, "Mimosarouter-Request-Id"), loop_->Now()});
}

bool SiteServer::RejectShare(const ExchangePtr& exchange) {
  rejected_requests_.Count();
  reset_requests_.Count();
  if (reset_requests_.Take()) {
    exchange->Abort();
    return true;
  }
  if (!rejected_requests_.Take()) return false;
  RespondNotExecuted(exchange, 503);
  return true;
}

bool SiteServer::RejectReportShare(const ExchangePtr& exchange) {
  lost_reports_.Count();
  rejected_reports_.Count();
  const bool is_lost = lost_reports_.Take();
  if (!is_lost && !rejected_reports_.Take()) return false;
  ++withheld_reports_;
  if (!is_lost) RespondNotExecuted(exchange, 503);
  return true;
}

void SiteServer::RespondNotExecuted(const ExchangePtr& exchange,
                                    int status) const {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Mimosarouter-Not-Executed", "1");
  if (status == 421) response.headers.Add(kInstanceId, options_.id);
  const std::string id =
      HeaderField(exchange->request(), "Mimosarouter-Request-Id");
  if (id_in_rejections_ && !id.empty())
    response.headers.Add("Mimosarouter-Request-Id", id);
  exchange->Respond(std::move(response));
}

void SiteServer::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request();
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (IsDebugPath(path)) {
    HandleDebug(exchange, path);
    return;
  }
  const bool is_of_caller =
      request.method != "DELETE" && !StartsWith(path, kOwnPathPrefix);
  if (is_of_caller) RecordArrival(request);
  if (unresponsive_) return;
  if (crashed_) {
    if (!crashes_silently_) exchange->Abort();
    return;
  }
  const std::string expected =
      HeaderField(request, "Mimosarouter-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    RespondNotExecuted(exchange, 421);
    return;
  }
  if (!HeaderField(request, "X-Api-Key").empty()) ++requests_with_api_key_;
  if (request.method != "DELETE" && RejectInPause(exchange)) return;
  if (is_of_caller && RejectShare(exchange)) return;
  const bool is_health_check = IsHealthCheck(request);
  if ((is_health_check || path == kReportPath) && RejectReportShare(exchange))
    return;
  ++requests_served_;
  if (is_health_check) {
    HttpResponse response;
    response.status = 200;
    response.headers.Add(kInstanceId, options_.id);
    exchange->Respond(std::move(response));
    return;
  }
  if (CrashesServer(request))
    crash_requests_.insert(HeaderField(request, "Mimosarouter-Request-Id"));
  const std::string source = HeaderField(request, "Mimosarouter-Kv-Source");
  if (path == kReportPath) {
    HandleReport(exchange);
  } else if (path == "/mimosarouter/order") {
    HandleOrder(exchange);
  } else if (changing_stage_) {
    RespondNotExecuted(exchange, 503);
  } else if (path == "/mimosarouter/hold-take") {
    HandleReserve(exchange);
  } else if (request.method == "DELETE") {
    const std::string id = path.substr(path.rfind('/') + 1);
    handles_.erase(id);
    const auto reservation = reservations_.find(id);
    if (reservation != reservations_.end()) {
      used_tokens_ -= reservation->second.first;
      reservations_.erase(reservation);
    }
    exchange->Respond({200, {}, ""});
  } else if (!HeaderField(request, "Mimosarouter-Serving-Stage").empty()) {
    HandlePrefill(exchange);
  } else if (stage_.empty()) {
    HandlePlainRequest(exchange);
  } else if (stage_ != "decode") {
    RespondNotExecuted(exchange, 421);
  } else if (!source.empty()) {
    ClaimKvThenAdmit(exchange, source);
  } else {
    AdmitRun(exchange);
  }
}

void SiteServer::HandleReport(const ExchangePtr& exchange) {
  Json::Value response;
  response["stage"] = stage_;
  response["busy"] = changing_stage_;
  response["sequence"] = Json::Int64(accepted_orders_);
  response["born"] = Json::Int64(incarnation_);
  response["runs"] = ListRuns(loop_->Now() - kReportAge);
  RespondJson(exchange.get(), 200, response);
}

Json::Value SiteServer::ListRuns(MonoTime as_of) const {
  Json::Value runs(Json::arrayValue);
  for (const RunSpan& span : spans_) {
    if (span.begin > as_of || (span.end && *span.end <= as_of) ||
        span.begin < incarnation_began_)
      continue;
    const auto made =
        std::upper_bound(span.events.begin(), span.events.end(), as_of) -
        span.events.begin();
    Json::Value run(Json::arrayValue);
    run.append(span.id);
    run.append(Json::Int64(span.tokens));
    run.append(Json::Int64(span.first_event - 1 + made));
    run.append(5);  // priority
    runs.append(run);
  }
  return runs;
}

void SiteServer::HandleOrder(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  const int64_t fence = body ? IntMember(*body, "fencing_token") : 0;
  const std::string stage = body ? StringMember(*body, "stage") : "";
  if (fence <= 0 || stage.empty()) {
    exchange->Respond({400, {}, ""});
  } else if (fence < max_fence_) {
    exchange->Respond({412, {}, ""});
  } else if (changing_stage_ ||
             IntMember(*body, "expected", accepted_orders_) !=
                 accepted_orders_) {
    exchange->Respond({409, {}, ""});
  } else if (stage == stage_) {
    max_fence_ = fence;
    exchange->Respond({200, {}, ""});
  } else {
    max_fence_ = fence;
    ++accepted_orders_;
    changing_stage_ = true;
    stage_change_timer_ = loop_->After(kStageChangeTime, [this, stage] {
      stage_ = stage;
      changing_stage_ = false;
    });
    exchange->Respond({202, {}, ""});
  }
}

void SiteServer::HandleReserve(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  const int64_t tokens = body ? IntMember(*body, "tokens") : 0;
  if (tokens <= 0 || used_tokens_ + tokens > options_.memory_tokens) {
    RespondNotExecuted(exchange, 503);
    return;
  }
  const std::string id = "room" + std::to_string(++last_serial_);
  used_tokens_ += tokens;
  reservations_[id] = {
      tokens,
      loop_->After(MillisMember(*body, "ttl_ms", kHandleLifetime), [this, id] {
        used_tokens_ -= reservations_[id].first;
        reservations_.erase(id);
      })};
  Json::Value response;
  response["hold"] = id;
  RespondJson(exchange.get(), 200, response);
}

void SiteServer::HandlePrefill(const ExchangePtr& exchange) {
  arrivals_.back().accepted_prefill = true;
  delayed_tasks_.RunAfter(response_delay_, [this, exchange] {
    const std::string id = "kv" + std::to_string(++last_serial_);
    handles_[id] =
        loop_->After(kHandleLifetime, [this, id] { handles_.erase(id); });
    Json::Value response;
    response["handle"] = id;
    response["tokens"] = Json::Int64(TokenCount(exchange->request()));
    response["version"] = 1;
    RespondJson(exchange.get(), 200, response);
  });
}

void SiteServer::ClaimKvThenAdmit(const ExchangePtr& exchange,
                                  const std::string& source) {
  const size_t slash = source.find('/');
  HttpCallOptions options;
  Endpoint::Parse(source.substr(0, slash), &options.to);
  HttpRequest request;
  request.method = "POST";
  request.target = "/debug/take/" + source.substr(slash + 1);
  claims_.emplace_back();
  const auto claim = std::prev(claims_.end());
  *claim = Fetch(client_.get(), options, std::move(request),
                 [this, exchange, claim](const HttpResult& result) {
                   if (result.ok && result.response.status == 200) {
                     AdmitRun(exchange);
                   } else {
                     RespondNotExecuted(exchange, 503);
                   }
                   // Later, since the call is still on the stack.
                   loop_->Post([this, claim] { claims_.erase(claim); });
                 });
}

void SiteServer::AdmitRun(const ExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  const auto reservation =
      reservations_.find(HeaderField(request, "Mimosarouter-Kv-Hold"));
  if (reservation != reservations_.end()) {
    used_tokens_ -= reservation->second.first;
    reservations_.erase(reservation);
  }
  const int64_t tokens = TokenCount(request);
  if (used_tokens_ + tokens > options_.memory_tokens) {
    RespondNotExecuted(exchange, 503);
    return;
  }
  ++run_counts_[HeaderField(request, "Mimosarouter-Request-Id")];
  const uint64_t serial = ++last_serial_;
  Run& run = running_[serial];
  run.exchange = exchange;
  run.tokens = tokens;
  used_tokens_ += tokens;
  const std::string last = HeaderField(request, "Last-Event-Id");
  if (!last.empty()) run.next_event = std::atoll(last.c_str()) + 1;
  const std::string hint = HeaderField(request, "Mimosarouter-Length-Hint");
  run.events = options_.follows_length_hints && !hint.empty()
                   ? std::atoll(hint.c_str())
                   : events_per_run_;
  run.span = spans_.size();
  RunSpan span;
  span.id = HeaderField(request, "Mimosarouter-Request-Id");
  span.begin = loop_->Now();
  span.tokens = tokens;
  span.first_event = run.next_event;
  spans_.push_back(std::move(span));
  preempted_runs_.Count();
  lost_runs_.Count();
  run.is_preempted = preempted_runs_.Take();
  run.is_lost = lost_runs_.Take();
  run.ends_with_close = unframed_;
  if (!run.is_lost) {
    HttpHeaders headers = ResponseHeaders(request);
    headers.Add("Content-Type", "text/event-stream");
    exchange->StartStream(
        status_, headers,
        unframed_ ? HttpExchange::kCloseDelimited : HttpExchange::kChunked);
  }
  exchange->OnClientDisconnected([this, serial] { EndRun(serial); });
  if (CrashesServer(request)) {
    run.timer = loop_->After(kCrashDelay, [this] { Crash(); });
    return;
  }
  SendNextEvent(serial);
}

bool SiteServer::CrashesServer(const HttpRequest& request) const {
  if (!crash_target_.empty() && request.target == crash_target_) return true;
  if (crash_part_.empty()) return false;
  const std::string parts = HeaderField(request, "Mimosarouter-Prompt-Prefix");
  const std::string before_last = "," + parts.substr(0, parts.rfind(',') + 1);
  return before_last.find("," + crash_part_ + ":") != std::string::npos;
}

void SiteServer::BreakOff(const Run& run) const {
  if (run.is_lost) {
    run.exchange->Abort();
    return;
  }
  // Without framing, nothing else shows that the stream is truncated.
  if (!whole_events_) run.exchange->Write("id: 99\nda");
  if (run.ends_with_close) {
    run.exchange->Finish();
  } else {
    AbortWhenDrained(run.exchange);
  }
}

void SiteServer::Crash() {
  ++crashes_;
  crashed_ = true;
  incarnation_ = std::max(incarnation_ + 1, UnixMillis());
  incarnation_began_ = loop_->Now();
  used_tokens_ = 0;
  handles_.clear();
  reservations_.clear();
  for (auto& [serial, run] : running_) {
    BreakOff(run);
    RecordEnd(run);
    // Pending timers of ended runs must not fire before the posted callback.
    run.timer.Cancel();
    // Kept until later, since the timer of one of them is on the stack.
    auto ended = std::make_shared<Run>(std::move(run));
    loop_->Post([ended] {});
  }
  running_.clear();
  for (const ExchangePtr& exchange : std::exchange(plain_exchanges_, {})) {
    if (crashes_silently_) {
      abandoned_.insert(exchange);
    } else {
      exchange->Abort();
    }
  }
  for (const ExchangePtr& exchange : std::exchange(half_responses_, {})) {
    if (crashes_silently_) {
      abandoned_.insert(exchange);
    } else {
      exchange->Finish();
    }
  }
  restart_timer_ = loop_->After(restart_time_, [this] {
    crashed_ = false;
    Register();
  });
}

void SiteServer::SendNextEvent(uint64_t serial) {
  Run& run = running_[serial];
  if (run.next_event > run.events) {  // resumed after its last event
    FinishResponse(run);
    EndRun(serial);
    return;
  }
  const std::string id = std::to_string(run.next_event);
  std::string text = "event " + id;
  if (options_.software_version != "v1")
    text += " by " + options_.software_version;
  if (!run.is_lost)
    run.exchange->Write("id: " + id + "\ndata: " + text + "\n\n");
  ++run.events_made;
  spans_[run.span].events.push_back(loop_->Now());
  if (runs_to_abort_ > 0) {
    --runs_to_abort_;
    BreakOff(run);
    EndRun(serial);
    return;
  }
  if (run.next_event++ >= run.events) {
    FinishResponse(run);
    EndRun(serial);
    return;
  }
  constexpr int64_t kEventsBeforePreemption = 2;
  const bool falls_silent =
      run.is_preempted && run.events_made == kEventsBeforePreemption;
  run.timer = loop_->After(falls_silent ? preemption_time_ : event_interval_,
                           [this, serial] { SendNextEvent(serial); });
}

void SiteServer::FinishResponse(const Run& run) {
  if (run.is_lost) {
    run.exchange->Abort();
  } else {
    run.exchange->Finish();
  }
}

void SiteServer::EndRun(uint64_t serial) {
  const auto run = running_.find(serial);
  if (run == running_.end()) return;
  RecordEnd(run->second);
  used_tokens_ -= run->second.tokens;
  // The timer may be due before the posted callback runs.
  run->second.timer.Cancel();
  // This may run from the run's own timer, so the run is destroyed later.
  auto node = std::make_shared<Run>(std::move(run->second));
  running_.erase(run);
  loop_->Post([node] {});
}

void SiteServer::ScheduleStallCheck() {
  stall_check_due_ = loop_->Now() + kStallCheckInterval;
  stall_timer_ = loop_->After(kStallCheckInterval, [this] {
    const MonoTime now = loop_->Now();
    if (now - stall_check_due_ >= kMinStall)
      stalls_.push_back({stall_check_due_, now});
    ScheduleStallCheck();
  });
}

Duration SiteServer::LongestStall(MonoTime from, MonoTime to) const {
  Duration longest{};
  for (const Stall& stall : stalls_)
    if (stall.begin <= to && stall.end >= from)
      longest = std::max(longest, stall.end - stall.begin);
  return longest;
}

void SiteServer::HandlePlainRequest(const ExchangePtr& exchange) {
  plain_exchanges_.insert(exchange);
  exchange->OnClientDisconnected(
      [this, exchange] { plain_exchanges_.erase(exchange); });
  if (CrashesServer(exchange->request())) {
    delayed_tasks_.RunAfter(kCrashDelay, [this] {
      if (!crashed_) Crash();
    });
    return;
  }
  delayed_tasks_.RunAfter(response_delay_, [this, exchange] {
    if (plain_exchanges_.erase(exchange) == 0) return;
    const HttpRequest& request = exchange->request();
    ++run_counts_[HeaderField(request, "Mimosarouter-Request-Id")];
    if (runs_to_abort_ > 0) {
      --runs_to_abort_;
      exchange->Abort();
      return;
    }
    HttpResponse response;
    response.status = status_;
    response.headers = ResponseHeaders(request);
    response.body = request.target + " " + request.body + " for " +
                    HeaderField(request, "Mimosarouter-Tenant");
    response.body.resize(
        std::max(response.body.size(), static_cast<size_t>(body_bytes_)), '.');
    if (unframed_) {
      RespondUnframed(exchange, response);
    } else {
      exchange->Respond(std::move(response));
    }
  });
}

void SiteServer::RespondUnframed(const ExchangePtr& exchange,
                                 const HttpResponse& response) {
  const size_t half = response.body.size() / 2;
  exchange->StartStream(response.status, response.headers,
                        HttpExchange::kCloseDelimited);
  exchange->Write(response.body.substr(0, half));
  half_responses_.insert(exchange);
  exchange->OnClientDisconnected(
      [this, exchange] { half_responses_.erase(exchange); });
  delayed_tasks_.RunAfter(event_interval_,
                          [this, exchange, rest = response.body.substr(half)] {
                            if (half_responses_.erase(exchange) == 0) return;
                            exchange->Write(rest);
                            exchange->Finish();
                          });
}

void SiteServer::HandleDebug(const ExchangePtr& exchange,
                             const std::string& path) {
  constexpr std::string_view kTakePath = "/debug/take/";
  if (path == "/debug/behave") {
    HandleBehave(exchange);
  } else if (path == "/debug/journal") {
    RespondJson(exchange.get(), 200, JournalJson());
  } else if (StartsWith(path, kTakePath)) {
    const bool found = handles_.erase(path.substr(kTakePath.size())) > 0;
    exchange->Respond({found ? 200 : 404, {}, ""});
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void SiteServer::HandleBehave(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  if (!body) {
    RespondError(exchange.get(), 400, "json");
    return;
  }
  SetBehavior(*body);
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
  Register();
}

void SiteServer::SetBehavior(const Json::Value& members) {
  event_interval_ = MillisMember(members, "gap_ms", event_interval_);
  response_delay_ = MillisMember(members, "delay_ms", response_delay_);
  events_per_run_ = IntMember(members, "events", events_per_run_);
  options_.memory_tokens =
      IntMember(members, "memory_tokens", options_.memory_tokens);
  body_bytes_ = IntMember(members, "body_bytes", body_bytes_);
  status_ = static_cast<int>(IntMember(members, "status", status_));
  const auto set_share = [&members](const char* name, Share* share) {
    share->set_percent(IntMember(members, name, share->percent()));
  };
  set_share("reject_percent", &rejected_requests_);
  set_share("reset_percent", &reset_requests_);
  set_share("preempt_percent", &preempted_runs_);
  set_share("lose_percent", &lost_runs_);
  set_share("lose_reports_percent", &lost_reports_);
  set_share("reject_reports_percent", &rejected_reports_);
  preemption_time_ = MillisMember(members, "preempt_ms", preemption_time_);
  runs_to_abort_ = IntMember(members, "abort_runs", runs_to_abort_);
  unresponsive_ = BoolMember(members, "silent", unresponsive_);
  draining_ = BoolMember(members, "draining", draining_);
  unframed_ = BoolMember(members, "unframed", unframed_);
  whole_events_ = BoolMember(members, "whole_events", whole_events_);
  restart_time_ = MillisMember(members, "restart_ms", restart_time_);
  id_in_rejections_ =
      BoolMember(members, "id_in_rejections", id_in_rejections_);
  if (members["limit"].isNumeric()) limit_ = members["limit"].asDouble();
  if (members.isMember("crash_part"))
    crash_part_ = StringMember(members, "crash_part");
  if (members.isMember("crash_target"))
    crash_target_ = StringMember(members, "crash_target");
  crashes_silently_ = BoolMember(members, "crash_silently", crashes_silently_);
  says_leaving_ = BoolMember(members, "says_leaving", says_leaving_);
  if (members.isMember("pause_ms")) {
    pause_began_ = loop_->Now();
    pause_until_ = pause_began_ + MillisMember(members, "pause_ms", Duration{});
  }
  if (BoolMember(members, "crash", false) && !crashed_) Crash();
}

Json::Value SiteServer::JournalJson() const {
  Json::Value journal;
  journal["runs"] = Json::Value(Json::objectValue);
  for (const auto& [id, count] : run_counts_)
    journal["runs"][id] = Json::Int64(count);
  journal["foreign"] = Json::Int64(requests_with_api_key_);
  journal["stage"] = stage_;
  journal["orders"] = Json::Int64(accepted_orders_);
  journal["in_pause"] = Json::Int64(requests_in_pause_);
  journal["served"] = Json::Int64(requests_served_);
  journal["crashes"] = Json::Int64(crashes_);
  journal["crash_requests"] = Json::Value(Json::arrayValue);
  for (const std::string& id : crash_requests_)
    journal["crash_requests"].append(id);
  journal["arrivals"] = Json::Value(Json::arrayValue);
  for (const Arrival& arrival : arrivals_) {
    if (arrival.id.empty()) continue;  // A health check.
    Json::Value item;
    item["id"] = arrival.id;
    item["ms"] = Json::Int64(ToMillis(arrival.at.time_since_epoch()));
    item["prefill"] = arrival.accepted_prefill;
    journal["arrivals"].append(item);
  }
  journal["spans"] = Json::Value(Json::arrayValue);
  for (const RunSpan& span : spans_) {
    Json::Value item;
    item["id"] = span.id;
    item["begin"] = Json::Int64(ToMillis(span.begin.time_since_epoch()));
    item["begin_us"] =
        Json::Int64(std::chrono::duration_cast<std::chrono::microseconds>(
                        span.begin.time_since_epoch())
                        .count());
    if (span.end)
      item["end"] = Json::Int64(ToMillis(span.end->time_since_epoch()));
    item["stall_ms"] = Json::Int64(
        ToMillis(LongestStall(span.begin, span.end.value_or(loop_->Now()))));
    journal["spans"].append(item);
  }
  journal["responding"] =
      Json::UInt64(running_.size() + half_responses_.size());
  journal["withheld_reports"] = Json::Int64(withheld_reports_);
  journal["used"] = Json::Int64(used_tokens_);
  journal["handles"] = Json::UInt64(handles_.size());
  journal["rooms"] = Json::UInt64(reservations_.size());
  return journal;
}

}  // namespace mimosa::standins
