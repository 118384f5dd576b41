// Searches engines and makes, renews and releases reservations.
#include "router/fleet_reservation_client.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mimosa {
namespace {

constexpr Duration kReserveTimeout = std::chrono::seconds(1);
constexpr Duration kBackgroundCallTimeout = std::chrono::seconds(2);
// A request of class PROMPT may wait at least this long if its deadline allows,
// however long its prompt is.
constexpr Duration kMinPromptClassWait = std::chrono::milliseconds(500);
// Retries cover the moment in which daemons disagree about the owner of a
// ledger, while the fleet changes.
constexpr Duration kOwnerRetryDelay = std::chrono::milliseconds(100);
constexpr int kMaxOwnerRetries = 30;
// For this long after an owner failed to reply, its engines are used only if
// there are no others.
constexpr Duration kOwnerBackoff = std::chrono::seconds(1);
constexpr Duration kReleaseRetryDelay = std::chrono::milliseconds(500);
constexpr int kMaxReleaseAttempts = 5;
// The newest observation has a weight of 1 / kMeanWindow in a moving average.
constexpr int kMeanWindow = 16;
constexpr Duration kMinPrefillPerToken = std::chrono::microseconds(1);
constexpr size_t kPrefixBlockBytes = 1024;
constexpr size_t kMaxPrefixBlocks = 20000;
constexpr int64_t kBytesPerPromptToken = 4;
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

}  // namespace

struct FleetReservationClient::BackgroundCall {
  std::unique_ptr<google::protobuf::Message> result;
  std::unique_ptr<PeerCall> call;
  TimerHandle retry_timer;  // set instead of `call` while waiting for a retry
};

// ---------------------------------------------------------------------------
// A granted reservation.

class FleetReservationClient::GrantedReservation : public EngineReservation {
 public:
  struct Engine {
    BackEndId id;
    Endpoint address;
  };

  GrantedReservation(std::weak_ptr<FleetReservationClient*> client,
                     RequestId request, Engine prefill, Engine decode,
                     Pieces pieces, Tokens prompt_tokens, MonoTime granted)
      : client_(std::move(client)),
        request_(std::move(request)),
        prefill_(std::move(prefill)),
        decode_(std::move(decode)),
        pieces_(pieces),
        prompt_tokens_(prompt_tokens),
        granted_at_(granted) {}

  ~GrantedReservation() override {
    const auto client = client_.lock();
    if (client == nullptr) return;
    if (prefill_released_at_ != MonoTime{}) {
      UpdateMean((*client)->loop_->Now() - prefill_released_at_,
                 &(*client)->mean_decode_time_);
    } else {
      (*client)->ReleaseReservation(prefill_.id, request_);
    }
    (*client)->ReleaseReservation(decode_.id, request_);
  }

  const BackEndId& prefill_engine() const override { return prefill_.id; }
  const Endpoint& prefill_address() const override { return prefill_.address; }
  const BackEndId& decode_engine() const override { return decode_.id; }
  const Endpoint& decode_address() const override { return decode_.address; }
  Pieces pieces() const override { return pieces_; }

  void ReleasePrefillEngine() override {
    const auto client = client_.lock();
    if (client == nullptr || prefill_released_at_ != MonoTime{}) return;
    prefill_released_at_ = (*client)->loop_->Now();
    UpdateMean((prefill_released_at_ - granted_at_) /
                   std::max<int64_t>(prompt_tokens_.count(), 1),
               &(*client)->mean_prefill_per_token_);
    (*client)->ReleaseReservation(prefill_.id, request_);
  }

 private:
  const std::weak_ptr<FleetReservationClient*> client_;
  const RequestId request_;
  const Engine prefill_;
  const Engine decode_;
  const Pieces pieces_;
  const Tokens prompt_tokens_;
  const MonoTime granted_at_;
  // Zero while the turn at the prefill engine is held.
  MonoTime prefill_released_at_{};
};

// ---------------------------------------------------------------------------
// One attempt at making a reservation.

// Runs through two stages: first a prefill engine, then a decode engine is
// reserved. In each stage an EngineSearch chooses the engine to reserve next.
// At most one request to a ledger owner is open at a time.
class FleetReservationClient::Attempt : public PendingReservation {
 public:
  Attempt(FleetReservationClient* client, const ReservationRequest& request,
          DoneCallback done);
  ~Attempt() override;

  void Start();
  // Repeats the open request at the new owner, if the engine's ledger has
  // another owner now.
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
    return client_->mean_prefill_per_token_ * request_.prompt_tokens.count();
  }
  // Latest start of the stage with which the first token meets its deadline.
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
  void DropOpenRequest(bool release);
  void FinishWithFailure(ReservationStatus status);
  void FinishWithReservation();
  Duration TimeUntil(MonoTime until) const {
    return until - client_->loop_->Now();
  }

  FleetReservationClient* const client_;
  ReservationRequest request_;  // without the prompt
  const MonoTime started_at_;
  const std::vector<uint64_t> prompt_blocks_;
  DoneCallback done_;
  std::shared_ptr<const CatalogueSnapshot> snapshot_;
  Stage stage_ = Stage::kPrefill;
  std::set<BackEndId> excluded_engines_;
  // The engines of the current stage and the search among them.
  std::vector<const wire::BackEnd*> engines_;
  std::optional<EngineSearch> search_;
  int owner_retries_ = 0;
  // Index in `engines_` of the engine of the open request, if there is one.
  std::optional<size_t> requested_engine_;
  bool request_may_wait_ = false;
  Duration max_wait_ = Duration::max();
  MemberId requested_owner_;
  wire::ReserveReply peer_reply_;
  std::unique_ptr<PeerCall> peer_call_;
  // Distinguishes a local reply to the open request from one to an older
  // request.
  uint64_t request_serial_ = 0;
  // The engines that were granted.
  std::optional<GrantedReservation::Engine> decode_;
  std::optional<GrantedReservation::Engine> prefill_;
  // The shortest delay received with a refusal.
  Duration retry_after_ = Duration::max();
  TimerHandle timer_;
  // Expires with this object. Callbacks of local replies check it.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

FleetReservationClient::Attempt::Attempt(FleetReservationClient* client,
                                         const ReservationRequest& request,
                                         DoneCallback done)
    : client_(client),
      request_(request),
      started_at_(client->loop_->Now()),
      prompt_blocks_(client->prefixes_.BlockHashes(request.prompt)),
      done_(std::move(done)),
      snapshot_(client->catalogue_->current()),
      excluded_engines_(request.excluded_engines.begin(),
                        request.excluded_engines.end()) {
  request_.prompt = {};
  client_->attempts_.insert(this);
}

FleetReservationClient::Attempt::~Attempt() {
  client_->attempts_.erase(this);
  DropOpenRequest(/*release=*/true);
  if (decode_) client_->ReleaseReservation(decode_->id, request_.request_id);
  if (prefill_) client_->ReleaseReservation(prefill_->id, request_.request_id);
}

void FleetReservationClient::Attempt::Start() {
  timer_ = client_->loop_->After(Duration(0),
                                 [this] { EnterStage(Stage::kPrefill); });
}

void FleetReservationClient::Attempt::OnFleetChanged() {
  if (!requested_engine_) return;
  const BackEndId engine(engines_[*requested_engine_]->id());
  if (client_->fleet_->LedgerOwner(engine) == requested_owner_) return;
  const size_t index = *requested_engine_;
  const bool may_wait = request_may_wait_;
  // No release is needed, because the former owner has dropped its ledger or
  // has ended.
  DropOpenRequest(/*release=*/false);
  RequestReservation(index, may_wait);
}

PlacementCandidate FleetReservationClient::Attempt::DescribeEngine(
    const wire::BackEnd& engine) const {
  PlacementCandidate candidate;
  const bool decode = engine.role() == wire::DECODE_ENGINE;
  candidate.capacity = Units(
      decode ? engine.kv_pieces() : std::max<int64_t>(engine.max_running(), 1));
  candidate.free = candidate.capacity;
  const auto it = client_->summaries_.find(BackEndId(engine.id()));
  if (it != client_->summaries_.end()) {
    const wire::EngineSummary& summary = it->second.summary;
    candidate.has_summary = true;
    candidate.free = Units(summary.free_pieces());
    candidate.waiting = summary.waiting();
    candidate.running = summary.running();
    candidate.queue_wait = FromMillis(summary.queue_ms());
    candidate.summary_age = client_->loop_->Now() - it->second.received_at;
  }
  if (decode) return candidate;
  const PrefixIndex::Match match =
      client_->prefixes_.FindLongestPrefix(prompt_blocks_);
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
  search_.emplace(stage, client_->policy_.get());
  ExecuteStep(search_->Start(MakeQuery(), Candidates(this), client_->random_));
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

// Engines whose ledger owner failed to reply recently are collected only if
// there are no others.
void FleetReservationClient::Attempt::CollectEngines() {
  const bool decode = stage_ == Stage::kDecode;
  std::vector<const wire::BackEnd*> suspected;
  engines_.clear();
  for (const wire::BackEnd* engine : snapshot_->Engines(
           request_.model.value(),
           decode ? wire::DECODE_ENGINE : wire::PREFILL_ENGINE)) {
    if (client_->options_.ledger_server.is_draining(*engine) ||
        excluded_engines_.count(BackEndId(engine->id())) > 0) {
      continue;
    }
    const bool is_suspected =
        client_->IsOwnerSuspected(BackEndId(engine->id()));
    (is_suspected ? suspected : engines_).push_back(engine);
  }
  if (engines_.empty()) engines_ = std::move(suspected);
}

PlacementQuery FleetReservationClient::Attempt::MakeQuery() {
  PlacementQuery query;
  query.prompt_tokens = request_.prompt_tokens;
  if (stage_ == Stage::kDecode) return query;
  query.prefill_per_token = client_->mean_prefill_per_token_;
  if (prompt_blocks_.empty()) return query;
  std::vector<BackEndId> ids;
  ids.reserve(engines_.size());
  for (const wire::BackEnd* engine : engines_) ids.emplace_back(engine->id());
  query.preferred.push_back(RendezvousChoice(prompt_blocks_.front(), ids));
  const BackEndId known_engine =
      client_->prefixes_.FindLongestPrefix(prompt_blocks_).engine;
  const auto it = std::find(ids.begin(), ids.end(), known_engine);
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
      client_->fleet_->LedgerOwner(BackEndId(engine.id()));
  const FleetMember* member =
      owner ? client_->fleet_->FindMember(*owner) : nullptr;
  if (member == nullptr) {
    OnOwnerUnavailable();
    return;
  }
  requested_owner_ = *owner;
  if (*owner != client_->fleet_->self()) {
    RequestFromPeer(*member);
    return;
  }
  client_->ledger_server_.Reserve(
      MakeReserveRequest(engine, may_wait),
      [this, alive = std::weak_ptr<int>(alive_),
       request_serial = request_serial_](const wire::ReserveReply& reply) {
        if (alive.expired() || request_serial != request_serial_) return;
        OnReserveReply(reply);
      });
}

void FleetReservationClient::Attempt::RequestFromPeer(
    const FleetMember& owner) {
  const wire::ReserveRequest request =
      MakeReserveRequest(*engines_[*requested_engine_], request_may_wait_);
  Duration timeout = kReserveTimeout;
  if (request_may_wait_)
    timeout += std::max(TimeUntil(StageStartDeadline()), Duration(0));
  peer_reply_.Clear();
  peer_call_ =
      client_->bus_->Call(owner.peer_address, kReserveMethod, request,
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
  out.set_member(client_->fleet_->self().value());
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
  const Duration max_wait =
      std::min(TimeUntil(StageStartDeadline()), max_wait_);
  out.set_deadline_ms(std::max<int64_t>(ToMillis(max_wait), 1));
  if (request_.first_token_deadline != kNever) {
    out.set_target_ms(
        std::max<int64_t>(ToMillis(TimeUntil(FirstTokenStartDeadline())), 1));
  }
  out.set_hold_ms(ToMillis(client_->options_.reservation_ttl));
  out.set_may_wait(may_wait);
  return out;
}

// Returns the latest useful start of the stage. A request of class PROMPT
// should meet the deadline of its first token. If its prompt is too long for
// that even at an idle engine, the request is not refused for it, but may only
// wait for kMinPromptClassWait. A request of class PATIENT is useful until its
// deadline.
MonoTime FleetReservationClient::Attempt::StageStartDeadline() const {
  MonoTime start_deadline =
      request_.deadline - client_->mean_decode_time_ - ExpectedPrefillTime();
  if (request_.request_class != wire::PATIENT &&
      request_.first_token_deadline != kNever) {
    start_deadline = std::min(
        start_deadline,
        std::max(FirstTokenStartDeadline(), started_at_ + kMinPromptClassWait));
  }
  return start_deadline;
}

void FleetReservationClient::Attempt::OnReserveReply(
    const wire::ReserveReply& reply) {
  const wire::BackEnd& engine = *engines_[*requested_engine_];
  if (reply.has_summary()) client_->RecordSummary(reply.summary());
  if (reply.granted()) {
    client_->RecordReservation(MakeReserveRequest(engine, request_may_wait_));
    DropOpenRequest(/*release=*/false);
    SelectEngine(engine);
    return;
  }
  if (reply.not_owner()) {
    OnOwnerUnavailable();
    return;
  }
  DropOpenRequest(/*release=*/false);
  OnReservationRefused(reply);
}

// If there was no reply, the owner may have granted the request. It is
// therefore released at the current owner of the ledger.
void FleetReservationClient::Attempt::OnPeerFailure(PeerStatus status) {
  if (status == PeerStatus::kNoReply) {
    client_->ReleaseReservation(BackEndId(engines_[*requested_engine_]->id()),
                                request_.request_id);
  }
  client_->suspected_owners_[requested_owner_] =
      client_->loop_->Now() + kOwnerBackoff;
  OnOwnerUnavailable();
}

// The fleet is changing, or the owner is down and not yet evicted. Retries are
// cheap, and each retry searches all engines of the stage again.
void FleetReservationClient::Attempt::OnOwnerUnavailable() {
  DropOpenRequest(/*release=*/false);
  if (++owner_retries_ > kMaxOwnerRetries ||
      TimeUntil(request_.deadline) <= Duration(0)) {
    FinishWithFailure(ReservationStatus::kOwnerUnreachable);
    return;
  }
  timer_ =
      client_->loop_->After(kOwnerRetryDelay, [this] { EnterStage(stage_); });
}

void FleetReservationClient::Attempt::OnReservationRefused(
    const wire::ReserveReply& reply) {
  if (reply.refusal() != wire::CLOSED && reply.refusal() != wire::TOO_LARGE) {
    retry_after_ =
        std::min<Duration>(retry_after_, FromMillis(reply.retry_after_ms()));
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

// Uses `engine` for this stage, then continues with the next stage or finishes.
void FleetReservationClient::Attempt::SelectEngine(
    const wire::BackEnd& engine) {
  GrantedReservation::Engine selected;
  selected.id = BackEndId(engine.id());
  Endpoint::Parse(engine.address(), &selected.address);
  if (stage_ == Stage::kPrefill) {
    prefill_ = std::move(selected);
    owner_retries_ = 0;
    EnterStage(Stage::kDecode);
    return;
  }
  decode_ = std::move(selected);
  client_->prefixes_.AddBlocks(prompt_blocks_, prefill_->id);
  FinishWithReservation();
}

void FleetReservationClient::Attempt::DropOpenRequest(bool release) {
  if (!requested_engine_) return;
  const BackEndId engine(engines_[*requested_engine_]->id());
  requested_engine_.reset();
  ++request_serial_;
  peer_call_.reset();
  if (release) client_->ReleaseReservation(engine, request_.request_id);
}

// `done_` may destroy this object, so no member is accessed after it has run.
void FleetReservationClient::Attempt::FinishWithFailure(
    ReservationStatus status) {
  DropOpenRequest(/*release=*/true);
  if (prefill_) client_->ReleaseReservation(prefill_->id, request_.request_id);
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
      client_->self_, request_.request_id, std::move(*prefill_),
      std::move(*decode_), PiecesFor(total), request_.prompt_tokens,
      client_->loop_->Now());
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
    const bool is_known = snapshot->FindBackEnd(it->first) != nullptr;
    it = is_known ? std::next(it) : summaries_.erase(it);
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

// All releases within one turn of the event loop are sent together.
void FleetReservationClient::ReleaseReservation(const BackEndId& engine,
                                                const RequestId& request) {
  if (!policy_->reserves()) return;
  held_reservations_.erase({engine, request});
  if (pending_releases_.empty()) {
    loop_->Post([client = std::weak_ptr<FleetReservationClient*>(self_)] {
      if (const auto alive = client.lock()) (*alive)->SendReleases();
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
      // The same reservation was requested again and granted meanwhile.
      if (held_reservations_.count({engine, request}) > 0) continue;
      release.add_requests(request.value());
    }
    if (release.requests().empty()) continue;
    SendRelease(release, kMaxReleaseAttempts);
  }
}

// A release that never arrives leaves the engine's capacity reserved until the
// reservation expires.
void FleetReservationClient::SendRelease(const wire::ReleaseRequest& release,
                                         int attempts_left) {
  const std::optional<MemberId> owner =
      fleet_->LedgerOwner(BackEndId(release.engine()));
  if (!owner || attempts_left == 0) return;
  if (*owner == fleet_->self()) {
    ledger_server_.Release(release);
    return;
  }
  const FleetMember* member = fleet_->FindMember(*owner);
  if (member == nullptr) return;
  StartBackgroundCall(
      member->peer_address, kReleaseMethod, release,
      std::make_unique<wire::ReserveReply>(),
      [this, release, attempts_left](PeerStatus status) {
        if (status == PeerStatus::kOk) return;
        const uint64_t id = next_background_call_++;
        auto retry = std::make_unique<BackgroundCall>();
        retry->retry_timer = loop_->After(
            kReleaseRetryDelay, [this, id, release, attempts_left] {
              const auto fired_retry = std::move(background_calls_.at(id));
              background_calls_.erase(id);
              SendRelease(release, attempts_left - 1);
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
  // A notified attempt may end, and its owner may then destroy other attempts.
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
  auto background_call = std::make_unique<BackgroundCall>();
  background_call->result = std::move(result);
  background_call->call = bus_->Call(
      to, method, params, background_call->result.get(), kBackgroundCallTimeout,
      [this, id, done = std::move(done)](PeerStatus status) {
        // This lambda belongs to the finished call, so the call must
        // outlive it.
        const std::unique_ptr<BackgroundCall> finished_call =
            std::move(background_calls_.at(id));
        background_calls_.erase(id);
        done(status);
      });
  background_calls_[id] = std::move(background_call);
}

void FleetReservationClient::UpdateMean(Duration observed, Duration* mean) {
  *mean =
      std::max(*mean + (observed - *mean) / kMeanWindow, kMinPrefillPerToken);
}

}  // namespace mimosa
