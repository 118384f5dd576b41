// Implements the stages of a model request: reservation, prefill and decode
// run.
#include "serving/stream_relay.h"

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

// Timeout of a prefill, after which it is retried at another engine: a fixed
// part for the engine's queue plus a multiple of the estimated time for the
// prompt.
constexpr Duration kPrefillBaseTimeout = std::chrono::milliseconds(250);
constexpr int kPrefillTimeoutFactor = 4;
// Silence after which a resumable stream is resumed at another engine, as a
// multiple of the target gap between events.
constexpr int kSilenceGapMultiple = 2;
// The same before the first event, as a multiple of the target latency, if that
// is longer.
constexpr double kFirstEventTimeoutShare = 0.8;
// Larger responses that aren't streamed count as failed.
constexpr size_t kMaxBufferedBytes = 1U << 20;
// Number of engines that may refuse a reservation before the retry delay.
constexpr size_t kMaxReserveRefusals = 3;
// Timeout of a reservation request. An engine that does not respond to such a
// simple request in this time is in no state to run one.
constexpr Duration kReserveTimeout = std::chrono::milliseconds(150);
// Share of an engine's memory up to which a request that is already late may
// reserve, so that it does not take memory from requests that can still meet
// their target.
constexpr double kLateRequestMemoryShare = 0.65;
// Time to the first event in addition to the prefill: KV transfer and first
// decode step.
constexpr Duration kFirstEventOverhead = std::chrono::milliseconds(80);
// Estimated time of a decode step, which generates one token of each run. All
// engine types in use are of this order of magnitude.
constexpr Duration kTimePerToken = std::chrono::microseconds(3000);
// Part of the expected output that remains of any stream.
constexpr int64_t kMinRemainingPart = 4;
// Ids of events above this are read as this one: they are not counts.
constexpr int64_t kMaxCountedEvents = 1'000'000;

class StreamRelay : public Relay, public BackEndCall::Handler {
 public:
  StreamRelay(const RelayDeps& deps, RelayRequest request,
              std::shared_ptr<HttpExchange> exchange, RelayDoneCallback done)
      : deps_(deps),
        request_(std::move(request)),
        exchange_(std::move(exchange)),
        done_(std::move(done)),
        event_splitter_(request_.caller.last_event_id,
                        deps.format->weight_version_field()),
        last_event_id_(request_.caller.last_event_id) {
    const TokenCounts counts =
        request_.caller.token_counts.value_or(TokenCounts{});
    expected_output_ = LikelyOutput(counts);
    size_.prompt = counts.prompt;
    size_.total = counts.prompt + expected_output_;
  }

  ~StreamRelay() override {
    ReleaseKvHandle();
    ReleaseReservation();
  }

  void Start() override {
    const Duration time_left = request_.deadline - deps_.loop->Now();
    deadline_timer_ = deps_.loop->After(std::max(time_left, Duration::zero()),
                                        [this] { OnDeadline(); });
    if (!deps_.selector->HasBackEnd(request_.service.id, EngineRole::kDecode,
                                    &request_.allowed_regions)) {
      Refuse(ReasonWithoutEngine());
      return;
    }
    const CrashQuarantine::Decision decision =
        deps_.crash_guard->Decide(request_.crash_suspects);
    if (decision.verdict == CrashQuarantine::Verdict::kTrial) {
      trial_claim_ = deps_.crash_guard->ClaimTrial(
          decision.suspect, [this](bool granted) { OnTrialClaimed(granted); });
    } else {
      FindOriginAndStart();
    }
  }

  void OnCallerDisconnected() override {
    result_.caller_disconnected = true;
    if (silent_run_ != nullptr) silent_run_->Cancel(CallOutcome::kUnknown);
    CancelCall(CallOutcome::kUnknown);
    Finish(0, "caller_gone");
  }

  void OnShutdown() override {
    if (silent_run_ != nullptr && silent_run_->is_checking_end())
      RestoreSilentRun();
    is_ending_ = call_ != nullptr && call_->is_checking_end() &&
                 deps_.loop->Now() < deps_.shutdown->checks_end_at();
    if (!is_ending_) EndForShutdown();
  }

  RelayRequest TakeRequest() override { return std::move(request_); }

  // BackEndCall::Handler:
  void OnSending(BackEndCall* /*call*/) override {
    StartSilenceTimer();
    GiveUpSilentRun();
  }

  void OnResponseHead(BackEndCall* call, int status,
                      const HttpHeaders& headers) override {
    if (call == silent_run_.get()) RestoreSilentRun();
    response_.status = status;
    response_.headers = headers;
    response_.body.clear();
    if (stage_ != Stage::kRun || !IsSuccess(status)) return;
    const bool is_event_stream = IsStream(request_.route.retry_policy) &&
                                 (headers.Find("Content-Type") == nullptr ||
                                  HasMediaType(headers, kEventStreamType));
    const auto weights =
        deps_.format->ReadResponseMarkers(headers).weight_version;
    const bool fits_weights =
        !weight_version_ || !weights || *weights == *weight_version_;
    if (exchange_->response_started() && (!is_event_stream || !fits_weights)) {
      call->Reject();  // It can't continue the events that the caller has.
      return;
    }
    weights_at_begin_ = weights;
    is_event_stream_ = is_event_stream;
    event_splitter_.StartRun();
    events_before_run_ = event_splitter_.event_count();
    first_event_at_ = MonoTime{};
    reader_was_slow_ = false;
    kv_handle_.reset();  // The engine has taken it.
    ClearReservation();  // The run uses it.
    StartSilenceTimer();
    // A resumed run continues the stream that was already started.
    if (exchange_->response_started()) return;
    result_.back_end = call->back_end().id;
    exchange_->StartStream(status, headers);
  }

  void OnResponseBody(BackEndCall* call, std::string_view data) override {
    if (call == silent_run_.get()) {
      if (is_event_stream_ && IsSuccess(silent_response_.status)) {
        OnSilentRunData(call, data);
        return;
      }
      RestoreSilentRun();
    }
    if (stage_ != Stage::kRun || !IsSuccess(response_.status)) {
      response_.body.append(data);
      if (response_.body.size() > kMaxBufferedBytes) call->Reject();
      return;
    }
    if (!is_event_stream_) {
      exchange_->Write(data);
      ApplyBackpressure();
      return;
    }
    const std::string events = event_splitter_.Feed(data);
    if (!events.empty()) ForwardEvents(events, *call);
    RejectUnlessEvents(call);
  }

  bool IsResponseTruncated(const BackEndCall& call) const override {
    const bool is_silent_run = &call == silent_run_.get();
    const int status =
        is_silent_run ? silent_response_.status : response_.status;
    const bool is_run = is_silent_run || stage_ == Stage::kRun;
    if (!is_run || !IsSuccess(status) || !is_event_stream_) return false;
    const bool ended_by_close = call.response_end() == ResponseEnd::kClose;
    return IsTruncatedStream(
        event_splitter_, ended_by_close && !may_have_all_events_,
        event_splitter_.event_count() - events_before_run_);
  }

  int64_t CountEvents(const BackEndCall& /*call*/) const override {
    const int64_t count = event_splitter_.event_count() - events_before_run_;
    // An engine may count the events of a stream that it goes on with from the
    // stream's begin or from its own; ids that begin at 1 are such a count.
    return run_continues_stream_
               ? std::max(count, event_splitter_.last_id().value_or(0))
               : count;
  }

  void OnResponseComplete(BackEndCall* call) override {
    if (call == silent_run_.get()) RestoreSilentRun();
    silence_timer_.Cancel();
    const BackEndEntry back_end = call->back_end();
    RetireCall();
    if (stage_ == Stage::kReserve) {
      OnReserveResponse(back_end, call->started());
      return;
    }
    if (stage_ == Stage::kPrefill) {
      OnPrefillResponse(call);
      return;
    }
    result_.response_end = call->response_end();
    if (IsSuccess(response_.status)) {
      deps_.stage_meter->RecordRun(request_.service.id, size_.total,
                                   deps_.loop->Now() - call->started());
      RecordRunSpeed(back_end);
      // At most a comment: the stream doesn't end inside an event.
      exchange_->Write(event_splitter_.partial_event());
      exchange_->Finish();
      Finish(response_.status, "answered");
      return;
    }
    // The stream was resumed at this engine, which failed.
    if (exchange_->response_started()) {
      unfit_engines_.insert(back_end.id);
      kv_handle_.reset();
      if (MayResume()) {
        Resume();
      } else {
        AbortStream("engine_failed");
      }
      return;
    }
    result_.back_end = back_end.id;
    Respond(std::move(response_), "answered");
  }

  void OnCallFailed(BackEndCall* call, CallFailure failure) override {
    if (failure == CallFailure::kUnconfirmedEnd) may_have_all_events_ = true;
    if (call == silent_run_.get()) {
      LogSilenceEnd("failed");
      finished_calls_.push_back(std::move(silent_run_));
      RecordFailedRun();
      // The search for another engine, or the run there, continues.
      return;
    }
    silence_timer_.Cancel();
    RecordCrash(*call);
    if (failure == CallFailure::kIncompleteContent ||
        failure == CallFailure::kUnconfirmedEnd)
      result_.response_end = call->response_end();
    const BackEndEntry back_end = call->back_end();
    RetireCall();
    if (stage_ == Stage::kReserve) {
      OnReserveFailed(back_end);
      return;
    }
    if (stage_ == Stage::kPrefill) {
      if (failure == CallFailure::kWithheld) --prefills_;
      OnPrefillFailed();
      return;
    }
    if (failure == CallFailure::kWithheld) {
      OnRunWithheld(back_end);
    } else if (failure == CallFailure::kUnknownIncarnation) {
      OnIncarnationUnknown(back_end);
    } else if (failure == CallFailure::kNotSent) {
      unfit_engines_.insert(back_end.id);
      ReleaseReservation();
      StartStages();
    } else if (failure == CallFailure::kNotExecuted) {
      OnRunRejected(back_end);
    } else if (failure == CallFailure::kOtherWeights) {
      OnWeightsRefused(back_end);
    } else {
      if (failure == CallFailure::kInvalidResponse)
        unfit_engines_.insert(back_end.id);
      OnRunFailed();
    }
  }

 private:
  // `call` has brought the first event that the caller gets.
  void RecordOrigin(const BackEndCall& call) {
    if (call.has_known_incarnation()) {
      software_version_ = call.back_end().software_version;
    } else {
      has_unknown_version_ = true;
      ++deps_.counters->streams_of_unknown_version;
    }
    if (IsResumable())
      deps_.stream_origins->Record(request_.caller.id, request_.service.id,
                                   software_version_);
  }

  // Forwards complete events of the run `call`.
  void ForwardEvents(const std::string& events, const BackEndCall& call) {
    if (result_.events == 0)
      result_.time_to_first_event = deps_.loop->Now() - request_.arrived;
    // An engine that sends only comments is alive but generates nothing.
    const bool progressed = event_splitter_.event_count() > result_.events;
    if (progressed && result_.events == 0) RecordOrigin(call);
    if (progressed) may_have_all_events_ = false;
    result_.events = event_splitter_.event_count();
    if (progressed) RecordGap();
    RecordGenerated();
    if (event_splitter_.weight_version()) {
      weight_version_ = event_splitter_.weight_version();
    } else if (weights_at_begin_) {
      weight_version_ = weights_at_begin_;
    }
    result_.software_version = software_version_.value_or(SoftwareVersion());
    result_.incarnation = call.back_end().incarnation;
    exchange_->Write(events);
    if (progressed) StartSilenceTimer();
    ApplyBackpressure();
  }

  // Rejects the run if what it has sent are no events of this stream.
  void RejectUnlessEvents(BackEndCall* call) {
    if (const auto id = event_splitter_.misplaced_id()) {
      ++deps_.counters->events_misplaced;
      deps_.log->Write(LogLine("event_misplaced")
                           .Add("request", request_.caller.id.value())
                           .Add("back_end", call->back_end().id.value())
                           .Add("last_event", *event_splitter_.last_id())
                           .Add("event", *id));
      call->Reject();
    } else if (event_splitter_.event_too_long()) {
      call->Reject();
    }
  }

  void OnTrialClaimed(bool granted) {
    is_trial_ = granted;
    FindOriginAndStart();
  }

  bool IsResumable() const {
    return request_.route.retry_policy == RetryPolicy::kResumableStream;
  }

  void FindOriginAndStart() {
    if (!request_.caller.resumes_stream ||
        !IsStream(request_.route.retry_policy)) {
      StartStages();
      return;
    }
    // What two software versions generate doesn't fit together.
    origin_lookup_ = deps_.stream_origins->Find(
        request_.caller.resumed_request, request_.service.id,
        [this](const std::optional<SoftwareVersion>& version) {
          OnOriginFound(version);
        });
  }

  // Whether the request must not reach any engine. That may change until it
  // runs.
  bool IsQuarantined() const {
    return !is_trial_ &&
           deps_.crash_guard->IsQuarantined(request_.crash_suspects);
  }

  void OnOriginFound(const std::optional<SoftwareVersion>& version) {
    if (!version) {
      Refuse("unknown_stream_origin");
      return;
    }
    software_version_ = *version;
    if (deps_.selector->HasCandidate(
            MakeQuery(EngineRole::kDecode, deps_.zone, nullptr))) {
      StartStages();
    } else {
      Refuse("no_engine_of_version");
    }
  }

  enum class Stage { kReserve, kPrefill, kRun };

  static const char* StageName(Stage stage) {
    switch (stage) {
      case Stage::kReserve:
        return "reservation";
      case Stage::kPrefill:
        return "prefill";
      case Stage::kRun:
        return "run";
    }
    return "?";
  }

  // A reservation at a decode engine. It counts as an open call there until the
  // run uses it.
  struct Reservation {
    BackEndEntry engine;
    std::string id;
    MonoTime expires_at{};  // At the engine, not before.
  };

  Duration ReservationLifetime() const {
    return request_.service.engine
               ? request_.service.engine->reservation_lifetime
               : Duration::zero();
  }

  // Starts with the reservation, if the engines have any, and continues to the
  // decode run. Keeps a prefill result that exists already.
  void StartStages() {
    refusing_engines_.clear();
    if (ReservationLifetime() > Duration::zero()) {
      TryReserve();
    } else {
      StartPrefillOrRun();
    }
  }

  // Continues once there is a reservation, or without one if the engines make
  // none.
  void StartPrefillOrRun() {
    if (IsQuarantined()) {
      FinishUnanswered();
      return;
    }
    if (!DropUnavailable()) {
      StartStages();
      return;
    }
    if (kv_handle_ && reservation_ &&
        prefill_engine_->software_version !=
            reservation_->engine.software_version)
      ReleaseKvHandle();
    const bool has_prefill_result =
        kv_handle_ && !KvHandleExpired(deps_.loop->Now());
    if (has_prefill_result || prefills_ >= kMaxPrefills || !TryPrefill())
      StartRun();
  }

  void TryReserve() {
    if (IsQuarantined()) {
      FinishUnanswered();
      return;
    }
    if (MayHandOver()) {
      HandOver();
      return;
    }
    const MonoTime now = deps_.loop->Now();
    stage_ = Stage::kReserve;
    SelectionQuery query = MakeRunQuery(deps_.zone);
    std::set<BackEndId> excluded = *query.exclude;
    excluded.insert(refusing_engines_.begin(), refusing_engines_.end());
    query.exclude = &excluded;
    query.require_free_memory = true;
    const bool has_prefill_result = kv_handle_ && !KvHandleExpired(now);
    // A prefill result would expire unused while the request waits.
    if (!has_prefill_result &&
        !ReservationRetryPolicy::IsUrgent(MakeWaitingRequest()))
      query.max_memory_share = kLateRequestMemoryShare;
    const BackEndEntry* selected = nullptr;
    if (refusing_engines_.size() < kMaxReserveRefusals) {
      // An engine of another version can't use the prefill result.
      if (has_prefill_result) {
        query.software_version = prefill_engine_->software_version;
        selected = deps_.selector->SelectBackEnd(query, now);
        query.software_version = software_version_;
      }
      if (selected == nullptr)
        selected = deps_.selector->SelectBackEnd(query, now);
    }
    if (selected == nullptr) {
      if (deps_.selector->HasCandidate(MakeRunQuery(deps_.zone))) {
        ScheduleReserveRetry();
      } else {
        FinishUnanswered();
      }
      return;
    }
    Reserve(BackEndEntry(*selected));
  }

  void Reserve(const BackEndEntry& engine) {
    BackEndCall::Options options;
    options.kind = "reserve";
    options.is_reservation = true;
    options.internal_call = true;
    options.retryable = true;
    options.head_timeout = kReserveTimeout;
    options.idle_timeout = kReserveTimeout;
    ++result_.calls;
    call_ = std::make_unique<BackEndCall>(deps_, engine, size_,
                                          request_.caller.id, this);
    call_->Start(deps_.format->WriteReserve(engine.id, size_.total,
                                            ReservationLifetime()),
                 options, CallRight::ForControlCall());
  }

  // Whether another daemon may serve the request, since this one reaches no
  // engine and the request has run nowhere. A forwarded one goes back only if
  // no engine has got it.
  bool MayHandOver() {
    const bool is_untouched =
        request_.rights->has_free_call() && prefills_ == 0;
    return (request_.forwarded_by.empty() || is_untouched) && IsCutOff() &&
           !exchange_->response_started() && !request_.runs->may_have_run() &&
           !is_trial_;
  }

  // Old connections may live on while new ones can't be opened. Then there are
  // signs of engines, but none takes a call, while another daemon reaches them.
  bool IsCutOff() {
    const ServiceId& service = request_.service.id;
    if (deps_.reachability->IsUnreachable(service)) return true;
    if (!deps_.selector->IsNoneConnectable(
            MakeQuery(EngineRole::kDecode, deps_.zone, nullptr),
            deps_.loop->Now()))
      return false;
    if (!request_.forwarded_by.empty()) return false;
    deps_.helpers->Inquire(service);
    return deps_.helpers->HasCertainHelper(service);
  }

  void HandOver() {
    result_.unreachable = true;
    Finish(0, "unreachable");
  }

  void OnReserveResponse(const BackEndEntry& engine, MonoTime asked_at) {
    const auto id = IsSuccess(response_.status)
                        ? deps_.format->ReadReservation(response_.body)
                        : std::nullopt;
    const MonoTime now = deps_.loop->Now();
    const MonoTime expires_at = asked_at + ReservationLifetime();
    if (!id || now >= expires_at) {
      OnReserveFailed(engine);
      return;
    }
    ++deps_.counters->reservations;
    result_.time_to_reservation = now - request_.arrived;
    reservation_ = Reservation{engine, *id, expires_at};
    deps_.selector->OnCallStarted(engine, size_);
    StartPrefillOrRun();
  }

  void OnReserveFailed(const BackEndEntry& engine) {
    ++deps_.counters->reservations_refused;
    refusing_engines_.insert(engine.id);
    TryReserve();
  }

  // Returns the request as it will be `in` from now.
  WaitingRequest MakeWaitingRequest(Duration in = Duration::zero()) const {
    const MonoTime now = deps_.loop->Now() + in;
    WaitingRequest waiting;
    waiting.waited = now - request_.arrived;
    waiting.time_left = EndOfWait() - now;
    waiting.target_latency = request_.route.target_latency;
    waiting.first_event_timeout = request_.route.first_event_timeout;
    waiting.time_to_first_event = kFirstEventOverhead + EstimatedPrefillTime();
    waiting.run_time = ExpectedRunTime();
    waiting.response_started = exchange_->response_started();
    waiting.resumes_stream = request_.caller.resumes_stream;
    return waiting;
  }

  // A response that hasn't started must end before the daemon does. One that
  // has started goes on for as long as it can.
  MonoTime EndOfWait() const {
    return exchange_->response_started()
               ? request_.deadline
               : std::min(request_.deadline, deps_.shutdown->ends_at());
  }

  // Whether the request would wait for longer if the daemon didn't shut down.
  bool IsLimitedByShutdown() const {
    if (EndOfWait() == request_.deadline) return false;
    WaitingRequest waiting = MakeWaitingRequest();
    waiting.time_left = request_.deadline - deps_.loop->Now();
    return deps_.reservation_retry->MaxFurtherWait(waiting) >= Duration::zero();
  }

  Duration ExpectedRunTime() const {
    const Duration unloaded = kTimePerToken * RemainingOutput().count();
    if (!deps_.shutdown->has_begun()) return unloaded;
    const auto estimate =
        deps_.stream_durations->Find(request_.service.id, RemainingOutput());
    return estimate ? std::max(unloaded, estimate->generation) : unloaded;
  }

  Tokens MaxOutput() const {
    return request_.caller.token_counts.value_or(TokenCounts{}).max_output;
  }

  // Expected output after the events that the caller has.
  Tokens RemainingOutput() const {
    if (!last_event_id_ || !request_.service.engine) return expected_output_;
    const Tokens received(
        std::clamp<int64_t>(*last_event_id_, 0, kMaxCountedEvents) *
        request_.service.engine->tokens_per_event);
    const Tokens longest = std::max(MaxOutput() - received, Tokens(0));
    // A stream that is longer than expected isn't known to end at once.
    return std::min(longest, std::max(expected_output_ - received,
                                      Tokens(expected_output_.count() /
                                             kMinRemainingPart)));
  }

  Duration EstimatedPrefillTime() const {
    return deps_.stage_meter->PrefillTime(request_.service.id, size_.prompt);
  }

  void ScheduleReserveRetry() {
    waited_for_reservation_ = true;
    // While all engines pause, nothing is known to happen before the first
    // pause ends, so a request that can't wait for it is rejected now.
    const Duration pause = TimeToEndOfPauses();
    const auto delay = deps_.reservation_retry->NextRetryDelay(
        MakeWaitingRequest(/*in=*/pause));
    if (!delay) {
      FinishUnanswered();
      return;
    }
    refusing_engines_.clear();
    reservation_timer_ =
        deps_.loop->After(pause + *delay, [this] { TryReserve(); });
  }

  // Returns how long all decode engines that may run the request still want to
  // be sent nothing; zero if one doesn't.
  Duration TimeToEndOfPauses() const {
    const MonoTime now = deps_.loop->Now();
    return deps_.selector->EndOfPauses(MakeRunQuery(deps_.zone), now) - now;
  }

  // What is held at an engine that may not be called any more expires there.
  void ReleaseKvHandle() {
    if (kv_handle_)
      deps_.releaser->ReleaseHandle(*prefill_engine_, *kv_handle_);
    kv_handle_.reset();
  }

  bool MayStillCall(const BackEndEntry& engine) const {
    return deps_.selector->MayStillCall(engine, request_.allowed_regions);
  }

  // Gives up what is held at engines that may not be called any more, and a
  // reservation that the run would come too late for. An engine that drains or
  // is removed still hands out a prefill result. Returns false if the
  // reservation was given up.
  bool DropUnavailable() {
    const MonoTime now = deps_.loop->Now();
    if (kv_handle_ &&
        (!MayStillCall(*prefill_engine_) ||
         deps_.selector->FindObstacle(*prefill_engine_, CallPurpose::kControl,
                                      now) == CallObstacle::kRestarted))
      ReleaseKvHandle();
    if (!reservation_) return true;
    const CallObstacle obstacle = deps_.selector->FindObstacle(
        reservation_->engine, CallPurpose::kWork, now);
    const bool has_lapsed = now >= reservation_->expires_at;
    if (obstacle == CallObstacle::kNone && !has_lapsed &&
        MayStillCall(reservation_->engine))
      return true;
    deps_.log->Write(
        LogLine("reservation_given_up")
            .Add("request", request_.caller.id.value())
            .Add("back_end", reservation_->engine.id.value())
            .Add("obstacle", has_lapsed ? "lapsed" : CallObstacleName(obstacle))
            .Add("has_prefill", kv_handle_.has_value()));
    ReleaseReservation();
    return false;
  }

  void ClearReservation() {
    if (!reservation_) return;
    deps_.selector->OnCallEnded(reservation_->engine, size_,
                                CallOutcome::kUnknown, deps_.loop->Now());
    reservation_.reset();
  }

  void ReleaseReservation() {
    if (!reservation_) return;
    if (deps_.loop->Now() < reservation_->expires_at)
      deps_.releaser->ReleaseReservation(reservation_->engine,
                                         reservation_->id);
    ClearReservation();
  }

  SelectionQuery MakeQuery(EngineRole role, const FailureDomain& preferred_zone,
                           const std::set<BackEndId>* exclude) const {
    SelectionQuery query;
    query.service = request_.service.id;
    query.role = role;
    query.work = size_;
    query.preferred_zone = preferred_zone;
    query.exclude = exclude;
    query.software_version = software_version_;
    // Its version must be known wherever the stream may be taken up.
    if (IsResumable() && !software_version_)
      query.startable_versions =
          &deps_.stream_origins->StartableVersions(request_.service.id);
    query.allowed_regions = &request_.allowed_regions;
    if (request_.service.engine)
      query.kv_memory = request_.service.engine->kv_memory;
    return query;
  }

  // Returns the engines that have run the stream, are fit to run it once more
  // and aren't running it now.
  std::set<BackEndId> EnginesToReturnTo() const {
    std::set<BackEndId> engines = request_.runs->BackEndsToReturnTo();
    for (const BackEndId& engine : unfit_engines_) engines.erase(engine);
    for (const auto* run : {&silent_run_, &call_})
      if (*run != nullptr) engines.erase((*run)->back_end().id);
    return engines;
  }

  // Returns a query for the decode engines that may run the request next: those
  // that haven't been tried as long as the route allows another one, then those
  // that the stream may return to.
  SelectionQuery MakeRunQuery(const FailureDomain& preferred_zone) const {
    SelectionQuery query =
        MakeQuery(EngineRole::kDecode, preferred_zone, &tried_decode_engines_);
    if (request_.runs->MayRunElsewhere()) return query;
    query.exclude = &unfit_engines_;
    query.among = EnginesToReturnTo();
    return query;
  }

  // Returns false if no healthy prefill engine is available or the retry budget
  // is exhausted.
  bool TryPrefill() {
    const MonoTime now = deps_.loop->Now();
    const FailureDomain preferred_zone =
        reservation_ ? reservation_->engine.zone : deps_.zone;
    SelectionQuery query = MakeQuery(EngineRole::kPrefill, preferred_zone,
                                     &tried_prefill_engines_);
    // The result can only be used at the software version that generates it.
    if (reservation_)
      query.software_version = reservation_->engine.software_version;
    if (!deps_.selector->HasHealthyCandidate(query, now)) return false;
    const BackEndEntry* selected = deps_.selector->SelectBackEnd(query, now);
    if (selected == nullptr) return false;
    auto right = AcquireCall(deps_, request_, "prefill");
    if (!right) return false;
    const BackEndEntry engine = *selected;
    tried_prefill_engines_.insert(engine.id);
    stage_ = Stage::kPrefill;
    ++prefills_;
    ++deps_.counters->prefills;
    BackEndCallParams params = MakeCallParams(engine);
    params.prefill_only = true;
    BackEndCall::Options options;
    options.kind = "prefill";
    options.checks_incarnation = true;
    options.requires_incarnation = true;
    options.expects_weights = weight_version_.has_value();
    options.retryable = true;
    options.internal_call = true;
    options.head_timeout = std::min(
        params.time_left,
        kPrefillBaseTimeout + kPrefillTimeoutFactor * EstimatedPrefillTime());
    options.idle_timeout = options.head_timeout;
    prefill_engine_idle_ = deps_.selector->IsIdle(engine.id);
    prefill_started_at_ = now;
    StartCall(engine, params, options, *std::move(right));
    return true;
  }

  // `call` has ended.
  void OnPrefillResponse(BackEndCall* call) {
    const BackEndEntry& engine = call->back_end();
    if (IsSuccess(response_.status)) {
      kv_handle_ = deps_.format->ReadPrefillResponse({engine.ip, engine.port},
                                                     response_.body);
    }
    if (!kv_handle_) {
      deps_.selector->RecordOutcome(engine, CallOutcome::kFailed,
                                    deps_.loop->Now());
      OnPrefillFailed();
      return;
    }
    call->MarkPrefillAccepted();
    kept_handle_ = false;
    prefill_engine_ = engine;
    kv_handle_created_at_ = deps_.loop->Now();
    result_.time_to_prefill = kv_handle_created_at_ - request_.arrived;
    deps_.stage_meter->RecordPrefill(
        request_.service.id, size_.prompt,
        kv_handle_created_at_ - prefill_started_at_, prefill_engine_idle_);
    deps_.stage_meter->engine_speeds().RecordPrefill(
        engine, size_.prompt, kv_handle_created_at_ - prefill_started_at_,
        prefill_engine_idle_, kv_handle_created_at_);
    StartRun();
  }

  void OnPrefillFailed() {
    if (prefills_ < kMaxPrefills && !IsQuarantined() && TryPrefill()) return;
    StartRun();
  }

  // Sends the run to a decode engine, with the prefill result unless there is
  // none or it has expired.
  void StartRun() {
    if (IsQuarantined()) {
      FinishUnanswered();
      return;
    }
    if (!DropUnavailable()) {
      StartStages();
      return;
    }
    const MonoTime now = deps_.loop->Now();
    stage_ = Stage::kRun;
    if (kv_handle_ && KvHandleExpired(now)) kv_handle_.reset();
    const FailureDomain preferred_zone =
        kv_handle_ && prefill_engine_ ? prefill_engine_->zone : deps_.zone;
    SelectionQuery query = MakeRunQuery(preferred_zone);
    if (kv_handle_) {
      query.software_version = prefill_engine_->software_version;
      if (!reservation_ && !deps_.selector->HasCandidate(query)) {
        ReleaseKvHandle();
        query.software_version = software_version_;
      }
    }
    const BackEndEntry* selected =
        reservation_ ? &reservation_->engine
                     : deps_.selector->SelectBackEnd(query, now);
    if (selected == nullptr) {
      FinishUnanswered();
      return;
    }
    auto right = AcquireCall(deps_, request_, "run");
    if (!right) {
      budget_exhausted_ = true;
      FinishUnanswered();
      return;
    }
    const BackEndEntry engine = *selected;
    tried_decode_engines_.insert(engine.id);
    BackEndCallParams params = MakeCallParams(engine);
    params.kv_handle = kv_handle_;
    params.last_event_id = last_event_id_;
    run_continues_stream_ = last_event_id_.has_value();
    sent_reservation_ = reservation_;
    BackEndCall::Options options;
    options.kind = "run";
    options.checks_incarnation = true;
    // A new stream that breaks then goes on nowhere.
    options.requires_incarnation =
        software_version_.has_value() || kv_handle_.has_value();
    options.expects_weights = weight_version_.has_value();
    options.request = &request_;
    options.runs = request_.runs;
    if (reservation_) {
      params.reservation_id = reservation_->id;
      options.valid_until = reservation_->expires_at;
    }
    options.max_idle = kMaxIdleNonIdempotent;
    options.head_timeout = params.time_left;
    options.idle_timeout = params.time_left;
    StartCall(engine, params, options, *std::move(right));
    // From now on the call counts as open at the engine instead of the
    // reservation.
    ClearReservation();
  }

  bool KvHandleExpired(MonoTime now) const {
    const Duration lifetime = request_.service.engine
                                  ? request_.service.engine->kv_handle_lifetime
                                  : Duration::zero();
    return lifetime > Duration::zero() &&
           now - kv_handle_created_at_ >= lifetime;
  }

  // Nothing was sent to the engine. The prefill result can be used elsewhere.
  void OnRunWithheld(const BackEndEntry& engine) {
    tried_decode_engines_.erase(engine.id);
    ReleaseSentReservation(engine);
    StartStages();
  }

  // Nothing was sent to the engine, of which nobody knows whether it can go on
  // with the stream or use the prefill result. A new stream may still run there
  // without one.
  void OnIncarnationUnknown(const BackEndEntry& engine) {
    ReleaseSentReservation(engine);
    if (software_version_) {
      unfit_engines_.insert(engine.id);
    } else {
      tried_decode_engines_.erase(engine.id);
      ReleaseKvHandle();
      prefills_ = kMaxPrefills;
    }
    StartStages();
  }

  // The run that had the reservation wasn't sent.
  void ReleaseSentReservation(const BackEndEntry& engine) {
    if (sent_reservation_ && deps_.loop->Now() < sent_reservation_->expires_at)
      deps_.releaser->ReleaseReservation(engine, sent_reservation_->id);
  }

  // The engine serves other weights than those that generated the events that
  // the caller has. Its reservation is not used.
  void OnWeightsRefused(const BackEndEntry& engine) {
    unfit_engines_.insert(engine.id);
    ReleaseSentReservation(engine);
    if (++rejections_ >= kMaxRejections) {
      FinishUnanswered();
    } else {
      StartStages();
    }
  }

  // The engine rejected the request as not executed: it is full, or the prefill
  // result is lost.
  void OnRunRejected(const BackEndEntry& engine) {
    ++rejections_;
    // An engine that rejects other calls, too, has not looked for the prefill
    // result.
    const bool may_keep_handle = !kept_handle_ &&
                                 deps_.selector->RejectsMany(engine) &&
                                 rejections_ < kMaxRejections;
    if (kv_handle_ && may_keep_handle) {
      kept_handle_ = true;
    } else if (kv_handle_ && prefill_engine_) {
      deps_.selector->RecordOutcome(
          *prefill_engine_, CallOutcome::kPrefillResultLost, deps_.loop->Now());
      kv_handle_.reset();
      // A lost prefill result is a more likely cause than this engine, so the
      // engine may be tried again.
      tried_decode_engines_.erase(engine.id);
    }
    // A stream that has begun is lost unless an engine takes it.
    if (exchange_->response_started()) tried_decode_engines_.erase(engine.id);
    if (rejections_ >= kMaxRejections) {
      FinishUnanswered();
      return;
    }
    StartStages();
  }

  void RecordGap() {
    const MonoTime now = deps_.loop->Now();
    if (last_progress_at_ != MonoTime{})
      result_.longest_gap =
          std::max(result_.longest_gap, now - last_progress_at_);
    last_progress_at_ = now;
  }

  // Events of the response of call_.
  int64_t EventsOfRun() const {
    return call_->response_started()
               ? event_splitter_.event_count() - events_before_run_
               : 0;
  }

  // Reports that the current run got beyond its first event, once.
  void RecordGenerated() {
    if (EventsOfRun() > 0) {
      last_event_at_ = deps_.loop->Now();
      if (first_event_at_ == MonoTime{}) {
        first_event_at_ = last_event_at_;
        // Several events may have arrived at once.
        events_at_first_ = EventsOfRun();
      }
    }
    if (generated_ || EventsOfRun() < kEventsUntilGenerated) return;
    generated_ = true;
    deps_.crash_guard->RecordSurvived(request_.crash_suspects);
  }

  // Measures the engine by the events of a run that has ended.
  void RecordRunSpeed(const BackEndEntry& engine) const {
    if (reader_was_slow_ || !is_event_stream_) return;
    const MonoTime now = deps_.loop->Now();
    const BackEndSelector::ObservedState state =
        deps_.selector->GetObservedState(engine.id, now);
    deps_.stage_meter->engine_speeds().RecordRun(
        engine,
        event_splitter_.event_count() - events_before_run_ - events_at_first_ +
            1,
        last_event_at_ - first_event_at_, state.open_calls + state.peer_calls,
        now);
  }

  // Reports a call that the engine broke off when it was about to generate, or
  // while it read the prompt. What generation would make of the parts of a
  // prompt isn't known then.
  void RecordCrash(const BackEndCall& call) const {
    if (!call.connection_lost() || stage_ == Stage::kReserve) return;
    if (stage_ == Stage::kPrefill) {
      deps_.crash_guard->RecordCrash(request_.caller.id,
                                     {SuspectRequest(request_.fingerprint)},
                                     call.back_end());
    } else if (EventsOfRun() < kEventsUntilGenerated) {
      deps_.crash_guard->RecordCrash(request_.caller.id,
                                     request_.crash_suspects, call.back_end());
    }
  }

  // Reports a run that is given up before the engine has responded to it.
  void RecordAbandoned(const BackEndCall* call) const {
    if (call == nullptr || stage_ == Stage::kReserve || !call->is_unanswered())
      return;
    deps_.crash_guard->RecordAbandoned(request_.caller.id,
                                       {SuspectRequest(request_.fingerprint)},
                                       call->back_end());
  }

  // Whether one more engine may get the request after a crash. One crash may
  // have any cause.
  bool MayRetryAfterCrash() const {
    return deps_.crash_guard->CountCrashes(request_.crash_suspects) <= 1;
  }

  // Records the end of the run whose events the caller has.
  void RecordFailedRun() {
    result_.partial_event_bytes = event_splitter_.partial_event().size();
    if (event_splitter_.inside_event()) may_have_all_events_ = false;
    event_splitter_.DropPartialEvent();
    UpdateLastEventId();
  }

  void UpdateLastEventId() {
    if (event_splitter_.last_id()) last_event_id_ = event_splitter_.last_id();
  }

  void OnRunFailed() {
    RecordFailedRun();
    kv_handle_.reset();
    if (is_ending_) {
      EndForShutdown();
    } else if (MayResume()) {
      Resume();
    } else {
      FinishUnanswered();
    }
  }

  // Whether an engine may get the request after a run has failed.
  bool MayResume() const {
    return !is_ending_ && !is_trial_ && MayRetryAfterCrash() && IsResumable() &&
           (request_.runs->MayRunElsewhere() || !EnginesToReturnTo().empty()) &&
           CanContinueResponse();
  }

  // Whether another run can continue what the caller has received.
  bool CanContinueResponse() const {
    return !exchange_->response_started() ||
           (is_event_stream_ && event_splitter_.is_resumable() &&
            !has_unknown_version_);
  }

  void Resume() {
    ++deps_.counters->streams_resumed;
    StartStages();
  }

  void StartSilenceTimer() {
    if (!IsResumable()) return;
    Duration timeout = request_.route.target_event_gap * kSilenceGapMultiple;
    if (event_splitter_.event_count() == 0) {
      timeout = std::max(timeout, std::chrono::duration_cast<Duration>(
                                      request_.route.target_latency *
                                      kFirstEventTimeoutShare));
    }
    if (timeout <= Duration::zero()) return;
    silence_timer_ = deps_.loop->After(timeout, [this] { OnSilence(); });
  }

  // Looks for another engine. The silent run may only have been preempted, so
  // it goes on until the request is sent to that engine.
  void OnSilence() {
    silence_timer_.Cancel();
    // A run that isn't read says nothing; the timer starts again with reading.
    if (call_ == nullptr || stage_ != Stage::kRun || paused_for_reader_ ||
        call_->is_checking_end())
      return;
    if (!MayLeaveSilentRun()) return;
    call_->ReportSilence();
    LogSilence();
    UpdateLastEventId();
    silent_response_ = response_;
    silent_run_ = std::move(call_);
    StartStages();
  }

  // Whether the request may go on at another engine than that of the current
  // run, which has become silent. Only a run that hasn't responded is left for
  // an engine that the stream was at before.
  bool MayLeaveSilentRun() const {
    if (!CanContinueResponse()) return false;
    return request_.runs->MayRunElsewhere() ||
           (call_->is_unanswered() && !EnginesToReturnTo().empty());
  }

  void LogSilence() const {
    deps_.log->Write(LogLine("run_silent")
                         .Add("request", request_.caller.id.value())
                         .Add("back_end", call_->back_end().id.value())
                         .Add("events", result_.events)
                         .AddMillis("silent_ms", SilentTime(*call_)));
  }

  // Logs that the request is sent to another engine than that of the silent
  // run.
  void LogReplacement() const {
    deps_.log->Write(LogLine("run_replacement_sent")
                         .Add("request", request_.caller.id.value())
                         .Add("back_end", call_->back_end().id.value())
                         .Add("replaces", silent_run_->back_end().id.value())
                         .Add("events", result_.events)
                         .AddMillis("silent_ms", SilentTime(*silent_run_)));
  }

  // Logs what became of the silent run.
  void LogSilenceEnd(const char* outcome) const {
    deps_.log->Write(LogLine("run_silence_ended")
                         .Add("request", request_.caller.id.value())
                         .Add("back_end", silent_run_->back_end().id.value())
                         .Add("outcome", outcome)
                         .Add("events", result_.events)
                         .AddMillis("silent_ms", SilentTime(*silent_run_)));
  }

  // Time since the last event of the stream, or since the start of `run` if
  // that was later.
  Duration SilentTime(const BackEndCall& run) const {
    return deps_.loop->Now() - std::max(last_progress_at_, run.started());
  }

  // Comments show that the engine is alive, not that it generates, so only a
  // complete event ends the search for another engine.
  void OnSilentRunData(BackEndCall* call, std::string_view data) {
    const std::string events = event_splitter_.Feed(data);
    if (event_splitter_.event_count() > result_.events) {
      RestoreSilentRun();
      ForwardEvents(events, *call);
    } else if (!events.empty()) {
      exchange_->Write(events);
    }
    RejectUnlessEvents(call);
  }

  // Makes the silent run the current call again. Called when it has sent data
  // again, or when no other engine takes the request. Another run isn't sent
  // until then.
  void RestoreSilentRun() {
    LogSilenceEnd("restored");
    CancelCall(CallOutcome::kUnknown);
    reservation_timer_.Cancel();
    ReleaseReservation();
    ReleaseKvHandle();
    response_ = silent_response_;
    call_ = std::move(silent_run_);
    result_.back_end = call_->back_end().id;
    stage_ = Stage::kRun;
  }

  // The request goes on at another engine.
  void GiveUpSilentRun() {
    if (silent_run_ == nullptr) return;
    LogReplacement();
    CancelSilentRun();
    ++deps_.counters->streams_resumed;
  }

  void CancelSilentRun() {
    if (silent_run_ == nullptr) return;
    LogSilenceEnd("given_up");
    RecordAbandoned(silent_run_.get());
    silent_run_->Cancel(CallOutcome::kFailed);
    finished_calls_.push_back(std::move(silent_run_));
    RecordFailedRun();
  }

  // Reads from the engine no faster than the caller reads.
  void ApplyBackpressure() {
    if (call_ == nullptr || !deps_.buffers->HasSlowReader(*exchange_)) return;
    reader_was_slow_ = true;
    call_->Pause(true);
    paused_for_reader_ = true;
    exchange_->OnDrained([this] {
      exchange_->OnDrained(nullptr);
      paused_for_reader_ = false;
      if (call_ == nullptr) return;
      call_->Pause(false);
      StartSilenceTimer();
    });
  }

  void EndForShutdown() {
    result_.truncated_by_shutdown = exchange_->response_started();
    result_.unsent_bytes = exchange_->UnsentBytes();
    EndUnfinished(kStatusBadGateway, kShutdownReason);
  }

  void OnDeadline() { EndUnfinished(kStatusGatewayTimeout, "timeout"); }

  // Ends a request that may still be running. `status` says that nothing is
  // known about the run.
  void EndUnfinished(int status, const char* reason) {
    const bool run_in_progress = call_ != nullptr && stage_ == Stage::kRun;
    CancelSilentRun();
    CancelCall(run_in_progress && !call_->response_started()
                   ? CallOutcome::kFailed
                   : CallOutcome::kUnknown);
    if (exchange_->response_started()) {
      AbortStream(reason);
    } else if (request_.runs->may_have_run()) {
      Respond(EmptyResponse(status), reason);
    } else {
      Refuse(reason);
    }
  }

  // Sends the final response, or continues the silent run. No other call is in
  // progress and none will be started.
  void FinishUnanswered() {
    if (silent_run_ != nullptr) {
      RestoreSilentRun();
    } else if (exchange_->response_started()) {
      AbortStream("stream_lost");
    } else if (request_.runs->may_have_run()) {
      Respond(EmptyResponse(kStatusBadGateway), "lost");
    } else if (IsQuarantined()) {
      // A retry would end the same way, so there is no time for one.
      Respond(EmptyResponse(kStatusUnavailable), "quarantined");
    } else if (budget_exhausted_) {
      Refuse("retry_budget");
    } else if (MayHandOver()) {
      HandOver();
    } else {
      Refuse(ReasonWithoutEngine());
    }
  }

  const char* ReasonWithoutEngine() const {
    const Barrier barrier = deps_.selector->FindBarrier(
        MakeQuery(EngineRole::kDecode, deps_.zone, nullptr));
    if (barrier != Barrier::kNone) return BarrierName(barrier);
    return rejections_ > 0 || waited_for_reservation_ ? "engines_full"
                                                      : "no_decode_engine";
  }

  void Refuse(const char* reason) {
    if (IsLimitedByShutdown()) {
      // Another daemon can go on with it at once.
      Respond(RetryLaterResponse(kStatusUnavailable,
                                 ShutdownRetryAfter(deps_.random)),
              kShutdownReason);
      return;
    }
    const Duration retry_after =
        deps_.reservation_retry->RetryAfter(MakeWaitingRequest());
    Respond(RetryLaterResponse(kStatusUnavailable,
                               TimeToEndOfPauses() + retry_after),
            reason);
  }

  // Aborts a stream so that the caller sees that it is incomplete.
  void AbortStream(const char* reason) {
    ++deps_.counters->streams_broken;
    exchange_->Abort();
    Finish(0, reason);
  }

  void Respond(HttpResponse response, const char* reason) {
    const int status = response.status;
    exchange_->Respond(std::move(response));
    Finish(status, reason);
  }

  void Finish(int status, const char* reason) {
    deadline_timer_.Cancel();
    silence_timer_.Cancel();
    reservation_timer_.Cancel();
    origin_lookup_.reset();
    trial_claim_.reset();
    if (kv_handle_) ++deps_.counters->prefills_unused;
    result_.status = status;
    result_.reason = reason;
    result_.stage = StageName(stage_);
    RecordDuration();
    const RelayDoneCallback done = std::move(done_);
    done(result_);
  }

  // Measures how long streams last. Those that began elsewhere, or whose
  // duration the caller determined, say nothing.
  void RecordDuration() const {
    if (result_.events == 0 || !is_event_stream_ || reader_was_slow_ ||
        result_.caller_disconnected || request_.caller.resumes_stream)
      return;
    const Duration total = deps_.loop->Now() - request_.arrived;
    deps_.stream_durations->Record(request_.service.id, expected_output_,
                                   result_.time_to_first_event,
                                   total - result_.time_to_first_event);
  }

  BackEndCallParams MakeCallParams(const BackEndEntry& engine) const {
    BackEndCallParams params;
    params.expected_back_end = engine.id;
    params.time_left = request_.deadline - deps_.loop->Now();
    params.customer = request_.customer;
    params.priority = request_.priority;
    params.weight_version = weight_version_;
    return params;
  }

  void StartCall(const BackEndEntry& engine, const BackEndCallParams& params,
                 const BackEndCall::Options& options, CallRight right) {
    ++result_.calls;
    paused_for_reader_ = false;
    result_.back_end = engine.id;
    call_ = std::make_unique<BackEndCall>(deps_, engine, size_,
                                          request_.caller.id, this);
    call_->Start(deps_.format->WriteCall(request_.caller, params), options,
                 std::move(right));
  }

  void CancelCall(CallOutcome outcome) {
    if (call_ == nullptr) return;
    RecordAbandoned(call_.get());
    call_->Cancel(outcome);
    RetireCall();
  }

  // Keeps the call until the relay is destroyed, since it may be on the stack.
  void RetireCall() { finished_calls_.push_back(std::move(call_)); }

  // Maximum number of prefills of a request. Further ones are not worth the
  // engines' time.
  static constexpr int kMaxPrefills = 2;
  // An engine that has sent so many events of a run doesn't crash at the begin
  // of generation.
  static constexpr int64_t kEventsUntilGenerated = 2;

  const RelayDeps& deps_;
  RelayRequest request_;
  const std::shared_ptr<HttpExchange> exchange_;
  RelayDoneCallback done_;
  RelayResult result_;
  WorkSize size_;
  Tokens expected_output_;  // Expected output of the run.
  Stage stage_ = Stage::kReserve;
  std::optional<Reservation> reservation_;
  // The one that the last run was started with.
  std::optional<Reservation> sent_reservation_;
  // Engines that refused a reservation since the last retry delay.
  std::set<BackEndId> refusing_engines_;
  TimerHandle reservation_timer_;
  std::unique_ptr<BackEndCall> call_;  // nullptr if none is in progress.
  // A run that became silent, while the relay looks for another engine. It ends
  // before the request is sent there, so is_event_stream_, events_before_run_
  // and the partial event of event_splitter_ are its.
  std::unique_ptr<BackEndCall> silent_run_;
  HttpResponse silent_response_;  // Response of silent_run_, received so far.
  std::vector<std::unique_ptr<BackEndCall>> finished_calls_;
  HttpResponse response_;  // Response of call_, received so far.
  std::set<BackEndId> tried_prefill_engines_;
  std::set<BackEndId> tried_decode_engines_;
  // Engines that couldn't be sent a run, or whose response to it was of no use.
  std::set<BackEndId> unfit_engines_;
  std::optional<KvHandle> kv_handle_;  // To be used by a run or released.
  // Engine that holds kv_handle_; always set if that is.
  std::optional<BackEndEntry> prefill_engine_;
  // The software version whose engines may run the request: the one that
  // generated the events that the caller has. Absent before the first event.
  std::optional<SoftwareVersion> software_version_;
  // The caller has events, and software_version_ is absent, since the engine
  // didn't say which incarnation of it generated them.
  bool has_unknown_version_ = false;
  // The weights that generated the last of these events; absent if the engine
  // didn't state them.
  std::optional<WeightVersion> weight_version_;
  // The weights that the response of the current run began with.
  std::optional<WeightVersion> weights_at_begin_;
  MonoTime kv_handle_created_at_{};
  MonoTime prefill_started_at_{};     // When the last prefill was sent.
  bool prefill_engine_idle_ = false;  // The prefill engine had no other work.
  // The response of the run is an event stream; otherwise it is passed on as it
  // is.
  bool is_event_stream_ = false;
  SseEventSplitter event_splitter_;
  // A run has ended behind the last event that the caller has, and whether that
  // is the last one of the stream isn't known. Another run may have none then.
  bool may_have_all_events_ = false;
  // The last run was sent to go on behind an event.
  bool run_continues_stream_ = false;
  // event_splitter_'s count when the response of the current run began.
  int64_t events_before_run_ = 0;
  // Of the current run: when its first and last events arrived, and how many
  // came with the first.
  MonoTime first_event_at_{};
  MonoTime last_event_at_{};
  // When events were last forwarded, of any run.
  MonoTime last_progress_at_{};
  int64_t events_at_first_ = 0;
  // The current run was paused for its reader, so its time says nothing about
  // the engine.
  bool reader_was_slow_ = false;
  bool paused_for_reader_ = false;  // call_ is paused.
  // Id of the last event that the caller has received.
  std::optional<int64_t> last_event_id_;
  int prefills_ = 0;
  int rejections_ = 0;  // Rejected runs.
  // A run with kv_handle_ was rejected, and not because that was lost.
  bool kept_handle_ = false;
  bool budget_exhausted_ = false;
  bool is_ending_ = false;  // The daemon ends; only a verdict is awaited.
  bool is_trial_ = false;   // Runs although a part of its prompt is suspect.
  bool generated_ = false;  // A run got beyond its first event.
  std::unique_ptr<CrashTrialClaim> trial_claim_;  // Pending, or finished.
  bool waited_for_reservation_ = false;
  // Pending until the version of a stream that the caller takes up is known.
  std::unique_ptr<StreamOriginLookup> origin_lookup_;
  TimerHandle deadline_timer_;
  TimerHandle silence_timer_;
};

}  // namespace

std::unique_ptr<Relay> MakeStreamRelay(const RelayDeps& deps,
                                       RelayRequest request,
                                       std::shared_ptr<HttpExchange> exchange,
                                       RelayDoneCallback done) {
  return std::make_unique<StreamRelay>(deps, std::move(request),
                                       std::move(exchange), std::move(done));
}

}  // namespace mimosa
