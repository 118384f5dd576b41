// Implements a service call as a state machine driven by the event loop.
#include "router/service_call.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/digest.h"
#include "router/flow_control.h"

namespace mimosa {
namespace {

// Maximum number of backend servers tried for one request.
constexpr int kMaxTries = 3;
// Retry-After when no backend server could be reached.
constexpr Duration kNoBackEndRetryAfter = std::chrono::seconds(1);
// Retry-After when the platform can't be reached. Its outages last longer than
// failures of single connections.
constexpr Duration kPlatformDownRetryAfter = std::chrono::seconds(2);

bool IsIdempotentMethod(const std::string& method) {
  static constexpr std::array<std::string_view, 6> kMethods = {
      "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

class ServiceCall : public RunningRequest, private HttpCallHandler {
 public:
  ServiceCall(const ServiceCallDeps& deps, RequestContext context,
              RequestDoneCallback done)
      : deps_(deps),
        context_(std::move(context)),
        writer_(context_.response_writer.get()),
        done_(std::move(done)),
        alive_(std::make_shared<bool>(true)) {}

  ~ServiceCall() override {
    *alive_ = false;
    AbortCall();
    if (claim_ && !sent_) claim_->Release();
  }

  void Start() {
    if (context_.customer.empty()) {
      AcquireClaim();
      return;
    }
    charged_tokens_ =
        Tokens(std::max<int64_t>(1, context_.route->cost_tokens()));
    const MonoTime wait_until = context_.route->request_class() == wire::PATIENT
                                    ? context_.deadline
                                    : context_.arrived_at;
    pending_charge_ = deps_.limiter->Charge(
        context_.customer, charged_tokens_, wait_until,
        [this](const ChargeResult& result) { OnCharged(result); });
  }

  void Cancel(CancelReason reason) override {
    if (ended_) return;
    if (call_) sent_ = sent_ || call_->sent();
    if (sent_ && IsNeverRepeated() && reason != CancelReason::kDeadline) {
      // The request may run whatever this call does. Waiting for the response
      // lets a retry with the same Idempotency-Key learn the outcome; the
      // deadline bounds the wait.
      if (reason == CancelReason::kKeyWithdrawn) RefuseKeyWithdrawn();
      return;
    }
    AbortCall();
    pending_charge_.reset();
    if (!sent_) Refund();
    const Outcome outcome = CurrentOutcome();
    if (reason == CancelReason::kKeyWithdrawn) {
      RefuseKeyWithdrawn();
    } else if (writer_->begun()) {
      writer_->Abort(outcome);
    } else if (reason == CancelReason::kDeadline) {
      writer_->Refuse(Refusal::kDeadlineExceeded, outcome,
                      sent_ ? Duration::zero() : kNoBackEndRetryAfter);
    }
    FinishRequest();
  }

 private:
  // Tells the caller immediately that its key was withdrawn.
  void RefuseKeyWithdrawn() {
    const Outcome outcome = CurrentOutcome();
    if (writer_->begun()) {
      writer_->Abort(outcome);
    } else {
      writer_->Refuse(Refusal::kKeyWithdrawn, outcome);
    }
  }

  // Returns the outcome as known now. kNotRun must be true of the request, not
  // only of this attempt: until this attempt owns the claim on the
  // Idempotency-Key, an earlier attempt may have run.
  Outcome CurrentOutcome() const {
    const bool earlier_attempt_may_have_run =
        IdempotencyKey().has_value() && !claim_owned_;
    return sent_ || earlier_attempt_may_have_run ? Outcome::kUnknown
                                                 : Outcome::kNotRun;
  }

  bool IsNeverRepeated() const {
    return context_.route->request_class() == wire::NEVER_REPEATED;
  }

  void OnCharged(const ChargeResult& result) {
    if (!result.granted) {
      charged_tokens_ = Tokens(0);
      RefuseRateLimited(result.retry_after);
      return;
    }
    AcquireClaim();
  }

  // Refuses because of the rate limit. An earlier attempt with the same
  // Idempotency-Key may have run, so the claim is looked up first.
  void RefuseRateLimited(Duration retry_after) {
    const auto key = IdempotencyKey();
    if (!key) {
      writer_->Refuse(Refusal::kRateLimited, Outcome::kNotRun, retry_after);
      FinishRequest();
      return;
    }
    claim_ = deps_.claims->Lookup(
        *key, [this, retry_after](const ClaimResult& result) {
          const bool unclaimed = result.status == ClaimStatus::kUnclaimed;
          if (unclaimed || result.status == ClaimStatus::kUnavailable) {
            writer_->Refuse(Refusal::kRateLimited,
                            unclaimed ? Outcome::kNotRun : Outcome::kUnknown,
                            retry_after);
            FinishRequest();
          } else {
            RespondForFirstAttempt(result);
          }
        });
  }

  // --- Claim -------------------------------------------------------------

  // Returns the key to claim, or nothing if the request has no Idempotency-Key
  // or doesn't need a claim.
  std::optional<ClaimKey> IdempotencyKey() const {
    const std::string* key =
        IsNeverRepeated() && deps_.switches.claim_idempotency_keys
            ? context_.outbound_request.headers.Find("idempotency-key")
            : nullptr;
    if (key == nullptr) return std::nullopt;
    std::string material = context_.outbound_request.method;
    material += '\0';
    material += context_.outbound_request.target;
    material += '\0';
    material += context_.outbound_request.body;
    return ClaimKey{context_.customer, RouteId(context_.route->id()), *key,
                    Sha256Hex(material)};
  }

  void AcquireClaim() {
    const auto key = IdempotencyKey();
    if (!key) {
      SendToBackEnd();
      return;
    }
    claim_ = deps_.claims->Acquire(
        *key, context_.id, context_.deadline,
        [this](const ClaimResult& result) { OnClaimResult(result); });
  }

  void OnClaimResult(const ClaimResult& result) {
    if (result.status == ClaimStatus::kOwned) {
      claim_owned_ = true;
      SendToBackEnd();
      return;
    }
    if (result.status == ClaimStatus::kUnavailable &&
        context_.route->send_unclaimed()) {
      claim_.reset();
      SendToBackEnd();
      return;
    }
    Refund();
    RespondForFirstAttempt(result);
  }

  // Responds with the outcome of the first attempt; this attempt sent nothing.
  void RespondForFirstAttempt(const ClaimResult& result) {
    switch (result.status) {
      case ClaimStatus::kFinished:
        ReplayStoredResponse(result.record);
        break;
      case ClaimStatus::kMismatch:
        writer_->Refuse(Refusal::kIdempotencyKeyReused, Outcome::kNotRun);
        break;
      case ClaimStatus::kUnfinished:
        writer_->Refuse(Refusal::kInProgress, Outcome::kUnknown,
                        kNoBackEndRetryAfter);
        break;
      default:
        writer_->Refuse(Refusal::kPlatformDown, Outcome::kNotRun,
                        kPlatformDownRetryAfter);
    }
    FinishRequest();
  }

  void ReplayStoredResponse(const wire::ClaimRecord& record) {
    HttpResponse response;
    response.status = record.status();
    for (int i = 0;
         i < record.header_names_size() && i < record.header_values_size();
         ++i) {
      response.headers.Add(record.header_names(i), record.header_values(i));
    }
    response.headers.Set("Mimosa-Replayed", "true");
    response.body = record.body();
    writer_->Respond(std::move(response), Outcome::kRan);
  }

  // --- Send --------------------------------------------------------------

  void SendToBackEnd() {
    const auto choice =
        deps_.pool->SelectBackEnd(*context_.snapshot, context_.route->pool(),
                                  tried_back_ends_, deps_.loop->Now());
    if (!choice || tries_ >= kMaxTries) {
      FailNoBackEndLeft();
      return;
    }
    ++tries_;
    back_end_ = choice->id;
    tried_back_ends_.insert(choice->id);
    deps_.pool->OnCallStarted(back_end_);
    call_counted_ = true;
    HttpCallOptions options;
    options.to = choice->address;
    options.reuse_connection =
        !IsNeverRepeated() &&
        IsIdempotentMethod(context_.outbound_request.method);
    options.head_timeout = context_.deadline - deps_.loop->Now();
    call_ = deps_.client->Start(options, context_.outbound_request, this);
  }

  // Ends the request because no backend server is left to try.
  void FailNoBackEndLeft() {
    const Outcome outcome = CurrentOutcome();
    if (!sent_) Refund();
    writer_->Refuse(
        sent_ ? Refusal::kBackEndFailed : Refusal::kNoBackEnd, outcome,
        IsNeverRepeated() && sent_ ? Duration::zero() : kNoBackEndRetryAfter);
    FinishRequest();
  }

  // --- HttpCallHandler ---------------------------------------------------

  void OnHead(int status, const HttpHeaders& headers) override {
    sent_ = true;
    response_.status = status;
    response_.headers = ForwardedResponseHeaders(headers);
    const std::string* length = headers.Find("content-length");
    // A response to a claimed request is stored before the caller sees it;
    // others are streamed.
    if (claim_) return;
    StartStreaming(length);
  }

  void StartStreaming(const std::string* length) {
    int64_t content_length = -1;
    if (length != nullptr) content_length = ParseContentLength(*length);
    streaming_ = true;
    writer_->StartStream(response_.status, response_.headers, Outcome::kRan,
                         content_length);
    flow_ = std::make_unique<FlowControl>(&writer_->exchange(), call_.get());
  }

  void OnBody(std::string_view data) override {
    if (!streaming_) {
      response_.body.append(data);
      // Too large to store: only the status is stored, and the body is
      // streamed.
      if (response_.body.size() <= kMaxStoredResponseBytes) return;
      const std::string buffered = std::move(response_.body);
      response_.body.clear();
      StartStreaming(nullptr);
      writer_->Write(buffered);
      return;
    }
    writer_->Write(data);
    if (flow_) flow_->PauseIfBacklogged();
  }

  void OnDone(ResponseEnd /*end*/) override {
    MarkCallEnded();
    if (!claim_) {
      writer_->Finish();
      FinishRequest();
      return;
    }
    claim_->Finish(response_, [this, alive = alive_] {
      if (!*alive || ended_) return;
      if (streaming_) {
        writer_->Finish();
      } else {
        writer_->Respond(response_, Outcome::kRan);
      }
      FinishRequest();
    });
  }

  void OnFailed(HttpFailure failure, bool sent) override {
    MarkCallEnded();
    if (failure == HttpFailure::kConnect || failure == HttpFailure::kRefused)
      deps_.pool->OnConnectFailed(back_end_, deps_.loop->Now());
    sent_ = sent_ || sent;
    if (writer_->begun()) {
      if (deps_.switches.abort_truncated) {
        writer_->Abort(Outcome::kUnknown);
      } else {
        writer_->Finish();
      }
      FinishRequest();
      return;
    }
    const bool may_retry =
        !sent_ || !deps_.switches.send_at_most_once ||
        (!IsNeverRepeated() &&
         IsIdempotentMethod(context_.outbound_request.method));
    response_ = {};
    if (may_retry && deps_.loop->Now() < context_.deadline) {
      // Posted because the failed call is still on the stack.
      deps_.loop->Post([this, alive = alive_] {
        if (*alive && !ended_) SendToBackEnd();
      });
    } else {
      FailNoBackEndLeft();
    }
  }

  // --- End of the request ------------------------------------------------

  void MarkCallEnded() {
    flow_.reset();
    if (!call_counted_) return;
    call_counted_ = false;
    deps_.pool->OnCallEnded(back_end_);
  }

  void AbortCall() {
    if (call_) sent_ = sent_ || call_->sent();
    MarkCallEnded();
    call_.reset();
  }

  void Refund() {
    if (charged_at_ != kNever && charged_tokens_ > Tokens(0)) {
      deps_.limiter->Refund(context_.customer, charged_tokens_, charged_at_);
    }
    charged_tokens_ = Tokens(0);
  }

  void FinishRequest() {
    if (ended_) return;
    ended_ = true;
    if (claim_ && !sent_) claim_->Release();
    deps_.loop->Post([this, alive = alive_] {
      if (*alive) done_({});
    });
  }

  const ServiceCallDeps deps_;
  const RequestContext context_;
  ResponseWriter* const writer_;  // owned by context_
  const RequestDoneCallback done_;
  const std::shared_ptr<bool> alive_;  // false once destroyed

  std::unique_ptr<PendingCharge> pending_charge_;
  Tokens charged_tokens_;         // charged and not refunded
  MonoTime charged_at_ = kNever;  // kNever until the charge is granted
  std::unique_ptr<class Claim> claim_;

  std::unique_ptr<HttpCall> call_;
  std::unique_ptr<FlowControl> flow_;  // set while streaming_; refers to call_
  BackEndId back_end_;
  bool call_counted_ = false;  // back_end_'s open calls include this one
  std::set<BackEndId> tried_back_ends_;
  int tries_ = 0;
  // Whether some backend server may have received the request. Never reset to
  // false.
  bool sent_ = false;
  bool claim_owned_ = false;  // this attempt owns the claim

  HttpResponse response_;
  bool streaming_ = false;  // the response is streamed to the caller
  bool ended_ = false;      // done_ has run or is posted
};

}  // namespace

std::unique_ptr<RunningRequest> StartServiceCall(const ServiceCallDeps& deps,
                                                 RequestContext context,
                                                 RequestDoneCallback done) {
  auto call =
      std::make_unique<ServiceCall>(deps, std::move(context), std::move(done));
  call->Start();
  return call;
}

}  // namespace mimosa
