// Model calls as a state machine driven by the loop.
#include "router/model_call.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "decide/sse.h"
#include "decide/token_stream.h"
#include "router/completion_request.h"
#include "router/flow_control.h"

namespace mimosa {
namespace {

// Attempts with a prefill of their own, per request.
constexpr int kMaxAttempts = 3;
// Resumes of one attempt's stream before a new prefill is begun.
constexpr int kMaxResumes = 2;
// Longest silence of a decode stream before it is taken for broken.
constexpr Duration kStreamSilence = std::chrono::seconds(10);
// Between looks at whether the former attempt has been taken back.
constexpr Duration kRetryPause = std::chrono::milliseconds(50);
// Advice to callers when engines fail rather than being full.
constexpr Duration kFailureRetryAfter = std::chrono::seconds(1);

HttpRequest JsonPost(const char* target, const Json::Value& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.headers.Set("Content-Type", "application/json");
  request.body = WriteJson(body);
  return request;
}

int EnginePriority(wire::RequestClass request_class) {
  return request_class == wire::PATIENT ? 0 : 1;
}

class ModelCall : public RunningRequest {
 public:
  ModelCall(const ModelCallDeps& deps, RequestContext context,
            CompletionRequest request, RequestDoneCallback done)
      : deps_(deps),
        context_(std::move(context)),
        request_(std::move(request)),
        answer_(context_.answer.get()),
        done_(std::move(done)),
        stream_(context_.id, deps.switches.check_identity),
        alive_(std::make_shared<bool>(true)),
        decode_handler_(this) {}

  ~ModelCall() override {
    *alive_ = false;
    GiveBackAll();
  }

  void Start() {
    if (context_.customer.empty()) {
      Reserve();
      return;
    }
    const Tokens charge = request_.prompt_tokens + request_.max_output_tokens;
    const wire::Customer* customer =
        context_.snapshot->FindCustomer(context_.customer);
    if (charge > Tokens(customer->burst_tokens())) {
      answer_->Refuse(Refusal::kChargeAboveBurst, Outcome::kNotRun);
      Done();
      return;
    }
    charged_ = charge;
    const bool patient = context_.route->request_class() == wire::PATIENT;
    charge_ = deps_.limiter->Charge(
        context_.customer, charge,
        patient ? context_.deadline : context_.arrived_at,
        [this](const ChargeResult& result) { OnCharged(result); });
  }

  void Cancel(CancelReason reason) override {
    if (ended_) return;
    const Outcome outcome = WhatHappened();
    GiveBackAll();
    if (answer_->begun()) {
      if (reason != CancelReason::kCallerGone)
        answer_->Abort(Outcome::kUnknown);
    } else if (reason == CancelReason::kKeyWithdrawn) {
      answer_->Refuse(Refusal::kKeyWithdrawn, outcome);
    } else if (reason == CancelReason::kDeadline) {
      answer_->Refuse(Refusal::kDeadlineExceeded, outcome, kFailureRetryAfter);
    }
    Done();
  }

 private:
  // Forwards the decode stream's callbacks; the prefill call uses Fetch.
  class DecodeHandler : public HttpCallHandler {
   public:
    explicit DecodeHandler(ModelCall* call) : call_(call) {}
    void OnHead(int status, const HttpHeaders& headers) override {
      (void)headers;
      call_->OnDecodeHead(status);
    }
    void OnBody(std::string_view data) override { call_->OnDecodeBody(data); }
    void OnDone() override { call_->OnDecodeOver(); }
    void OnFailed(HttpFailure failure, bool sent) override {
      (void)failure;
      (void)sent;
      call_->OnDecodeOver();
    }

   private:
    ModelCall* const call_;
  };

  struct Engine {
    BackEndId id;
    Endpoint address;
  };

  Outcome WhatHappened() const {
    return engine_asked_ ? Outcome::kUnknown : Outcome::kNotRun;
  }

  // --- Charge and places -------------------------------------------------

  void OnCharged(const ChargeResult& result) {
    if (!result.granted) {
      charged_ = Tokens(0);
      answer_->Refuse(Refusal::kRateLimited, Outcome::kNotRun,
                      result.retry_after);
      Done();
      return;
    }
    charged_at_ = deps_.loop->Now();
    Reserve();
  }

  void Reserve() {
    ReservationRequest place;
    place.request_id = context_.id;
    place.customer = context_.customer;
    place.model = request_.model;
    place.prompt = request_.prompt;
    place.prompt_tokens = request_.prompt_tokens;
    place.output_tokens = request_.max_output_tokens;
    place.request_class = context_.route->request_class();
    place.deadline = context_.deadline;
    if (context_.route->first_token_ms() > 0) {
      place.first_token_deadline =
          context_.arrived_at +
          std::chrono::milliseconds(context_.route->first_token_ms());
    }
    place.excluded_engines = failed_;
    for (const Engine& engine : resting_)
      place.excluded_engines.push_back(engine.id);
    pending_place_ = deps_.reservations->Reserve(
        place,
        [this](ReservationResult result) { OnPlace(std::move(result)); });
  }

  // No engine is left. Sound ones of former attempts come back first, then the
  // ones that failed: a second chance beats a refusal. False: none was avoided.
  bool ReserveWithFewerAvoided() {
    if (!resting_.empty()) {
      ReserveWhenRested();
    } else if (!failed_.empty()) {
      failed_.clear();
      retry_ = deps_.loop->After(kRetryPause, [this] {
        if (!ended_) Reserve();
      });
    } else {
      return false;
    }
    return true;
  }

  // Books and engines know a request by its id: its former place must be gone
  // from them before it takes another there.
  void ReserveWhenRested() {
    retry_ = deps_.loop->After(kRetryPause, [this] {
      if (ended_) return;
      const bool pending = std::any_of(
          resting_.begin(), resting_.end(), [this](const Engine& engine) {
            return deps_.canceller->IsPending(context_.id, engine.address);
          });
      if (pending) {
        ReserveWhenRested();
        return;
      }
      resting_.clear();
      Reserve();
    });
  }

  void OnPlace(ReservationResult result) {
    if (result.status != ReservationStatus::kGranted) {
      const bool no_engine = result.status == ReservationStatus::kNoEngine;
      if (no_engine && ReserveWithFewerAvoided()) return;
      Fail(no_engine ? Refusal::kNoBackEnd : Refusal::kOverloaded,
           std::max(result.retry_after, kFailureRetryAfter));
      return;
    }
    place_ = std::move(result.reservation);
    Prefill();
  }

  // --- Prefill -----------------------------------------------------------

  Json::Value OrderBody(int attempt) const {
    Json::Value body(Json::objectValue);
    body["request"] = context_.id.value();
    body["attempt"] = attempt;
    body["model"] = request_.model.value();
    body["prompt"] = request_.prompt;
    body["prompt_tokens"] =
        static_cast<Json::Int64>(request_.prompt_tokens.count());
    body["priority"] = EnginePriority(context_.route->request_class());
    return body;
  }

  void Prefill() {
    const int attempt = stream_.BeginAttempt();
    resumes_ = 0;
    engine_asked_ = true;
    ++deps_.counters->prefills;
    HttpCallOptions options;
    options.to = place_->prefill_address();
    options.head_timeout = context_.deadline - deps_.loop->Now();
    prefill_call_ = Fetch(deps_.client, options,
                          JsonPost("/v1/prefill", OrderBody(attempt)),
                          [this](const HttpResult& result) {
                            // Copied: the handler may drop the call.
                            OnPrefilled(result);
                          });
  }

  void OnPrefilled(const HttpResult& result) {
    place_->ReleasePrefillEngine();
    std::string kv;
    if (result.ok && result.response.status == 200) {
      const auto document = ParseJson(result.response.body);
      if (document && document->isObject() && (*document)["kv"].isString())
        kv = (*document)["kv"].asString();
    }
    if (kv.empty()) {
      NextAttempt(/*prefill_failed=*/true);
      return;
    }
    Decode(kv);
  }

  // --- Decode ------------------------------------------------------------

  void Decode(const std::string& kv) {
    Json::Value body = OrderBody(stream_.attempt());
    body["kv"] = kv;
    body["from"] = place_->prefill_address().ToString();
    body["max_output_tokens"] =
        static_cast<Json::Int64>(request_.max_output_tokens.count());
    body["offset"] =
        static_cast<Json::Int64>(stream_.accepted_tokens().count());
    body["pieces"] = static_cast<Json::Int64>(place_->pieces().count());
    OpenStream(JsonPost("/v1/decode", body));
  }

  void Resume() {
    ++resumes_;
    ++deps_.counters->resumes;
    Json::Value body(Json::objectValue);
    body["request"] = context_.id.value();
    body["attempt"] = stream_.attempt();
    body["offset"] =
        static_cast<Json::Int64>(stream_.accepted_tokens().count());
    OpenStream(JsonPost("/v1/resume", body));
  }

  void OpenStream(HttpRequest request) {
    reader_ = SseReader();
    stream_ok_ = false;
    decode_asked_ = true;
    HttpCallOptions options;
    options.to = place_->decode_address();
    options.head_timeout = context_.deadline - deps_.loop->Now();
    options.idle_timeout = kStreamSilence;
    decode_call_ =
        deps_.client->Start(options, std::move(request), &decode_handler_);
  }

  void OnDecodeHead(int status) {
    stream_ok_ = status == 200;
    if (stream_ok_ && request_.stream)
      flow_ = std::make_unique<FlowControl>(&answer_->exchange(),
                                            decode_call_.get());
  }

  void OnDecodeBody(std::string_view data) {
    if (!stream_ok_ || ended_) return;
    std::vector<std::string> events;
    if (!reader_.Feed(data, &events)) {
      DropStream();
      return;
    }
    for (const std::string& event : events) {
      if (event == "[DONE]") continue;
      if (!TakeEvent(event)) return;
    }
  }

  // False if the stream is over.
  bool TakeEvent(const std::string& data) {
    TokenEvent event = stream_.ProcessEvent(stream_.attempt(), data);
    switch (event.type) {
      case TokenEventType::kToken:
        PassToken(event.text);
        return true;
      case TokenEventType::kForeign:
      case TokenEventType::kDuplicate:
        ++deps_.counters->foreign_events;
        return true;
      case TokenEventType::kEnd:
        FinishAnswer(event.finish);
        return false;
      default:
        ++deps_.counters->faulty_events;
        DropStream();
        return false;
    }
  }

  void PassToken(const std::string& text) {
    NoteLatency();
    if (!request_.stream) {
      text_ += text;
      return;
    }
    if (!answer_->begun()) {
      HttpHeaders headers;
      headers.Set("Content-Type", "text/event-stream");
      headers.Set("Cache-Control", "no-cache");
      answer_->StartStream(200, std::move(headers), Outcome::kRan);
    }
    answer_->Write(CompletionEvent(request_, context_.id, text, ""));
    if (flow_) flow_->PauseIfBacklogged();
  }

  void NoteLatency() {
    const MonoTime now = deps_.loop->Now();
    if (!result_.first_token_latency) {
      result_.first_token_latency = now - context_.arrived_at;
    } else {
      result_.max_token_gap = std::max(
          result_.max_token_gap.value_or(Duration::zero()), now - last_token_);
    }
    last_token_ = now;
  }

  void FinishAnswer(const std::string& finish) {
    result_.prompt_tokens = request_.prompt_tokens;
    result_.output_tokens = stream_.accepted_tokens();
    whole_ = true;
    if (request_.stream) {
      if (!answer_->begun()) {
        HttpHeaders headers;
        headers.Set("Content-Type", "text/event-stream");
        answer_->StartStream(200, std::move(headers), Outcome::kRan);
      }
      answer_->Write(CompletionEvent(request_, context_.id, "", finish));
      answer_->Write(kCompletionStreamEnd);
      answer_->Finish();
    } else {
      HttpResponse response;
      response.status = 200;
      response.headers.Set("Content-Type", "application/json");
      response.body = CompletionDocument(request_, context_.id, text_, finish,
                                         stream_.accepted_tokens());
      answer_->Respond(std::move(response), Outcome::kRan);
    }
    Done();
  }

  // --- Failures ----------------------------------------------------------

  // The stream can't be trusted or has failed; go on another way.
  void DropStream() {
    flow_.reset();
    stream_ok_ = false;
    deps_.loop->Post([this, alive = alive_] {
      if (!*alive || ended_) return;
      decode_call_.reset();
      Recover();
    });
  }

  void OnDecodeOver() {
    if (ended_) return;
    DropStream();
  }

  void Recover() {
    if (deps_.loop->Now() >= context_.deadline) return;  // the timer ends it
    if (stream_.accepted_tokens() > Tokens(0) && resumes_ < kMaxResumes) {
      Resume();
    } else {
      NextAttempt(/*prefill_failed=*/false);
    }
  }

  // Gives up the attempt because of an engine, and begins another if there is
  // one left.
  void NextAttempt(bool prefill_failed) {
    ++deps_.counters->prefills_wasted;
    const Engine prefill{place_->prefill_engine(), place_->prefill_address()};
    const Engine decode{place_->decode_engine(), place_->decode_address()};
    failed_.push_back(prefill_failed ? prefill.id : decode.id);
    resting_.push_back(prefill_failed ? decode : prefill);
    GiveBackPlace();
    if (stream_.attempt() >= kMaxAttempts) {
      Fail(Refusal::kBackEndFailed, kFailureRetryAfter);
      return;
    }
    deps_.loop->Post([this, alive = alive_] {
      if (*alive && !ended_) Reserve();
    });
  }

  void Fail(Refusal refusal, Duration retry_after) {
    if (answer_->begun()) {
      answer_->Abort(Outcome::kUnknown);
    } else {
      answer_->Refuse(refusal, WhatHappened(), retry_after);
    }
    Done();
  }

  // --- Ends --------------------------------------------------------------

  // The engines may hold memory for this request unless its answer came whole.
  // The place goes when the decode engine has let go of it.
  void GiveBackPlace() {
    if (!place_) return;
    const bool cancel = !whole_ && deps_.switches.cancel_at_engine;
    prefill_call_.reset();
    decode_call_.reset();
    const int attempt = stream_.attempt();
    if (cancel) {
      deps_.canceller->Cancel(context_.id, attempt, place_->prefill_address(),
                              nullptr);
    }
    if (cancel && decode_asked_) {
      const Endpoint decode = place_->decode_address();
      deps_.canceller->Cancel(context_.id, attempt, decode, std::move(place_));
    }
    decode_asked_ = false;
    place_.reset();
  }

  void GiveBackAll() {
    flow_.reset();
    charge_.reset();
    pending_place_.reset();
    GiveBackPlace();
    prefill_call_.reset();
    decode_call_.reset();
    Refund();
  }

  void Refund() {
    // Work that gave the caller nothing is the fleet's loss, not the
    // customer's.
    const Tokens used = result_.first_token_latency || whole_
                            ? request_.prompt_tokens + stream_.accepted_tokens()
                            : Tokens(0);
    if (charged_at_ != kNever && charged_ > used) {
      deps_.limiter->Refund(context_.customer, charged_ - used, charged_at_);
    }
    charged_ = Tokens(0);
  }

  void Done() {
    if (ended_) return;
    ended_ = true;
    // Posted: calls that end here may still be on the stack.
    deps_.loop->Post([this, alive = alive_] {
      if (!*alive) return;
      GiveBackAll();
      done_(result_);
    });
  }

  const ModelCallDeps deps_;
  const RequestContext context_;
  const CompletionRequest request_;
  ResponseWriter* const answer_;  // owned by context_
  const RequestDoneCallback done_;
  TokenStream stream_;
  const std::shared_ptr<bool> alive_;  // false once destroyed
  DecodeHandler decode_handler_;

  std::unique_ptr<PendingCharge> charge_;
  Tokens charged_;                // asked for and not given back
  MonoTime charged_at_ = kNever;  // until granted
  std::unique_ptr<PendingReservation> pending_place_;
  std::unique_ptr<EngineReservation> place_;  // of the live attempt
  bool decode_asked_ = false;      // the decode engine may hold memory
  std::vector<BackEndId> failed_;  // engines that ended an attempt
  std::vector<Engine> resting_;    // the sound engines of those attempts
  std::unique_ptr<HttpCall> prefill_call_;
  std::unique_ptr<HttpCall> decode_call_;
  std::unique_ptr<FlowControl> flow_;  // refers to decode_call_
  SseReader reader_;
  bool stream_ok_ = false;     // the open stream's head was good
  bool engine_asked_ = false;  // some engine may have seen the request
  int resumes_ = 0;
  TimerHandle retry_;
  std::string text_;  // of an answer that isn't streamed
  MonoTime last_token_{};
  RequestResult result_;
  bool whole_ = false;  // the engine's end was taken
  bool ended_ = false;  // done_ ran or is posted
};

// A request that was refused before anything began.
class RefusedCall : public RunningRequest {
 public:
  void Cancel(CancelReason reason) override { (void)reason; }
};

}  // namespace

std::unique_ptr<RunningRequest> StartModelCall(const ModelCallDeps& deps,
                                               RequestContext context,
                                               RequestDoneCallback done) {
  auto request = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<CompletionRequest>> {
        BOOST_LEAF_AUTO(read,
                        ParseCompletionRequest(*context.route,
                                               context.outbound_request.target,
                                               context.outbound_request.body));
        return std::optional<CompletionRequest>(std::move(read));
      },
      [&](const CompletionError& fault) {
        context.answer->Refuse(Refusal::kMalformedRequest, Outcome::kNotRun, {},
                               fault.message);
        return std::optional<CompletionRequest>();
      },
      [&] {
        context.answer->Refuse(Refusal::kMalformedRequest, Outcome::kNotRun);
        return std::optional<CompletionRequest>();
      });
  if (!request) {
    deps.loop->Post([done = std::move(done)] { done({}); });
    return std::make_unique<RefusedCall>();
  }
  auto call = std::make_unique<ModelCall>(deps, std::move(context),
                                          *std::move(request), std::move(done));
  call->Start();
  return call;
}

}  // namespace mimosa
