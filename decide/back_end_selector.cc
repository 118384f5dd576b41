// Expected times and the effect of call outcomes.
#include "decide/back_end_selector.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace mimosa {
namespace {

// Penalty for a decode engine whose memory is full. It would reject or preempt
// the run, which costs as much as a long queue.
constexpr double kMemoryFullPenaltyMs = 600;
// Slowdown caused by each open run on a decode engine.
constexpr double kSlowdownPerRunMs = 1.5;
// Weight of the time for which a run occupies the memory of a slower engine: an
// engine of half the speed is worth this much more.
constexpr double kLongerRunMs = 10;
// Number of candidates compared if the engines are of unlike speed.
constexpr size_t kSampleSize = 4;
// Time that a plain server takes per call, multiplied by its open calls per
// slot.
constexpr double kPlainCallMs = 15;
// Penalty for an engine that has just started and is still slow.
constexpr double kColdStartPenaltyMs = 150;
// Penalty for a back end whose record has been missing since a store outage: it
// may no longer exist.
constexpr double kMissingRecordPenaltyMs = 100;
// Above this number, back ends that are about to terminate are forgotten once
// they are no longer listed.
constexpr size_t kMaxLeaving = 1000;
// From this number of incarnations of a back end on, those without open calls
// are forgotten. An older copy of the store may list a former one once more.
constexpr size_t kMaxIdleIncarnations = 2;
// A random term up to this value breaks ties, so that daemons with the same
// view don't all select the same back end.
constexpr double kTieBreakMs = 3;

// Returns what is left of a value of that age.
double Decayed(double value, Duration age, Duration half_life) {
  return value == 0 ? 0
                    : value * std::exp2(-ToSeconds(age) / ToSeconds(half_life));
}

}  // namespace

const char* CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kSuccess:
      return "none";
    case CallOutcome::kFull:
      return "full";
    case CallOutcome::kRejected:
      return "rejected";
    case CallOutcome::kFailed:
      return "failed";
    case CallOutcome::kUnreachable:
      return "unreachable";
    case CallOutcome::kAddressReused:
      return "address_of_another";
    case CallOutcome::kPrefillResultLost:
      return "prefill_lost";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "?";
}

const char* BarrierName(Barrier barrier) {
  switch (barrier) {
    case Barrier::kNone:
      return "none";
    case Barrier::kRegions:
      return "no_engine_in_regions";
    case Barrier::kEvacuated:
      return "evacuated";
  }
  return "?";
}

const char* CallObstacleName(CallObstacle obstacle) {
  switch (obstacle) {
    case CallObstacle::kNone:
      return "none";
    case CallObstacle::kUnlisted:
      return "unlisted";
    case CallObstacle::kRestarted:
      return "restarted";
    case CallObstacle::kEvacuated:
      return "evacuated";
    case CallObstacle::kPausing:
      return "pausing";
    case CallObstacle::kReplaced:
      return "replaced";
    case CallObstacle::kLeaving:
      return "leaving";
    case CallObstacle::kChangingRole:
      return "changing_role";
  }
  return "?";
}

bool BackEndSelector::IsEligible(const BackEndEntry& entry,
                                 const ServiceId& service,
                                 EngineRole role) const {
  return entry.service == service && entry.role == role && !entry.draining &&
         !IsLeaving(entry) && !IsEvacuated(entry) && !IsChangingRole(entry);
}

bool BackEndSelector::IsChangingRole(const BackEndEntry& entry) const {
  const auto role_change = role_changes_.find(entry.id);
  return role_change != role_changes_.end() &&
         role_change->second != entry.role;
}

CallObstacle BackEndSelector::FindObstacle(const BackEndEntry& back_end,
                                           CallPurpose purpose,
                                           MonoTime now) const {
  const auto listed = list_->entries().find(back_end.id);
  if (listed == list_->entries().end()) return CallObstacle::kUnlisted;
  const BackEndEntry& entry = listed->second.entry;
  if (entry.incarnation != back_end.incarnation)
    return CallObstacle::kRestarted;
  if (IsEvacuated(entry)) return CallObstacle::kEvacuated;
  const BackEndState* const state = FindState(entry);
  if (state != nullptr && now < state->pause_until)
    return CallObstacle::kPausing;
  if (purpose == CallPurpose::kControl) return CallObstacle::kNone;
  if (state != nullptr && now < state->replaced_until)
    return CallObstacle::kReplaced;
  if (entry.draining || IsLeaving(entry)) return CallObstacle::kLeaving;
  if (entry.role != back_end.role || IsChangingRole(entry))
    return CallObstacle::kChangingRole;
  return CallObstacle::kNone;
}

void BackEndSelector::RecordIncarnation(const BackEndId& back_end,
                                        int64_t incarnation) {
  if (incarnation <= LatestIncarnation(back_end)) return;
  for (auto it = stated_incarnations_.begin();
       it != stated_incarnations_.end();)
    it = list_->entries().count(it->first) == 0 ? stated_incarnations_.erase(it)
                                                : std::next(it);
  const auto listed = list_->entries().find(back_end);
  stated_incarnations_[back_end] = {
      incarnation,
      listed == list_->entries().end() ? 0 : listed->second.entry.incarnation};
}

int64_t BackEndSelector::LatestIncarnation(const BackEndId& back_end) const {
  const auto entry = list_->entries().find(back_end);
  const auto it = stated_incarnations_.find(back_end);
  if (entry == list_->entries().end())
    return it == stated_incarnations_.end() ? 0 : it->second.stated;
  const int64_t listed = entry->second.entry.incarnation;
  const bool lags_behind =
      it != stated_incarnations_.end() && it->second.listed == listed;
  return lags_behind ? it->second.stated : listed;
}

bool BackEndSelector::RecordLeaving(const BackEndEntry& back_end) {
  if (leaving_.size() >= kMaxLeaving) RemoveUnlistedLeaving();
  const auto [it, is_new] = leaving_.emplace(back_end.id, back_end.incarnation);
  if (!is_new && it->second == back_end.incarnation) return false;
  it->second = back_end.incarnation;
  return true;
}

void BackEndSelector::RecordPause(const BackEndEntry& back_end,
                                  MonoTime until) {
  BackEndState* const state = FindState(back_end);
  if (state != nullptr)
    state->pause_until = std::max(state->pause_until, until);
}

void BackEndSelector::RecordReplacement(const BackEndEntry& back_end,
                                        MonoTime until) {
  BackEndState* const state = FindState(back_end);
  if (state != nullptr) state->replaced_until = until;
}

MonoTime BackEndSelector::EndOfPauses(const SelectionQuery& query,
                                      MonoTime now) const {
  MonoTime end = kNever;
  for (const auto& [id, listed] : list_->entries()) {
    if (!Matches(listed.entry, query)) continue;
    const BackEndState* const state = FindState(listed.entry);
    MonoTime available_at = now;
    if (state != nullptr)
      available_at = std::max({now, state->pause_until, state->replaced_until});
    if (permits_ != nullptr)
      available_at =
          std::max(available_at, permits_->AvailableAt(listed.entry, now));
    end = std::min(end, available_at);
  }
  return end == kNever ? now : end;
}

bool BackEndSelector::IsLeaving(const BackEndEntry& back_end) const {
  const auto it = leaving_.find(back_end.id);
  return it != leaving_.end() && it->second == back_end.incarnation;
}

void BackEndSelector::RemoveUnlistedLeaving() {
  for (auto it = leaving_.begin(); it != leaving_.end();)
    it = list_->entries().count(it->first) == 0 ? leaving_.erase(it)
                                                : std::next(it);
}

bool BackEndSelector::Matches(const BackEndEntry& entry,
                              const SelectionQuery& query) const {
  return IsEligible(entry, query.service, query.role) &&
         IsInside(entry, query.allowed_regions) &&
         (query.exclude == nullptr || query.exclude->count(entry.id) == 0) &&
         (!query.among || query.among->count(entry.id) > 0) &&
         (!query.software_version ||
          *query.software_version == entry.software_version) &&
         (query.startable_versions == nullptr ||
          query.startable_versions->count(entry.software_version) > 0);
}

bool BackEndSelector::HasCandidate(const SelectionQuery& query) const {
  const auto& all = list_->entries();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    return Matches(item.second.entry, query);
  });
}

bool BackEndSelector::AwaitsPermit(const SelectionQuery& query,
                                   MonoTime now) const {
  const auto& all = list_->entries();
  return permits_ != nullptr &&
         std::any_of(all.begin(), all.end(), [&](const auto& item) {
           const BackEndEntry& entry = item.second.entry;
           return Matches(entry, query) && !permits_->IsAvailable(entry, now);
         });
}

bool BackEndSelector::IsInBackoff(const BackEndState& state,
                                  MonoTime now) const {
  return now < state.backoff_until ||
         (state.probe_only && state.open_calls > 0);
}

bool BackEndSelector::HasBackEnd(const ServiceId& service, EngineRole role,
                                 const AllowedRegions* allowed_regions) const {
  const auto& all = list_->entries();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    return IsEligible(item.second.entry, service, role) &&
           IsInside(item.second.entry, allowed_regions);
  });
}

Barrier BackEndSelector::FindBarrier(const SelectionQuery& query) const {
  bool is_any_listed = false;
  bool is_any_inside = false;
  for (const auto& [id, listed] : list_->entries()) {
    const BackEndEntry& entry = listed.entry;
    if (entry.service != query.service || entry.role != query.role) continue;
    is_any_listed = true;
    if (!IsInside(entry, query.allowed_regions)) continue;
    if (!IsEvacuated(entry)) return Barrier::kNone;
    is_any_inside = true;
  }
  if (!is_any_listed) return Barrier::kNone;
  return is_any_inside ? Barrier::kEvacuated : Barrier::kRegions;
}

bool BackEndSelector::IsNowhere(const AllowedRegions& allowed_regions) const {
  return boundaries_ != nullptr && !boundaries_->IsKnown(allowed_regions);
}

bool BackEndSelector::IsEvacuated(const BackEndEntry& back_end) const {
  return boundaries_ != nullptr && boundaries_->IsEvacuated(back_end.zone);
}

bool BackEndSelector::IsInside(const BackEndEntry& entry,
                               const AllowedRegions* allowed_regions) const {
  return boundaries_ == nullptr || allowed_regions == nullptr ||
         boundaries_->IsInside(entry.zone, *allowed_regions);
}

bool BackEndSelector::MayStillCall(
    const BackEndEntry& back_end, const AllowedRegions& allowed_regions) const {
  return !IsEvacuated(back_end) && IsInside(back_end, &allowed_regions);
}

bool BackEndSelector::HasHealthyCandidate(const SelectionQuery& query,
                                          MonoTime now) const {
  const auto& all = list_->entries();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    if (!Matches(item.second.entry, query)) return false;
    const BackEndState* const state = FindState(item.second.entry);
    return state == nullptr ||
           (!IsInBackoff(*state, now) && now >= state->pause_until &&
            now >= state->replaced_until);
  });
}

bool BackEndSelector::IsNoneConnectable(const SelectionQuery& query,
                                        MonoTime now) const {
  bool is_any_matched = false;
  for (const auto& [id, listed] : list_->entries()) {
    if (!Matches(listed.entry, query)) continue;
    is_any_matched = true;
    const BackEndState* const state = FindState(listed.entry);
    if (state == nullptr || state->last_failure != CallOutcome::kUnreachable ||
        !IsInBackoff(*state, now))
      return false;
  }
  return is_any_matched;
}

const BackEndEntry* BackEndSelector::SelectBackEnd(const SelectionQuery& query,
                                                   MonoTime now) {
  const BackEndEntry* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
  const BackEndEntry* first_available = nullptr;  // used if all are in backoff
  MonoTime first_available_at = kNever;
  const BackEndEntry* lacks_permit = nullptr;  // the best one that does
  double lacks_permit_ms = std::numeric_limits<double>::infinity();
  std::vector<Candidate> candidates;
  bool have_unlike_speeds = false;
  for (const auto& [id, listed] : list_->entries()) {
    const BackEndEntry& entry = listed.entry;
    if (!Matches(entry, query)) continue;
    const BackEndState& state = StateOf(entry);
    if (now < state.pause_until || now < state.replaced_until) continue;
    if (query.require_free_memory && ExceedsMemory(id, state, query)) continue;
    if (permits_ != nullptr && !permits_->IsAvailable(entry, now)) {
      const double ms =
          ExpectedMillis(listed, state, query, now) +
          ToSeconds(permits_->AvailableAt(entry, now) - now) * 1000 +
          random_->UniformDouble() * kTieBreakMs;
      if (ms < lacks_permit_ms) {
        lacks_permit = &entry;
        lacks_permit_ms = ms;
      }
      continue;
    }
    if (IsInBackoff(state, now)) {
      if (state.backoff_until < first_available_at) {
        first_available = &entry;
        first_available_at = state.backoff_until;
      }
      continue;
    }
    const double ms = ExpectedMillis(listed, state, query, now) +
                      random_->UniformDouble() * kTieBreakMs;
    candidates.push_back({&entry, ms});
    if (SpeedOf(entry, query.role) != 1) have_unlike_speeds = true;
    if (ms < best_ms) {
      best = &entry;
      best_ms = ms;
    }
  }
  if (have_unlike_speeds)
    best = BestOfSample(std::move(candidates), query.preferred_zone);
  // The caller will retry the reservation anyway, so an engine that has just
  // failed is not used as a fallback.
  if (best == nullptr && !query.require_free_memory) best = first_available;
  // One that warms up is left alone while another has a shorter queue.
  if (lacks_permit != nullptr && best_ms < lacks_permit_ms &&
      permits_->IsWarmingUp(*lacks_permit, now))
    lacks_permit = nullptr;
  if (lacks_permit != nullptr) permits_->Request(*lacks_permit);
  if (best != nullptr && permits_ != nullptr) permits_->Take(*best);
  return best;
}

const BackEndEntry* BackEndSelector::BestOfSample(
    std::vector<Candidate> candidates, const FailureDomain& preferred_zone) {
  const auto others = std::partition(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return candidate.entry->zone == preferred_zone;
      });
  const Candidate* best = nullptr;
  const auto draw = [&](auto begin, auto end) {
    for (size_t i = 0; i < kSampleSize && begin != end; ++i, ++begin) {
      const auto left = end - begin;
      const auto drawn = std::min(
          left - 1, static_cast<std::ptrdiff_t>(random_->UniformDouble() *
                                                static_cast<double>(left)));
      std::iter_swap(begin, begin + drawn);
      if (best == nullptr || begin->expected_ms < best->expected_ms)
        best = &*begin;
    }
  };
  draw(candidates.begin(), others);
  draw(others, candidates.end());
  return best == nullptr ? nullptr : best->entry;
}

double BackEndSelector::SpeedOf(const BackEndEntry& back_end,
                                EngineRole role) const {
  const EngineSpeed* speed = engine_speeds_.Find(back_end);
  if (speed == nullptr || role == EngineRole::kNone) return 1;
  return role == EngineRole::kPrefill ? speed->prefill : speed->decode;
}

OpenWork BackEndSelector::PeerLoadOf(const BackEndId& id) const {
  const auto load = peer_load_.find(id);
  return load == peer_load_.end() ? OpenWork{} : load->second;
}

OpenWorkByBackEnd BackEndSelector::LocalLoad() const {
  OpenWorkByBackEnd load;
  for (const auto& [id, listed] : list_->entries()) {
    const BackEndState* const state = FindState(listed.entry);
    if (state != nullptr && state->open_calls > 0 &&
        state->open_total > Tokens(0))
      load[id] = {state->open_calls, state->open_total};
  }
  return load;
}

bool BackEndSelector::IsIdle(const BackEndId& id) const {
  const BackEndState* const state = FindListedState(id);
  return PeerLoadOf(id).calls == 0 &&
         (state == nullptr || state->open_calls == 0);
}

bool BackEndSelector::ExceedsMemory(const BackEndId& id,
                                    const BackEndState& state,
                                    const SelectionQuery& query) const {
  const Tokens used =
      state.open_total + PeerLoadOf(id).tokens + query.work.total;
  return query.kv_memory > Tokens(0) &&
         static_cast<double>(used.count()) >
             query.max_memory_share *
                 static_cast<double>(query.kv_memory.count());
}

double BackEndSelector::ExpectedMillis(const BackEndList::ListedBackEnd& listed,
                                       const BackEndState& state,
                                       const SelectionQuery& query,
                                       MonoTime now) const {
  const BackEndEntry& entry = listed.entry;
  const OpenWork peers = PeerLoadOf(entry.id);
  double ms = DecayedFailures(state, now) * options_.failure_penalty_ms;
  const double rejected = DecayedRejectionShare(state, now);
  ms += rejected * rejected * options_.rejection_penalty_ms;
  if (entry.zone != query.preferred_zone) ms += options_.other_zone_penalty_ms;
  if (listed.removal_pending) ms += kMissingRecordPenaltyMs;
  if (now < listed.learned_at + entry.warm_up_time ||
      (permits_ != nullptr && permits_->IsWarmingUp(entry, now)))
    ms += kColdStartPenaltyMs;
  const double calls = state.open_calls + peers.calls;
  const double speed = SpeedOf(entry, query.role);
  switch (query.role) {
    case EngineRole::kPrefill: {
      const Tokens ahead = state.open_prompt + peers.tokens;
      ms += static_cast<double>((ahead + query.work.prompt).count()) /
            (options_.prefill_tokens_per_ms * speed);
      break;
    }
    case EngineRole::kDecode: {
      ms += calls * kSlowdownPerRunMs / speed;
      ms += (1 / speed - 1) * kLongerRunMs;
      if (ExceedsMemory(entry.id, state, query)) ms += kMemoryFullPenaltyMs;
      if (calls >= entry.slots) ms += kMemoryFullPenaltyMs;
      break;
    }
    case EngineRole::kNone:
      ms += calls / std::max(1, entry.slots) * kPlainCallMs;
      break;
  }
  return ms;
}

double BackEndSelector::DecayedFailures(const BackEndState& state,
                                        MonoTime now) const {
  return Decayed(state.failures, now - state.failures_at,
                 options_.failure_half_life);
}

double BackEndSelector::DecayedRejectionShare(const BackEndState& state,
                                              MonoTime now) const {
  return Decayed(state.rejection_share, now - state.rejections_at,
                 options_.rejection_half_life);
}

BackEndSelector::BackEndState& BackEndSelector::StateOf(
    const BackEndEntry& back_end) {
  IncarnationStates& states = states_[back_end.id];
  const auto it = states.find(back_end.incarnation);
  if (it != states.end()) return it->second;
  if (states.size() >= kMaxIdleIncarnations) RemoveIdle(&states);
  return states[back_end.incarnation];
}

const BackEndSelector::BackEndState* BackEndSelector::FindState(
    const BackEndEntry& back_end) const {
  const auto states = states_.find(back_end.id);
  if (states == states_.end()) return nullptr;
  const auto state = states->second.find(back_end.incarnation);
  return state == states->second.end() ? nullptr : &state->second;
}

BackEndSelector::BackEndState* BackEndSelector::FindState(
    const BackEndEntry& back_end) {
  return const_cast<BackEndState*>(std::as_const(*this).FindState(back_end));
}

const BackEndSelector::BackEndState* BackEndSelector::FindListedState(
    const BackEndId& id) const {
  const auto listed = list_->entries().find(id);
  return listed == list_->entries().end() ? nullptr
                                          : FindState(listed->second.entry);
}

void BackEndSelector::RemoveIdle(IncarnationStates* states) {
  for (auto it = states->begin(); it != states->end();)
    it = it->second.open_calls == 0 ? states->erase(it) : std::next(it);
}

void BackEndSelector::OnCallStarted(const BackEndEntry& back_end,
                                    const WorkSize& size) {
  BackEndState& state = StateOf(back_end);
  ++state.open_calls;
  state.open_prompt += size.prompt;
  state.open_total += size.total;
}

void BackEndSelector::OnCallEnded(const BackEndEntry& back_end,
                                  const WorkSize& size, CallOutcome outcome,
                                  MonoTime now) {
  BackEndState* const state = FindState(back_end);
  if (state == nullptr) return;
  --state->open_calls;
  state->open_prompt -= size.prompt;
  state->open_total -= size.total;
  ApplyOutcome(state, outcome, now);
  // Drops the states of a back end that is no longer listed.
  if (list_->entries().count(back_end.id) > 0) return;
  const auto states = states_.find(back_end.id);
  RemoveIdle(&states->second);
  if (states->second.empty()) states_.erase(states);
}

void BackEndSelector::RecordOutcome(const BackEndEntry& back_end,
                                    CallOutcome outcome, MonoTime now) {
  BackEndState* const state = FindState(back_end);
  if (state != nullptr) ApplyOutcome(state, outcome, now);
}

void BackEndSelector::ApplyOutcome(BackEndState* state, CallOutcome outcome,
                                   MonoTime now) {
  if (outcome != CallOutcome::kUnknown && outcome != CallOutcome::kSuccess)
    state->last_failure = outcome;
  switch (outcome) {
    case CallOutcome::kUnknown:
      return;
    case CallOutcome::kSuccess:
      state->consecutive_failures = 0;
      state->probe_only = false;
      return;
    case CallOutcome::kFull:
      state->backoff_until =
          std::max(state->backoff_until, now + options_.full_backoff);
      return;
    case CallOutcome::kRejected: {
      const int doublings = std::min(state->consecutive_rejections, 4);
      ++state->consecutive_rejections;
      state->rejection_share =
          options_.rejection_weight +
          (1 - options_.rejection_weight) * DecayedRejectionShare(*state, now);
      state->rejections_at = now;
      const Duration backoff =
          std::min(options_.full_backoff * (1 << doublings),
                   options_.max_rejection_backoff);
      state->backoff_until = std::max(state->backoff_until, now + backoff);
      return;
    }
    case CallOutcome::kFailed:
    case CallOutcome::kUnreachable:
    case CallOutcome::kAddressReused:
    case CallOutcome::kPrefillResultLost:
      break;
  }
  state->failures = DecayedFailures(*state, now) + 1;
  state->failures_at = now;
  const int doublings = std::min(state->consecutive_failures, 6);
  ++state->consecutive_failures;
  Duration backoff = options_.initial_backoff * (1 << doublings);
  if (outcome == CallOutcome::kAddressReused) backoff = options_.max_backoff;
  state->backoff_until = now + std::min(backoff, options_.max_backoff);
  state->probe_only = true;
}

void BackEndSelector::RecordAcceptance(const BackEndEntry& back_end,
                                       MonoTime now) {
  BackEndState* const state = FindState(back_end);
  if (state == nullptr) return;
  state->consecutive_rejections = 0;
  state->rejection_share =
      (1 - options_.rejection_weight) * DecayedRejectionShare(*state, now);
  state->rejections_at = now;
}

bool BackEndSelector::RejectsMany(const BackEndEntry& back_end) const {
  constexpr int kMany = 2;
  const BackEndState* const state = FindState(back_end);
  return state != nullptr && state->consecutive_rejections >= kMany;
}

void BackEndSelector::ForgetFailures(const ServiceId& service) {
  for (const auto& [id, listed] : list_->entries()) {
    if (listed.entry.service != service) continue;
    const auto it = states_.find(id);
    if (it == states_.end()) continue;
    for (auto& [incarnation, state] : it->second) {
      state.consecutive_failures = 0;
      state.failures = 0;
      state.backoff_until = MonoTime{};
      state.probe_only = false;
    }
  }
}

BackEndSelector::ObservedState BackEndSelector::GetObservedState(
    const BackEndId& id, MonoTime now) const {
  ObservedState observed;
  observed.peer_calls = PeerLoadOf(id).calls;
  observed.changing_role = role_changes_.count(id) != 0;
  const BackEndState* const state = FindListedState(id);
  if (state == nullptr) return observed;
  observed.open_calls = state->open_calls;
  observed.failures = DecayedFailures(*state, now);
  observed.in_backoff = IsInBackoff(*state, now);
  observed.last_failure = state->last_failure;
  return observed;
}

}  // namespace mimosa
