// Requests, replies and updates about engine memory.
#include "serving/memory_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "decide/rendezvous.h"

namespace mimosa {
namespace {

// Members that may own the ledger of a service.
constexpr size_t kIssuers = 2;
// A request is sent twice to the first issuer, since datagrams get lost, and
// once to the second.
constexpr int kTriesAtFirst = 2;
constexpr int kMaxTries = 3;
constexpr int kMaxExcluded = 64;
constexpr int kMaxHoldingsPerDatagram = 100;
constexpr int kMaxRank = 99;
constexpr Duration kMaxDuration = std::chrono::minutes(10);
// Most memory that one request may ask for, in engines.
constexpr int64_t kMaxEngines = 4;
// A run that outgrows its estimate is expected to grow by as much again.
constexpr int64_t kGrowthStep = 256;
constexpr Duration kMinRenewInterval = std::chrono::milliseconds(1500);

struct RankedMember {
  MemberId id;
};

uint32_t WireMillis(Duration d) {
  return static_cast<uint32_t>(
      ToMillis(std::clamp(d, Duration::zero(), kMaxDuration)));
}

Duration FromWire(int64_t ms) {
  return std::clamp<Duration>(std::chrono::milliseconds(ms), -kMaxDuration,
                              kMaxDuration);
}

wire::MemoryReply::Result ToWire(MemoryDecision::Result result) {
  switch (result) {
    case MemoryDecision::Result::kGranted:
      return wire::MemoryReply::GRANTED;
    case MemoryDecision::Result::kWaiting:
      return wire::MemoryReply::WAITING;
    case MemoryDecision::Result::kRefused:
      break;
  }
  return wire::MemoryReply::REFUSED;
}

}  // namespace

// --- Claims ------------------------------------------------------------------

MemoryExchange::Claim::~Claim() {
  exchange_->End(this, EndCause::kReleased);
  exchange_->claims_.erase(serial_);
}

void MemoryExchange::Claim::ReportRefused(bool unreachable) {
  ++exchange_->counters_.engine_refused;
  exchange_->End(this,
                 unreachable ? EndCause::kUnreachable : EndCause::kRefused);
}

void MemoryExchange::Claim::Grow(Tokens tokens) {
  if (state_ != State::kHolding || tokens <= demand_.tokens) return;
  demand_.tokens = tokens + Tokens(kGrowthStep);
  exchange_->Renew(this);
}

MemoryExchange::MemoryExchange(EventLoop* loop, const MemberList* members,
                               const BackEndList* back_ends,
                               const BackEndSelector* selector,
                               RandomSource* random, LineLog* log,
                               const Options& options)
    : loop_(loop),
      members_(members),
      back_ends_(back_ends),
      selector_(selector),
      random_(random),
      log_(log),
      options_(options) {}

MemoryExchange::~MemoryExchange() = default;

void MemoryExchange::SetConfig(const SiteConfig& config) {
  engine_memory_.clear();
  for (const SiteService& service : config.services()) {
    if (!UsesMemoryLedger(config, service.id, options_.mode)) continue;
    engine_memory_[service.id] = service.engine->kv_memory;
  }
  for (auto it = ledgers_.begin(); it != ledgers_.end();)
    it = IsUsed(it->first) ? std::next(it) : ledgers_.erase(it);
}

std::vector<ServiceId> MemoryExchange::services() const {
  std::vector<ServiceId> services;
  for (const auto& [service, memory] : engine_memory_)
    services.push_back(service);
  return services;
}

std::vector<std::string> MemoryExchange::Issuers(
    const ServiceId& service) const {
  double fastest = members_->self().link_mbps();
  for (const auto& [name, member] : members_->others())
    if (member.memory_ledger()) fastest = std::max(fastest, member.link_mbps());
  std::vector<RankedMember> candidates;
  if (members_->self().link_mbps() >= fastest)
    candidates.push_back({MemberId(members_->self().name())});
  for (const auto& [name, member] : members_->others())
    if (member.memory_ledger() && member.link_mbps() >= fastest)
      candidates.push_back({MemberId(name)});
  std::vector<std::string> issuers;
  for (const RankedMember* member :
       TopByRendezvousWeight(candidates, "memory/" + service.value(), kIssuers))
    issuers.push_back(member->id.value());
  return issuers;
}

std::unique_ptr<MemoryExchange::Claim> MemoryExchange::Ask(
    const ServiceId& service, const RequestId& request, MemoryDemand demand,
    AnswerCallback callback) {
  const MonoTime now = loop_->Now();
  // make_unique can't reach the private constructor.
  std::unique_ptr<Claim> claim(new Claim(this, service, ++last_serial_));
  claims_[claim->serial_] = claim.get();
  claim->request_ = request;
  claim->demand_ = std::move(demand);
  // A request that doesn't state its size asks for the least.
  claim->demand_.tokens = std::max(claim->demand_.tokens, Tokens(1));
  claim->demand_.id = {members_->self().name(), members_->self().boot(),
                       claim->serial_};
  claim->demand_.zone = FailureDomain(members_->self().failure_domain());
  claim->callback_ = std::move(callback);
  claim->started_ = now;
  claim->start_by_ = now + claim->demand_.max_wait;
  claim->target_ = now + claim->demand_.target_wait;
  ++counters_.requests;
  Send(claim.get());
  return claim;
}

std::unique_ptr<MemoryExchange::Claim> MemoryExchange::Register(
    const ServiceId& service, const BackEndEntry& engine, Tokens tokens,
    Duration hold_time) {
  std::unique_ptr<Claim> claim(new Claim(this, service, ++last_serial_));
  claims_[claim->serial_] = claim.get();
  claim->demand_.tokens = std::max(tokens, Tokens(1));
  claim->demand_.hold_time = hold_time;
  claim->state_ = Claim::State::kHolding;
  claim->engine_ = engine.id;
  claim->incarnation_ = engine.incarnation;
  Renew(claim.get());
  return claim;
}

void MemoryExchange::Send(Claim* claim) {
  const MonoTime now = loop_->Now();
  const std::vector<std::string> issuers = Issuers(claim->service_);
  const auto is_reachable = [&](const std::string& name) {
    const auto it = unreachable_until_.find(name);
    return it == unreachable_until_.end() || it->second <= now;
  };
  if (claim->tries_ < kTriesAtFirst &&
      (issuers.empty() || !is_reachable(issuers[0])))
    claim->tries_ = kTriesAtFirst;
  const size_t rank = claim->tries_ < kTriesAtFirst ? 0 : 1;
  if (claim->tries_ >= kMaxTries || rank >= issuers.size() ||
      !is_reachable(issuers[rank])) {
    claim->timer_ = loop_->After(Duration::zero(), [this, claim] {
      ++counters_.unavailable;
      Finish(claim, Answer{});
    });
    return;
  }
  ++claim->tries_;
  claim->asked_ = issuers[rank];
  claim->told_.insert(issuers[rank]);
  claim->demand_.max_wait = claim->start_by_ - now;
  claim->demand_.target_wait = claim->target_ - now;
  const MemoryDemand& demand = claim->demand_;
  if (claim->asked_ == members_->self().name()) {
    claim->timer_ = loop_->After(Duration::zero(), [this, claim] {
      MemoryLedger* const ledger = LedgerOf(claim->service_);
      if (ledger == nullptr) {
        OnUnanswered(claim);
        return;
      }
      const ServiceId service = claim->service_;
      Deliver(service, ledger->Request(claim->demand_, loop_->Now()));
    });
    return;
  }
  wire::UsageDatagram datagram;
  wire::MemoryRequest* const request = datagram.mutable_memory_request();
  request->set_boot(demand.id.boot);
  request->set_serial(demand.id.serial);
  request->set_service(claim->service_.value());
  request->set_rank(static_cast<uint32_t>(demand.rank));
  request->set_customer(demand.customer.value());
  request->set_tokens(static_cast<uint64_t>(demand.tokens.count()));
  request->set_max_wait_ms(WireMillis(demand.max_wait));
  request->set_target_wait_ms(static_cast<int32_t>(
      ToMillis(std::clamp(demand.target_wait, -kMaxDuration, kMaxDuration))));
  request->set_hold_ms(WireMillis(demand.hold_time));
  for (const BackEndId& id : demand.excluded) {
    if (request->excluded_size() >= kMaxExcluded) break;
    request->add_excluded(id.value());
  }
  if (demand.software_version)
    request->set_software_version(demand.software_version->value());
  SendToMember(claim->asked_, datagram);
  claim->timer_ = loop_->After(options_.request_timeout,
                               [this, claim] { OnUnanswered(claim); });
}

void MemoryExchange::OnUnanswered(Claim* claim) {
  ++counters_.unanswered;
  const bool was_last_try =
      claim->tries_ == kTriesAtFirst || claim->tries_ >= kMaxTries;
  if (was_last_try && claim->asked_ != members_->self().name())
    unreachable_until_[claim->asked_] =
        loop_->Now() + options_.unreachable_time;
  Send(claim);
}

void MemoryExchange::Finish(Claim* claim, const Answer& answer) {
  claim->timer_.Cancel();
  LogLine line("engine_memory");
  line.Add("request", claim->request_.value())
      .Add("result", answer.result == Result::kGranted   ? "granted"
                     : answer.result == Result::kRefused ? "refused"
                                                         : "unavailable")
      .Add("owner", claim->asked_)
      .Add("back_end", claim->engine_.value())
      .Add("rank", claim->demand_.rank)
      .Add("tokens", claim->demand_.tokens.count())
      .AddMillis("after_ms", loop_->Now() - claim->started_)
      .AddMillis("retry_ms", answer.retry_after);
  log_->Write(line);
  if (answer.result == Result::kGranted) {
    ScheduleRenewal(claim);
  } else {
    // An owner that didn't respond may have granted it.
    if (answer.result == Result::kRefused) claim->told_.erase(claim->asked_);
    End(claim, EndCause::kReleased);
  }
  const AnswerCallback callback = std::move(claim->callback_);
  claim->callback_ = nullptr;
  if (callback) callback(answer);
}

void MemoryExchange::OnReply(Claim* claim, MemoryDecision::Result result,
                             const BackEndId& engine, int64_t incarnation,
                             Duration wait) {
  if (claim->state_ != Claim::State::kAsking &&
      claim->state_ != Claim::State::kWaiting)
    return;
  claim->tries_ = 0;
  switch (result) {
    case MemoryDecision::Result::kWaiting:
      if (claim->state_ == Claim::State::kAsking) ++counters_.waited;
      claim->state_ = Claim::State::kWaiting;
      claim->timer_ = loop_->After(options_.refresh_interval,
                                   [this, claim] { Send(claim); });
      return;
    case MemoryDecision::Result::kRefused: {
      ++counters_.refused;
      Answer answer;
      answer.result = Result::kRefused;
      answer.retry_after = wait;
      Finish(claim, answer);
      return;
    }
    case MemoryDecision::Result::kGranted:
      break;
  }
  const auto listed = back_ends_->entries().find(engine);
  if (listed == back_ends_->entries().end() ||
      listed->second.entry.incarnation != incarnation) {
    // The lists of back ends differ for a moment.
    ++counters_.unavailable;
    Finish(claim, Answer{});
    return;
  }
  ++counters_.granted;
  claim->state_ = Claim::State::kHolding;
  claim->engine_ = engine;
  claim->incarnation_ = incarnation;
  // Another owner that was asked before may have granted it, too.
  wire::MemoryUpdate update;
  update.set_boot(members_->self().boot());
  update.set_service(claim->service_.value());
  update.add_ended(claim->serial_);
  for (const std::string& member : claim->told_)
    if (member != claim->asked_) SendUpdate(member, update);
  claim->told_ = {claim->asked_};
  Answer answer;
  answer.result = Result::kGranted;
  answer.engine = listed->second.entry;
  Finish(claim, answer);
}

void MemoryExchange::Renew(Claim* claim) {
  const std::vector<std::string> issuers = Issuers(claim->service_);
  if (!issuers.empty()) claim->told_.insert(issuers[0]);
  wire::MemoryUpdate update;
  update.set_boot(members_->self().boot());
  update.set_service(claim->service_.value());
  *update.add_holdings() = HoldingOf(*claim);
  for (const std::string& member : claim->told_) SendUpdate(member, update);
  ScheduleRenewal(claim);
}

void MemoryExchange::ScheduleRenewal(Claim* claim) {
  claim->timer_ =
      loop_->After(std::max(kMinRenewInterval, claim->demand_.hold_time),
                   [this, claim] { Renew(claim); });
}

void MemoryExchange::End(Claim* claim, EndCause cause) {
  claim->timer_.Cancel();
  if (claim->state_ == Claim::State::kEnded) return;
  claim->state_ = Claim::State::kEnded;
  wire::MemoryUpdate update;
  update.set_boot(members_->self().boot());
  update.set_service(claim->service_.value());
  switch (cause) {
    case EndCause::kReleased:
      update.add_ended(claim->serial_);
      break;
    case EndCause::kRefused:
      update.add_refused(claim->serial_);
      break;
    case EndCause::kUnreachable:
      update.add_unreachable(claim->serial_);
      break;
  }
  for (const std::string& member : claim->told_) SendUpdate(member, update);
}

wire::MemoryHolding MemoryExchange::HoldingOf(const Claim& claim) const {
  wire::MemoryHolding holding;
  holding.set_serial(claim.serial_);
  holding.set_back_end(claim.engine_.value());
  holding.set_incarnation(claim.incarnation_);
  holding.set_tokens(static_cast<uint64_t>(claim.demand_.tokens.count()));
  holding.set_hold_ms(WireMillis(claim.demand_.hold_time));
  return holding;
}

void MemoryExchange::SendHoldings(const ServiceId& service,
                                  const std::string& member) {
  wire::MemoryUpdate update;
  update.set_boot(members_->self().boot());
  update.set_service(service.value());
  for (const auto& [serial, claim] : claims_) {
    if (claim->state_ != Claim::State::kHolding || claim->service_ != service)
      continue;
    claim->told_.insert(member);
    *update.add_holdings() = HoldingOf(*claim);
    if (update.holdings_size() < kMaxHoldingsPerDatagram) continue;
    SendUpdate(member, update);
    update.clear_holdings();
  }
  if (update.holdings_size() > 0) SendUpdate(member, update);
}

void MemoryExchange::SendUpdate(const std::string& member,
                                const wire::MemoryUpdate& update) {
  if (member == members_->self().name()) {
    // Grants that it makes possible are delivered from the loop.
    loop_->Post([this, alive = std::weak_ptr<bool>(alive_), member, update] {
      if (!alive.expired()) HandleUpdate(member, update);
    });
    return;
  }
  wire::UsageDatagram datagram;
  *datagram.mutable_memory_update() = update;
  SendToMember(member, datagram);
}

void MemoryExchange::SendToMember(const std::string& name,
                                  const wire::UsageDatagram& datagram) {
  const auto to = members_->FindAddress(name);
  if (to && socket_ != nullptr)
    socket_->Send(*to, datagram.SerializeAsString());
}

// --- The owner's side --------------------------------------------------------

const MemoryLedger* MemoryExchange::FindLedger(const ServiceId& service) const {
  const auto it = ledgers_.find(service);
  return it == ledgers_.end() ? nullptr : it->second.get();
}

int64_t MemoryExchange::waiting_count() const {
  int64_t count = 0;
  for (const auto& [service, ledger] : ledgers_)
    count += static_cast<int64_t>(ledger->waiting_count());
  return count;
}

int64_t MemoryExchange::granted_tokens() const {
  int64_t tokens = 0;
  for (const auto& [service, ledger] : ledgers_)
    tokens += ledger->granted().count();
  return tokens;
}

MemoryLedger* MemoryExchange::LedgerOf(const ServiceId& service) {
  const auto memory = engine_memory_.find(service);
  if (memory == engine_memory_.end()) return nullptr;
  const std::vector<std::string> issuers = Issuers(service);
  if (std::find(issuers.begin(), issuers.end(), members_->self().name()) ==
      issuers.end())
    return nullptr;
  auto it = ledgers_.find(service);
  if (it == ledgers_.end()) {
    it = ledgers_
             .emplace(service, std::make_unique<MemoryLedger>(
                                   memory->second, loop_->Now(), random_,
                                   options_.ledger))
             .first;
    RefreshEngines(service, it->second.get());
    log_->Write(
        LogLine("memory_ledger_started").Add("service", service.value()));
    ScheduleTick();
  }
  return it->second.get();
}

bool MemoryExchange::CountsOthers(const ServiceId& service,
                                  const MemoryLedger& ledger) const {
  if (loop_->Now() < ledger.started_at() + options_.settling_time) return true;
  const std::vector<std::string> issuers = Issuers(service);
  if (issuers.empty() || issuers[0] != members_->self().name()) return true;
  const auto& others = members_->others();
  return std::any_of(others.begin(), others.end(), [](const auto& other) {
    return !other.second.memory_ledger();
  });
}

void MemoryExchange::RefreshEngines(const ServiceId& service,
                                    MemoryLedger* ledger) {
  const bool counts_others = CountsOthers(service, *ledger);
  std::vector<MemoryLedger::Engine> engines;
  for (const auto& [id, listed] : back_ends_->entries()) {
    const BackEndEntry& entry = listed.entry;
    if (entry.service != service || entry.role != EngineRole::kDecode) continue;
    MemoryLedger::Engine engine;
    engine.id = id;
    engine.incarnation = entry.incarnation;
    engine.zone = entry.zone;
    engine.software_version = entry.software_version;
    engine.slots = entry.slots;
    engine.is_available = selector_->TakesNewWork(entry);
    if (counts_others) {
      engine.used_by_others = std::max(
          Tokens(0), selector_->OpenTokens(id) - ledger->RecentlyGrantedAt(id));
    }
    engines.push_back(engine);
  }
  ledger->SetEngines(engines);
}

void MemoryExchange::OnBackEndsChanged() {
  for (const auto& [service, ledger] : ledgers_)
    RefreshEngines(service, ledger.get());
}

void MemoryExchange::OnMemberChanged(const std::string& name,
                                     std::optional<uint64_t> boot) {
  for (const auto& [service, ledger] : ledgers_)
    Deliver(service, ledger->DropMember(name, boot, loop_->Now()));
  unreachable_until_.erase(name);
}

void MemoryExchange::Deliver(const ServiceId& service,
                             const MemoryDecisions& decisions) {
  ScheduleTick();
  for (const MemoryDecision& decision : decisions) {
    if (decision.result == MemoryDecision::Result::kGranted) ++counters_.issued;
    if (decision.id.member == members_->self().name()) {
      const auto claim = claims_.find(decision.id.serial);
      if (claim != claims_.end())
        OnReply(claim->second, decision.result, decision.engine,
                decision.incarnation, decision.wait);
      continue;
    }
    wire::UsageDatagram datagram;
    wire::MemoryReply* const reply = datagram.mutable_memory_reply();
    reply->set_boot(decision.id.boot);
    reply->set_serial(decision.id.serial);
    reply->set_owner_boot(members_->self().boot());
    reply->set_service(service.value());
    reply->set_result(ToWire(decision.result));
    reply->set_back_end(decision.engine.value());
    reply->set_incarnation(decision.incarnation);
    reply->set_wait_ms(WireMillis(decision.wait));
    SendToMember(decision.id.member, datagram);
  }
}

void MemoryExchange::HandleRequest(const std::string& member,
                                   const wire::MemoryRequest& request) {
  const ServiceId service(request.service());
  const auto memory = engine_memory_.find(service);
  const auto most =
      memory == engine_memory_.end()
          ? uint64_t{0}
          : static_cast<uint64_t>(kMaxEngines * memory->second.count());
  if (request.tokens() == 0 || (most > 0 && request.tokens() > most) ||
      request.excluded_size() > kMaxExcluded || request.rank() > kMaxRank) {
    ++counters_.dropped;
    return;
  }
  MemoryDemand demand;
  demand.id = {member, request.boot(), request.serial()};
  demand.rank = static_cast<int>(request.rank());
  demand.customer = CustomerId(request.customer());
  demand.tokens = Tokens(static_cast<int64_t>(request.tokens()));
  demand.max_wait = FromWire(request.max_wait_ms());
  demand.target_wait = FromWire(request.target_wait_ms());
  demand.hold_time = FromWire(request.hold_ms());
  demand.zone = FailureDomain(members_->others().at(member).failure_domain());
  for (const std::string& id : request.excluded())
    demand.excluded.insert(BackEndId(id));
  if (request.has_software_version())
    demand.software_version = SoftwareVersion(request.software_version());
  MemoryLedger* const ledger = LedgerOf(service);
  if (ledger != nullptr) {
    Deliver(service, ledger->Request(demand, loop_->Now()));
    return;
  }
  // The members' views of the fleet differ for a moment.
  wire::UsageDatagram datagram;
  wire::MemoryReply* const reply = datagram.mutable_memory_reply();
  reply->set_boot(request.boot());
  reply->set_serial(request.serial());
  reply->set_owner_boot(members_->self().boot());
  reply->set_service(request.service());
  reply->set_result(wire::MemoryReply::NOT_OWNER);
  SendToMember(member, datagram);
}

void MemoryExchange::HandleReply(const std::string& member,
                                 const Endpoint& from,
                                 const wire::MemoryReply& reply) {
  const ServiceId service(reply.service());
  if (reply.boot() != members_->self().boot()) {
    ++counters_.dropped;
    return;
  }
  const auto it = claims_.find(reply.serial());
  Claim* const claim = it == claims_.end() ? nullptr : it->second;
  const bool is_open =
      claim != nullptr && (claim->state_ == Claim::State::kAsking ||
                           claim->state_ == Claim::State::kWaiting);
  if (!is_open || claim->asked_ != member || claim->service_ != service) {
    ++counters_.dropped;
    const bool is_held_there = claim != nullptr &&
                               claim->state_ == Claim::State::kHolding &&
                               claim->told_.count(member) > 0;
    if (reply.result() != wire::MemoryReply::GRANTED || is_held_there ||
        socket_ == nullptr)
      return;
    // A grant that came too late.
    wire::UsageDatagram datagram;
    wire::MemoryUpdate* const update = datagram.mutable_memory_update();
    update->set_boot(members_->self().boot());
    update->set_service(reply.service());
    update->add_ended(reply.serial());
    socket_->Send(from, datagram.SerializeAsString());
    return;
  }
  unreachable_until_.erase(member);
  if (reply.result() == wire::MemoryReply::NOT_OWNER) {
    OnUnanswered(claim);
    return;
  }
  uint64_t& informed = informed_[{service, member}];
  if (informed != reply.owner_boot()) {
    informed = reply.owner_boot();
    SendHoldings(service, member);
  }
  const auto wait = FromWire(reply.wait_ms());
  switch (reply.result()) {
    case wire::MemoryReply::GRANTED:
      OnReply(claim, MemoryDecision::Result::kGranted,
              BackEndId(reply.back_end()), reply.incarnation(), wait);
      return;
    case wire::MemoryReply::WAITING:
      OnReply(claim, MemoryDecision::Result::kWaiting, {}, 0, wait);
      return;
    case wire::MemoryReply::REFUSED:
      OnReply(claim, MemoryDecision::Result::kRefused, {}, 0, wait);
      return;
    default:  // An open enumeration: a later build may send others.
      ++counters_.dropped;
      return;
  }
}

void MemoryExchange::HandleUpdate(const std::string& member,
                                  const wire::MemoryUpdate& update) {
  const ServiceId service(update.service());
  MemoryLedger* const ledger = LedgerOf(service);
  if (ledger == nullptr) return;
  const MonoTime now = loop_->Now();
  const auto id_of = [&](uint64_t serial) {
    return MemoryClaimId{member, update.boot(), serial};
  };
  const int64_t most = engine_memory_[service].count() * kMaxEngines;
  for (const wire::MemoryHolding& holding : update.holdings()) {
    if (holding.tokens() == 0 ||
        holding.tokens() > static_cast<uint64_t>(most)) {
      ++counters_.dropped;
      continue;
    }
    ledger->Renew(id_of(holding.serial()), BackEndId(holding.back_end()),
                  holding.incarnation(),
                  Tokens(static_cast<int64_t>(holding.tokens())),
                  FromWire(holding.hold_ms()), now);
  }
  for (const uint64_t serial : update.refused())
    Deliver(service, ledger->OnEngineRefused(id_of(serial),
                                             /*unreachable=*/false, now));
  for (const uint64_t serial : update.unreachable())
    Deliver(service, ledger->OnEngineRefused(id_of(serial),
                                             /*unreachable=*/true, now));
  for (const uint64_t serial : update.ended())
    Deliver(service, ledger->Release(id_of(serial), now));
}

void MemoryExchange::ScheduleTick() {
  if (tick_timer_ || ledgers_.empty()) return;
  tick_timer_ = loop_->After(options_.tick_interval, [this] { Tick(); });
}

void MemoryExchange::Tick() {
  tick_timer_.Cancel();
  const MonoTime now = loop_->Now();
  for (auto it = ledgers_.begin(); it != ledgers_.end();) {
    MemoryLedger* const ledger = it->second.get();
    if (ledger->idle() && now >= ledger->last_used() + options_.idle_time &&
        now >= ledger->started_at() + options_.idle_time) {
      it = ledgers_.erase(it);
      continue;
    }
    RefreshEngines(it->first, ledger);
    Deliver(it->first, ledger->Advance(now));
    ++it;
  }
  ScheduleTick();
}

void MemoryExchange::OnDatagram(const Endpoint& from,
                                const wire::UsageDatagram& datagram) {
  if (!datagram.has_memory_request() && !datagram.has_memory_reply() &&
      !datagram.has_memory_update())
    return;
  const wire::EntryMember* const member = members_->FindMember(from);
  if (member == nullptr) {
    ++counters_.dropped;
    return;
  }
  const std::string name = member->name();
  if (datagram.has_memory_request())
    HandleRequest(name, datagram.memory_request());
  if (datagram.has_memory_reply())
    HandleReply(name, from, datagram.memory_reply());
  if (datagram.has_memory_update())
    HandleUpdate(name, datagram.memory_update());
}

}  // namespace mimosa
