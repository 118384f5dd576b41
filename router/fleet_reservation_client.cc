// The holder's side: searching, holding, renewing and releasing places.
#include "router/fleet_reservation_client.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mimosa {
namespace {

constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr Duration kErrandTimeout = std::chrono::seconds(2);
// What a prompt request may wait, however long its prompt is.
constexpr Duration kPromptWait = std::chrono::milliseconds(500);
// Owners differ between daemons for a moment while the fleet changes.
constexpr Duration kOwnerRetryDelay = std::chrono::milliseconds(100);
constexpr int kOwnerRetries = 30;
// An owner that did not answer is passed over so long, where others will do.
constexpr Duration kSuspicion = std::chrono::seconds(1);
constexpr Duration kReleaseRetryDelay = std::chrono::milliseconds(500);
constexpr int kReleaseTries = 5;
// Weight of the newest observation in learnt times: one in so many.
constexpr int kLearnSamples = 16;
constexpr Duration kMinPrefillPerToken = std::chrono::microseconds(1);
constexpr size_t kPrefixBlockBytes = 1024;
constexpr size_t kMaxPrefixBlocks = 20000;
constexpr int64_t kBytesPerPromptToken = 4;
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

}  // namespace

struct FleetReservationClient::BackgroundCall {
  std::unique_ptr<google::protobuf::Message> result;
  std::unique_ptr<PeerCall> call;
  TimerHandle retry_timer;  // instead of a call: until the next try
};

// ---------------------------------------------------------------------------
// A place that was granted.

class FleetReservationClient::GrantedReservation : public EngineReservation {
 public:
  struct Engine {
    BackEndId id;
    Endpoint address;
  };

  GrantedReservation(std::weak_ptr<FleetReservationClient*> driver,
                     RequestId request, Engine prefill, Engine decode,
                     Pieces pieces, Tokens prompt_tokens, MonoTime granted)
      : driver_(std::move(driver)),
        request_(std::move(request)),
        prefill_(std::move(prefill)),
        decode_(std::move(decode)),
        pieces_(pieces),
        prompt_tokens_(prompt_tokens),
        granted_at_(granted) {}

  ~GrantedReservation() override {
    const auto driver = driver_.lock();
    if (driver == nullptr) return;
    if (prefill_released_at_ != MonoTime{}) {
      UpdateMean((*driver)->loop_->Now() - prefill_released_at_,
                 &(*driver)->mean_decode_time_);
    } else {
      (*driver)->ReleaseReservation(prefill_.id, request_);
    }
    (*driver)->ReleaseReservation(decode_.id, request_);
  }

  const BackEndId& prefill_engine() const override { return prefill_.id; }
  const Endpoint& prefill_address() const override { return prefill_.address; }
  const BackEndId& decode_engine() const override { return decode_.id; }
  const Endpoint& decode_address() const override { return decode_.address; }
  Pieces pieces() const override { return pieces_; }

  void ReleasePrefillEngine() override {
    const auto driver = driver_.lock();
    if (driver == nullptr || prefill_released_at_ != MonoTime{}) return;
    prefill_released_at_ = (*driver)->loop_->Now();
    UpdateMean((prefill_released_at_ - granted_at_) /
                   std::max<int64_t>(prompt_tokens_.count(), 1),
               &(*driver)->mean_prefill_per_token_);
    (*driver)->ReleaseReservation(prefill_.id, request_);
  }

 private:
  const std::weak_ptr<FleetReservationClient*> driver_;
  const RequestId request_;
  const Engine prefill_;
  const Engine decode_;
  const Pieces pieces_;
  const Tokens prompt_tokens_;
  const MonoTime granted_at_;
  MonoTime prefill_released_at_{};  // zero: the prefill turn is still held
};

// ---------------------------------------------------------------------------
// One request on its way to a place.

// States: prefill engine, then decode engine; within each, a PlaceSearch says
// whom to ask. At most one question to an owner is open at a time.
class FleetReservationClient::Attempt : public PendingReservation {
 public:
  Attempt(FleetReservationClient* driver, const ReservationRequest& request,
          DoneCallback done);
  ~Attempt() override;

  void Start();
  // The engine's book has another owner now: ask there.
  void OnFleetChanged();

 private:
  using Stage = SearchStage;

  // The engines of one stage, as the placement policy sees them.
  class Candidates : public CandidateSource {
   public:
    explicit Candidates(const Attempt* attempt) : attempt_(attempt) {}
    size_t size() const override { return attempt_->engines_.size(); }
    PlacementCandidate At(size_t index) const override {
      return attempt_->DescribeEngine(*attempt_->engines_[index]);
    }

   private:
    const Attempt* attempt_;
  };

  PlacementCandidate DescribeEngine(const wire::BackEnd& engine) const;
  void EnterStage(Stage stage);
  void CollectEngines();
  PlacementQuery MakeQuery();
  void ExecuteStep(const SearchStep& step);
  void RequestReservation(size_t index, bool may_wait);
  void RequestFromPeer(const FleetMember& owner);
  wire::ReserveRequest MakeReserveRequest(const wire::BackEnd& engine,
                                          bool may_wait) const;
  Duration ExpectedPrefillTime() const {
    return driver_->mean_prefill_per_token_ * request_.prompt_tokens.count();
  }
  // The latest start of the stage that meets the first token's target.
  MonoTime FirstTokenStartDeadline() const {
    return request_.first_token_deadline - ExpectedPrefillTime();
  }
  MonoTime StageStartDeadline() const;
  void OnReserveReply(const wire::ReserveReply& reply);
  void OnPeerFailure(PeerStatus status);
  void OnOwnerUnavailable();
  void OnReservationRefused(const wire::ReserveReply& reply);
  void TryNextEngine();
  void SelectEngine(const wire::BackEnd& engine);
  void DropOpenRequest(bool give_back);
  void FinishWithFailure(ReservationStatus status);
  void FinishWithReservation();
  Duration TimeUntil(MonoTime until) const {
    return until - driver_->loop_->Now();
  }

  FleetReservationClient* const driver_;
  ReservationRequest request_;  // its prompt is not kept
  const MonoTime started_at_;
  const std::vector<uint64_t> prompt_blocks_;
  DoneCallback done_;
  std::shared_ptr<const CatalogueSnapshot> snapshot_;
  Stage stage_ = Stage::kPrefill;
  std::set<BackEndId> excluded_engines_;
  // Of the stage: its engines and the search among them.
  std::vector<const wire::BackEnd*> engines_;
  std::optional<EngineSearch> search_;
  int owner_retries_ = 0;
  // The open question.
  std::optional<size_t> requested_engine_;
  bool request_may_wait_ = false;
  Duration max_wait_ = Duration::max();
  MemberId requested_owner_;
  wire::ReserveReply peer_reply_;
  std::unique_ptr<PeerCall> peer_call_;
  uint64_t request_serial_ = 0;  // tells a local answer to an older question
  // What was granted.
  std::optional<GrantedReservation::Engine> decode_;
  std::optional<GrantedReservation::Engine> prefill_;
  Duration retry_after_ = Duration::max();  // shortest one heard
  TimerHandle timer_;
  // Expires with this object: local answers and posts check it.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

FleetReservationClient::Attempt::Attempt(FleetReservationClient* driver,
                                         const ReservationRequest& request,
                                         DoneCallback done)
    : driver_(driver),
      request_(request),
      started_at_(driver->loop_->Now()),
      prompt_blocks_(driver->prefixes_.BlockHashes(request.prompt)),
      done_(std::move(done)),
      snapshot_(driver->catalogue_->current()),
      excluded_engines_(request.excluded_engines.begin(),
                        request.excluded_engines.end()) {
  request_.prompt = {};
  driver_->attempts_.insert(this);
}

FleetReservationClient::Attempt::~Attempt() {
  driver_->attempts_.erase(this);
  DropOpenRequest(/*give_back=*/true);
  if (decode_) driver_->ReleaseReservation(decode_->id, request_.request_id);
  if (prefill_) driver_->ReleaseReservation(prefill_->id, request_.request_id);
}

void FleetReservationClient::Attempt::Start() {
  timer_ = driver_->loop_->After(Duration(0),
                                 [this] { EnterStage(Stage::kPrefill); });
}

void FleetReservationClient::Attempt::OnFleetChanged() {
  if (!requested_engine_) return;
  const BackEndId engine(engines_[*requested_engine_]->id());
  if (driver_->fleet_->LedgerOwner(engine) == requested_owner_) return;
  const size_t index = *requested_engine_;
  const bool may_wait = request_may_wait_;
  // The former owner has dropped its book or has ended.
  DropOpenRequest(/*give_back=*/false);
  RequestReservation(index, may_wait);
}

PlacementCandidate FleetReservationClient::Attempt::DescribeEngine(
    const wire::BackEnd& engine) const {
  PlacementCandidate candidate;
  const bool decode = engine.role() == wire::DECODE_ENGINE;
  candidate.capacity = Units(
      decode ? engine.kv_pieces() : std::max<int64_t>(engine.max_running(), 1));
  candidate.free = candidate.capacity;
  const auto it = driver_->summaries_.find(BackEndId(engine.id()));
  if (it != driver_->summaries_.end()) {
    const wire::EngineSummary& heard = it->second.summary;
    candidate.has_summary = true;
    candidate.free = Units(heard.free_pieces());
    candidate.waiting = heard.waiting();
    candidate.running = heard.running();
    candidate.queue_wait = std::chrono::milliseconds(heard.queue_ms());
    candidate.summary_age = driver_->loop_->Now() - it->second.received_at;
  }
  if (decode) return candidate;
  const PrefixIndex::Match match =
      driver_->prefixes_.FindLongestPrefix(prompt_blocks_);
  if (match.engine == BackEndId(engine.id())) {
    candidate.cached_prefix =
        Tokens(static_cast<int64_t>(match.bytes) / kBytesPerPromptToken);
  }
  return candidate;
}

void FleetReservationClient::Attempt::EnterStage(Stage stage) {
  stage_ = stage;
  CollectEngines();
  if (engines_.empty()) {
    FinishWithFailure(ReservationStatus::kNoEngine);
    return;
  }
  search_.emplace(stage, driver_->policy_.get());
  ExecuteStep(search_->Start(MakeQuery(), Candidates(this), driver_->random_));
}

void FleetReservationClient::Attempt::ExecuteStep(const SearchStep& step) {
  switch (step.kind) {
    case SearchStep::Kind::kReserve:
      max_wait_ = step.max_wait;
      RequestReservation(step.engine, step.may_wait);
      return;
    case SearchStep::Kind::kUseUnreserved:
      SelectEngine(*engines_[step.engine]);
      return;
    case SearchStep::Kind::kGiveUp:
      FinishWithFailure(ReservationStatus::kOverload);
      return;
  }
}

// Engines whose owner did not answer lately are used only if there is no other.
void FleetReservationClient::Attempt::CollectEngines() {
  const bool decode = stage_ == Stage::kDecode;
  std::vector<const wire::BackEnd*> suspected;
  engines_.clear();
  for (const wire::BackEnd* engine : snapshot_->Engines(
           request_.model.value(),
           decode ? wire::DECODE_ENGINE : wire::PREFILL_ENGINE)) {
    if (driver_->options_.ledger_server.is_draining(*engine) ||
        excluded_engines_.count(BackEndId(engine->id())) > 0) {
      continue;
    }
    const bool suspect = driver_->IsOwnerSuspected(BackEndId(engine->id()));
    (suspect ? suspected : engines_).push_back(engine);
  }
  if (engines_.empty()) engines_ = std::move(suspected);
}

PlacementQuery FleetReservationClient::Attempt::MakeQuery() {
  PlacementQuery query;
  query.prompt_tokens = request_.prompt_tokens;
  if (stage_ == Stage::kDecode) return query;
  query.prefill_per_token = driver_->mean_prefill_per_token_;
  if (prompt_blocks_.empty()) return query;
  std::vector<BackEndId> ids;
  ids.reserve(engines_.size());
  for (const wire::BackEnd* engine : engines_) ids.emplace_back(engine->id());
  query.preferred.push_back(RendezvousChoice(prompt_blocks_.front(), ids));
  const BackEndId known =
      driver_->prefixes_.FindLongestPrefix(prompt_blocks_).engine;
  const auto it = std::find(ids.begin(), ids.end(), known);
  const size_t index = static_cast<size_t>(it - ids.begin());
  if (it != ids.end() && index != query.preferred.front()) {
    query.preferred.push_back(index);
  }
  return query;
}

void FleetReservationClient::Attempt::RequestReservation(size_t index,
                                                         bool may_wait) {
  const wire::BackEnd& engine = *engines_[index];
  requested_engine_ = index;
  request_may_wait_ = may_wait;
  ++request_serial_;
  const std::optional<MemberId> owner =
      driver_->fleet_->LedgerOwner(BackEndId(engine.id()));
  const FleetMember* member =
      owner ? driver_->fleet_->FindMember(*owner) : nullptr;
  if (member == nullptr) {
    OnOwnerUnavailable();
    return;
  }
  requested_owner_ = *owner;
  if (*owner != driver_->fleet_->self()) {
    RequestFromPeer(*member);
    return;
  }
  driver_->ledger_server_.Reserve(
      MakeReserveRequest(engine, may_wait),
      [this, alive = std::weak_ptr<int>(alive_),
       question = request_serial_](const wire::ReserveReply& reply) {
        if (alive.expired() || question != request_serial_) return;
        OnReserveReply(reply);
      });
}

void FleetReservationClient::Attempt::RequestFromPeer(
    const FleetMember& owner) {
  const wire::ReserveRequest request =
      MakeReserveRequest(*engines_[*requested_engine_], request_may_wait_);
  Duration timeout = kProbeTimeout;
  if (request_may_wait_)
    timeout += std::max(TimeUntil(StageStartDeadline()), Duration(0));
  peer_reply_.Clear();
  peer_call_ =
      driver_->bus_->Call(owner.peer_address, kReserveMethod, request,
                          &peer_reply_, timeout, [this](PeerStatus status) {
                            if (status != PeerStatus::kOk) {
                              OnPeerFailure(status);
                              return;
                            }
                            const wire::ReserveReply reply = peer_reply_;
                            OnReserveReply(reply);
                          });
}

wire::ReserveRequest FleetReservationClient::Attempt::MakeReserveRequest(
    const wire::BackEnd& engine, bool may_wait) const {
  wire::ReserveRequest out;
  out.set_member(driver_->fleet_->self().value());
  out.set_request(request_.request_id.value());
  out.set_engine(engine.id());
  out.set_customer(request_.customer.value());
  const Tokens total = request_.prompt_tokens + request_.output_tokens;
  if (engine.role() == wire::DECODE_ENGINE) {
    out.set_pieces(std::max<int64_t>(PiecesFor(total).count(), 1));
  }
  out.set_prompt_tokens(request_.prompt_tokens.count());
  out.set_output_tokens(request_.output_tokens.count());
  out.set_request_class(request_.request_class);
  const Duration longest = std::min(TimeUntil(StageStartDeadline()), max_wait_);
  out.set_deadline_ms(std::max<int64_t>(ToMillis(longest), 1));
  if (request_.first_token_deadline != kNever) {
    out.set_target_ms(
        std::max<int64_t>(ToMillis(TimeUntil(FirstTokenStartDeadline())), 1));
  }
  out.set_hold_ms(ToMillis(driver_->options_.reservation_ttl));
  out.set_may_wait(may_wait);
  return out;
}

// The latest useful start of the stage. A prompt request is to meet its first
// token's target; one whose prompt is too long for that even at an idle engine
// is not refused for it, but does not wait long either. A patient one is of use
// until its deadline.
MonoTime FleetReservationClient::Attempt::StageStartDeadline() const {
  MonoTime start_by =
      request_.deadline - driver_->mean_decode_time_ - ExpectedPrefillTime();
  if (request_.request_class != wire::PATIENT &&
      request_.first_token_deadline != kNever) {
    start_by = std::min(start_by, std::max(FirstTokenStartDeadline(),
                                           started_at_ + kPromptWait));
  }
  return start_by;
}

void FleetReservationClient::Attempt::OnReserveReply(
    const wire::ReserveReply& reply) {
  const wire::BackEnd& engine = *engines_[*requested_engine_];
  if (reply.has_summary()) driver_->RecordSummary(reply.summary());
  if (reply.granted()) {
    driver_->RecordReservation(MakeReserveRequest(engine, request_may_wait_));
    DropOpenRequest(/*give_back=*/false);
    SelectEngine(engine);
    return;
  }
  if (reply.not_owner()) {
    OnOwnerUnavailable();
    return;
  }
  DropOpenRequest(/*give_back=*/false);
  OnReservationRefused(reply);
}

// The owner may have granted it: it is given back at whoever owns the book now.
void FleetReservationClient::Attempt::OnPeerFailure(PeerStatus status) {
  if (status == PeerStatus::kNoReply) {
    driver_->ReleaseReservation(BackEndId(engines_[*requested_engine_]->id()),
                                request_.request_id);
  }
  driver_->suspected_owners_[requested_owner_] =
      driver_->loop_->Now() + kSuspicion;
  OnOwnerUnavailable();
}

// The fleet is changing, or the owner is down and not yet ended. Asking on is
// cheap; other engines are tried in between.
void FleetReservationClient::Attempt::OnOwnerUnavailable() {
  DropOpenRequest(/*give_back=*/false);
  if (++owner_retries_ > kOwnerRetries ||
      TimeUntil(request_.deadline) <= Duration(0)) {
    FinishWithFailure(ReservationStatus::kOwnerUnreachable);
    return;
  }
  timer_ =
      driver_->loop_->After(kOwnerRetryDelay, [this] { EnterStage(stage_); });
}

void FleetReservationClient::Attempt::OnReservationRefused(
    const wire::ReserveReply& reply) {
  if (reply.refusal() != wire::CLOSED && reply.refusal() != wire::TOO_LARGE) {
    retry_after_ = std::min<Duration>(
        retry_after_, std::chrono::milliseconds(reply.retry_after_ms()));
  }
  TryNextEngine();
}

void FleetReservationClient::Attempt::TryNextEngine() {
  if (TimeUntil(StageStartDeadline()) < Duration(0)) {
    FinishWithFailure(ReservationStatus::kOverload);
    return;
  }
  ExecuteStep(search_->OnRefused(Candidates(this)));
}

// Goes on with `engine` for this stage.
void FleetReservationClient::Attempt::SelectEngine(
    const wire::BackEnd& engine) {
  GrantedReservation::Engine chosen;
  chosen.id = BackEndId(engine.id());
  Endpoint::Parse(engine.address(), &chosen.address);
  if (stage_ == Stage::kPrefill) {
    prefill_ = std::move(chosen);
    owner_retries_ = 0;
    EnterStage(Stage::kDecode);
    return;
  }
  decode_ = std::move(chosen);
  driver_->prefixes_.AddBlocks(prompt_blocks_, prefill_->id);
  FinishWithReservation();
}

void FleetReservationClient::Attempt::DropOpenRequest(bool give_back) {
  if (!requested_engine_) return;
  const BackEndId engine(engines_[*requested_engine_]->id());
  requested_engine_.reset();
  ++request_serial_;
  peer_call_.reset();
  if (give_back) driver_->ReleaseReservation(engine, request_.request_id);
}

// `done_` may destroy this object: nothing is touched after it.
void FleetReservationClient::Attempt::FinishWithFailure(
    ReservationStatus status) {
  DropOpenRequest(/*give_back=*/true);
  if (prefill_) driver_->ReleaseReservation(prefill_->id, request_.request_id);
  prefill_.reset();
  ReservationResult result;
  result.status = status;
  result.retry_after =
      retry_after_ == Duration::max() ? kDefaultRetryAfter : retry_after_;
  const DoneCallback done = std::move(done_);
  done(std::move(result));
}

void FleetReservationClient::Attempt::FinishWithReservation() {
  const Tokens total = request_.prompt_tokens + request_.output_tokens;
  ReservationResult result;
  result.status = ReservationStatus::kGranted;
  result.reservation = std::make_unique<GrantedReservation>(
      driver_->self_, request_.request_id, std::move(*prefill_),
      std::move(*decode_), PiecesFor(total), request_.prompt_tokens,
      driver_->loop_->Now());
  prefill_.reset();
  decode_.reset();
  const DoneCallback done = std::move(done_);
  done(std::move(result));
}

// ---------------------------------------------------------------------------

FleetReservationClient::FleetReservationClient(
    EventLoop* loop, PeerBus* bus, Fleet* fleet, CatalogueView* catalogue,
    HttpClient* client, RandomSource* random, const ReservationOptions& options)
    : loop_(loop),
      bus_(bus),
      fleet_(fleet),
      catalogue_(catalogue),
      random_(random),
      options_(options),
      ledger_server_(loop, bus, fleet, catalogue, client,
                     options.ledger_server),
      policy_(MakePlacementPolicy(options.placement)),
      prefixes_(kPrefixBlockBytes, kMaxPrefixBlocks),
      mean_prefill_per_token_(options.initial_prefill_per_token),
      mean_decode_time_(options.initial_decode_time),
      self_(std::make_shared<FleetReservationClient*>(this)) {
  fleet_->AddObserver([this] { RenewAtNewOwners(); });
  catalogue_->AddObserver([this] { ForgetRemovedEngines(); });
  renew_timer_ = loop_->After(options_.reservation_ttl / 4,
                              [this] { RenewDueReservations(); });
}

FleetReservationClient::~FleetReservationClient() = default;

std::unique_ptr<PendingReservation> FleetReservationClient::Reserve(
    const ReservationRequest& request, DoneCallback done) {
  auto attempt = std::make_unique<Attempt>(this, request, std::move(done));
  attempt->Start();
  return attempt;
}

void FleetReservationClient::ForgetRemovedEngines() {
  const auto snapshot = catalogue_->current();
  for (auto it = summaries_.begin(); it != summaries_.end();) {
    const bool known = snapshot->FindBackEnd(it->first) != nullptr;
    it = known ? std::next(it) : summaries_.erase(it);
  }
}

bool FleetReservationClient::IsOwnerSuspected(const BackEndId& engine) {
  if (suspected_owners_.empty()) return false;
  const std::optional<MemberId> owner = fleet_->LedgerOwner(engine);
  if (!owner) return false;
  const auto it = suspected_owners_.find(*owner);
  if (it == suspected_owners_.end()) return false;
  if (loop_->Now() < it->second) return true;
  suspected_owners_.erase(it);
  return false;
}

void FleetReservationClient::RecordSummary(const wire::EngineSummary& summary) {
  summaries_[BackEndId(summary.engine())] = {summary, loop_->Now()};
}

void FleetReservationClient::RecordReservation(
    const wire::ReserveRequest& request) {
  const BackEndId engine(request.engine());
  held_reservations_[{engine, RequestId(request.request())}] = {request,
                                                                loop_->Now()};
  const std::optional<MemberId> owner = fleet_->LedgerOwner(engine);
  if (owner) last_owners_.emplace(engine, *owner);
}

// All that is given back in one turn of the loop goes out together.
void FleetReservationClient::ReleaseReservation(const BackEndId& engine,
                                                const RequestId& request) {
  if (!policy_->reserves()) return;
  held_reservations_.erase({engine, request});
  if (pending_releases_.empty()) {
    loop_->Post([driver = std::weak_ptr<FleetReservationClient*>(self_)] {
      if (const auto alive = driver.lock()) (*alive)->SendReleases();
    });
  }
  pending_releases_[engine].push_back(request);
}

void FleetReservationClient::SendReleases() {
  const auto releases = std::move(pending_releases_);
  pending_releases_.clear();
  for (const auto& [engine, requests] : releases) {
    wire::ReleaseRequest release;
    release.set_member(fleet_->self().value());
    release.set_engine(engine.value());
    for (const RequestId& request : requests) {
      // Asked for again and granted meanwhile.
      if (held_reservations_.count({engine, request}) > 0) continue;
      release.add_requests(request.value());
    }
    if (release.requests().empty()) continue;
    SendRelease(release, kReleaseTries);
  }
}

// A release that never arrives costs the engine's room until the hold lapses.
void FleetReservationClient::SendRelease(const wire::ReleaseRequest& release,
                                         int tries_left) {
  const std::optional<MemberId> owner =
      fleet_->LedgerOwner(BackEndId(release.engine()));
  if (!owner || tries_left == 0) return;
  if (*owner == fleet_->self()) {
    ledger_server_.Release(release);
    return;
  }
  const FleetMember* member = fleet_->FindMember(*owner);
  if (member == nullptr) return;
  StartBackgroundCall(
      member->peer_address, kReleaseMethod, release,
      std::make_unique<wire::ReserveReply>(),
      [this, release, tries_left](PeerStatus status) {
        if (status == PeerStatus::kOk) return;
        const uint64_t id = next_background_call_++;
        auto retry = std::make_unique<BackgroundCall>();
        retry->retry_timer =
            loop_->After(kReleaseRetryDelay, [this, id, release, tries_left] {
              const auto keep = std::move(background_calls_.at(id));
              background_calls_.erase(id);
              SendRelease(release, tries_left - 1);
            });
        background_calls_[id] = std::move(retry);
      });
}

void FleetReservationClient::RenewDueReservations() {
  renew_timer_ = loop_->After(options_.reservation_ttl / 4,
                              [this] { RenewDueReservations(); });
  const MonoTime now = loop_->Now();
  std::map<BackEndId, std::vector<wire::ReserveRequest>> due;
  for (auto& [key, held] : held_reservations_) {
    if (now - held.renewed_at < options_.reservation_ttl / 2) continue;
    held.renewed_at = now;
    due[key.first].push_back(held.request);
  }
  for (const auto& [engine, requests] : due) SendRenewal(engine, requests);
}

void FleetReservationClient::RenewAtNewOwners() {
  std::map<BackEndId, std::vector<wire::ReserveRequest>> moved;
  std::map<BackEndId, MemberId> owners;
  for (const auto& [key, held] : held_reservations_) {
    const std::optional<MemberId> owner = fleet_->LedgerOwner(key.first);
    if (!owner) continue;
    owners[key.first] = *owner;
    const auto former = last_owners_.find(key.first);
    if (former != last_owners_.end() && former->second == *owner) continue;
    moved[key.first].push_back(held.request);
  }
  last_owners_ = std::move(owners);
  for (const auto& [engine, requests] : moved) SendRenewal(engine, requests);
  // An attempt may end, and its owner may destroy others, while it is told.
  const std::vector<Attempt*> attempts(attempts_.begin(), attempts_.end());
  for (Attempt* attempt : attempts) {
    if (attempts_.count(attempt) > 0) attempt->OnFleetChanged();
  }
}

void FleetReservationClient::SendRenewal(
    const BackEndId& engine, const std::vector<wire::ReserveRequest>& held) {
  const std::optional<MemberId> owner = fleet_->LedgerOwner(engine);
  if (!owner) return;
  wire::RenewRequest renewal;
  renewal.set_member(fleet_->self().value());
  renewal.set_engine(engine.value());
  for (const wire::ReserveRequest& request : held) {
    *renewal.add_held() = request;
  }
  if (*owner == fleet_->self()) {
    ledger_server_.Renew(renewal);
    return;
  }
  const FleetMember* member = fleet_->FindMember(*owner);
  if (member == nullptr) return;
  StartBackgroundCall(member->peer_address, kRenewMethod, renewal,
                      std::make_unique<wire::RenewReply>(), [](PeerStatus) {});
}

void FleetReservationClient::StartBackgroundCall(
    const Endpoint& to, const std::string& method,
    const google::protobuf::Message& params,
    std::unique_ptr<google::protobuf::Message> result,
    std::function<void(PeerStatus)> done) {
  const uint64_t id = next_background_call_++;
  auto errand = std::make_unique<BackgroundCall>();
  errand->result = std::move(result);
  errand->call =
      bus_->Call(to, method, params, errand->result.get(), kErrandTimeout,
                 [this, id, done = std::move(done)](PeerStatus status) {
                   // Kept until the end of this function, which its callback
                   // runs.
                   const std::unique_ptr<BackgroundCall> over =
                       std::move(background_calls_.at(id));
                   background_calls_.erase(id);
                   done(status);
                 });
  background_calls_[id] = std::move(errand);
}

void FleetReservationClient::UpdateMean(Duration seen, Duration* mean) {
  *mean = std::max(*mean + (seen - *mean) / kLearnSamples, kMinPrefillPerToken);
}

}  // namespace mimosa
