// Implements a model call as a state machine driven by the event loop.
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

// Maximum number of attempts per request, each with its own prefill.
constexpr int kMaxAttempts = 3;
// Maximum number of resumes of one attempt's stream before a new attempt.
constexpr int kMaxResumes = 2;
// Idle timeout after which a decode stream counts as broken.
constexpr Duration kStreamIdleTimeout = std::chrono::seconds(10);
// Interval of checks whether the cancels of former attempts are confirmed, and
// delay before engines that failed are tried again.
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
// Retry-After when engines fail, and the minimum when they are full.
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
        writer_(context_.response_writer.get()),
        done_(std::move(done)),
        stream_(context_.id, deps.switches.check_identity),
        alive_(std::make_shared<bool>(true)),
        decode_handler_(this) {}

  ~ModelCall() override {
    *alive_ = false;
    ReleaseAll();
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
      writer_->Refuse(Refusal::kChargeAboveBurst, Outcome::kNotRun);
      FinishRequest();
      return;
    }
    charged_tokens_ = charge;
    const bool patient = context_.route->request_class() == wire::PATIENT;
    pending_charge_ = deps_.limiter->Charge(
        context_.customer, charge,
        patient ? context_.deadline : context_.arrived_at,
        [this](const ChargeResult& result) { OnCharged(result); });
  }

  void Cancel(CancelReason reason) override {
    if (ended_) return;
    const Outcome outcome = CurrentOutcome();
    ReleaseAll();
    if (writer_->begun()) {
      if (reason != CancelReason::kCallerDisconnected)
        writer_->Abort(Outcome::kUnknown);
    } else if (reason == CancelReason::kKeyWithdrawn) {
      writer_->Refuse(Refusal::kKeyWithdrawn, outcome);
    } else if (reason == CancelReason::kDeadline) {
      writer_->Refuse(Refusal::kDeadlineExceeded, outcome, kFailureRetryAfter);
    }
    FinishRequest();
  }

 private:
  // Forwards the callbacks of the decode stream; the prefill call uses Fetch.
  class DecodeHandler : public HttpCallHandler {
   public:
    explicit DecodeHandler(ModelCall* call) : call_(call) {}
    void OnHead(int status, const HttpHeaders& headers) override {
      (void)headers;
      call_->OnDecodeHead(status);
    }
    void OnBody(std::string_view data) override { call_->OnDecodeBody(data); }
    void OnDone(ResponseEnd /*end*/) override { call_->OnDecodeEnded(); }
    void OnFailed(HttpFailure failure, bool sent) override {
      (void)failure;
      (void)sent;
      call_->OnDecodeEnded();
    }

   private:
    ModelCall* const call_;
  };

  struct Engine {
    BackEndId id;
    Endpoint address;
  };

  Outcome CurrentOutcome() const {
    return engine_called_ ? Outcome::kUnknown : Outcome::kNotRun;
  }

  // --- Charge and reservation --------------------------------------------

  void OnCharged(const ChargeResult& result) {
    if (!result.granted) {
      charged_tokens_ = Tokens(0);
      writer_->Refuse(Refusal::kRateLimited, Outcome::kNotRun,
                      result.retry_after);
      FinishRequest();
      return;
    }
    charged_at_ = deps_.loop->Now();
    Reserve();
  }

  void Reserve() {
    ReservationRequest reservation_request;
    reservation_request.request_id = context_.id;
    reservation_request.customer = context_.customer;
    reservation_request.model = request_.model;
    reservation_request.prompt = request_.prompt;
    reservation_request.prompt_tokens = request_.prompt_tokens;
    reservation_request.output_tokens = request_.max_output_tokens;
    reservation_request.request_class = context_.route->request_class();
    reservation_request.deadline = context_.deadline;
    if (context_.route->first_token_ms() > 0) {
      reservation_request.first_token_deadline =
          context_.arrived_at +
          std::chrono::milliseconds(context_.route->first_token_ms());
    }
    reservation_request.excluded_engines = failed_engines_;
    for (const Engine& engine : sound_engines_)
      reservation_request.excluded_engines.push_back(engine.id);
    pending_reservation_ = deps_.reservations->Reserve(
        reservation_request,
        [this](ReservationResult result) { OnReservation(std::move(result)); });
  }

  // Called when no engine is left. Reserves again with fewer engines excluded:
  // first the sound engines of former attempts return, then the ones that
  // failed, since a second try is better than a refusal. Returns false if none
  // was excluded.
  bool ReserveWithFewerExcluded() {
    if (!sound_engines_.empty()) {
      ReserveAfterCancels();
    } else if (!failed_engines_.empty()) {
      failed_engines_.clear();
      retry_ = deps_.loop->After(kRetryDelay, [this] {
        if (!ended_) Reserve();
      });
    } else {
      return false;
    }
    return true;
  }

  // Reserves once the former attempts are cancelled. Ledgers and engines
  // identify a request by its id, so its former reservation must be gone before
  // a new one at the same engine.
  void ReserveAfterCancels() {
    retry_ = deps_.loop->After(kRetryDelay, [this] {
      if (ended_) return;
      const bool pending = std::any_of(
          sound_engines_.begin(), sound_engines_.end(),
          [this](const Engine& engine) {
            return deps_.canceller->IsPending(context_.id, engine.address);
          });
      if (pending) {
        ReserveAfterCancels();
        return;
      }
      sound_engines_.clear();
      Reserve();
    });
  }

  void OnReservation(ReservationResult result) {
    if (result.status != ReservationStatus::kGranted) {
      const bool no_engine = result.status == ReservationStatus::kNoEngine;
      if (no_engine && ReserveWithFewerExcluded()) return;
      Fail(no_engine ? Refusal::kNoBackEnd : Refusal::kOverloaded,
           std::max(result.retry_after, kFailureRetryAfter));
      return;
    }
    reservation_ = std::move(result.reservation);
    StartPrefill();
  }

  // --- Prefill -----------------------------------------------------------

  Json::Value EngineRequestBody(int attempt) const {
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

  void StartPrefill() {
    const int attempt = stream_.BeginAttempt();
    resumes_ = 0;
    engine_called_ = true;
    ++deps_.counters->prefills;
    HttpCallOptions options;
    options.to = reservation_->prefill_address();
    options.head_timeout = context_.deadline - deps_.loop->Now();
    prefill_call_ = Fetch(deps_.client, options,
                          JsonPost("/v1/prefill", EngineRequestBody(attempt)),
                          [this](const HttpResult& result) {
                            // OnPrefilled may destroy the call.
                            OnPrefilled(result);
                          });
  }

  void OnPrefilled(const HttpResult& result) {
    reservation_->ReleasePrefillEngine();
    std::string kv;
    if (result.ok && result.response.status == 200) {
      const auto document = ParseJson(result.response.body);
      if (document && document->isObject() && (*document)["kv"].isString())
        kv = (*document)["kv"].asString();
    }
    if (kv.empty()) {
      StartNextAttempt(/*prefill_failed=*/true);
      return;
    }
    StartDecode(kv);
  }

  // --- Decode ------------------------------------------------------------

  void StartDecode(const std::string& kv) {
    Json::Value body = EngineRequestBody(stream_.attempt());
    body["kv"] = kv;
    body["from"] = reservation_->prefill_address().ToString();
    body["max_output_tokens"] =
        static_cast<Json::Int64>(request_.max_output_tokens.count());
    body["offset"] =
        static_cast<Json::Int64>(stream_.accepted_tokens().count());
    body["pieces"] = static_cast<Json::Int64>(reservation_->pieces().count());
    OpenStream(JsonPost("/v1/decode", body));
  }

  void ResumeStream() {
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
    decode_called_ = true;
    HttpCallOptions options;
    options.to = reservation_->decode_address();
    options.head_timeout = context_.deadline - deps_.loop->Now();
    options.idle_timeout = kStreamIdleTimeout;
    decode_call_ =
        deps_.client->Start(options, std::move(request), &decode_handler_);
  }

  void OnDecodeHead(int status) {
    stream_ok_ = status == 200;
    if (stream_ok_ && request_.stream)
      flow_ = std::make_unique<FlowControl>(&writer_->exchange(),
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
      if (!ProcessEvent(event)) return;
    }
  }

  // Returns false if the stream has ended.
  bool ProcessEvent(const std::string& data) {
    TokenEvent event = stream_.ProcessEvent(stream_.attempt(), data);
    switch (event.type) {
      case TokenEventType::kToken:
        ForwardToken(event.text);
        return true;
      case TokenEventType::kForeign:
      case TokenEventType::kDuplicate:
        ++deps_.counters->foreign_events;
        return true;
      case TokenEventType::kEnd:
        FinishResponse(event.finish);
        return false;
      default:
        ++deps_.counters->faulty_events;
        DropStream();
        return false;
    }
  }

  void ForwardToken(const std::string& text) {
    RecordTokenLatency();
    if (!request_.stream) {
      text_ += text;
      return;
    }
    if (!writer_->begun()) {
      HttpHeaders headers;
      headers.Set("Content-Type", "text/event-stream");
      headers.Set("Cache-Control", "no-cache");
      writer_->StartStream(200, std::move(headers), Outcome::kRan);
    }
    writer_->Write(CompletionEvent(request_, context_.id, text, ""));
    if (flow_) flow_->PauseIfBacklogged();
  }

  void RecordTokenLatency() {
    const MonoTime now = deps_.loop->Now();
    if (!result_.first_token_latency) {
      result_.first_token_latency = now - context_.arrived_at;
    } else {
      result_.max_token_gap = std::max(
          result_.max_token_gap.value_or(Duration::zero()), now - last_token_);
    }
    last_token_ = now;
  }

  void FinishResponse(const std::string& finish) {
    result_.prompt_tokens = request_.prompt_tokens;
    result_.output_tokens = stream_.accepted_tokens();
    complete_ = true;
    if (request_.stream) {
      if (!writer_->begun()) {
        HttpHeaders headers;
        headers.Set("Content-Type", "text/event-stream");
        writer_->StartStream(200, std::move(headers), Outcome::kRan);
      }
      writer_->Write(CompletionEvent(request_, context_.id, "", finish));
      writer_->Write(kCompletionStreamEnd);
      writer_->Finish();
    } else {
      HttpResponse response;
      response.status = 200;
      response.headers.Set("Content-Type", "application/json");
      response.body = CompletionDocument(request_, context_.id, text_, finish,
                                         stream_.accepted_tokens());
      writer_->Respond(std::move(response), Outcome::kRan);
    }
    FinishRequest();
  }

  // --- Failures ----------------------------------------------------------

  // Closes the stream, which failed or sent invalid data, and recovers.
  void DropStream() {
    flow_.reset();
    stream_ok_ = false;
    deps_.loop->Post([this, alive = alive_] {
      if (!*alive || ended_) return;
      decode_call_.reset();
      RecoverStream();
    });
  }

  void OnDecodeEnded() {
    if (ended_) return;
    DropStream();
  }

  void RecoverStream() {
    if (deps_.loop->Now() >= context_.deadline)
      return;  // the deadline timer ends it
    if (stream_.accepted_tokens() > Tokens(0) && resumes_ < kMaxResumes) {
      ResumeStream();
    } else {
      StartNextAttempt(/*prefill_failed=*/false);
    }
  }

  // Abandons the attempt because an engine failed, and starts another one
  // unless kMaxAttempts is reached.
  void StartNextAttempt(bool prefill_failed) {
    ++deps_.counters->prefills_wasted;
    const Engine prefill{reservation_->prefill_engine(),
                         reservation_->prefill_address()};
    const Engine decode{reservation_->decode_engine(),
                        reservation_->decode_address()};
    failed_engines_.push_back(prefill_failed ? prefill.id : decode.id);
    sound_engines_.push_back(prefill_failed ? decode : prefill);
    ReleaseAttempt();
    if (stream_.attempt() >= kMaxAttempts) {
      Fail(Refusal::kBackEndFailed, kFailureRetryAfter);
      return;
    }
    deps_.loop->Post([this, alive = alive_] {
      if (*alive && !ended_) Reserve();
    });
  }

  void Fail(Refusal refusal, Duration retry_after) {
    if (writer_->begun()) {
      writer_->Abort(Outcome::kUnknown);
    } else {
      writer_->Refuse(refusal, CurrentOutcome(), retry_after);
    }
    FinishRequest();
  }

  // --- End of the request ------------------------------------------------

  // Ends the current attempt. Unless the response was completed, the engines
  // may hold memory for the request, so it is cancelled there. The reservation
  // is released when the decode engine has confirmed.
  void ReleaseAttempt() {
    if (!reservation_) return;
    const bool cancel = !complete_ && deps_.switches.cancel_at_engine;
    prefill_call_.reset();
    decode_call_.reset();
    const int attempt = stream_.attempt();
    if (cancel) {
      deps_.canceller->Cancel(context_.id, attempt,
                              reservation_->prefill_address(), nullptr);
    }
    if (cancel && decode_called_) {
      const Endpoint decode = reservation_->decode_address();
      deps_.canceller->Cancel(context_.id, attempt, decode,
                              std::move(reservation_));
    }
    decode_called_ = false;
    reservation_.reset();
  }

  void ReleaseAll() {
    flow_.reset();
    pending_charge_.reset();
    pending_reservation_.reset();
    ReleaseAttempt();
    prefill_call_.reset();
    decode_call_.reset();
    Refund();
  }

  void Refund() {
    // The customer isn't charged for work of which it received nothing.
    const Tokens used = result_.first_token_latency || complete_
                            ? request_.prompt_tokens + stream_.accepted_tokens()
                            : Tokens(0);
    if (charged_at_ != kNever && charged_tokens_ > used) {
      deps_.limiter->Refund(context_.customer, charged_tokens_ - used,
                            charged_at_);
    }
    charged_tokens_ = Tokens(0);
  }

  void FinishRequest() {
    if (ended_) return;
    ended_ = true;
    // Posted because calls that end here may still be on the stack.
    deps_.loop->Post([this, alive = alive_] {
      if (!*alive) return;
      ReleaseAll();
      done_(result_);
    });
  }

  const ModelCallDeps deps_;
  const RequestContext context_;
  const CompletionRequest request_;
  ResponseWriter* const writer_;  // owned by context_
  const RequestDoneCallback done_;
  TokenStream stream_;
  const std::shared_ptr<bool> alive_;  // false once destroyed
  DecodeHandler decode_handler_;

  std::unique_ptr<PendingCharge> pending_charge_;
  Tokens charged_tokens_;         // charged and not refunded
  MonoTime charged_at_ = kNever;  // kNever until the charge is granted
  std::unique_ptr<PendingReservation> pending_reservation_;
  // Reservation of the live attempt.
  std::unique_ptr<EngineReservation> reservation_;
  bool decode_called_ = false;  // the decode engine may hold memory
  std::vector<BackEndId>
      // Engines whose failure ended an attempt.
      failed_engines_;
  // The engines of those attempts that did not fail.
  std::vector<Engine> sound_engines_;
  std::unique_ptr<HttpCall> prefill_call_;
  std::unique_ptr<HttpCall> decode_call_;
  std::unique_ptr<FlowControl> flow_;  // refers to decode_call_
  SseReader reader_;
  bool stream_ok_ = false;      // the open stream's status was 200
  bool engine_called_ = false;  // some engine may have received the request
  int resumes_ = 0;
  TimerHandle retry_;
  std::string text_;  // collected text if the response isn't streamed
  MonoTime last_token_{};
  RequestResult result_;
  bool complete_ = false;  // the end event was received
  bool ended_ = false;     // done_ has run or is posted
};

// A request that was refused before any work was started.
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
      [&](const CompletionError& error) {
        context.response_writer->Refuse(Refusal::kMalformedRequest,
                                        Outcome::kNotRun, {}, error.message);
        return std::optional<CompletionRequest>();
      },
      [&] {
        context.response_writer->Refuse(Refusal::kMalformedRequest,
                                        Outcome::kNotRun);
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
