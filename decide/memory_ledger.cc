// Order of the waiting requests, grants and refusals.
#include "decide/memory_ledger.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace mimosa {
namespace {

// Expected slowdown, in milliseconds, by each run at an engine, and of a run in
// another failure domain than its caller.
constexpr double kSlowdownPerRunMs = 1.5;
constexpr double kOtherZoneMs = 8;
constexpr double kTieBreakMs = 1;
// Time constant of the mean demand.
constexpr Duration kDemandTime = std::chrono::seconds(1);
constexpr Duration kPeakPeriod = std::chrono::seconds(1);
// A waiting request is refused early only if its expected wait exceeds what its
// caller has left by this factor, since forecasts change from moment to moment.
constexpr double kForecastTolerance = 1.5;
// Weight of a new measurement of the hold time.
constexpr double kHoldTimeWeight = 0.05;
// Shorter holds say nothing about runs: these didn't begin.
constexpr Duration kShortestHold = std::chrono::milliseconds(300);
// Grants outlive the expected hold time by this factor.
constexpr int kLifetimeFactor = 2;
constexpr size_t kMaxFinishTags = 1000;

}  // namespace

std::optional<MemoryLedgerMode> ParseMemoryLedgerMode(std::string_view name) {
  if (name == "off") return MemoryLedgerMode::kOff;
  if (name == "auto") return MemoryLedgerMode::kAuto;
  if (name == "on") return MemoryLedgerMode::kOn;
  return std::nullopt;
}

bool UsesMemoryLedger(const SiteConfig& config, const ServiceId& service,
                      MemoryLedgerMode mode) {
  if (mode == MemoryLedgerMode::kOff) return false;
  const SiteService* const found = config.FindService(service);
  if (found == nullptr || !found->engine ||
      found->engine->kv_memory <= Tokens(0) ||
      found->engine->reservation_lifetime <= Duration::zero())
    return false;
  if (mode == MemoryLedgerMode::kOn) return true;
  std::set<int> ranks;
  for (const SiteRoute& route : config.routes()) {
    for (const TrafficShare& share : route.traffic_split)
      if (share.service == service) ranks.insert(route.priority);
  }
  if (ranks.empty()) return false;
  for (const SiteCustomer& customer : config.customers())
    if (customer.priority) ranks.insert(*customer.priority);
  return ranks.size() > 1;
}

// --- Memory ------------------------------------------------------------------

int64_t MemoryLedger::InBlocks(Tokens tokens) const {
  const int64_t block = std::max<int64_t>(1, options_.block_tokens);
  // A larger run than an engine holds gets a whole engine.
  const auto most = static_cast<int64_t>(
      options_.capacity_share * static_cast<double>(engine_memory_.count()));
  const int64_t blocks = (std::max<int64_t>(1, tokens.count()) + block - 1);
  return std::min(blocks / block * block, most);
}

int64_t MemoryLedger::CapacityOfEngine(MonoTime now) const {
  const bool is_young = now < started_at_ + options_.young_time;
  const double share = is_young ? options_.young_share : 1;
  return static_cast<int64_t>(share * options_.capacity_share *
                              static_cast<double>(engine_memory_.count()));
}

Tokens MemoryLedger::capacity(MonoTime now) const {
  return Tokens(CapacityOfEngine(now) * static_cast<int64_t>(engines_.size()));
}

int64_t MemoryLedger::FreeAt(const EngineState& state, MonoTime now) const {
  return CapacityOfEngine(now) - state.granted -
         state.engine.used_by_others.count();
}

bool MemoryLedger::Admits(const EngineState& state,
                          const MemoryDemand& demand) {
  const Engine& engine = state.engine;
  return engine.is_available &&
         (engine.slots == 0 || state.runs < engine.slots) &&
         demand.excluded.count(engine.id) == 0 &&
         (!demand.software_version ||
          *demand.software_version == engine.software_version);
}

void MemoryLedger::SetEngines(const std::vector<Engine>& engines) {
  std::map<BackEndId, EngineState> states;
  for (const Engine& engine : engines) {
    const auto known = engines_.find(engine.id);
    EngineState& state = states[engine.id];
    if (known != engines_.end() &&
        known->second.engine.incarnation == engine.incarnation)
      state = known->second;
    state.engine = engine;
  }
  engines_ = std::move(states);
  for (auto it = grants_.begin(); it != grants_.end();) {
    const auto engine = engines_.find(it->second.engine);
    const bool is_listed =
        engine != engines_.end() &&
        engine->second.engine.incarnation == it->second.incarnation;
    it = is_listed ? std::next(it) : EraseGrant(it);
  }
}

Tokens MemoryLedger::GrantedAt(const BackEndId& engine) const {
  const auto it = engines_.find(engine);
  return Tokens(it == engines_.end() ? 0 : it->second.granted);
}

Tokens MemoryLedger::RecentlyGrantedAt(const BackEndId& engine) const {
  const auto it = engines_.find(engine);
  if (it == engines_.end()) return Tokens(0);
  return Tokens(std::max(it->second.peak, it->second.previous_peak));
}

void MemoryLedger::Enter(const MemoryClaimId& id, const Grant& grant) {
  EngineState& state = engines_.at(grant.engine);
  state.granted += grant.tokens;
  state.peak = std::max(state.peak, state.granted);
  ++state.runs;
  granted_tokens_ += grant.tokens;
  grants_[id] = grant;
}

std::map<MemoryClaimId, MemoryLedger::Grant>::iterator MemoryLedger::EraseGrant(
    std::map<MemoryClaimId, Grant>::iterator grant) {
  const auto engine = engines_.find(grant->second.engine);
  if (engine != engines_.end() &&
      engine->second.engine.incarnation == grant->second.incarnation) {
    engine->second.granted -= grant->second.tokens;
    --engine->second.runs;
  }
  granted_tokens_ -= grant->second.tokens;
  return grants_.erase(grant);
}

// --- Forecasts ---------------------------------------------------------------

double MemoryLedger::TokensPerSecond() const {
  int64_t others = 0;
  for (const auto& [id, state] : engines_)
    others += state.engine.used_by_others.count();
  const double all = options_.capacity_share *
                     static_cast<double>(engine_memory_.count()) *
                     static_cast<double>(engines_.size());
  // Engines that pass no runs on yet still will.
  const double used =
      std::max(static_cast<double>(granted_tokens_ + others), all / 2);
  return used / std::max(0.001, ToSeconds(mean_hold_time_));
}

double MemoryLedger::DemandPerSecond(MonoTime now) const {
  return demand_per_second_ *
         std::exp(-ToSeconds(now - demand_updated_) / ToSeconds(kDemandTime));
}

double MemoryLedger::LateTokensPerSecond(MonoTime now) const {
  const double rate = TokensPerSecond();
  return std::max(rate - DemandPerSecond(now), rate * options_.oldest_share);
}

Duration MemoryLedger::ExpectedWait(const Waiter& waiter, MonoTime now) const {
  int64_t ahead = 0;
  for (const Waiter* other : InOrder(now)) {
    ahead += other->tokens;
    if (other->demand.id == waiter.demand.id) break;
  }
  int64_t ahead_if_late = 0;
  for (const auto& [id, other] : waiting_) {
    // More urgent requests in time are part of the demand that goes first.
    if (other.arrived <= waiter.arrived &&
        (other.target < now || other.demand.rank >= waiter.demand.rank))
      ahead_if_late += other.tokens;
  }
  const double rate = TokensPerSecond();
  if (rate <= 0) return std::chrono::hours(1);
  const Duration wait = FromSeconds(static_cast<double>(ahead) / rate);
  if (now + wait <= waiter.target) return wait;
  return FromSeconds(static_cast<double>(ahead_if_late) /
                     LateTokensPerSecond(now));
}

Duration MemoryLedger::RetryAfter(const Waiter& waiter, MonoTime now) {
  int64_t backlog = 0;
  for (const auto& [id, other] : waiting_) backlog += other.tokens;
  const double rate = std::max(1.0, TokensPerSecond());
  const Duration drained =
      std::clamp(FromSeconds(static_cast<double>(backlog) / rate),
                 options_.min_retry_after, options_.max_retry_after);
  const MonoTime next = std::max(
      now + drained,
      last_return_ + FromSeconds(static_cast<double>(waiter.tokens) / rate));
  if (next <= now + options_.max_retry_after) {
    last_return_ = next;
    return next - now;
  }
  // All turns are given away: callers return at random ones of them.
  return drained +
         Scaled(options_.max_retry_after - drained, random_->UniformDouble());
}

// --- Order -------------------------------------------------------------------

std::vector<const MemoryLedger::Waiter*> MemoryLedger::InOrder(
    MonoTime now) const {
  struct Place {
    bool is_late = false;
    int64_t steps = 0;  // that its customer is ahead of its share
    const Waiter* waiter = nullptr;
  };
  std::vector<Place> order;
  order.reserve(waiting_.size());
  for (const auto& [id, waiter] : waiting_)
    order.push_back({waiter.target < now, 0, &waiter});
  std::sort(order.begin(), order.end(), [](const Place& a, const Place& b) {
    return std::tie(a.is_late, a.waiter->target, a.waiter->arrived,
                    a.waiter->demand.id) < std::tie(b.is_late, b.waiter->target,
                                                    b.waiter->arrived,
                                                    b.waiter->demand.id);
  });
  std::map<std::pair<int, CustomerId>, int64_t> asked;
  const auto step =
      static_cast<double>(std::max<int64_t>(1, options_.share_slack));
  for (Place& place : order) {
    const MemoryDemand& demand = place.waiter->demand;
    int64_t& asked_before = asked[{demand.rank, demand.customer}];
    const double lead = LeadOf(demand) + static_cast<double>(asked_before);
    place.steps = static_cast<int64_t>(lead / step);
    asked_before += place.waiter->tokens;
  }
  std::stable_sort(
      order.begin(), order.end(), [](const Place& a, const Place& b) {
        return std::tie(a.is_late, a.waiter->demand.rank, a.steps) <
               std::tie(b.is_late, b.waiter->demand.rank, b.steps);
      });
  std::vector<const Waiter*> waiters;
  waiters.reserve(order.size());
  for (const Place& place : order) waiters.push_back(place.waiter);
  return waiters;
}

double MemoryLedger::LeadOf(const MemoryDemand& demand) const {
  const auto shares = shares_.find(demand.rank);
  if (shares == shares_.end()) return 0;
  const auto tag = shares->second.finish_tags.find(demand.customer);
  if (tag == shares->second.finish_tags.end()) return 0;
  return std::max(0.0, tag->second - shares->second.virtual_time);
}

void MemoryLedger::CountServed(const Waiter& waiter) {
  RankShares& shares = shares_[waiter.demand.rank];
  if (shares.finish_tags.size() >= kMaxFinishTags) {
    for (auto it = shares.finish_tags.begin(); it != shares.finish_tags.end();)
      it = it->second <= shares.virtual_time ? shares.finish_tags.erase(it)
                                             : std::next(it);
  }
  const auto start_tag_of = [&shares](const CustomerId& customer) {
    const auto tag = shares.finish_tags.find(customer);
    return tag == shares.finish_tags.end()
               ? shares.virtual_time
               : std::max(shares.virtual_time, tag->second);
  };
  const double start_tag = start_tag_of(waiter.demand.customer);
  // Customers that wait keep their lead over the one that is served.
  double virtual_time = start_tag;
  for (const auto& [id, other] : waiting_) {
    if (other.demand.rank == waiter.demand.rank &&
        other.demand.customer != waiter.demand.customer)
      virtual_time =
          std::min(virtual_time, start_tag_of(other.demand.customer));
  }
  shares.virtual_time = virtual_time;
  shares.finish_tags[waiter.demand.customer] =
      start_tag + static_cast<double>(waiter.tokens);
}

const MemoryLedger::Waiter* MemoryLedger::DueOldest(MonoTime now) const {
  const Waiter* oldest = nullptr;
  for (const auto& [id, waiter] : waiting_)
    if (oldest == nullptr || waiter.arrived < oldest->arrived) oldest = &waiter;
  if (oldest == nullptr || now - oldest->arrived < options_.oldest_min_wait ||
      oldest_credit_ < static_cast<double>(oldest->tokens))
    return nullptr;
  return oldest;
}

// --- Requests ----------------------------------------------------------------

MemoryLedger::EngineState* MemoryLedger::ChooseEngine(
    const Waiter& waiter, const std::set<BackEndId>& claimed, MonoTime now) {
  EngineState* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
  for (auto& [id, state] : engines_) {
    if (!Admits(state, waiter.demand) || now < state.paused_until ||
        claimed.count(id) > 0 || FreeAt(state, now) < waiter.tokens)
      continue;
    const bool is_elsewhere = state.engine.zone != waiter.demand.zone;
    const double ms = state.runs * kSlowdownPerRunMs +
                      (is_elsewhere ? kOtherZoneMs : 0) +
                      random_->UniformDouble() * kTieBreakMs;
    if (ms < best_ms) {
      best = &state;
      best_ms = ms;
    }
  }
  return best;
}

void MemoryLedger::RecordGrant(EngineState* state, MonoTime now) const {
  if (!state->unreachable) return;
  if (state->probe_granted_at == MonoTime{}) {
    state->probe_granted_at = now;
    state->paused_until = now + options_.probe_time;
    return;
  }
  // The probe wasn't refused.
  state->unreachable = false;
  state->refusals = 0;
  state->probe_granted_at = MonoTime{};
}

MemoryDecision MemoryLedger::GrantTo(const Waiter& waiter, EngineState* engine,
                                     MonoTime now) {
  Grant grant;
  grant.engine = engine->engine.id;
  grant.incarnation = engine->engine.incarnation;
  grant.tokens = waiter.tokens;
  grant.granted_at = now;
  grant.expires_at = now + std::max(options_.min_grant_lifetime,
                                    kLifetimeFactor * waiter.demand.hold_time);
  Enter(waiter.demand.id, grant);
  RecordGrant(engine, now);
  MemoryDecision decision;
  decision.id = waiter.demand.id;
  decision.result = MemoryDecision::Result::kGranted;
  decision.engine = grant.engine;
  decision.incarnation = grant.incarnation;
  return decision;
}

bool MemoryLedger::TryGrant(const MemoryClaimId& id,
                            std::set<BackEndId>* claimed, MonoTime now,
                            MemoryDecisions* decisions) {
  const Waiter& waiter = waiting_.at(id);
  EngineState* const engine = ChooseEngine(waiter, *claimed, now);
  if (engine != nullptr) {
    oldest_credit_ =
        std::min(oldest_credit_ +
                     options_.oldest_share * static_cast<double>(waiter.tokens),
                 static_cast<double>(engine_memory_.count()));
    decisions->push_back(GrantTo(waiter, engine, now));
    CountServed(waiter);
    waiting_.erase(id);
    return true;
  }
  // Claims the engine that will have room first.
  const EngineState* most_free = nullptr;
  for (const auto& [engine_id, state] : engines_) {
    // A paused engine looks free, and may not come back for long.
    if (!Admits(state, waiter.demand) || now < state.paused_until ||
        claimed->count(engine_id) > 0)
      continue;
    if (most_free == nullptr || FreeAt(state, now) > FreeAt(*most_free, now))
      most_free = &state;
  }
  if (most_free != nullptr) claimed->insert(most_free->engine.id);
  return false;
}

void MemoryLedger::GrantWaiting(MonoTime now, MemoryDecisions* decisions) {
  if (waiting_.empty()) return;
  int64_t most_free = 0;
  for (const auto& [id, state] : engines_)
    if (state.engine.is_available && now >= state.paused_until)
      most_free = std::max(most_free, FreeAt(state, now));
  const auto smallest = std::min_element(
      waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
        return a.second.tokens < b.second.tokens;
      });
  if (most_free < smallest->second.tokens) return;
  std::set<BackEndId> claimed;
  if (const Waiter* const oldest = DueOldest(now)) {
    const auto due = static_cast<double>(oldest->tokens);
    if (TryGrant(MemoryClaimId(oldest->demand.id), &claimed, now, decisions))
      oldest_credit_ -= due;
  }
  for (const Waiter* waiter : InOrder(now)) {
    if (claimed.size() >= engines_.size()) return;
    TryGrant(MemoryClaimId(waiter->demand.id), &claimed, now, decisions);
  }
}

MemoryDecision MemoryLedger::Refuse(const Waiter& waiter, MonoTime now) {
  MemoryDecision decision;
  decision.id = waiter.demand.id;
  decision.result = MemoryDecision::Result::kRefused;
  decision.wait = RetryAfter(waiter, now);
  return decision;
}

MemoryDecisions MemoryLedger::Request(const MemoryDemand& demand,
                                      MonoTime now) {
  last_used_ = now;
  RollPeaks(now);
  if (!hold_time_measured_ && demand.hold_time > Duration::zero())
    mean_hold_time_ = demand.hold_time;
  MemoryDecision decision;
  decision.id = demand.id;
  if (const auto grant = grants_.find(demand.id); grant != grants_.end()) {
    decision.result = MemoryDecision::Result::kGranted;
    decision.engine = grant->second.engine;
    decision.incarnation = grant->second.incarnation;
    return {decision};
  }
  if (const auto it = waiting_.find(demand.id); it != waiting_.end()) {
    it->second.expires_at = now + options_.waiter_lifetime;
    decision.result = MemoryDecision::Result::kWaiting;
    decision.wait = ExpectedWait(it->second, now);
    return {decision};
  }
  Waiter waiter;
  waiter.demand = demand;
  waiter.tokens = InBlocks(demand.tokens);
  waiter.arrived = now;
  waiter.start_by = now + demand.max_wait;
  waiter.target = now + demand.target_wait;
  waiter.expires_at = now + options_.waiter_lifetime;
  if (waiting_.size() >= options_.max_waiting ||
      grants_.size() >= options_.max_grants)
    return {Refuse(waiter, now)};
  if (demand.target_wait >= Duration::zero()) {
    demand_per_second_ =
        DemandPerSecond(now) +
        static_cast<double>(waiter.tokens) / ToSeconds(kDemandTime);
    demand_updated_ = now;
  }
  waiting_[demand.id] = waiter;
  MemoryDecisions decisions;
  GrantWaiting(now, &decisions);
  const auto granted =
      std::find_if(decisions.begin(), decisions.end(),
                   [&](const auto& other) { return other.id == demand.id; });
  if (granted != decisions.end()) {
    std::iter_swap(decisions.begin(), granted);
    return decisions;
  }
  const Duration wait = ExpectedWait(waiter, now);
  if (wait > demand.max_wait) {
    waiting_.erase(demand.id);
    decision = Refuse(waiter, now);
  } else {
    decision.result = MemoryDecision::Result::kWaiting;
    decision.wait = wait;
  }
  decisions.insert(decisions.begin(), decision);
  return decisions;
}

MemoryDecisions MemoryLedger::Release(const MemoryClaimId& id, MonoTime now) {
  last_used_ = now;
  waiting_.erase(id);
  MemoryDecisions decisions;
  const auto grant = grants_.find(id);
  if (grant == grants_.end()) return decisions;
  const Duration held = now - grant->second.granted_at;
  if (held >= kShortestHold) {
    hold_time_measured_ = true;
    mean_hold_time_ += Scaled(held - mean_hold_time_, kHoldTimeWeight);
    const auto engine = engines_.find(grant->second.engine);
    if (engine != engines_.end()) engine->second.refusals = 0;
  }
  EraseGrant(grant);
  GrantWaiting(now, &decisions);
  return decisions;
}

MemoryDecisions MemoryLedger::OnEngineRefused(const MemoryClaimId& id,
                                              bool unreachable, MonoTime now) {
  last_used_ = now;
  const auto grant = grants_.find(id);
  if (grant == grants_.end()) return {};
  const auto engine = engines_.find(grant->second.engine);
  if (engine != engines_.end()) {
    EngineState& state = engine->second;
    // Grants that were made before the first refusal don't count again.
    if (state.refusals == 0 || now >= state.paused_until ||
        state.probe_granted_at != MonoTime{}) {
      const int doublings = std::min(state.refusals++, 6);
      const Duration pause =
          unreachable ? std::min(options_.unreachable_pause * (1 << doublings),
                                 options_.max_unreachable_pause)
                      : std::min(options_.refusal_pause * (1 << doublings),
                                 options_.max_refusal_pause);
      state.paused_until = std::max(state.paused_until, now + pause);
    }
    state.unreachable = unreachable;
    state.probe_granted_at = MonoTime{};
  }
  EraseGrant(grant);
  MemoryDecisions decisions;
  GrantWaiting(now, &decisions);
  return decisions;
}

void MemoryLedger::Renew(const MemoryClaimId& id, const BackEndId& engine,
                         int64_t incarnation, Tokens tokens, Duration hold_time,
                         MonoTime now) {
  last_used_ = now;
  RollPeaks(now);
  waiting_.erase(id);
  Grant grant;
  grant.engine = engine;
  grant.incarnation = incarnation;
  grant.tokens = InBlocks(tokens);
  grant.granted_at = now;
  grant.expires_at =
      now + std::max(options_.min_grant_lifetime, kLifetimeFactor * hold_time);
  const auto known = grants_.find(id);
  if (known != grants_.end()) {
    grant.granted_at = known->second.granted_at;
    EraseGrant(known);
  }
  const auto state = engines_.find(engine);
  if (state == engines_.end() ||
      state->second.engine.incarnation != incarnation ||
      grants_.size() >= options_.max_grants)
    return;
  Enter(id, grant);
}

MemoryDecisions MemoryLedger::DropMember(const std::string& member,
                                         std::optional<uint64_t> except_boot,
                                         MonoTime now) {
  const auto is_dropped = [&](const MemoryClaimId& id) {
    return id.member == member && !(except_boot && id.boot == *except_boot);
  };
  for (auto it = grants_.begin(); it != grants_.end();)
    it = is_dropped(it->first) ? EraseGrant(it) : std::next(it);
  std::vector<MemoryClaimId> dropped;
  for (const auto& [id, waiter] : waiting_)
    if (is_dropped(id)) dropped.push_back(id);
  for (const MemoryClaimId& id : dropped) waiting_.erase(id);
  MemoryDecisions decisions;
  GrantWaiting(now, &decisions);
  return decisions;
}

void MemoryLedger::RollPeaks(MonoTime now) {
  if (now < peaks_rolled_at_ + kPeakPeriod) return;
  peaks_rolled_at_ = now;
  for (auto& [id, state] : engines_) {
    state.previous_peak = state.peak;
    state.peak = state.granted;
  }
}

MemoryDecisions MemoryLedger::Advance(MonoTime now) {
  RollPeaks(now);
  for (auto it = grants_.begin(); it != grants_.end();)
    it = it->second.expires_at <= now ? EraseGrant(it) : std::next(it);
  std::vector<MemoryClaimId> vanished;
  for (const auto& [id, waiter] : waiting_)
    if (waiter.expires_at <= now) vanished.push_back(id);
  for (const MemoryClaimId& id : vanished) waiting_.erase(id);
  MemoryDecisions decisions;
  GrantWaiting(now, &decisions);
  // Refuses those that won't get memory in time.
  std::vector<MemoryClaimId> refused;
  int64_t ahead = 0;
  const double rate = std::max(1.0, TokensPerSecond());
  const double late_rate = std::max(1.0, LateTokensPerSecond(now));
  for (const Waiter* waiter : InOrder(now)) {
    const bool is_late = waiter->target < now;
    const Duration wait =
        FromSeconds(static_cast<double>(ahead + waiter->tokens) /
                    (is_late ? late_rate : rate));
    if (waiter->start_by <= now ||
        wait > Scaled(waiter->start_by - now, kForecastTolerance)) {
      refused.push_back(waiter->demand.id);
    } else {
      ahead += waiter->tokens;
    }
  }
  for (const MemoryClaimId& id : refused) {
    decisions.push_back(Refuse(waiting_.at(id), now));
    waiting_.erase(id);
  }
  return decisions;
}

std::map<int, int> MemoryLedger::WaitingByRank() const {
  std::map<int, int> waiting;
  for (const auto& [id, waiter] : waiting_) ++waiting[waiter.demand.rank];
  return waiting;
}

}  // namespace mimosa
