// Implements the open-loop load generator.
#include "tools/mimosa_load_run.h"

#include <json/value.h>
#include <signal.h>
#include <sys/types.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <string_view>
#include <utility>

#include "base/json.h"
#include "router/completion_request.h"

namespace mimosa {
namespace {

constexpr int kStatusOk = 200;
constexpr int kFirstErrorStatus = 300;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr char kOutcomeHeader[] = "Mimosa-Outcome";
constexpr char kNotRun[] = "not-run";
// A request fails if its response head, or the next data of its body, takes
// longer than this.
constexpr Duration kResponseTimeout = std::chrono::seconds(90);
constexpr Duration kEngineTimeout = std::chrono::seconds(2);

// Makes a prompt of four-byte words, which the router estimates at one token
// each. The serial number makes prompts differ from their start, so that prefix
// caches don't hit by accident.
std::string MakePrompt(size_t serial, Tokens tokens) {
  std::string prompt = "letter " + std::to_string(serial) + " ";
  const auto size = static_cast<size_t>(tokens.count() * kBytesPerPromptToken);
  prompt.reserve(size);
  while (prompt.size() < size) prompt += "abc ";
  prompt.resize(size);
  return prompt;
}

int64_t IntMember(const Json::Value& object, const char* name) {
  return object.isObject() && object[name].isInt64() ? object[name].asInt64()
                                                     : 0;
}

}  // namespace

// Sends one request and measures its response.
class LoadRun::RunningRequest : public HttpCallHandler {
 public:
  RunningRequest(LoadRun* run, size_t index, MonoTime due_time)
      : run_(run), index_(index), due_time_(due_time) {
    sample_.planned = run->plan_[index];
  }

  void Start(const HttpCallOptions& options, HttpRequest request) {
    call_ = run_->client_->Start(options, std::move(request), this);
  }

  void OnHead(int status, const HttpHeaders& headers) override {
    sample_.status = status;
    const std::string* outcome = headers.Find(kOutcomeHeader);
    marked_not_run_ = outcome != nullptr && *outcome == kNotRun;
  }

  // Parses server-sent events; each "data:" line except the last one carries
  // one token.
  void OnBody(std::string_view data) override {
    if (sample_.planned.prompt_tokens == Tokens(0)) return;
    const Duration now = run_->loop_->Now() - due_time_;
    partial_line_ += data;
    size_t end = 0;
    while ((end = partial_line_.find('\n')) != std::string::npos) {
      ProcessLine(std::string_view(partial_line_).substr(0, end), now);
      partial_line_.erase(0, end + 1);
    }
  }

  void OnDone(ResponseEnd /*end*/) override { Finish(ClassifyResponse()); }
  void OnFailed(HttpFailure /*failure*/, bool /*sent*/) override {
    Finish(RequestOutcome::kFailed);
  }

 private:
  void ProcessLine(std::string_view line, Duration now) {
    if (line.rfind("data:", 0) != 0) return;
    if (line.find("[DONE]") != std::string_view::npos) {
      done_marker_seen_ = true;
      return;
    }
    // The final event carries the finish reason and no text.
    if (line.find("\"text\":\"\"") != std::string_view::npos) return;
    if (!sample_.time_to_first_token) sample_.time_to_first_token = now;
    sample_.time_to_last_token = now;
    ++sample_.tokens;
  }

  RequestOutcome ClassifyResponse() const {
    const bool refused = sample_.status == kStatusTooManyRequests ||
                         sample_.status == kStatusUnavailable;
    if (refused && marked_not_run_) return RequestOutcome::kRefused;
    const bool ok =
        sample_.status >= kStatusOk && sample_.status < kFirstErrorStatus;
    const bool complete =
        sample_.planned.prompt_tokens == Tokens(0) || done_marker_seen_;
    return ok && complete ? RequestOutcome::kComplete : RequestOutcome::kFailed;
  }

  // Records the outcome and destroys this object.
  void Finish(RequestOutcome outcome) {
    sample_.outcome = outcome;
    sample_.total_time = run_->loop_->Now() - due_time_;
    run_->OnRequestFinished(index_, sample_);
  }

  LoadRun* const run_;
  const size_t index_;
  const MonoTime due_time_;
  RequestSample sample_;
  bool marked_not_run_ = false;
  bool done_marker_seen_ = false;
  std::string partial_line_;  // an incomplete line of the event stream
  std::unique_ptr<HttpCall> call_;
};

LoadRun::LoadRun(LwsLoop* loop, HttpClient* client,
                 const wire::Workload& workload,
                 std::vector<PlannedRequest> plan,
                 const LoadRunOptions& options)
    : loop_(loop),
      client_(client),
      workload_(workload),
      plan_(std::move(plan)),
      options_(options) {}

LoadRun::~LoadRun() = default;

void LoadRun::Run() {
  const std::optional<PrefillWork> before = FetchPrefillWork();
  start_ = loop_->Now();
  ScheduleFaults();
  SendDueRequests();
  if (next_request_ < plan_.size() || !running_.empty()) loop_->Run();
  const std::optional<PrefillWork> after = FetchPrefillWork();
  if (!before || !after) return;
  prefill_work_ =
      PrefillWork{after->completed_tokens - before->completed_tokens,
                  after->wasted_tokens - before->wasted_tokens};
}

// Sums the counters of the engines that respond. Returns nothing if no engines
// are configured.
std::optional<PrefillWork> LoadRun::FetchPrefillWork() {
  if (options_.engines.empty()) return std::nullopt;
  PrefillWork sum;
  size_t pending = options_.engines.size();
  std::vector<std::unique_ptr<HttpCall>> calls;
  for (const Endpoint& engine : options_.engines) {
    HttpCallOptions options;
    options.to = engine;
    options.head_timeout = kEngineTimeout;
    HttpRequest request;
    request.method = "GET";
    request.target = "/debug/state";
    calls.push_back(
        Fetch(client_, options, std::move(request),
              [this, &sum, &pending](const HttpResult& result) {
                if (const auto state = ParseJson(result.response.body)) {
                  sum.completed_tokens += IntMember(*state, "prefill_tokens");
                  sum.wasted_tokens += IntMember(*state, "wasted_tokens");
                }
                if (--pending == 0) loop_->Stop();
              }));
  }
  while (pending > 0) loop_->Run();
  return sum;
}

void LoadRun::ScheduleFaults() {
  for (const wire::WorkloadFault& fault : workload_.faults())
    fault_timers_.push_back(
        loop_->After(std::chrono::milliseconds(fault.at_ms()),
                     [this, &fault] { InjectFault(fault); }));
}

void LoadRun::InjectFault(const wire::WorkloadFault& fault) {
  if (!fault.pid_file().empty()) {
    std::ifstream file(fault.pid_file());
    pid_t pid = 0;
    if (file >> pid && pid > 1) kill(pid, fault.signal());
    return;
  }
  HttpCallOptions options;
  if (!Endpoint::Parse(fault.address(), &options.to)) return;
  HttpRequest request;
  request.method = "POST";
  request.target = fault.path();
  request.body = fault.body();
  fault_calls_.push_back(Fetch(client_, options, std::move(request),
                               [](const HttpResult& /*result*/) {}));
}

void LoadRun::SendDueRequests() {
  const Duration now = loop_->Now() - start_;
  while (next_request_ < plan_.size() &&
         plan_[next_request_].send_offset <= now) {
    max_send_delay_ =
        std::max(max_send_delay_, now - plan_[next_request_].send_offset);
    SendRequest(next_request_++);
  }
  if (next_request_ < plan_.size())
    send_timer_ = loop_->After(plan_[next_request_].send_offset - now,
                               [this] { SendDueRequests(); });
}

void LoadRun::SendRequest(size_t index) {
  HttpCallOptions options;
  options.to = options_.routers[index % options_.routers.size()];
  options.head_timeout = kResponseTimeout;
  options.idle_timeout = kResponseTimeout;
  auto& request = running_[index];
  request = std::make_unique<RunningRequest>(this, index,
                                             start_ + plan_[index].send_offset);
  request->Start(options, MakeRequest(index));
}

HttpRequest LoadRun::MakeRequest(size_t index) const {
  const PlannedRequest& planned = plan_[index];
  const auto& c = workload_.classes(planned.request_class);
  HttpRequest request;
  request.method = c.method();
  request.target = c.target();
  request.headers.Add("Authorization",
                      "Bearer " + workload_.customers(planned.customer).key());
  if (c.request_class() == wire::NEVER_REPEATED)
    request.headers.Add(
        "Idempotency-Key",
        "load-" + std::to_string(options_.seed) + "-" + std::to_string(index));
  Json::Value body;
  if (planned.prompt_tokens > Tokens(0)) {
    body["model"] = workload_.model();
    body["prompt"] = MakePrompt(index, planned.prompt_tokens);
    body["max_tokens"] = Json::Int64(planned.output_tokens.count());
    body["stream"] = true;
  } else if (c.method() != "GET") {
    body["serial"] = Json::UInt64(index);
  }
  if (body.isNull()) return request;
  request.headers.Add("Content-Type", "application/json");
  request.body = WriteJson(body);
  return request;
}

void LoadRun::OnRequestFinished(size_t index, const RequestSample& sample) {
  samples_.push_back(sample);
  running_.erase(index);
  StopIfFinished();
}

void LoadRun::StopIfFinished() {
  if (next_request_ == plan_.size() && running_.empty()) loop_->Stop();
}

}  // namespace mimosa
