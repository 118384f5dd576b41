// The stages of a model request.
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

// A prefill that takes longer than this is repeated elsewhere: a fixed part for
// the queue ahead of it, and a multiple of the time that its own prompt takes.
constexpr Duration kPrefillPatience = std::chrono::milliseconds(250);
constexpr int kPrefillSlowness = 4;
// A stream that may go on elsewhere does so after this silence, in multiples of
// the longest gap that still counts as on time.
constexpr int kSilentGaps = 2;
// Before its first event, in multiples of the wanted latency.
constexpr double kFirstEventShare = 0.8;
// Unsent bytes of a caller beyond which its engine isn't read.
constexpr size_t kMaxUnsentBytes = 256U << 10;
// How many engines are asked for room before a pause.
constexpr size_t kRoomQuestions = 3;
// An engine that doesn't answer so simple a question in this time is in no
// state to run a request.
constexpr Duration kRoomPatience = std::chrono::milliseconds(150);
// Callers' guesses of the output are right at the median: the mean is above.
constexpr double kGuessMargin = 1.2;
// A request that is late already takes no room that others will need in time.
constexpr double kLateMemoryShare = 0.65;
// Time to the first event beside the prefill: transfer and first step.
constexpr Duration kFirstEventOverhead = std::chrono::milliseconds(80);
// A decode engine's step for one token of each run; of the order that all
// engine types in use have.
constexpr Duration kTokenTime = std::chrono::microseconds(3000);

class StreamRelay : public Relay, public BackEndCall::Handler {
 public:
  StreamRelay(const RelayDeps& deps, RelayRequest request,
              std::shared_ptr<HttpExchange> exchange, RelayDoneCallback done)
      : deps_(deps),
        request_(std::move(request)),
        exchange_(std::move(exchange)),
        done_(std::move(done)),
        last_id_(request_.caller.last_event_id) {
    const TokenCounts work =
        request_.caller.token_counts.value_or(TokenCounts{});
    output_ = LikelyOutput(work);
    size_.prompt = work.prompt;
    size_.total = work.prompt + output_;
  }

  ~StreamRelay() override {
    if (handle_) deps_.releaser->ReleaseHandle(*handle_);
    GiveRoomBack();
  }

  void Start() override {
    const Duration left = request_.deadline - deps_.loop->Now();
    deadline_timer_ = deps_.loop->After(std::max(left, Duration::zero()),
                                        [this] { OnDeadline(); });
    if (!deps_.selector->HasBackEnd(request_.service.id, EngineRole::kDecode)) {
      Refuse("no_decode_engine");
      return;
    }
    Begin();
  }

  void OnCallerDisconnected() override {
    result_.caller_disconnected = true;
    if (former_ != nullptr) former_->Cancel(CallOutcome::kUnknown);
    GiveUpCall(CallOutcome::kUnknown);
    End(0, "caller_gone");
  }

  // BackEndCall::Owner:
  void OnResponseHead(BackEndCall* call, int status,
                      const HttpHeaders& headers) override {
    if (call == former_.get()) ReturnToFormer();
    answer_.status = status;
    answer_.headers = headers;
    answer_.body.clear();
    if (stage_ != Stage::kRun || !IsSuccess(status)) return;
    handle_.reset();  // taken
    ForgetRoom();     // used
    ArmSilenceTimer();
    if (exchange_->started()) return;  // goes on within the first answer
    result_.back_end = call->back_end().id;
    exchange_->StartStream(status, headers);
  }

  void OnResponseBody(BackEndCall* call, std::string_view data) override {
    if (call == former_.get()) ReturnToFormer();
    if (stage_ != Stage::kRun || !IsSuccess(answer_.status)) {
      answer_.body.append(data);
      return;
    }
    const std::string events = events_.Feed(data);
    if (events.empty()) return;
    if (result_.events == 0)
      result_.time_to_first_event = deps_.loop->Now() - request_.arrived;
    result_.events = events_.event_count();
    exchange_->Write(events);
    ArmSilenceTimer();
    HoldBack();
  }

  void OnResponseComplete(BackEndCall* call) override {
    if (call == former_.get()) ReturnToFormer();
    silence_timer_.Cancel();
    const BackEndEntry back_end = call->back_end();
    DropCall();
    if (stage_ == Stage::kRoom) {
      OnRoomEnd(back_end);
      return;
    }
    if (stage_ == Stage::kPrefill) {
      OnPrefillEnd(back_end);
      return;
    }
    if (IsSuccess(answer_.status)) {
      deps_.stage_meter->RecordRun(request_.service.id, size_.total,
                                   deps_.loop->Now() - stage_since_);
      exchange_->Write(events_.partial_event());
      exchange_->Finish();
      End(answer_.status, "answered");
      return;
    }
    ++may_have_run_;
    if (exchange_->started()) {  // went on here, and this engine failed
      Break("engine_failed");
      return;
    }
    result_.back_end = back_end.id;
    Deliver(std::move(answer_), "answered");
  }

  void OnCallFailed(BackEndCall* call, CallFailure loss) override {
    if (call == former_.get()) {
      ended_.push_back(std::move(former_));
      NoteRunLost();
      return;  // the search for another engine goes on
    }
    silence_timer_.Cancel();
    const BackEndEntry back_end = call->back_end();
    DropCall();
    if (stage_ == Stage::kRoom) {
      OnRoomRefused(back_end);
      return;
    }
    if (stage_ == Stage::kPrefill) {
      OnPrefillLost();
      return;
    }
    if (loss == CallFailure::kNotSent) {
      --arrivals_;
      GiveRoomBack();
      Begin();
    } else if (loss == CallFailure::kNotExecuted) {
      OnRejected(back_end);
    } else {
      OnRunLost();
    }
  }

 private:
  enum class Stage { kRoom, kPrefill, kRun };

  // Room set aside at a decode engine, counted there until it is used.
  struct Room {
    BackEndEntry engine;
    std::string id;
  };

  static Tokens LikelyOutput(const TokenCounts& work) {
    if (!work.expected_output) return work.max_output;
    const auto guess = static_cast<int64_t>(
        kGuessMargin * static_cast<double>(work.expected_output->count()));
    return std::min(work.max_output, Tokens(guess));
  }

  Duration HoldLife() const {
    return request_.service.engine
               ? request_.service.engine->reservation_lifetime
               : Duration::zero();
  }

  // From room to run; what is there already is kept.
  void Begin() {
    refused_now_.clear();
    if (HoldLife() > Duration::zero()) {
      TryRoom();
    } else {
      GoOn();
    }
  }

  // With room, or without where engines don't set any aside.
  void GoOn() {
    const bool has_prefill = handle_ && !HandleOver(deps_.loop->Now());
    if (has_prefill || prefills_ >= kMaxPrefills || !TryPrefill()) Run();
  }

  void TryRoom() {
    const MonoTime now = deps_.loop->Now();
    stage_ = Stage::kRoom;
    std::set<BackEndId> passed = tried_decode_;
    passed.insert(refused_now_.begin(), refused_now_.end());
    SelectionQuery query = Query(EngineRole::kDecode, deps_.zone, &passed);
    query.require_free_memory = true;
    if (!exchange_->started() &&
        !ReservationRetryPolicy::CanMeetTarget(Waiting()))
      query.max_memory_share = kLateMemoryShare;
    const BackEndEntry* chosen = refused_now_.size() < kRoomQuestions
                                     ? deps_.selector->SelectBackEnd(query, now)
                                     : nullptr;
    if (chosen == nullptr) {
      WaitForRoom();
      return;
    }
    const BackEndEntry engine = *chosen;
    BackEndCall::Options options;
    options.internal_call = true;
    options.retryable = true;
    options.head_timeout = kRoomPatience;
    options.idle_timeout = kRoomPatience;
    ++result_.calls;
    call_ = std::make_unique<BackEndCall>(deps_, engine, size_,
                                          request_.caller.id, this);
    call_->Start(deps_.format->WriteReserve(engine.id, size_.total, HoldLife()),
                 options);
  }

  void OnRoomEnd(const BackEndEntry& engine) {
    const auto id = IsSuccess(answer_.status)
                        ? deps_.format->ReadReservation(answer_.body)
                        : std::nullopt;
    if (!id) {
      OnRoomRefused(engine);
      return;
    }
    ++deps_.counters->reservations;
    result_.time_to_reservation = deps_.loop->Now() - request_.arrived;
    room_ = Room{engine, *id};
    deps_.selector->OnCallStarted(engine, size_);
    GoOn();
  }

  void OnRoomRefused(const BackEndEntry& engine) {
    ++deps_.counters->reservations_refused;
    refused_now_.insert(engine.id);
    TryRoom();
  }

  WaitingRequest Waiting() const {
    const MonoTime now = deps_.loop->Now();
    WaitingRequest waiting;
    waiting.waited = now - request_.arrived;
    waiting.time_left = request_.deadline - now;
    waiting.target_latency = request_.route.target_latency;
    waiting.first_event_timeout = request_.route.first_event_timeout;
    waiting.time_to_first_event = kFirstEventOverhead + ReadingTime();
    waiting.run_time = kTokenTime * output_.count();
    return waiting;
  }

  Duration ReadingTime() const {
    return deps_.stage_meter->PrefillTime(request_.service.id, size_.prompt);
  }

  void WaitForRoom() {
    waited_for_room_ = true;
    const auto pause = deps_.reservation_retry->NextRetryDelay(Waiting());
    if (!pause) {
      Conclude();
      return;
    }
    refused_now_.clear();
    room_timer_ = deps_.loop->After(*pause, [this] { TryRoom(); });
  }

  void ForgetRoom() {
    if (!room_) return;
    deps_.selector->OnCallEnded(room_->engine, size_, CallOutcome::kUnknown,
                                deps_.loop->Now());
    room_.reset();
  }

  void GiveRoomBack() {
    if (!room_) return;
    deps_.releaser->ReleaseReservation({room_->engine.ip, room_->engine.port},
                                       room_->id);
    ForgetRoom();
  }

  SelectionQuery Query(EngineRole role, const FailureDomain& near,
                       const std::set<BackEndId>* exclude) const {
    SelectionQuery query;
    query.service = request_.service.id;
    query.role = role;
    query.work = size_;
    query.preferred_zone = near;
    query.exclude = exclude;
    if (request_.service.engine)
      query.kv_memory = request_.service.engine->kv_memory;
    return query;
  }

  // Whether another call to an engine may be made: the first one is free.
  bool TakeArrival(bool repeat) {
    if (!repeat || TryAcquireRetry(deps_, request_.service.id)) return true;
    budget_spent_ = true;
    return false;
  }

  // False if no prefill engine can be asked.
  bool TryPrefill() {
    const MonoTime now = deps_.loop->Now();
    if (!deps_.selector->HasHealthyBackEnd(request_.service.id,
                                           EngineRole::kPrefill, now))
      return false;
    const FailureDomain near = room_ ? room_->engine.zone : deps_.zone;
    const BackEndEntry* chosen = deps_.selector->SelectBackEnd(
        Query(EngineRole::kPrefill, near, &tried_prefill_), now);
    if (chosen == nullptr || !TakeArrival(prefills_ > 0)) return false;
    const BackEndEntry engine = *chosen;
    tried_prefill_.insert(engine.id);
    stage_ = Stage::kPrefill;
    ++prefills_;
    ++deps_.counters->prefills;
    BackEndCallParams call = CallTo(engine);
    call.prefill_only = true;
    BackEndCall::Options options;
    options.retryable = true;
    options.internal_call = true;
    options.head_timeout = std::min(
        call.time_left, kPrefillPatience + kPrefillSlowness * ReadingTime());
    options.idle_timeout = options.head_timeout;
    prefill_alone_ = deps_.selector->IsIdle(engine.id);
    stage_since_ = now;
    StartCall(engine, call, options);
    return true;
  }

  void OnPrefillEnd(const BackEndEntry& engine) {
    if (IsSuccess(answer_.status)) {
      handle_ = deps_.format->ReadPrefillResponse({engine.ip, engine.port},
                                                  answer_.body);
    }
    if (!handle_) {
      deps_.selector->RecordOutcome(engine, CallOutcome::kFailed,
                                    deps_.loop->Now());
      OnPrefillLost();
      return;
    }
    prefill_engine_ = engine;
    handle_since_ = deps_.loop->Now();
    result_.time_to_prefill = handle_since_ - request_.arrived;
    deps_.stage_meter->RecordPrefill(request_.service.id, size_.prompt,
                                     handle_since_ - stage_since_,
                                     prefill_alone_);
    Run();
  }

  void OnPrefillLost() {
    if (prefills_ < kMaxPrefills && TryPrefill()) return;
    Run();
  }

  // Sends the run to a decode engine, with the prefill's result if there is one
  // that still lives.
  void Run() {
    const MonoTime now = deps_.loop->Now();
    stage_ = Stage::kRun;
    if (handle_ && HandleOver(now)) handle_.reset();
    const FailureDomain near =
        handle_ && prefill_engine_ ? prefill_engine_->zone : deps_.zone;
    const BackEndEntry* chosen =
        room_ ? &room_->engine
              : deps_.selector->SelectBackEnd(
                    Query(EngineRole::kDecode, near, &tried_decode_), now);
    if (chosen == nullptr || !TakeArrival(arrivals_ > 0)) {
      Conclude();
      return;
    }
    const BackEndEntry engine = *chosen;
    GiveFormerUp();
    tried_decode_.insert(engine.id);
    ++arrivals_;
    BackEndCallParams call = CallTo(engine);
    call.kv_handle = handle_;
    call.last_event_id = last_id_;
    if (room_) call.reservation_id = room_->id;
    BackEndCall::Options options;
    options.max_idle = kMaxIdleNonIdempotent;
    options.head_timeout = call.time_left;
    options.idle_timeout = call.time_left;
    stage_since_ = now;
    StartCall(engine, call, options);
    // The run is counted at the engine by its call now.
    ForgetRoom();
    ArmSilenceTimer();
  }

  bool HandleOver(MonoTime now) const {
    const Duration life = request_.service.engine
                              ? request_.service.engine->kv_handle_lifetime
                              : Duration::zero();
    return life > Duration::zero() && now - handle_since_ >= life;
  }

  // The engine said that it has not run the request: it is full, or the
  // prefill's result is gone.
  void OnRejected(const BackEndEntry& engine) {
    ++rejections_;
    if (handle_ && prefill_engine_) {
      deps_.selector->RecordOutcome(
          *prefill_engine_, CallOutcome::kPrefillResultLost, deps_.loop->Now());
      handle_.reset();
      // The result was the cause more often than this engine.
      tried_decode_.erase(engine.id);
    }
    if (rejections_ >= kMaxRejections) {
      Conclude();
      return;
    }
    Begin();
  }

  void NoteRunLost() {
    ++may_have_run_;
    events_.DropPartialEvent();
    if (events_.last_id()) last_id_ = events_.last_id();
  }

  void OnRunLost() {
    NoteRunLost();
    handle_.reset();
    const bool may_go_on =
        request_.route.retry_policy == RetryPolicy::kResumableStream &&
        may_have_run_ < request_.route.max_attempts &&
        (!exchange_->started() || last_id_);
    if (!may_go_on) {
      Conclude();
      return;
    }
    ++deps_.counters->streams_resumed;
    Begin();
  }

  void ArmSilenceTimer() {
    if (request_.route.retry_policy != RetryPolicy::kResumableStream) return;
    Duration wait = request_.route.target_event_gap * kSilentGaps;
    if (events_.event_count() == 0) {
      wait =
          std::max(wait, std::chrono::duration_cast<Duration>(
                             request_.route.target_latency * kFirstEventShare));
    }
    if (wait <= Duration::zero()) return;
    silence_timer_ = deps_.loop->After(wait, [this] { OnSilence(); });
  }

  // Looks for another engine. The silent run is given up only when the other
  // one can begin: it may only have been preempted.
  void OnSilence() {
    silence_timer_.Cancel();
    if (call_ == nullptr || stage_ != Stage::kRun || former_ != nullptr) return;
    if (may_have_run_ + 1 >= request_.route.max_attempts) return;
    if (exchange_->started() && !events_.last_id()) return;
    deps_.selector->RecordOutcome(call_->back_end(), CallOutcome::kFailed,
                                  deps_.loop->Now());
    former_answer_ = answer_;
    former_ = std::move(call_);
    Begin();
  }

  // The silent run goes on after all, or nothing better was found.
  void ReturnToFormer() {
    GiveUpCall(CallOutcome::kUnknown);
    room_timer_.Cancel();
    GiveRoomBack();
    if (handle_) deps_.releaser->ReleaseHandle(*handle_);
    handle_.reset();
    answer_ = former_answer_;
    call_ = std::move(former_);
    stage_ = Stage::kRun;
  }

  void GiveFormerUp() {
    if (former_ == nullptr) return;
    former_->Cancel(CallOutcome::kFailed);
    ended_.push_back(std::move(former_));
    NoteRunLost();
    ++deps_.counters->streams_resumed;
  }

  // Reads the engine no faster than the caller reads.
  void HoldBack() {
    if (exchange_->UnsentBytes() <= kMaxUnsentBytes || call_ == nullptr) return;
    call_->Pause(true);
    exchange_->OnDrained([this] {
      exchange_->OnDrained(nullptr);
      if (call_ != nullptr) call_->Pause(false);
    });
  }

  void OnDeadline() {
    const bool asked = call_ != nullptr && stage_ == Stage::kRun;
    GiveFormerUp();
    GiveUpCall(asked && !call_->response_started() ? CallOutcome::kFailed
                                                   : CallOutcome::kUnknown);
    if (exchange_->started()) {
      Break("timeout");
    } else if (asked || may_have_run_ > 0) {
      Deliver(EmptyResponse(kStatusGatewayTimeout), "timeout");
    } else {
      Refuse("timeout");
    }
  }

  // No call is under way and none will be.
  void Conclude() {
    if (former_ != nullptr) {
      ReturnToFormer();
    } else if (exchange_->started()) {
      Break("stream_lost");
    } else if (may_have_run_ > 0) {
      Deliver(EmptyResponse(kStatusBadGateway), "lost");
    } else if (budget_spent_) {
      Refuse("retry_budget");
    } else {
      Refuse(rejections_ > 0 || waited_for_room_ ? "engines_full"
                                                 : "no_decode_engine");
    }
  }

  void Refuse(const char* why) {
    Deliver(RetryLaterResponse(kStatusUnavailable,
                               deps_.reservation_retry->RetryAfter(Waiting())),
            why);
  }

  // Ends a stream so that it doesn't look whole.
  void Break(const char* why) {
    ++deps_.counters->streams_broken;
    exchange_->Abort();
    End(0, why);
  }

  void Deliver(HttpResponse answer, const char* why) {
    const int status = answer.status;
    exchange_->Respond(std::move(answer));
    End(status, why);
  }

  void End(int status, const char* why) {
    deadline_timer_.Cancel();
    silence_timer_.Cancel();
    room_timer_.Cancel();
    if (handle_) ++deps_.counters->prefills_unused;
    result_.status = status;
    result_.reason = why;
    const RelayDoneCallback done = std::move(done_);
    done(result_);
  }

  BackEndCallParams CallTo(const BackEndEntry& engine) const {
    BackEndCallParams call;
    call.expected_back_end = engine.id;
    call.time_left = request_.deadline - deps_.loop->Now();
    call.customer = request_.customer;
    call.priority = request_.priority;
    return call;
  }

  void StartCall(const BackEndEntry& engine, const BackEndCallParams& call,
                 const BackEndCall::Options& options) {
    ++result_.calls;
    result_.back_end = engine.id;
    call_ = std::make_unique<BackEndCall>(deps_, engine, size_,
                                          request_.caller.id, this);
    call_->Start(deps_.format->WriteCall(request_.caller, call), options);
  }

  void GiveUpCall(CallOutcome verdict) {
    if (call_ == nullptr) return;
    call_->Cancel(verdict);
    DropCall();
  }

  // The call may be on the stack: it dies with the relay.
  void DropCall() { ended_.push_back(std::move(call_)); }

  // A prefill beyond these isn't worth its engine's time.
  static constexpr int kMaxPrefills = 2;

  const RelayDeps& deps_;
  const RelayRequest request_;
  const std::shared_ptr<HttpExchange> exchange_;
  RelayDoneCallback done_;
  RelayResult result_;
  WorkSize size_;
  Tokens output_;  // as expected
  Stage stage_ = Stage::kRoom;
  std::optional<Room> room_;
  std::set<BackEndId> refused_now_;  // that had no room since the last pause
  TimerHandle room_timer_;
  std::unique_ptr<BackEndCall> call_;  // nullptr: none is under way
  // A run that fell silent, while another engine is looked for.
  std::unique_ptr<BackEndCall> former_;
  HttpResponse former_answer_;  // as far as it came
  std::vector<std::unique_ptr<BackEndCall>> ended_;
  HttpResponse answer_;  // of call_, as far as it came
  std::set<BackEndId> tried_prefill_;
  std::set<BackEndId> tried_decode_;
  std::optional<KvHandle> handle_;              // ours to take or to free
  std::optional<BackEndEntry> prefill_engine_;  // that made handle_
  MonoTime handle_since_{};
  MonoTime stage_since_{};      // when the prefill or run was sent
  bool prefill_alone_ = false;  // its engine had nothing else to do
  SseEventSplitter events_;
  std::optional<int64_t> last_id_;  // of the last event that the caller has
  int prefills_ = 0;
  int arrivals_ = 0;      // runs of which a byte went out
  int rejections_ = 0;    // of runs
  int may_have_run_ = 0;  // runs that have ended and may have run
  bool budget_spent_ = false;
  bool waited_for_room_ = false;
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
