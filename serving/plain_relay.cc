// Tries, hedges and the one answer of a plain request.
#include "serving/plain_relay.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "serving/back_end_call.h"
#include "serving/local_responses.h"

namespace mimosa {
namespace {

// An idempotent request goes to a second server after this share of the time in
// which its answer earns most: late enough that few healthy servers are meant,
// early enough for the second one to be in time.
constexpr double kHedgeShare = 0.6;
constexpr Duration kLeastHedge = std::chrono::milliseconds(20);
// Silence of so many times the wanted latency counts against a server.
constexpr int kSilenceFactor = 3;
// Answers beyond this are passed on as they come.
constexpr size_t kMaxHeldBytes = 1U << 20;
// Retry-After of a refusal: a plain server's queue drains in less.
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(80);
constexpr Duration kRetryAfterSpread = std::chrono::milliseconds(170);

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
    const Duration left = request_.deadline - deps_.loop->Now();
    deadline_timer_ = deps_.loop->After(std::max(left, Duration::zero()),
                                        [this] { OnDeadline(); });
    ArmSilenceTimer();
    if (!TryNext()) Conclude();
  }

  void OnCallerDisconnected() override {
    result_.caller_disconnected = true;
    GiveUpTries();
    End(0, "caller_gone");
  }

  // BackEndCall::Owner:
  void OnResponseHead(BackEndCall* call, int status,
                      const HttpHeaders& headers) override {
    Try* const one = Find(call);
    one->answer.status = status;
    one->answer.headers = headers;
  }

  void OnResponseBody(BackEndCall* call, std::string_view data) override {
    Try* const one = Find(call);
    if (one == passing_on_) {
      exchange_->Write(data);
      return;
    }
    one->answer.body.append(data);
    if (one->answer.body.size() > kMaxHeldBytes && passing_on_ == nullptr)
      PassOn(one);
  }

  void OnResponseComplete(BackEndCall* call) override {
    Try* const one = Find(call);
    if (one == passing_on_) {
      exchange_->Finish();
      End(one->answer.status, "answered");
      return;
    }
    result_.back_end = call->back_end().id;
    ++may_have_run_;
    HttpResponse answer = std::move(one->answer);
    Drop(call);
    const bool failed = IsServerError(answer.status);
    if (failed && MayRepeat()) {
      kept_ = std::make_unique<HttpResponse>(std::move(answer));
      if (!tries_.empty() || TryNext()) return;
      answer = std::move(*kept_);
    }
    Deliver(std::move(answer), "answered");
  }

  void OnCallFailed(BackEndCall* call, CallFailure loss) override {
    const bool passing_on = Find(call) == passing_on_;
    result_.back_end = call->back_end().id;
    Drop(call);
    if (passing_on) {
      exchange_->Abort();
      End(0, "answer_cut");
      return;
    }
    if (loss == CallFailure::kNotSent) {
      --arrivals_;
    } else if (loss == CallFailure::kNotExecuted) {
      ++rejections_;
    } else {
      ++may_have_run_;
    }
    if (!tries_.empty()) return;
    if (MayRepeat() && TryNext()) return;
    Conclude();
  }

 private:
  struct Try {
    std::unique_ptr<BackEndCall> call;
    HttpResponse answer;
  };

  bool Idempotent() const {
    return request_.route.retry_policy == RetryPolicy::kIdempotent;
  }

  // Whether another server may get the request, as things stand.
  bool MayRepeat() const {
    if (rejections_ >= kMaxRejections) return false;
    const int running = static_cast<int>(tries_.size());
    if (Idempotent())
      return may_have_run_ + running < request_.route.max_attempts;
    return may_have_run_ == 0 && running == 0;
  }

  // False if no server can be asked.
  bool TryNext() {
    const MonoTime now = deps_.loop->Now();
    SelectionQuery query;
    query.service = request_.service.id;
    query.preferred_zone = deps_.zone;
    query.exclude = &tried_;
    const BackEndEntry* chosen = deps_.selector->SelectBackEnd(query, now);
    if (chosen == nullptr) return false;
    if (arrivals_ > 0 && !TryAcquireRetry(deps_, request_.service.id)) {
      budget_spent_ = true;
      return false;
    }
    const BackEndEntry back_end = *chosen;
    tried_.insert(back_end.id);
    ++arrivals_;
    ++result_.calls;
    auto one = std::make_unique<Try>();
    one->call = std::make_unique<BackEndCall>(deps_, back_end, WorkSize{},
                                              request_.caller.id, this);
    BackEndCallParams call;
    call.expected_back_end = back_end.id;
    call.time_left = request_.deadline - now;
    call.customer = request_.customer;
    call.priority = request_.priority;
    BackEndCall::Options options;
    options.retryable = Idempotent();
    if (!Idempotent()) options.max_idle = kMaxIdleNonIdempotent;
    options.head_timeout = call.time_left;
    options.idle_timeout = call.time_left;
    BackEndCall* const raw = one->call.get();
    tries_.push_back(std::move(one));
    raw->Start(deps_.format->WriteCall(request_.caller, call), options);
    return true;
  }

  void ArmSilenceTimer() {
    const Duration wanted = request_.route.target_latency;
    if (wanted <= Duration::zero()) return;
    const Duration delay =
        Idempotent()
            ? std::max(kLeastHedge, std::chrono::duration_cast<Duration>(
                                        wanted * kHedgeShare))
            : wanted * kSilenceFactor;
    silence_timer_ = deps_.loop->After(delay, [this] { OnSilence(); });
  }

  void OnSilence() {
    silence_timer_.Cancel();
    if (Idempotent()) {
      if (tries_.size() == 1 && MayRepeat() && TryNext())
        ++deps_.counters->hedges;
      return;
    }
    if (tries_.empty()) return;
    const BackEndCall& call = *tries_.front()->call;
    if (!call.response_started())
      deps_.selector->RecordOutcome(call.back_end(), CallOutcome::kFailed,
                                    deps_.loop->Now());
  }

  void OnDeadline() {
    const bool asked = !tries_.empty();
    GiveUpTries();
    if (passing_on_ != nullptr) {
      exchange_->Abort();
      End(0, "timeout");
    } else if (kept_ != nullptr) {
      Deliver(std::move(*kept_), "answered");
    } else if (asked || may_have_run_ > 0) {
      Deliver(EmptyResponse(kStatusGatewayTimeout), "timeout");
    } else {
      Refuse("timeout");
    }
  }

  // No try is under way and none will be.
  void Conclude() {
    if (kept_ != nullptr) {
      Deliver(std::move(*kept_), "answered");
    } else if (may_have_run_ > 0) {
      Deliver(EmptyResponse(kStatusBadGateway), "lost");
    } else if (budget_spent_) {
      Refuse("retry_budget");
    } else {
      Refuse(rejections_ > 0 ? "back_ends_full" : "no_back_end");
    }
  }

  void Refuse(const char* why) {
    const Duration spread = Scaled(kRetryAfterSpread, deps_.random->Unit());
    Deliver(RetryLaterResponse(kStatusUnavailable, kLeastRetryAfter + spread),
            why);
  }

  void PassOn(Try* one) {
    passing_on_ = one;
    for (const auto& other : tries_)
      if (other.get() != one) other->call->Cancel(CallOutcome::kUnknown);
    exchange_->StartStream(one->answer.status, one->answer.headers);
    exchange_->Write(one->answer.body);
    one->answer.body.clear();
  }

  void Deliver(HttpResponse answer, const char* why) {
    GiveUpTries();
    const int status = answer.status;
    exchange_->Respond(std::move(answer));
    End(status, why);
  }

  // Calls that were silent for long count against their servers.
  void GiveUpTries() {
    const MonoTime now = deps_.loop->Now();
    const Duration long_silence =
        request_.route.target_latency * kSilenceFactor;
    for (const auto& one : tries_) {
      const bool silent = !one->call->response_started() &&
                          request_.route.target_latency > Duration::zero() &&
                          now - one->call->started() >= long_silence;
      one->call->Cancel(silent ? CallOutcome::kFailed : CallOutcome::kUnknown);
    }
  }

  void End(int status, const char* why) {
    deadline_timer_.Cancel();
    silence_timer_.Cancel();
    result_.status = status;
    result_.reason = why;
    const RelayDoneCallback done = std::move(done_);
    done(result_);  // destroys this
  }

  Try* Find(const BackEndCall* call) {
    const auto it = std::find_if(
        tries_.begin(), tries_.end(),
        [call](const auto& one) { return one->call.get() == call; });
    return it->get();
  }

  // The call is on the stack: it dies with the relay.
  void Drop(const BackEndCall* call) {
    const auto it = std::find_if(
        tries_.begin(), tries_.end(),
        [call](const auto& one) { return one->call.get() == call; });
    ended_.push_back(std::move(*it));
    tries_.erase(it);
  }

  const RelayDeps& deps_;
  const RelayRequest request_;
  const std::shared_ptr<HttpExchange> exchange_;
  RelayDoneCallback done_;
  RelayResult result_;
  std::vector<std::unique_ptr<Try>> tries_;  // under way
  std::vector<std::unique_ptr<Try>> ended_;
  std::set<BackEndId> tried_;
  Try* passing_on_ = nullptr;           // its answer goes out as it comes
  std::unique_ptr<HttpResponse> kept_;  // a server's failure, the last resort
  int arrivals_ = 0;                    // calls of which a byte went out
  int rejections_ = 0;
  int may_have_run_ = 0;  // calls that have ended and may have run
  bool budget_spent_ = false;
  TimerHandle deadline_timer_;
  TimerHandle silence_timer_;
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
