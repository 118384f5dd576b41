// Calls and what their ends say.
#include "serving/back_end_call.h"

#include <utility>

#include "serving/answers.h"

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

const char* CallLossName(CallLoss loss) {
  switch (loss) {
    case CallLoss::kNotSent:
      return "not_sent";
    case CallLoss::kNotExecuted:
      return "not_executed";
    case CallLoss::kNoAnswer:
      return "no_answer";
    case CallLoss::kCut:
      return "cut";
    case CallLoss::kUnreadable:
      return "unreadable";
  }
  return "?";
}

bool TakeRepeat(const RelayDeps& deps, const ServiceId& service) {
  const bool taken = deps.budget->TakeRepeat(service, deps.loop->Now());
  ++(taken ? deps.counters->repeats : deps.counters->repeats_refused);
  return taken;
}

BackEndCall::BackEndCall(const RelayDeps& deps, const BackEndEntry& back_end,
                         const WorkSize& size, const RequestId& id,
                         Owner* owner)
    : deps_(deps), back_end_(back_end), size_(size), id_(id), owner_(owner) {}

BackEndCall::~BackEndCall() { End(CallVerdict::kUnknown); }

void BackEndCall::Start(HttpRequest request, const Options& options) {
  started_ = deps_.loop->Now();
  own_call_ = options.own_call;
  deps_.choice->CallBegan(back_end_, size_);
  counted_ = true;
  HttpCallOptions http;
  http.to = address();
  http.connect_timeout = kConnectTimeout;
  http.head_timeout = options.patience;
  http.idle_timeout = options.gap;
  http.reuse_connection = true;
  http.max_idle = options.max_idle;
  http.resend_on_fresh = options.repeatable;
  http.accept_unframed = true;
  // An answer to another request may come late on a kept connection.
  http.is_answer = [this](const HttpHeaders& headers) {
    const AnswerMarks marks = deps_.format->ReadMarks(headers);
    return marks.id.empty() || marks.id == id_;
  };
  call_ = deps_.client->Start(http, std::move(request), this);
}

void BackEndCall::GiveUp(CallVerdict verdict) {
  call_.reset();
  End(verdict);
}

void BackEndCall::OnHead(int status, const HttpHeaders& headers) {
  const AnswerMarks marks = deps_.format->ReadMarks(headers);
  if (marks.not_executed || status == kMisdirected ||
      (own_call_ && PromisesNotRun(status))) {
    not_executed_ = true;
    refusal_status_ = status;
    return;
  }
  const bool own = own_call_ || (marks.sealed && marks.id == id_);
  if (marks.encoded || PromisesNotRun(status) || (IsSuccess(status) && !own)) {
    call_.reset();
    Lose(CallLoss::kUnreadable, CallVerdict::kFailed);
    return;
  }
  answered_ = true;
  owner_->OnAnswer(this, status, headers);
}

void BackEndCall::OnBody(std::string_view data) {
  if (!not_executed_) owner_->OnAnswerBody(this, data);
}

void BackEndCall::OnDone() {
  if (not_executed_) {
    Lose(CallLoss::kNotExecuted, refusal_status_ == kMisdirected
                                     ? CallVerdict::kOtherOwner
                                     : CallVerdict::kFull);
    return;
  }
  End(CallVerdict::kGood);
  owner_->OnAnswerEnd(this);
}

void BackEndCall::OnFailed(HttpFailure failure, bool sent) {
  if (not_executed_) {
    Lose(CallLoss::kNotExecuted, CallVerdict::kFull);
  } else if (!sent) {
    Lose(CallLoss::kNotSent, CallVerdict::kUnreachable);
  } else if (answered_) {
    Lose(CallLoss::kCut, CallVerdict::kFailed);
  } else if (failure == HttpFailure::kMalformed ||
             failure == HttpFailure::kTooLarge) {
    Lose(CallLoss::kUnreadable, CallVerdict::kFailed);
  } else {
    Lose(CallLoss::kNoAnswer, CallVerdict::kFailed);
  }
}

void BackEndCall::End(CallVerdict verdict) {
  if (!counted_) return;
  counted_ = false;
  deps_.choice->CallEnded(back_end_, size_, verdict, deps_.loop->Now());
}

void BackEndCall::Lose(CallLoss loss, CallVerdict verdict) {
  End(verdict);
  deps_.log->Write(LogLine("call_lost")
                       .Add("request", id_.value())
                       .Add("back_end", back_end_.id.value())
                       .Add("loss", CallLossName(loss))
                       .Add("status", refusal_status_)
                       .AddMillis("after_ms", deps_.loop->Now() - started_));
  owner_->OnLost(this, loss);
}

}  // namespace mimosa
