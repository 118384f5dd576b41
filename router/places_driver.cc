// The holder's side: searching, holding, renewing and releasing places.
#include "router/places_driver.h"

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
constexpr int64_t kBytesPerToken = 4;
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

}  // namespace

struct PlacesDriver::Errand {
  std::unique_ptr<google::protobuf::Message> result;
  std::unique_ptr<PeerCall> call;
  TimerHandle timer;  // instead of a call: until the next try
};

// ---------------------------------------------------------------------------
// A place that was granted.

class PlacesDriver::GrantedPlace : public Place {
 public:
  struct Engine {
    BackEndId id;
    Endpoint address;
  };

  GrantedPlace(std::weak_ptr<PlacesDriver*> driver, RequestId request,
               Engine prefill, Engine decode, Pieces pieces,
               Tokens prompt_tokens, MonoTime granted)
      : driver_(std::move(driver)),
        request_(std::move(request)),
        prefill_(std::move(prefill)),
        decode_(std::move(decode)),
        pieces_(pieces),
        prompt_tokens_(prompt_tokens),
        granted_(granted) {}

  ~GrantedPlace() override {
    const auto driver = driver_.lock();
    if (driver == nullptr) return;
    if (prefilled_ != MonoTime{}) {
      Learn((*driver)->loop_->Now() - prefilled_, &(*driver)->decode_time_);
    } else {
      (*driver)->GiveBack(prefill_.id, request_);
    }
    (*driver)->GiveBack(decode_.id, request_);
  }

  const BackEndId& prefill_engine() const override { return prefill_.id; }
  const Endpoint& prefill_address() const override { return prefill_.address; }
  const BackEndId& decode_engine() const override { return decode_.id; }
  const Endpoint& decode_address() const override { return decode_.address; }
  Pieces pieces() const override { return pieces_; }

  void PrefillDone() override {
    const auto driver = driver_.lock();
    if (driver == nullptr || prefilled_ != MonoTime{}) return;
    prefilled_ = (*driver)->loop_->Now();
    Learn(
        (prefilled_ - granted_) / std::max<int64_t>(prompt_tokens_.count(), 1),
        &(*driver)->prefill_per_token_);
    (*driver)->GiveBack(prefill_.id, request_);
  }

 private:
  const std::weak_ptr<PlacesDriver*> driver_;
  const RequestId request_;
  const Engine prefill_;
  const Engine decode_;
  const Pieces pieces_;
  const Tokens prompt_tokens_;
  const MonoTime granted_;
  MonoTime prefilled_{};  // zero: the prefill turn is still held
};

// ---------------------------------------------------------------------------
// One request on its way to a place.

// States: prefill engine, then decode engine; within each, a PlaceSearch says
// whom to ask. At most one question to an owner is open at a time.
class PlacesDriver::Attempt : public PendingPlace {
 public:
  Attempt(PlacesDriver* driver, const PlaceRequest& request, Done done);
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
      return attempt_->Describe(*attempt_->engines_[index]);
    }

   private:
    const Attempt* attempt_;
  };

  PlacementCandidate Describe(const wire::BackEnd& engine) const;
  void EnterStage(Stage stage);
  void CollectEngines();
  PlacementQuery MakeQuery();
  void Follow(const SearchStep& step);
  void Ask(size_t index, bool may_wait);
  void AskPeer(const FleetMember& owner);
  wire::ReserveRequest MakeRequest(const wire::BackEnd& engine,
                                   bool may_wait) const;
  Duration PrefillTime() const {
    return driver_->prefill_per_token_ * request_.prompt_tokens.count();
  }
  // The latest start of the stage that meets the first token's target.
  MonoTime Target() const {
    return request_.first_token_deadline - PrefillTime();
  }
  MonoTime StartBy() const;
  void OnReply(const wire::ReserveReply& reply);
  void OnPeerFailure(PeerStatus status);
  void OnNoOwner();
  void OnRefused(const wire::ReserveReply& reply);
  void Advance();
  void Choose(const wire::BackEnd& engine);
  void ForgetQuestion(bool give_back);
  void Finish(PlaceStatus status);
  void GrantPlace();
  Duration Left(MonoTime until) const { return until - driver_->loop_->Now(); }

  PlacesDriver* const driver_;
  PlaceRequest request_;  // its prompt is not kept
  const MonoTime began_;
  const std::vector<uint64_t> prompt_blocks_;
  Done done_;
  std::shared_ptr<const CatalogueSnapshot> snapshot_;
  Stage stage_ = Stage::kPrefill;
  std::set<BackEndId> avoid_;
  // Of the stage: its engines and the search among them.
  std::vector<const wire::BackEnd*> engines_;
  std::optional<PlaceSearch> search_;
  int owner_retries_ = 0;
  // The open question.
  std::optional<size_t> asked_;
  bool asked_may_wait_ = false;
  Duration max_wait_ = Duration::max();
  MemberId asked_owner_;
  wire::ReserveReply peer_reply_;
  std::unique_ptr<PeerCall> call_;
  uint64_t question_ = 0;  // tells a local answer to an older question
  // What was granted.
  std::optional<GrantedPlace::Engine> decode_;
  std::optional<GrantedPlace::Engine> prefill_;
  Duration retry_after_ = Duration::max();  // shortest one heard
  TimerHandle timer_;
  // Expires with this object: local answers and posts check it.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

PlacesDriver::Attempt::Attempt(PlacesDriver* driver,
                               const PlaceRequest& request, Done done)
    : driver_(driver),
      request_(request),
      began_(driver->loop_->Now()),
      prompt_blocks_(driver->prefixes_.BlocksOf(request.prompt)),
      done_(std::move(done)),
      snapshot_(driver->catalogue_->current()),
      avoid_(request.avoid.begin(), request.avoid.end()) {
  request_.prompt = {};
  driver_->attempts_.insert(this);
}

PlacesDriver::Attempt::~Attempt() {
  driver_->attempts_.erase(this);
  ForgetQuestion(/*give_back=*/true);
  if (decode_) driver_->GiveBack(decode_->id, request_.request);
  if (prefill_) driver_->GiveBack(prefill_->id, request_.request);
}

void PlacesDriver::Attempt::Start() {
  timer_ = driver_->loop_->After(Duration(0),
                                 [this] { EnterStage(Stage::kPrefill); });
}

void PlacesDriver::Attempt::OnFleetChanged() {
  if (!asked_) return;
  const BackEndId engine(engines_[*asked_]->id());
  if (driver_->fleet_->BookOwner(engine) == asked_owner_) return;
  const size_t index = *asked_;
  const bool may_wait = asked_may_wait_;
  // The former owner has dropped its book or has ended.
  ForgetQuestion(/*give_back=*/false);
  Ask(index, may_wait);
}

PlacementCandidate PlacesDriver::Attempt::Describe(
    const wire::BackEnd& engine) const {
  PlacementCandidate candidate;
  const bool decode = engine.role() == wire::DECODE_ENGINE;
  candidate.capacity = Units(
      decode ? engine.kv_pieces() : std::max<int64_t>(engine.max_running(), 1));
  candidate.free = candidate.capacity;
  const auto it = driver_->summaries_.find(BackEndId(engine.id()));
  if (it != driver_->summaries_.end()) {
    const wire::EngineSummary& heard = it->second.summary;
    candidate.known = true;
    candidate.free = Units(heard.free_pieces());
    candidate.waiting = heard.waiting();
    candidate.running = heard.running();
    candidate.queue_wait = std::chrono::milliseconds(heard.queue_ms());
    candidate.age = driver_->loop_->Now() - it->second.heard;
  }
  if (decode) return candidate;
  const PrefixIndex::Match match = driver_->prefixes_.Find(prompt_blocks_);
  if (match.engine == BackEndId(engine.id())) {
    candidate.cached_prefix =
        Tokens(static_cast<int64_t>(match.bytes) / kBytesPerToken);
  }
  return candidate;
}

void PlacesDriver::Attempt::EnterStage(Stage stage) {
  stage_ = stage;
  CollectEngines();
  if (engines_.empty()) {
    Finish(PlaceStatus::kNoEngine);
    return;
  }
  search_.emplace(stage, driver_->policy_.get());
  Follow(search_->Start(MakeQuery(), Candidates(this), driver_->random_));
}

void PlacesDriver::Attempt::Follow(const SearchStep& step) {
  switch (step.kind) {
    case SearchStep::Kind::kAsk:
      max_wait_ = step.max_wait;
      Ask(step.engine, step.may_wait);
      return;
    case SearchStep::Kind::kUse:
      Choose(*engines_[step.engine]);
      return;
    case SearchStep::Kind::kGiveUp:
      Finish(PlaceStatus::kOverload);
      return;
  }
}

// Engines whose owner did not answer lately are used only if there is no other.
void PlacesDriver::Attempt::CollectEngines() {
  const bool decode = stage_ == Stage::kDecode;
  std::vector<const wire::BackEnd*> suspected;
  engines_.clear();
  for (const wire::BackEnd* engine : snapshot_->Engines(
           request_.model.value(),
           decode ? wire::DECODE_ENGINE : wire::PREFILL_ENGINE)) {
    if (driver_->options_.books.draining(*engine) ||
        avoid_.count(BackEndId(engine->id())) > 0) {
      continue;
    }
    const bool suspect = driver_->IsSuspect(BackEndId(engine->id()));
    (suspect ? suspected : engines_).push_back(engine);
  }
  if (engines_.empty()) engines_ = std::move(suspected);
}

PlacementQuery PlacesDriver::Attempt::MakeQuery() {
  PlacementQuery query;
  query.prompt_tokens = request_.prompt_tokens;
  if (stage_ == Stage::kDecode) return query;
  query.prefill_per_token = driver_->prefill_per_token_;
  if (prompt_blocks_.empty()) return query;
  std::vector<BackEndId> ids;
  ids.reserve(engines_.size());
  for (const wire::BackEnd* engine : engines_) ids.emplace_back(engine->id());
  query.preferred.push_back(RendezvousChoice(prompt_blocks_.front(), ids));
  const BackEndId known = driver_->prefixes_.Find(prompt_blocks_).engine;
  const auto it = std::find(ids.begin(), ids.end(), known);
  const size_t index = static_cast<size_t>(it - ids.begin());
  if (it != ids.end() && index != query.preferred.front()) {
    query.preferred.push_back(index);
  }
  return query;
}

void PlacesDriver::Attempt::Ask(size_t index, bool may_wait) {
  const wire::BackEnd& engine = *engines_[index];
  asked_ = index;
  asked_may_wait_ = may_wait;
  ++question_;
  const std::optional<MemberId> owner =
      driver_->fleet_->BookOwner(BackEndId(engine.id()));
  const FleetMember* member = owner ? driver_->fleet_->Find(*owner) : nullptr;
  if (member == nullptr) {
    OnNoOwner();
    return;
  }
  asked_owner_ = *owner;
  if (*owner != driver_->fleet_->self()) {
    AskPeer(*member);
    return;
  }
  driver_->books_.Reserve(
      MakeRequest(engine, may_wait),
      [this, alive = std::weak_ptr<int>(alive_),
       question = question_](const wire::ReserveReply& reply) {
        if (alive.expired() || question != question_) return;
        OnReply(reply);
      });
}

void PlacesDriver::Attempt::AskPeer(const FleetMember& owner) {
  const wire::ReserveRequest request =
      MakeRequest(*engines_[*asked_], asked_may_wait_);
  Duration timeout = kProbeTimeout;
  if (asked_may_wait_) timeout += std::max(Left(StartBy()), Duration(0));
  peer_reply_.Clear();
  call_ = driver_->bus_->Call(owner.peer_address, kReserveMethod, request,
                              &peer_reply_, timeout, [this](PeerStatus status) {
                                if (status != PeerStatus::kOk) {
                                  OnPeerFailure(status);
                                  return;
                                }
                                const wire::ReserveReply reply = peer_reply_;
                                OnReply(reply);
                              });
}

wire::ReserveRequest PlacesDriver::Attempt::MakeRequest(
    const wire::BackEnd& engine, bool may_wait) const {
  wire::ReserveRequest out;
  out.set_member(driver_->fleet_->self().value());
  out.set_request(request_.request.value());
  out.set_engine(engine.id());
  out.set_customer(request_.customer.value());
  const Tokens total = request_.prompt_tokens + request_.output_tokens;
  if (engine.role() == wire::DECODE_ENGINE) {
    out.set_pieces(std::max<int64_t>(PiecesFor(total).count(), 1));
  }
  out.set_prompt_tokens(request_.prompt_tokens.count());
  out.set_output_tokens(request_.output_tokens.count());
  out.set_request_class(request_.request_class);
  const Duration longest = std::min(Left(StartBy()), max_wait_);
  out.set_deadline_ms(std::max<int64_t>(ToMillis(longest), 1));
  if (request_.first_token_deadline != kNever) {
    out.set_target_ms(std::max<int64_t>(ToMillis(Left(Target())), 1));
  }
  out.set_hold_ms(ToMillis(driver_->options_.hold));
  out.set_may_wait(may_wait);
  return out;
}

// The latest useful start of the stage. A prompt request is to meet its first
// token's target; one whose prompt is too long for that even at an idle engine
// is not refused for it, but does not wait long either. A patient one is of use
// until its deadline.
MonoTime PlacesDriver::Attempt::StartBy() const {
  MonoTime start_by = request_.deadline - driver_->decode_time_ - PrefillTime();
  if (request_.request_class != wire::PATIENT &&
      request_.first_token_deadline != kNever) {
    start_by = std::min(start_by, std::max(Target(), began_ + kPromptWait));
  }
  return start_by;
}

void PlacesDriver::Attempt::OnReply(const wire::ReserveReply& reply) {
  const wire::BackEnd& engine = *engines_[*asked_];
  if (reply.has_summary()) driver_->Hear(reply.summary());
  if (reply.granted()) {
    driver_->Hold(MakeRequest(engine, asked_may_wait_));
    ForgetQuestion(/*give_back=*/false);
    Choose(engine);
    return;
  }
  if (reply.not_owner()) {
    OnNoOwner();
    return;
  }
  ForgetQuestion(/*give_back=*/false);
  OnRefused(reply);
}

// The owner may have granted it: it is given back at whoever owns the book now.
void PlacesDriver::Attempt::OnPeerFailure(PeerStatus status) {
  if (status == PeerStatus::kNoReply) {
    driver_->GiveBack(BackEndId(engines_[*asked_]->id()), request_.request);
  }
  driver_->suspects_[asked_owner_] = driver_->loop_->Now() + kSuspicion;
  OnNoOwner();
}

// The fleet is changing, or the owner is down and not yet ended. Asking on is
// cheap; other engines are tried in between.
void PlacesDriver::Attempt::OnNoOwner() {
  ForgetQuestion(/*give_back=*/false);
  if (++owner_retries_ > kOwnerRetries ||
      Left(request_.deadline) <= Duration(0)) {
    Finish(PlaceStatus::kNotReached);
    return;
  }
  timer_ =
      driver_->loop_->After(kOwnerRetryDelay, [this] { EnterStage(stage_); });
}

void PlacesDriver::Attempt::OnRefused(const wire::ReserveReply& reply) {
  if (reply.refusal() != wire::CLOSED && reply.refusal() != wire::TOO_LARGE) {
    retry_after_ = std::min<Duration>(
        retry_after_, std::chrono::milliseconds(reply.retry_after_ms()));
  }
  Advance();
}

void PlacesDriver::Attempt::Advance() {
  if (Left(StartBy()) < Duration(0)) {
    Finish(PlaceStatus::kOverload);
    return;
  }
  Follow(search_->OnRefused(Candidates(this)));
}

// Goes on with `engine` for this stage.
void PlacesDriver::Attempt::Choose(const wire::BackEnd& engine) {
  GrantedPlace::Engine chosen;
  chosen.id = BackEndId(engine.id());
  Endpoint::Parse(engine.address(), &chosen.address);
  if (stage_ == Stage::kPrefill) {
    prefill_ = std::move(chosen);
    owner_retries_ = 0;
    EnterStage(Stage::kDecode);
    return;
  }
  decode_ = std::move(chosen);
  driver_->prefixes_.Add(prompt_blocks_, prefill_->id);
  GrantPlace();
}

void PlacesDriver::Attempt::ForgetQuestion(bool give_back) {
  if (!asked_) return;
  const BackEndId engine(engines_[*asked_]->id());
  asked_.reset();
  ++question_;
  call_.reset();
  if (give_back) driver_->GiveBack(engine, request_.request);
}

// `done_` may destroy this object: nothing is touched after it.
void PlacesDriver::Attempt::Finish(PlaceStatus status) {
  ForgetQuestion(/*give_back=*/true);
  if (prefill_) driver_->GiveBack(prefill_->id, request_.request);
  prefill_.reset();
  PlaceResult result;
  result.status = status;
  result.retry_after =
      retry_after_ == Duration::max() ? kDefaultRetryAfter : retry_after_;
  const Done done = std::move(done_);
  done(std::move(result));
}

void PlacesDriver::Attempt::GrantPlace() {
  const Tokens total = request_.prompt_tokens + request_.output_tokens;
  PlaceResult result;
  result.status = PlaceStatus::kGranted;
  result.place = std::make_unique<GrantedPlace>(
      driver_->self_, request_.request, std::move(*prefill_),
      std::move(*decode_), PiecesFor(total), request_.prompt_tokens,
      driver_->loop_->Now());
  prefill_.reset();
  decode_.reset();
  const Done done = std::move(done_);
  done(std::move(result));
}

// ---------------------------------------------------------------------------

PlacesDriver::PlacesDriver(EventLoop* loop, PeerBus* bus, Fleet* fleet,
                           CatalogueView* catalogue, HttpClient* client,
                           RandomSource* random, const PlacesOptions& options)
    : loop_(loop),
      bus_(bus),
      fleet_(fleet),
      catalogue_(catalogue),
      random_(random),
      options_(options),
      books_(loop, bus, fleet, catalogue, client, options.books),
      policy_(MakePlacementPolicy(options.placement)),
      prefixes_(kPrefixBlockBytes, kMaxPrefixBlocks),
      prefill_per_token_(options.prefill_per_token),
      decode_time_(options.decode_time),
      self_(std::make_shared<PlacesDriver*>(this)) {
  fleet_->Observe([this] { RenewAtNewOwners(); });
  catalogue_->Observe([this] { ForgetRemovedEngines(); });
  renew_timer_ = loop_->After(options_.hold / 4, [this] { RenewOld(); });
}

PlacesDriver::~PlacesDriver() = default;

std::unique_ptr<PendingPlace> PlacesDriver::Reserve(const PlaceRequest& request,
                                                    Done done) {
  auto attempt = std::make_unique<Attempt>(this, request, std::move(done));
  attempt->Start();
  return attempt;
}

void PlacesDriver::ForgetRemovedEngines() {
  const auto snapshot = catalogue_->current();
  for (auto it = summaries_.begin(); it != summaries_.end();) {
    const bool known = snapshot->FindBackEnd(it->first) != nullptr;
    it = known ? std::next(it) : summaries_.erase(it);
  }
}

bool PlacesDriver::IsSuspect(const BackEndId& engine) {
  if (suspects_.empty()) return false;
  const std::optional<MemberId> owner = fleet_->BookOwner(engine);
  if (!owner) return false;
  const auto it = suspects_.find(*owner);
  if (it == suspects_.end()) return false;
  if (loop_->Now() < it->second) return true;
  suspects_.erase(it);
  return false;
}

void PlacesDriver::Hear(const wire::EngineSummary& summary) {
  summaries_[BackEndId(summary.engine())] = {summary, loop_->Now()};
}

void PlacesDriver::Hold(const wire::ReserveRequest& request) {
  const BackEndId engine(request.engine());
  held_[{engine, RequestId(request.request())}] = {request, loop_->Now()};
  const std::optional<MemberId> owner = fleet_->BookOwner(engine);
  if (owner) owners_.emplace(engine, *owner);
}

// All that is given back in one turn of the loop goes out together.
void PlacesDriver::GiveBack(const BackEndId& engine, const RequestId& request) {
  if (!policy_->reserves()) return;
  held_.erase({engine, request});
  if (to_release_.empty()) {
    loop_->Post([driver = std::weak_ptr<PlacesDriver*>(self_)] {
      if (const auto alive = driver.lock()) (*alive)->SendReleases();
    });
  }
  to_release_[engine].push_back(request);
}

void PlacesDriver::SendReleases() {
  const auto releases = std::move(to_release_);
  to_release_.clear();
  for (const auto& [engine, requests] : releases) {
    wire::ReleaseRequest release;
    release.set_member(fleet_->self().value());
    release.set_engine(engine.value());
    for (const RequestId& request : requests) {
      // Asked for again and granted meanwhile.
      if (held_.count({engine, request}) > 0) continue;
      release.add_requests(request.value());
    }
    if (release.requests().empty()) continue;
    SendRelease(release, kReleaseTries);
  }
}

// A release that never arrives costs the engine's room until the hold lapses.
void PlacesDriver::SendRelease(const wire::ReleaseRequest& release,
                               int tries_left) {
  const std::optional<MemberId> owner =
      fleet_->BookOwner(BackEndId(release.engine()));
  if (!owner || tries_left == 0) return;
  if (*owner == fleet_->self()) {
    books_.Release(release);
    return;
  }
  const FleetMember* member = fleet_->Find(*owner);
  if (member == nullptr) return;
  RunErrand(member->peer_address, kReleaseMethod, release,
            std::make_unique<wire::ReserveReply>(),
            [this, release, tries_left](PeerStatus status) {
              if (status == PeerStatus::kOk) return;
              const uint64_t id = next_errand_++;
              auto retry = std::make_unique<Errand>();
              retry->timer = loop_->After(
                  kReleaseRetryDelay, [this, id, release, tries_left] {
                    const auto keep = std::move(errands_.at(id));
                    errands_.erase(id);
                    SendRelease(release, tries_left - 1);
                  });
              errands_[id] = std::move(retry);
            });
}

void PlacesDriver::RenewOld() {
  renew_timer_ = loop_->After(options_.hold / 4, [this] { RenewOld(); });
  const MonoTime now = loop_->Now();
  std::map<BackEndId, std::vector<wire::ReserveRequest>> due;
  for (auto& [key, held] : held_) {
    if (now - held.renewed < options_.hold / 2) continue;
    held.renewed = now;
    due[key.first].push_back(held.request);
  }
  for (const auto& [engine, requests] : due) SendRenewal(engine, requests);
}

void PlacesDriver::RenewAtNewOwners() {
  std::map<BackEndId, std::vector<wire::ReserveRequest>> moved;
  std::map<BackEndId, MemberId> owners;
  for (const auto& [key, held] : held_) {
    const std::optional<MemberId> owner = fleet_->BookOwner(key.first);
    if (!owner) continue;
    owners[key.first] = *owner;
    const auto former = owners_.find(key.first);
    if (former != owners_.end() && former->second == *owner) continue;
    moved[key.first].push_back(held.request);
  }
  owners_ = std::move(owners);
  for (const auto& [engine, requests] : moved) SendRenewal(engine, requests);
  // An attempt may end, and its owner may destroy others, while it is told.
  const std::vector<Attempt*> attempts(attempts_.begin(), attempts_.end());
  for (Attempt* attempt : attempts) {
    if (attempts_.count(attempt) > 0) attempt->OnFleetChanged();
  }
}

void PlacesDriver::SendRenewal(const BackEndId& engine,
                               const std::vector<wire::ReserveRequest>& held) {
  const std::optional<MemberId> owner = fleet_->BookOwner(engine);
  if (!owner) return;
  wire::RenewRequest renewal;
  renewal.set_member(fleet_->self().value());
  renewal.set_engine(engine.value());
  for (const wire::ReserveRequest& request : held) {
    *renewal.add_held() = request;
  }
  if (*owner == fleet_->self()) {
    books_.Renew(renewal);
    return;
  }
  const FleetMember* member = fleet_->Find(*owner);
  if (member == nullptr) return;
  RunErrand(member->peer_address, kRenewMethod, renewal,
            std::make_unique<wire::RenewReply>(), [](PeerStatus) {});
}

void PlacesDriver::RunErrand(const Endpoint& to, const std::string& method,
                             const google::protobuf::Message& params,
                             std::unique_ptr<google::protobuf::Message> result,
                             std::function<void(PeerStatus)> done) {
  const uint64_t id = next_errand_++;
  auto errand = std::make_unique<Errand>();
  errand->result = std::move(result);
  errand->call = bus_->Call(
      to, method, params, errand->result.get(), kErrandTimeout,
      [this, id, done = std::move(done)](PeerStatus status) {
        // Kept until the end of this function, which its callback runs.
        const std::unique_ptr<Errand> over = std::move(errands_.at(id));
        errands_.erase(id);
        done(status);
      });
  errands_[id] = std::move(errand);
}

void PlacesDriver::Learn(Duration seen, Duration* mean) {
  *mean = std::max(*mean + (seen - *mean) / kLearnSamples, kMinPrefillPerToken);
}

}  // namespace mimosa
