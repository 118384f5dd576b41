// Service calls as a small state machine driven by the loop.
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

// Backend servers tried for one request at most.
constexpr int kMaxTries = 3;
// Advice to callers when no backend server could be reached.
constexpr Duration kNoBackEndRetryAfter = std::chrono::seconds(1);
// Advice when the platform can't be asked; its outages last longer than blips.
constexpr Duration kPlatformRetryAfter = std::chrono::seconds(2);

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
        answer_(context_.answer.get()),
        done_(std::move(done)),
        alive_(std::make_shared<bool>(true)) {}

  ~ServiceCall() override {
    *alive_ = false;
    StopCall();
    if (claim_ && !sent_) claim_->Release();
  }

  void Start() {
    if (context_.customer.empty()) {
      Claim();
      return;
    }
    charged_ = Tokens(std::max<int64_t>(1, context_.route->cost_tokens()));
    const MonoTime wait_until = context_.route->request_class() == wire::PATIENT
                                    ? context_.deadline
                                    : context_.arrived_at;
    charge_ = deps_.limiter->Charge(
        context_.customer, charged_, wait_until,
        [this](const ChargeResult& result) { OnCharged(result); });
  }

  void Cancel(CancelReason reason) override {
    if (ended_) return;
    if (call_) sent_ = sent_ || call_->sent();
    if (sent_ && NeverRepeated() && reason != CancelReason::kDeadline) {
      // It may run whatever happens here. Seeing it through lets a retry under
      // the same Idempotency-Key learn the outcome; the deadline bounds it.
      if (reason == CancelReason::kKeyWithdrawn) RefuseWithdrawn();
      return;
    }
    StopCall();
    charge_.reset();
    if (!sent_) Refund();
    const Outcome outcome = OutcomeSoFar();
    if (reason == CancelReason::kKeyWithdrawn) {
      RefuseWithdrawn();
    } else if (answer_->begun()) {
      answer_->Abort(outcome);
    } else if (reason == CancelReason::kDeadline) {
      answer_->Refuse(Refusal::kDeadlineExceeded, outcome,
                      sent_ ? Duration::zero() : kNoBackEndRetryAfter);
    }
    Done();
  }

 private:
  // The caller learns at once that its key is no longer good.
  void RefuseWithdrawn() {
    const Outcome outcome = OutcomeSoFar();
    if (answer_->begun()) {
      answer_->Abort(outcome);
    } else {
      answer_->Refuse(Refusal::kKeyWithdrawn, outcome);
    }
  }

  // "Not run" must be true of the request, not only of this attempt: until the
  // claim on its Idempotency-Key is this attempt's, an earlier one may have
  // run.
  Outcome OutcomeSoFar() const {
    const bool earlier_may_run = IdempotencyKey().has_value() && !claim_owned_;
    return sent_ || earlier_may_run ? Outcome::kUnknown : Outcome::kNotRun;
  }

  bool NeverRepeated() const {
    return context_.route->request_class() == wire::NEVER_REPEATED;
  }

  void OnCharged(const ChargeResult& result) {
    if (!result.granted) {
      charged_ = Tokens(0);
      RefuseByRate(result.retry_after);
      return;
    }
    Claim();
  }

  // An earlier attempt under the same Idempotency-Key may have run.
  void RefuseByRate(Duration retry_after) {
    const auto key = IdempotencyKey();
    if (!key) {
      answer_->Refuse(Refusal::kRateLimited, Outcome::kNotRun, retry_after);
      Done();
      return;
    }
    claim_ = deps_.claims->Lookup(
        *key, [this, retry_after](const ClaimResult& result) {
          const bool free = result.status == ClaimStatus::kUnclaimed;
          if (free || result.status == ClaimStatus::kUnavailable) {
            answer_->Refuse(Refusal::kRateLimited,
                            free ? Outcome::kNotRun : Outcome::kUnknown,
                            retry_after);
            Done();
          } else {
            AnswerForFirst(result);
          }
        });
  }

  // --- Claim -------------------------------------------------------------

  // What to claim; none: the request has no Idempotency-Key, or needs none.
  std::optional<ClaimKey> IdempotencyKey() const {
    const std::string* key =
        NeverRepeated() && deps_.switches.claim_idempotency_keys
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

  void Claim() {
    const auto key = IdempotencyKey();
    if (!key) {
      Send();
      return;
    }
    claim_ = deps_.claims->Acquire(
        *key, context_.id, context_.deadline,
        [this](const ClaimResult& result) { OnClaim(result); });
  }

  void OnClaim(const ClaimResult& result) {
    if (result.status == ClaimStatus::kOwned) {
      claim_owned_ = true;
      Send();
      return;
    }
    if (result.status == ClaimStatus::kUnavailable &&
        context_.route->send_unclaimed()) {
      claim_.reset();
      Send();
      return;
    }
    Refund();
    AnswerForFirst(result);
  }

  // This attempt sent nothing; the answer is about the first one.
  void AnswerForFirst(const ClaimResult& result) {
    switch (result.status) {
      case ClaimStatus::kFinished:
        Replay(result.record);
        break;
      case ClaimStatus::kMismatch:
        answer_->Refuse(Refusal::kIdempotencyKeyReused, Outcome::kNotRun);
        break;
      case ClaimStatus::kUnfinished:
        answer_->Refuse(Refusal::kInProgress, Outcome::kUnknown,
                        kNoBackEndRetryAfter);
        break;
      default:
        answer_->Refuse(Refusal::kPlatformDown, Outcome::kNotRun,
                        kPlatformRetryAfter);
    }
    Done();
  }

  void Replay(const wire::ClaimRecord& record) {
    HttpResponse response;
    response.status = record.status();
    for (int i = 0;
         i < record.header_names_size() && i < record.header_values_size();
         ++i) {
      response.headers.Add(record.header_names(i), record.header_values(i));
    }
    response.headers.Set("Mimosa-Replayed", "true");
    response.body = record.body();
    answer_->Respond(std::move(response), Outcome::kRan);
  }

  // --- Send --------------------------------------------------------------

  void Send() {
    const auto choice = deps_.pool->SelectBackEnd(
        *context_.snapshot, context_.route->pool(), tried_, deps_.loop->Now());
    if (!choice || tries_ >= kMaxTries) {
      GiveUp();
      return;
    }
    ++tries_;
    back_end_ = choice->id;
    tried_.insert(choice->id);
    deps_.pool->OnCallStarted(back_end_);
    calling_ = true;
    HttpCallOptions options;
    options.to = choice->address;
    options.reuse_connection =
        !NeverRepeated() &&
        IsIdempotentMethod(context_.outbound_request.method);
    options.head_timeout = context_.deadline - deps_.loop->Now();
    call_ = deps_.client->Start(options, context_.outbound_request, this);
  }

  // No backend server is left to try.
  void GiveUp() {
    const Outcome outcome = OutcomeSoFar();
    if (!sent_) Refund();
    answer_->Refuse(
        sent_ ? Refusal::kBackEndFailed : Refusal::kNoBackEnd, outcome,
        NeverRepeated() && sent_ ? Duration::zero() : kNoBackEndRetryAfter);
    Done();
  }

  // --- HttpCallHandler ---------------------------------------------------

  void OnHead(int status, const HttpHeaders& headers) override {
    sent_ = true;
    response_.status = status;
    response_.headers = ForwardedResponseHeaders(headers);
    const std::string* length = headers.Find("content-length");
    // A claimed answer is kept whole before the caller sees it; others stream.
    if (claim_) return;
    StartPassing(length);
  }

  void StartPassing(const std::string* length) {
    int64_t content_length = -1;
    if (length != nullptr) content_length = ParseContentLength(*length);
    passing_ = true;
    answer_->StartStream(response_.status, response_.headers, Outcome::kRan,
                         content_length);
    flow_ = std::make_unique<FlowControl>(&answer_->exchange(), call_.get());
  }

  void OnBody(std::string_view data) override {
    if (!passing_) {
      response_.body.append(data);
      // Too large to keep: the status alone is kept, the body streams.
      if (response_.body.size() <= kMaxStoredResponseBytes) return;
      const std::string begun = std::move(response_.body);
      response_.body.clear();
      StartPassing(nullptr);
      answer_->Write(begun);
      return;
    }
    answer_->Write(data);
    if (flow_) flow_->PauseIfBacklogged();
  }

  void OnDone() override {
    EndCall();
    if (!claim_) {
      answer_->Finish();
      Done();
      return;
    }
    claim_->Finish(response_, [this, alive = alive_] {
      if (!*alive || ended_) return;
      if (passing_) {
        answer_->Finish();
      } else {
        answer_->Respond(response_, Outcome::kRan);
      }
      Done();
    });
  }

  void OnFailed(HttpFailure failure, bool sent) override {
    EndCall();
    if (failure == HttpFailure::kConnect)
      deps_.pool->OnConnectFailed(back_end_, deps_.loop->Now());
    sent_ = sent_ || sent;
    if (answer_->begun()) {
      if (deps_.switches.abort_truncated) {
        answer_->Abort(Outcome::kUnknown);
      } else {
        answer_->Finish();
      }
      Done();
      return;
    }
    const bool may_repeat =
        !sent_ || !deps_.switches.send_at_most_once ||
        (!NeverRepeated() &&
         IsIdempotentMethod(context_.outbound_request.method));
    response_ = {};
    if (may_repeat && deps_.loop->Now() < context_.deadline) {
      // Posted: the failed call is still on the stack.
      deps_.loop->Post([this, alive = alive_] {
        if (*alive && !ended_) Send();
      });
    } else {
      GiveUp();
    }
  }

  // --- Ends --------------------------------------------------------------

  void EndCall() {
    flow_.reset();
    if (!calling_) return;
    calling_ = false;
    deps_.pool->OnCallEnded(back_end_);
  }

  void StopCall() {
    if (call_) sent_ = sent_ || call_->sent();
    EndCall();
    call_.reset();
  }

  void Refund() {
    if (charged_at_ != kNever && charged_ > Tokens(0)) {
      deps_.limiter->Refund(context_.customer, charged_, charged_at_);
    }
    charged_ = Tokens(0);
  }

  void Done() {
    if (ended_) return;
    ended_ = true;
    if (claim_ && !sent_) claim_->Release();
    deps_.loop->Post([this, alive = alive_] {
      if (*alive) done_({});
    });
  }

  const ServiceCallDeps deps_;
  const RequestContext context_;
  ResponseWriter* const answer_;  // owned by context_
  const RequestDoneCallback done_;
  const std::shared_ptr<bool> alive_;  // false once destroyed

  std::unique_ptr<PendingCharge> charge_;
  Tokens charged_;                // asked for and not given back
  MonoTime charged_at_ = kNever;  // until granted
  std::unique_ptr<class Claim> claim_;

  std::unique_ptr<HttpCall> call_;
  std::unique_ptr<FlowControl> flow_;  // while passing_; refers to call_
  BackEndId back_end_;
  bool calling_ = false;  // back_end_'s count includes this call
  std::set<BackEndId> tried_;
  int tries_ = 0;
  // Never falls back to false: some backend server may have seen the request.
  bool sent_ = false;
  bool claim_owned_ = false;  // the key's first run is this attempt's

  HttpResponse response_;
  bool passing_ = false;  // the answer streams through
  bool ended_ = false;    // done_ ran or is posted
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
