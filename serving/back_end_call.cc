// Calls and what their ends say.
#include "serving/back_end_call.h"

#include <utility>

#include "serving/local_responses.h"

namespace mimosa {
namespace {

constexpr int kMisdirected = 421;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

// Statuses that would promise the caller that its request has not run. Without
// the back end's word for it they can't be passed on.
bool PromisesNotRun(int status) {
  return status == 408 || status == 429 || status == 503;
}

}  // namespace

const char* CallFailureName(CallFailure loss) {
  switch (loss) {
    case CallFailure::kNotSent:
      return "not_sent";
    case CallFailure::kNotExecuted:
      return "not_executed";
    case CallFailure::kNoResponse:
      return "no_answer";
    case CallFailure::kTruncated:
      return "cut";
    case CallFailure::kInvalidResponse:
      return "unreadable";
  }
  return "?";
}

bool TryAcquireRetry(const RelayDeps& deps, const ServiceId& service) {
  const bool taken = deps.budget->TryAcquireRetry(service, deps.loop->Now());
  ++(taken ? deps.counters->retries : deps.counters->retries_denied);
  return taken;
}

BackEndCall::BackEndCall(const RelayDeps& deps, const BackEndEntry& back_end,
                         const WorkSize& size, const RequestId& id,
                         Handler* owner)
    : deps_(deps), back_end_(back_end), size_(size), id_(id), handler_(owner) {}

BackEndCall::~BackEndCall() { ReportOutcome(CallOutcome::kUnknown); }

void BackEndCall::Start(HttpRequest request, const Options& options) {
  started_ = deps_.loop->Now();
  internal_call_ = options.internal_call;
  deps_.selector->OnCallStarted(back_end_, size_);
  counted_ = true;
  HttpCallOptions http;
  http.to = address();
  http.connect_timeout = kConnectTimeout;
  http.head_timeout = options.head_timeout;
  http.idle_timeout = options.idle_timeout;
  http.reuse_connection = true;
  http.max_idle = options.max_idle;
  http.resend_on_fresh = options.retryable;
  http.accept_unframed = true;
  // An answer to another request may come late on a kept connection.
  http.is_answer = [this](const HttpHeaders& headers) {
    const ResponseMarkers marks = deps_.format->ReadResponseMarkers(headers);
    return marks.request_id.empty() || marks.request_id == id_;
  };
  call_ = deps_.client->Start(http, std::move(request), this);
}

void BackEndCall::Cancel(CallOutcome verdict) {
  call_.reset();
  ReportOutcome(verdict);
}

void BackEndCall::OnHead(int status, const HttpHeaders& headers) {
  const ResponseMarkers marks = deps_.format->ReadResponseMarkers(headers);
  if (marks.not_executed || status == kMisdirected ||
      (internal_call_ && PromisesNotRun(status))) {
    not_executed_ = true;
    refusal_status_ = status;
    return;
  }
  const bool own = internal_call_ || (marks.sealed && marks.request_id == id_);
  if (marks.content_encoded || PromisesNotRun(status) ||
      (IsSuccess(status) && !own)) {
    call_.reset();
    Fail(CallFailure::kInvalidResponse, CallOutcome::kFailed);
    return;
  }
  response_started_ = true;
  handler_->OnResponseHead(this, status, headers);
}

void BackEndCall::OnBody(std::string_view data) {
  if (!not_executed_) handler_->OnResponseBody(this, data);
}

void BackEndCall::OnDone() {
  if (not_executed_) {
    Fail(CallFailure::kNotExecuted, refusal_status_ == kMisdirected
                                        ? CallOutcome::kAddressReused
                                        : CallOutcome::kFull);
    return;
  }
  ReportOutcome(CallOutcome::kSuccess);
  handler_->OnResponseComplete(this);
}

void BackEndCall::OnFailed(HttpFailure failure, bool sent) {
  if (not_executed_) {
    Fail(CallFailure::kNotExecuted, CallOutcome::kFull);
  } else if (!sent) {
    Fail(CallFailure::kNotSent, CallOutcome::kUnreachable);
  } else if (response_started_) {
    Fail(CallFailure::kTruncated, CallOutcome::kFailed);
  } else if (failure == HttpFailure::kMalformed ||
             failure == HttpFailure::kTooLarge) {
    Fail(CallFailure::kInvalidResponse, CallOutcome::kFailed);
  } else {
    Fail(CallFailure::kNoResponse, CallOutcome::kFailed);
  }
}

void BackEndCall::ReportOutcome(CallOutcome verdict) {
  if (!counted_) return;
  counted_ = false;
  deps_.selector->OnCallEnded(back_end_, size_, verdict, deps_.loop->Now());
}

void BackEndCall::Fail(CallFailure loss, CallOutcome verdict) {
  ReportOutcome(verdict);
  deps_.log->Write(LogLine("call_lost")
                       .Add("request", id_.value())
                       .Add("back_end", back_end_.id.value())
                       .Add("loss", CallFailureName(loss))
                       .Add("status", refusal_status_)
                       .AddMillis("after_ms", deps_.loop->Now() - started_));
  handler_->OnCallFailed(this, loss);
}

}  // namespace mimosa
