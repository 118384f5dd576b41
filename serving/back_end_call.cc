// Sends calls to back ends and classifies how they end.
#include "serving/back_end_call.h"

#include <algorithm>
#include <utility>

#include "serving/local_responses.h"

namespace mimosa {
namespace {

constexpr int kMisdirected = 421;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// A call without a response head for this long casts doubt on the link.
constexpr Duration kSilence = std::chrono::milliseconds(300);
// An engine that does not respond to such a simple request in this time is
// taken for one that doesn't say which incarnation it is.
constexpr Duration kIncarnationTimeout = std::chrono::milliseconds(150);
// When an engine is called again whose listed incarnation has terminated,
// unless its entry changes before.
constexpr Duration kRegistrationDelay = std::chrono::milliseconds(250);
// Time for the body of a refusal after its head.
constexpr Duration kRefusalBodyTimeout = std::chrono::milliseconds(100);

// Statuses that would promise the caller that its request has not run. They are
// not forwarded unless the back end marks the request as not executed.
bool PromisesNotRun(int status) {
  return status == 408 || status == 429 || status == 503;
}

}  // namespace

const char* CallFailureName(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      return "not_sent";
    case CallFailure::kWithheld:
      return "withheld";
    case CallFailure::kUnknownIncarnation:
      return "unknown_incarnation";
    case CallFailure::kNotExecuted:
      return "not_executed";
    case CallFailure::kOtherWeights:
      return "other_weights";
    case CallFailure::kNoResponse:
      return "no_answer";
    case CallFailure::kTruncated:
      return "cut";
    case CallFailure::kIncompleteContent:
      return "cut_in_event";
    case CallFailure::kUnconfirmedEnd:
      return "end_unconfirmed";
    case CallFailure::kInvalidResponse:
      return "unreadable";
  }
  return "?";
}

namespace {

// Counts and logs what was decided on a call that may be a retry.
void RecordDecision(const RelayDeps& deps,
                    const std::optional<CallRight>& right,
                    const ServiceId& service, const RequestId& id,
                    const char* kind) {
  if (right && !right->is_charged()) return;
  ++(right ? deps.counters->retries : deps.counters->retries_denied);
  const RetryBudget::State state =
      deps.retry_budget->GetState(service, deps.loop->Now());
  deps.log->Write(
      LogLine(right ? "retry_charged" : "retry_denied")
          .Add("request", id.value())
          .Add("service", service.value())
          .Add("kind", kind)
          .Add("requests", static_cast<int64_t>(state.requests))
          .Add("retries", static_cast<int64_t>(state.retries))
          .Add("allowed_pct", static_cast<int64_t>(100 * state.allowed))
          .Add("slack_pct", static_cast<int64_t>(100 * state.slack)));
}

}  // namespace

std::optional<CallRight> AcquireCall(const RelayDeps& deps,
                                     const RelayRequest& request,
                                     const char* kind) {
  auto right = request.rights->Acquire(deps.loop->Now());
  RecordDecision(deps, right, request.service.id, request.caller.id, kind);
  return right;
}

BackEndCall::BackEndCall(const RelayDeps& deps, const BackEndEntry& back_end,
                         const WorkSize& size, const RequestId& id,
                         Handler* handler)
    : deps_(deps),
      back_end_(back_end),
      size_(size),
      id_(id),
      handler_(handler) {}

BackEndCall::~BackEndCall() { ReportOutcome(CallOutcome::kUnknown); }

void BackEndCall::Start(HttpRequest request, const Options& options,
                        CallRight right) {
  started_ = deps_.loop->Now();
  right_ = std::move(right);
  internal_call_ = options.internal_call;
  is_reservation_ = options.is_reservation;
  expects_weights_ = options.expects_weights;
  runs_ = options.runs;
  kind_ = options.kind;
  request_ = options.request;
  incarnation_ = std::max(back_end_.incarnation,
                          deps_.selector->LatestIncarnation(back_end_.id));
  deadline_ = started_ + options.idle_timeout;
  valid_until_ = options.valid_until;
  deps_.selector->OnCallStarted(back_end_, size_);
  counted_ = true;
  HttpCallOptions call_options;
  call_options.to = address();
  call_options.connect_timeout = kConnectTimeout;
  call_options.head_timeout = options.head_timeout;
  call_options.idle_timeout = options.idle_timeout;
  call_options.reuse_connection = true;
  call_options.max_idle = options.max_idle;
  call_options.retry_on_fresh_connection = options.retryable;
  call_options.may_resend = [this] { return AcquireResend(); };
  call_options.may_send = [this] { return MaySend(); };
  call_options.accept_close_delimited = true;
  if (options.internal_call) {
    call_options.total_timeout = options.head_timeout;
    call_options.max_response_bytes = kMaxInternalResponseBytes;
  }
  // A reservation bears no id.
  if (!options.is_reservation) call_options.request_id = id_.value();
  call_options.success_names_request = !options.internal_call;
  call_options.read_request_id = [this](const HttpHeaders& headers) {
    return deps_.format->ReadResponseMarkers(headers).request_id.value();
  };
  if (options.checks_incarnation && back_end_.incarnation != 0)
    CheckIncarnation(options.requires_incarnation, &call_options);
  call_ = deps_.client->Start(call_options, std::move(request), this);
  silence_timer_ = deps_.loop->After(
      kSilence, [this] { deps_.reachability->RecordSilence(back_end_); });
}

void BackEndCall::CheckIncarnation(bool is_required, HttpCallOptions* options) {
  IncarnationCheck check;
  check.expected = back_end_.incarnation;
  check.query = deps_.format->WriteReportRequest(back_end_.id);
  check.timeout = kIncarnationTimeout;
  check.is_required = is_required;
  check.read = [this](const HttpResponse& response) {
    return ReadIncarnation(response);
  };
  check.may_ask = [this] {
    const CallObstacle obstacle = deps_.selector->FindObstacle(
        back_end_, CallPurpose::kWork, deps_.loop->Now());
    if (obstacle != CallObstacle::kNone) obstacle_ = CallObstacleName(obstacle);
    return obstacle == CallObstacle::kNone;
  };
  options->incarnation_check = std::move(check);
}

std::optional<int64_t> BackEndCall::ReadIncarnation(
    const HttpResponse& response) {
  if (!IsSuccess(response.status)) {
    query_rejection_ = response.status;
    if (response.status == kStatusUnavailable)
      RecordPause(
          deps_.format->ReadResponseMarkers(response.headers).retry_after);
    return std::nullopt;
  }
  if (!deps_.format->ReadReport(response.body)) return std::nullopt;
  const auto incarnation = deps_.format->ReadStatement(response).incarnation;
  if (!incarnation) return back_end_.incarnation;
  stated_incarnation_ = *incarnation;
  return incarnation;
}

void BackEndCall::RecordUnlistedIncarnation() {
  ++deps_.counters->unlisted_incarnations;
  deps_.selector->RecordReplacement(back_end_,
                                    deps_.loop->Now() + kRegistrationDelay);
  deps_.log->Write(
      LogLine("unlisted_incarnation")
          .Add("request", id_.value())
          .Add("back_end", back_end_.id.value())
          .Add("listed", back_end_.incarnation)
          .Add("stated", stated_incarnation_)
          .Add("software_version", back_end_.software_version.value()));
}

void BackEndCall::Cancel(CallOutcome outcome) {
  if (call_ != nullptr && outcome == CallOutcome::kFailed && !response_started_)
    deps_.reachability->RecordMiss(back_end_);
  silence_timer_.Cancel();
  refusal_timer_.Cancel();
  const bool may_have_run = is_sent() && !not_executed_;
  if (call_ != nullptr && !call_->sent()) right_->GiveBack();
  checking_end_ = false;
  end_checker_.reset();
  call_.reset();
  ReleaseRun(may_have_run);
  ReportOutcome(outcome);
}

bool BackEndCall::MaySend() {
  const MonoTime now = deps_.loop->Now();
  const CallObstacle obstacle =
      deps_.selector->FindObstacle(back_end_, CallPurpose::kWork, now);
  if (obstacle != CallObstacle::kNone) {
    obstacle_ = CallObstacleName(obstacle);
    return false;
  }
  if (now >= valid_until_) {
    obstacle_ = "lapsed";
    return false;
  }
  return AcquireRun();
}

bool BackEndCall::AcquireRun() {
  // A run that is resent to the same back end keeps its right.
  if (runs_ == nullptr || run_right_) return true;
  handler_->OnSending(this);
  run_right_ = runs_->Acquire(back_end_.id);
  return run_right_.has_value();
}

void BackEndCall::ReleaseRun(bool may_have_run) {
  if (!run_right_) return;
  if (may_have_run) {
    run_right_->Release();
  } else {
    run_right_->ReleaseUnexecuted();
  }
  run_right_.reset();
}

bool BackEndCall::AcquireResend() {
  auto right = right_->AcquireAnother(deps_.loop->Now());
  RecordDecision(deps_, right, back_end_.service, id_, "resend");
  if (!right) return false;
  right_ = std::move(right);
  return true;
}

void BackEndCall::ReportSilence() {
  deps_.selector->RecordOutcome(back_end_, CallOutcome::kFailed,
                                deps_.loop->Now());
  deps_.reachability->RecordMiss(back_end_);
}

void BackEndCall::OnHead(int status, const HttpHeaders& headers) {
  silence_timer_.Cancel();
  const ResponseMarkers markers = deps_.format->ReadResponseMarkers(headers);
  response_id_ = markers.request_id.empty() ? "none" : "own";
  has_known_incarnation_ =
      back_end_.incarnation == 0 || call_->has_expected_incarnation();
  // Another server that now has the address speaks for itself only.
  if (status != kMisdirected) {
    deps_.reachability->RecordContact(back_end_);
    if (markers.leaving) RecordLeaving();
    deps_.permits->RecordLimit(back_end_, markers.limit, id_, started_);
    deps_.permits->RecordWarmUp(back_end_, markers.warm_up_time);
  }
  if (markers.not_executed || status == kMisdirected ||
      (internal_call_ && PromisesNotRun(status))) {
    not_executed_ = true;
    refusal_status_ = status;
    // Another server that now has the address names itself.
    has_other_weights_ =
        status == kMisdirected && expects_weights_ &&
        markers.back_end.value_or(back_end_.id) == back_end_.id;
    if (status == kStatusUnavailable) RecordPause(markers.retry_after);
    // Its body is read only to keep the connection.
    refusal_timer_ =
        deps_.loop->After(kRefusalBodyTimeout, [this] { EndRefusal(); });
    return;
  }
  const bool trusted =
      internal_call_ || (markers.sealed && markers.request_id == id_);
  if (markers.content_encoded || PromisesNotRun(status) ||
      (IsSuccess(status) && !trusted)) {
    Reject();
    return;
  }
  response_started_ = true;
  if (!is_reservation_)
    deps_.selector->RecordAcceptance(back_end_, deps_.loop->Now());
  handler_->OnResponseHead(this, status, headers);
}

void BackEndCall::OnBody(std::string_view data) {
  if (!not_executed_) {
    if (body_began_ == MonoTime{}) body_began_ = deps_.loop->Now();
    deps_.reachability->RecordContact(back_end_);
    handler_->OnResponseBody(this, data);
    return;
  }
  refusal_bytes_ += data.size();
  if (refusal_bytes_ > kMaxInternalResponseBytes) EndRefusal();
}

void BackEndCall::CloseCall() {
  if (call_ != nullptr) connection_use_ = call_->connection_use();
  call_.reset();
}

void BackEndCall::EndRefusal() {
  CloseCall();
  FailRefused();
}

void BackEndCall::FailRefused() {
  refusal_timer_.Cancel();
  if (has_other_weights_) {
    Fail(CallFailure::kOtherWeights, CallOutcome::kUnknown);
    return;
  }
  Fail(CallFailure::kNotExecuted,
       refusal_status_ == kMisdirected       ? CallOutcome::kAddressReused
       : is_reservation_ || asked_for_pause_ ? CallOutcome::kFull
                                             : CallOutcome::kRejected);
}

void BackEndCall::Reject() {
  CloseCall();
  Fail(CallFailure::kInvalidResponse, CallOutcome::kFailed);
}

void BackEndCall::OnDone(ResponseEnd end) {
  response_end_ = end;
  const bool is_truncated =
      !not_executed_ && handler_->IsResponseTruncated(*this);
  // A response to an internal call is a JSON object, which ends itself.
  const bool needs_check = end == ResponseEnd::kClose && !internal_call_ &&
                           !not_executed_ && !is_truncated;
  // The back end may go on with a run whose connection stays open.
  if (!needs_check) CloseCall();
  if (not_executed_) {
    FailRefused();
    return;
  }
  if (is_truncated) {
    connection_lost_ = end == ResponseEnd::kClose;
    ++deps_.counters->responses_incomplete;
    Fail(CallFailure::kIncompleteContent, CallOutcome::kFailed);
    return;
  }
  if (needs_check) {
    CheckEnd();
  } else {
    Complete();
  }
}

void BackEndCall::CheckEnd() {
  checking_end_ = true;
  // A run may have waited at the engine before.
  const MonoTime began = body_began_ == MonoTime{} ? started_ : body_began_;
  end_checker_ = std::make_unique<ResponseEndChecker>(
      deps_, *request_, back_end_,
      has_known_incarnation_ ? back_end_.incarnation : incarnation_,
      handler_->CountEvents(*this), began, deadline_ - deps_.loop->Now(),
      *call_, [this](EndVerdict verdict) {
        checking_end_ = false;
        CloseCall();
        if (verdict == EndVerdict::kComplete) {
          Complete();
          return;
        }
        connection_lost_ = verdict == EndVerdict::kLost;
        ++deps_.counters->responses_incomplete;
        Fail(CallFailure::kUnconfirmedEnd, CallOutcome::kFailed);
      });
}

void BackEndCall::Complete() {
  ReleaseRun(/*may_have_run=*/true);
  ReportOutcome(CallOutcome::kSuccess);
  handler_->OnResponseComplete(this);
}

void BackEndCall::OnFailed(HttpFailure failure, bool sent) {
  connection_lost_ =
      failure == HttpFailure::kNoResponse || failure == HttpFailure::kTruncated;
  if (not_executed_) {
    FailRefused();
    return;
  }
  const bool is_invalid =
      failure == HttpFailure::kMalformed || failure == HttpFailure::kTooLarge;
  const bool is_withheld = failure == HttpFailure::kWithheld;
  const bool is_other = failure == HttpFailure::kOtherIncarnation;
  const bool is_unknown = failure == HttpFailure::kUnknownIncarnation;
  if (!is_invalid && !is_withheld && !is_other && query_rejection_ == 0)
    deps_.reachability->RecordMiss(back_end_);
  if (!sent) {
    right_->GiveBack();
    if (is_other) {
      obstacle_ = CallObstacleName(CallObstacle::kReplaced);
      RecordUnlistedIncarnation();
    }
    const bool has_obstacle = (is_withheld || is_other) && *obstacle_ != '\0';
    Fail(has_obstacle ? CallFailure::kWithheld
         : is_unknown ? CallFailure::kUnknownIncarnation
                      : CallFailure::kNotSent,
         is_withheld || is_other ? CallOutcome::kUnknown
         : is_unknown            ? OutcomeOfQuery()
                                 : CallOutcome::kUnreachable);
  } else if (response_started_) {
    Fail(CallFailure::kTruncated, CallOutcome::kFailed);
  } else if (is_invalid) {
    Fail(CallFailure::kInvalidResponse, CallOutcome::kFailed);
  } else {
    Fail(CallFailure::kNoResponse, CallOutcome::kFailed);
  }
}

CallOutcome BackEndCall::OutcomeOfQuery() const {
  if (query_rejection_ == 0) return CallOutcome::kFailed;
  return query_rejection_ == kMisdirected ? CallOutcome::kAddressReused
                                          : CallOutcome::kRejected;
}

void BackEndCall::RecordLeaving() {
  if (!deps_.selector->RecordLeaving(back_end_)) return;
  deps_.log->Write(LogLine("back_end_leaving")
                       .Add("back_end", back_end_.id.value())
                       .Add("incarnation", back_end_.incarnation)
                       .Add("request", id_.value()));
}

void BackEndCall::RecordPause(Duration pause) {
  if (pause <= Duration::zero()) return;
  asked_for_pause_ = true;
  deps_.selector->RecordPause(back_end_, deps_.loop->Now() + pause);
  ++deps_.counters->pauses;
  deps_.log->Write(LogLine("back_end_pauses")
                       .Add("back_end", back_end_.id.value())
                       .Add("request", id_.value())
                       .AddMillis("pause_ms", pause));
}

void BackEndCall::ReportOutcome(CallOutcome outcome) {
  if (!counted_) return;
  counted_ = false;
  deps_.selector->OnCallEnded(back_end_, size_, outcome, deps_.loop->Now());
}

void BackEndCall::Fail(CallFailure failure, CallOutcome outcome) {
  silence_timer_.Cancel();
  ReleaseRun(failure != CallFailure::kNotSent &&
             failure != CallFailure::kWithheld &&
             failure != CallFailure::kUnknownIncarnation &&
             failure != CallFailure::kNotExecuted &&
             failure != CallFailure::kOtherWeights);
  ReportOutcome(outcome);
  if (call_ != nullptr) connection_use_ = call_->connection_use();
  deps_.log->Write(
      LogLine("call_lost")
          .Add("request", id_.value())
          .Add("back_end", back_end_.id.value())
          .Add("kind", kind_)
          .Add("loss", CallFailureName(failure))
          .Add("obstacle", obstacle_)
          .Add("status", refusal_status_)
          .Add("head", response_started_)
          .Add("response_id", response_id_)
          .Add("connection", static_cast<int64_t>(connection_use_.serial))
          .AddMillis("connection_age_ms", connection_use_.age)
          .Add("earlier_calls", connection_use_.earlier_calls)
          .Add("skipped", connection_use_.skipped_responses)
          .Add("undelivered",
               static_cast<int64_t>(connection_use_.undelivered_bytes))
          .AddMillis("after_ms", deps_.loop->Now() - started_));
  handler_->OnCallFailed(this, failure);
}

}  // namespace mimosa
