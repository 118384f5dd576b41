// Attempts, hedges and the single response of a plain request.
#include "serving/plain_relay.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decide/event_stream.h"
#include "serving/back_end_call.h"
#include "serving/local_responses.h"

namespace mimosa {
namespace {

// An idempotent request is hedged after this share of its target latency: late
// enough to rarely hedge against a healthy server, early enough for the second
// server to meet the target.
constexpr double kHedgeDelayShare = 0.6;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(20);
// A server that is silent for this multiple of the target latency is recorded
// as failed.
constexpr int kSilenceMultiple = 3;
// Minimum Retry-After of a refusal: the queue of a plain server drains in less.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(80);
constexpr Duration kRetryAfterSpread = std::chrono::milliseconds(170);
// The same while servers name limits: what they let through is spread over more
// time.
constexpr Duration kLimitedRetryAfterSpread = std::chrono::seconds(1);
// A request waits for a permit until this share of its target latency.
constexpr double kMaxPermitWaitShare = 0.5;
constexpr Duration kMinPermitWait = std::chrono::milliseconds(3);

bool IsServerError(int status) { return status / 100 == 5; }

class PlainRelay : public Relay, public BackEndCall::Handler {
 public:
  PlainRelay(const RelayDeps& deps, RelayRequest request,
             std::shared_ptr<HttpExchange> exchange, RelayDoneCallback done)
      : deps_(deps),
        request_(std::move(request)),
        exchange_(std::move(exchange)),
        done_(std::move(done)) {}

  void Start() override {
    const Duration time_left = request_.deadline - deps_.loop->Now();
    deadline_timer_ = deps_.loop->After(std::max(time_left, Duration::zero()),
                                        [this] { OnDeadline(); });
    const CrashQuarantine::Decision decision =
        deps_.crash_guard->Decide(request_.crash_suspects);
    if (decision.verdict == CrashQuarantine::Verdict::kTrial) {
      trial_claim_ =
          deps_.crash_guard->ClaimTrial(decision.suspect, [this](bool granted) {
            is_trial_ = granted;
            StartFirstAttempt();
          });
    } else {
      StartFirstAttempt();
    }
  }

  void OnCallerDisconnected() override {
    result_.caller_disconnected = true;
    CancelAttempts();
    Finish(0, "caller_gone");
  }

  void OnShutdown() override {
    is_ending_ = deps_.loop->Now() < deps_.shutdown->checks_end_at() &&
                 std::any_of(attempts_.begin(), attempts_.end(),
                             [](const auto& attempt) {
                               return attempt->call->is_checking_end();
                             });
    if (!is_ending_) EndForShutdown();
  }

  RelayRequest TakeRequest() override { return std::move(request_); }

  // BackEndCall::Handler:
  void OnResponseHead(BackEndCall* call, int status,
                      const HttpHeaders& headers) override {
    Attempt* const attempt = FindAttempt(call);
    attempt->response.status = status;
    attempt->response.headers = headers;
    if (HasMediaType(headers, kEventStreamType)) attempt->events.emplace();
  }

  void OnResponseBody(BackEndCall* call, std::string_view data) override {
    Attempt* const attempt = FindAttempt(call);
    if (attempt->events) attempt->events->Feed(data);
    if (attempt->events && attempt->events->event_too_long()) {
      call->Reject();
      return;
    }
    if (attempt == streaming_) {
      exchange_->Write(data);
      ApplyBackpressure();
      return;
    }
    attempt->response.body.append(data);
    if (attempt->response.body.size() > deps_.buffers->MaxBufferedResponse() &&
        streaming_ == nullptr)
      StreamResponse(attempt);
  }

  bool IsResponseTruncated(const BackEndCall& call) const override {
    const Attempt* const attempt = FindAttempt(&call);
    return attempt->events && IsSuccess(attempt->response.status) &&
           IsTruncatedStream(*attempt->events,
                             call.response_end() == ResponseEnd::kClose,
                             attempt->events->event_count());
  }

  void OnResponseComplete(BackEndCall* call) override {
    Attempt* const attempt = FindAttempt(call);
    result_.response_end = call->response_end();
    if (attempt == streaming_) {
      deps_.crash_guard->RecordSurvived(request_.crash_suspects);
      exchange_->Finish();
      Finish(attempt->response.status, "answered");
      return;
    }
    result_.back_end = call->back_end().id;
    deps_.crash_guard->RecordSurvived(request_.crash_suspects);
    HttpResponse response = std::move(attempt->response);
    Retire(call);
    const bool failed = IsServerError(response.status);
    if (failed && MayRetry()) {
      error_response_ = std::make_unique<HttpResponse>(std::move(response));
      if (!attempts_.empty() || StartNextAttempt()) return;
      response = std::move(*error_response_);
    }
    Respond(std::move(response), "answered");
  }

  void OnCallFailed(BackEndCall* call, CallFailure failure) override {
    const bool was_streaming = FindAttempt(call) == streaming_;
    result_.back_end = call->back_end().id;
    if (call->connection_lost() && failure != CallFailure::kNotSent)
      deps_.crash_guard->RecordCrash(request_.caller.id,
                                     request_.crash_suspects, call->back_end());
    Retire(call);
    if (was_streaming) {
      if (is_ending_) {
        EndForShutdown();
        return;
      }
      exchange_->Abort();
      Finish(0, "answer_cut");
      return;
    }
    if (failure == CallFailure::kNotExecuted) ++rejections_;
    if (failure == CallFailure::kWithheld) {
      // The server wasn't called, and may be once its pause is over.
      --result_.calls;
      tried_back_ends_.erase(call->back_end().id);
    }
    if (!attempts_.empty()) return;
    if (is_ending_) {
      EndForShutdown();
      return;
    }
    if (MayRetry() && (StartNextAttempt() || AwaitPermit())) return;
    FinishUnanswered();
  }

 private:
  struct Attempt {
    std::unique_ptr<BackEndCall> call;
    HttpResponse response;
    std::optional<SseEventSplitter> events;  // Set if it is an event stream.
  };

  void StartFirstAttempt() {
    StartSilenceTimer();
    if (!StartNextAttempt() && !AwaitPermit()) FinishUnanswered();
  }

  // Whether the request must not reach any server. That may change until it
  // runs.
  bool IsQuarantined() const {
    return !is_trial_ &&
           deps_.crash_guard->IsQuarantined(request_.crash_suspects);
  }

  bool IsIdempotent() const {
    return request_.route.retry_policy == RetryPolicy::kIdempotent;
  }

  // Whether the request may be sent to another server now.
  bool MayRetry() const {
    if (is_ending_ || rejections_ >= kMaxRejections) return false;
    // One crash may have any cause.
    const bool may_crash_another =
        is_trial_ ||
        deps_.crash_guard->CountCrashes(request_.crash_suspects) > 1;
    if (request_.runs->HasEndedRun() && may_crash_another) return false;
    const auto unsent = std::count_if(
        attempts_.begin(), attempts_.end(),
        [](const auto& attempt) { return !attempt->call->is_sent(); });
    return request_.runs->MayRunElsewhere(static_cast<int>(unsent));
  }

  SelectionQuery MakeQuery() const {
    SelectionQuery query;
    query.service = request_.service.id;
    query.preferred_zone = deps_.zone;
    query.allowed_regions = &request_.allowed_regions;
    return query;
  }

  // Returns false if no server is available, the request is in quarantine or
  // the retry budget is exhausted.
  bool StartNextAttempt() {
    if (IsQuarantined()) return false;
    const MonoTime now = deps_.loop->Now();
    SelectionQuery query = MakeQuery();
    query.exclude = &tried_back_ends_;
    const BackEndEntry* selected = deps_.selector->SelectBackEnd(query, now);
    if (selected == nullptr) return false;
    auto right =
        AcquireCall(deps_, request_, attempts_.empty() ? "run" : "hedge");
    if (!right) {
      budget_exhausted_ = true;
      return false;
    }
    const BackEndEntry back_end = *selected;
    tried_back_ends_.insert(back_end.id);
    ++result_.calls;
    auto attempt = std::make_unique<Attempt>();
    attempt->call = std::make_unique<BackEndCall>(deps_, back_end, WorkSize{},
                                                  request_.caller.id, this);
    BackEndCallParams params;
    params.expected_back_end = back_end.id;
    params.time_left = request_.deadline - now;
    params.customer = request_.customer;
    params.priority = request_.priority;
    BackEndCall::Options options;
    options.request = &request_;
    options.runs = request_.runs;
    options.retryable = IsIdempotent();
    if (!IsIdempotent()) options.max_idle = kMaxIdleNonIdempotent;
    options.head_timeout = params.time_left;
    options.idle_timeout = params.time_left;
    BackEndCall* const call = attempt->call.get();
    attempts_.push_back(std::move(attempt));
    call->Start(deps_.format->WriteCall(request_.caller, params), options,
                *std::move(right));
    return true;
  }

  // Waits for a permit if all servers that may be called lack one and it may
  // come in time. Returns false otherwise.
  bool AwaitPermit() {
    const MonoTime now = deps_.loop->Now();
    SelectionQuery query = MakeQuery();
    query.exclude = &tried_back_ends_;
    if (budget_exhausted_ || IsQuarantined() ||
        !deps_.selector->AwaitsPermit(query, now))
      return false;
    const MonoTime retry_at =
        std::max(deps_.selector->EndOfPauses(query, now), now + kMinPermitWait);
    const Duration longest_wait = std::chrono::duration_cast<Duration>(
        request_.route.target_latency * kMaxPermitWaitShare);
    if (retry_at > request_.arrived + longest_wait) return false;
    permit_timer_ = deps_.loop->After(retry_at - now, [this] {
      if (!StartNextAttempt() && !AwaitPermit()) FinishUnanswered();
    });
    return true;
  }

  void StartSilenceTimer() {
    const Duration target = request_.route.target_latency;
    if (target <= Duration::zero()) return;
    const Duration delay =
        IsIdempotent()
            ? std::max(kMinHedgeDelay, std::chrono::duration_cast<Duration>(
                                           target * kHedgeDelayShare))
            : target * kSilenceMultiple;
    silence_timer_ = deps_.loop->After(delay, [this] { OnSilence(); });
  }

  void OnSilence() {
    silence_timer_.Cancel();
    if (IsIdempotent()) {
      const bool may_hedge =
          attempts_.size() == 1 &&
          !attempts_.front()->call->is_checking_end() && MayRetry() &&
          deps_.crash_guard->CountCrashes(request_.crash_suspects) == 0;
      if (may_hedge && StartNextAttempt()) ++deps_.counters->hedges;
      return;
    }
    if (attempts_.empty()) return;
    BackEndCall* const call = attempts_.front()->call.get();
    if (!call->response_started()) call->ReportSilence();
  }

  void EndForShutdown() {
    result_.truncated_by_shutdown = streaming_ != nullptr;
    result_.unsent_bytes = exchange_->UnsentBytes();
    EndUnfinished(kStatusBadGateway, kShutdownReason);
  }

  void OnDeadline() { EndUnfinished(kStatusGatewayTimeout, "timeout"); }

  // Ends a request that may still be running. `status` says that nothing is
  // known about the run.
  void EndUnfinished(int status, const char* reason) {
    CancelAttempts();
    if (streaming_ != nullptr) {
      exchange_->Abort();
      Finish(0, reason);
    } else if (error_response_ != nullptr) {
      Respond(std::move(*error_response_), "answered");
    } else if (request_.runs->may_have_run()) {
      Respond(EmptyResponse(status), reason);
    } else {
      Refuse(reason);
    }
  }

  // Sends the final response. No attempt is running and none will be started.
  void FinishUnanswered() {
    if (error_response_ != nullptr) {
      Respond(std::move(*error_response_), "answered");
    } else if (request_.runs->may_have_run()) {
      Respond(EmptyResponse(kStatusBadGateway), "lost");
    } else if (IsQuarantined()) {
      // A retry would end the same way, so there is no time for one.
      Respond(EmptyResponse(kStatusUnavailable), "quarantined_request");
    } else if (budget_exhausted_) {
      Refuse("retry_budget");
    } else if (ReachedNoServer()) {
      result_.unreachable = true;
      Finish(0, "unreachable");
    } else if (const Barrier barrier = deps_.selector->FindBarrier(MakeQuery());
               barrier != Barrier::kNone) {
      Refuse(BarrierName(barrier));
    } else {
      Refuse(rejections_ > 0 ? "back_ends_full" : "no_back_end");
    }
  }

  // Whether servers were called and none of them got the request.
  bool ReachedNoServer() const {
    return result_.calls > 0 && rejections_ == 0 && !is_trial_;
  }

  void Refuse(const char* reason) {
    const MonoTime now = deps_.loop->Now();
    const Duration spread =
        Scaled(deps_.selector->AwaitsPermit(MakeQuery(), now)
                   ? kLimitedRetryAfterSpread
                   : kRetryAfterSpread,
               deps_.random->UniformDouble());
    const Duration pause = deps_.selector->EndOfPauses(MakeQuery(), now) - now;
    Respond(RetryLaterResponse(kStatusUnavailable,
                               std::max(kMinRetryAfter, pause) + spread),
            reason);
  }

  void StreamResponse(Attempt* attempt) {
    streaming_ = attempt;
    for (const auto& other : attempts_)
      if (other.get() != attempt) other->call->Cancel(CallOutcome::kUnknown);
    exchange_->StartStream(attempt->response.status, attempt->response.headers);
    exchange_->Write(attempt->response.body);
    attempt->response.body.clear();
    ApplyBackpressure();
  }

  // Reads from the server no faster than the caller reads.
  void ApplyBackpressure() {
    if (streaming_ == nullptr || !deps_.buffers->HasSlowReader(*exchange_))
      return;
    streaming_->call->Pause(true);
    exchange_->OnDrained([this] {
      exchange_->OnDrained(nullptr);
      if (streaming_ != nullptr) streaming_->call->Pause(false);
    });
  }

  void Respond(HttpResponse response, const char* reason) {
    CancelAttempts();
    const int status = response.status;
    exchange_->Respond(std::move(response));
    Finish(status, reason);
  }

  // Cancels all attempts. Records those that were silent for long as failed.
  void CancelAttempts() {
    const MonoTime now = deps_.loop->Now();
    const Duration silence_limit =
        request_.route.target_latency * kSilenceMultiple;
    for (const auto& attempt : attempts_) {
      if (attempt->call->is_unanswered())
        deps_.crash_guard->RecordAbandoned(request_.caller.id,
                                           request_.crash_suspects,
                                           attempt->call->back_end());
      const bool was_silent =
          !attempt->call->response_started() &&
          request_.route.target_latency > Duration::zero() &&
          now - attempt->call->started() >= silence_limit;
      attempt->call->Cancel(was_silent ? CallOutcome::kFailed
                                       : CallOutcome::kUnknown);
    }
  }

  void Finish(int status, const char* reason) {
    deadline_timer_.Cancel();
    silence_timer_.Cancel();
    permit_timer_.Cancel();
    trial_claim_.reset();
    exchange_->OnDrained(nullptr);
    result_.status = status;
    result_.reason = reason;
    const RelayDoneCallback done = std::move(done_);
    done(result_);  // Destroys this.
  }

  Attempt* FindAttempt(const BackEndCall* call) const {
    const auto it = std::find_if(
        attempts_.begin(), attempts_.end(),
        [call](const auto& attempt) { return attempt->call.get() == call; });
    return it->get();
  }

  // Keeps the attempt until the relay is destroyed, since its call is on the
  // stack.
  void Retire(const BackEndCall* call) {
    const auto it = std::find_if(
        attempts_.begin(), attempts_.end(),
        [call](const auto& attempt) { return attempt->call.get() == call; });
    finished_.push_back(std::move(*it));
    attempts_.erase(it);
  }

  const RelayDeps& deps_;
  RelayRequest request_;
  const std::shared_ptr<HttpExchange> exchange_;
  RelayDoneCallback done_;
  RelayResult result_;
  std::vector<std::unique_ptr<Attempt>> attempts_;  // In progress.
  std::vector<std::unique_ptr<Attempt>> finished_;
  std::set<BackEndId> tried_back_ends_;
  Attempt* streaming_ = nullptr;  // Its response is streamed to the caller.
  // A server error, sent if no retry succeeds.
  std::unique_ptr<HttpResponse> error_response_;
  int rejections_ = 0;
  bool budget_exhausted_ = false;
  bool is_ending_ = false;  // The daemon ends; only a verdict is awaited.
  bool is_trial_ = false;   // Runs although it is in quarantine.
  std::unique_ptr<CrashTrialClaim> trial_claim_;  // Pending, or finished.
  TimerHandle deadline_timer_;
  TimerHandle silence_timer_;
  TimerHandle permit_timer_;
};

}  // namespace

std::unique_ptr<Relay> MakePlainRelay(const RelayDeps& deps,
                                      RelayRequest request,
                                      std::shared_ptr<HttpExchange> exchange,
                                      RelayDoneCallback done) {
  return std::make_unique<PlainRelay>(deps, std::move(request),
                                      std::move(exchange), std::move(done));
}

}  // namespace mimosa
