// Helpers in turn, and the single response of a forwarded request.
#include "serving/forward_relay.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "decide/event_stream.h"
#include "serving/back_end_call.h"
#include "serving/forwarded_request.h"
#include "serving/local_responses.h"

namespace mimosa {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
// Idle connections to a helper are used for this long. Members keep theirs for
// longer.
constexpr Duration kMaxIdle = std::chrono::seconds(10);
// Helpers that a request is sent to.
constexpr size_t kMaxHelpers = 3;
// How long a request waits for a first answer of members, and how often it
// looks for one.
constexpr Duration kMaxHelperWait = std::chrono::milliseconds(100);
constexpr Duration kHelperPollInterval = std::chrono::milliseconds(10);
// Retry-After of a request that no daemon could serve: another answer is likely
// after the next inquiries.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kRetryAfterSpread = std::chrono::milliseconds(700);

class ForwardRelay : public Relay, public HttpCallHandler {
 public:
  ForwardRelay(const RelayDeps& deps, RelayRequest request,
               std::shared_ptr<HttpExchange> exchange, RelayDoneCallback done)
      : deps_(deps),
        request_(std::move(request)),
        exchange_(std::move(exchange)),
        done_(std::move(done)) {}
  ~ForwardRelay() override { EndCall(); }

  void Start() override {
    const MonoTime now = deps_.loop->Now();
    const Duration time_left = request_.deadline - now;
    deadline_timer_ = deps_.loop->After(std::max(time_left, Duration::zero()),
                                        [this] { OnDeadline(); });
    wait_until_ = now + kMaxHelperWait;
    TryHelper();
  }

  void OnCallerDisconnected() override {
    result_.caller_disconnected = true;
    Finish(0, "caller_gone");
  }

  void OnShutdown() override {
    result_.truncated_by_shutdown = streaming_;
    result_.unsent_bytes = exchange_->UnsentBytes();
    EndUnfinished(kStatusBadGateway, kShutdownReason);
  }

  RelayRequest TakeRequest() override { return std::move(request_); }

  // HttpCallHandler:
  void OnHead(int status, const HttpHeaders& headers) override {
    if (IsForwardRefusal(headers)) {
      const HelperExchange::Helper refusing = *helper_;
      // Later, since the call is on the stack.
      refusal_timer_ = deps_.loop->After(Duration::zero(), [this, refusing] {
        right_->GiveBack();
        EndCall();
        deps_.helpers->RecordRefusal(request_.service.id, refusing);
        TryHelper();
      });
      refused_ = true;
      return;
    }
    response_.status = status;
    response_.headers = headers;
    if (HasMediaType(headers, kEventStreamType)) StartStream();
  }

  void OnBody(std::string_view data) override {
    if (refused_) return;
    if (streaming_) {
      exchange_->Write(data);
      ApplyBackpressure();
      return;
    }
    response_.body.append(data);
    if (response_.body.size() > deps_.buffers->MaxBufferedResponse())
      StartStream();
  }

  void OnDone(ResponseEnd end) override {
    if (refused_) return;
    result_.response_end = end;
    if (streaming_) {
      exchange_->Finish();
      Finish(response_.status, "answered");
    } else {
      Respond(std::move(response_), "answered");
    }
  }

  void OnFailed(HttpFailure /*failure*/, bool sent) override {
    if (refused_) return;
    deps_.helpers->RecordFailure(*helper_);
    const int attempts = sent ? ++attempts_ : attempts_;
    if (!sent) right_->GiveBack();
    if (streaming_) {
      exchange_->Abort();
      Finish(0, "answer_cut");
      return;
    }
    const bool may_repeat =
        !sent || (request_.route.retry_policy == RetryPolicy::kIdempotent &&
                  attempts < request_.route.max_attempts);
    // Later, since the call is on the stack.
    if (may_repeat) {
      refusal_timer_ = deps_.loop->After(Duration::zero(), [this] {
        EndCall();
        TryHelper();
      });
    } else {
      FinishUnanswered();
    }
  }

 private:
  void TryHelper() {
    refused_ = false;
    const MonoTime now = deps_.loop->Now();
    const auto helper =
        tried_.size() < kMaxHelpers
            ? deps_.helpers->PickHelper(request_.service.id, tried_,
                                        request_.allowed_regions)
            : std::nullopt;
    if (!helper) {
      const bool may_wait =
          tried_.empty() && now < wait_until_ &&
          !deps_.helpers->IsUnreachableForAll(request_.service.id);
      if (!may_wait) {
        FinishUnanswered();
        return;
      }
      deps_.helpers->Inquire(request_.service.id);
      wait_timer_ =
          deps_.loop->After(kHelperPollInterval, [this] { TryHelper(); });
      return;
    }
    right_ = AcquireCall(deps_, request_, "forward");
    if (!right_) {
      budget_exhausted_ = true;
      FinishUnanswered();
      return;
    }
    tried_.insert(helper->name);
    ++result_.calls;
    result_.helper = helper->name;
    ForwardEnvelope envelope;
    envelope.sender = deps_.helpers->self().name();
    envelope.recipient = helper->recipient;
    envelope.customer = request_.customer;
    envelope.service = request_.service.id;
    envelope.time_left = request_.deadline - now;
    envelope.prefill_accepted = request_.rights->prefill_accepted();
    HttpRequest http = request_.caller.http;
    WriteForwardEnvelope(envelope, &http.headers);
    HttpCallOptions options;
    options.to = helper->address;
    options.connect_timeout = kConnectTimeout;
    options.head_timeout = envelope.time_left;
    options.idle_timeout = envelope.time_left;
    options.reuse_connection = true;
    options.max_idle = kMaxIdle;
    options.retry_on_fresh_connection =
        request_.route.retry_policy == RetryPolicy::kIdempotent;
    options.may_resend = [this] {
      right_ = AcquireCall(deps_, request_, "forward");
      return right_.has_value();
    };
    helper_ = helper;
    deps_.helpers->OnRequestStarted(*helper);
    call_ = deps_.client->Start(options, std::move(http), this);
  }

  void EndCall() {
    call_.reset();
    if (helper_) deps_.helpers->OnRequestEnded(*helper_);
    helper_.reset();
  }

  void StartStream() {
    streaming_ = true;
    exchange_->StartStream(response_.status, response_.headers);
    exchange_->Write(response_.body);
    response_.body.clear();
    ApplyBackpressure();
  }

  // Reads from the helper no faster than the caller reads.
  void ApplyBackpressure() {
    if (call_ == nullptr || !deps_.buffers->HasSlowReader(*exchange_)) return;
    call_->Pause(true);
    exchange_->OnDrained([this] {
      exchange_->OnDrained(nullptr);
      if (call_ != nullptr) call_->Pause(false);
    });
  }

  void OnDeadline() { EndUnfinished(kStatusGatewayTimeout, "timeout"); }

  // Ends a request that may still be running. `status` says that nothing is
  // known about the run.
  void EndUnfinished(int status, const char* reason) {
    const bool may_have_run = attempts_ > 0 || (helper_ && !refused_);
    if (streaming_) {
      exchange_->Abort();
      Finish(0, reason);
    } else if (may_have_run) {
      Respond(EmptyResponse(status), reason);
    } else {
      Refuse(reason);
    }
  }

  void FinishUnanswered() {
    if (attempts_ > 0) {
      Respond(EmptyResponse(kStatusBadGateway), "lost");
    } else {
      Refuse(budget_exhausted_ ? "retry_budget" : "no_back_end");
    }
  }

  void Refuse(const char* reason) {
    const Duration spread =
        Scaled(kRetryAfterSpread, deps_.random->UniformDouble());
    Respond(RetryLaterResponse(kStatusUnavailable, kMinRetryAfter + spread),
            reason);
  }

  void Respond(HttpResponse response, const char* reason) {
    const int status = response.status;
    exchange_->Respond(std::move(response));
    Finish(status, reason);
  }

  void Finish(int status, const char* reason) {
    deadline_timer_.Cancel();
    wait_timer_.Cancel();
    refusal_timer_.Cancel();
    exchange_->OnDrained(nullptr);
    EndCall();
    result_.status = status;
    result_.reason = reason;
    const RelayDoneCallback done = std::move(done_);
    done(result_);  // Destroys this.
  }

  const RelayDeps& deps_;
  RelayRequest request_;
  const std::shared_ptr<HttpExchange> exchange_;
  RelayDoneCallback done_;
  RelayResult result_;
  std::optional<HelperExchange::Helper> helper_;  // Of call_.
  std::unique_ptr<HttpCall> call_;
  std::set<std::string> tried_;
  HttpResponse response_;  // Received so far.
  bool streaming_ = false;
  bool refused_ = false;  // By the current helper.
  bool budget_exhausted_ = false;
  std::optional<CallRight> right_;  // Of the last call.
  int attempts_ = 0;                // Ended calls whose request may have run.
  MonoTime wait_until_{};
  TimerHandle deadline_timer_;
  TimerHandle wait_timer_;
  TimerHandle refusal_timer_;
};

}  // namespace

std::unique_ptr<Relay> MakeForwardRelay(const RelayDeps& deps,
                                        RelayRequest request,
                                        std::shared_ptr<HttpExchange> exchange,
                                        RelayDoneCallback done) {
  return std::make_unique<ForwardRelay>(deps, std::move(request),
                                        std::move(exchange), std::move(done));
}

}  // namespace mimosa
