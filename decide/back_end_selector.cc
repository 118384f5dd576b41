// Expected times and verdicts.
#include "decide/back_end_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosa {
namespace {

// A decode engine whose memory is taken would reject or preempt: as bad as a
// long queue.
constexpr double kMemoryFullMs = 600;
// What one more run on a decode engine slows the others down by.
constexpr double kRunMs = 1.5;
// A plain server's answer takes about so long, times the queue at its slots.
constexpr double kPlainCallMs = 15;
// An engine that has just started is slow.
constexpr double kColdMs = 150;
// A back end whose entry is missing since an outage may be gone.
constexpr double kHeldMs = 100;
// Ties are broken at random within this, so that daemons that see the same
// don't choose the same.
constexpr double kTieMs = 3;

}  // namespace

const char* CallOutcomeName(CallOutcome verdict) {
  switch (verdict) {
    case CallOutcome::kSuccess:
      return "none";
    case CallOutcome::kFull:
      return "full";
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

bool BackEndSelector::IsEligible(const BackEndEntry& entry,
                                 const ServiceId& service,
                                 EngineRole role) const {
  if (entry.service != service || entry.role != role || entry.draining)
    return false;
  const auto move = role_changes_.find(entry.id);
  return move == role_changes_.end() || move->second == role;
}

bool BackEndSelector::IsInBackoff(const BackEndState& seen,
                                  MonoTime now) const {
  return now < seen.backoff_until || (seen.probe_only && seen.open_calls > 0);
}

bool BackEndSelector::HasBackEnd(const ServiceId& service,
                                 EngineRole role) const {
  const auto& all = list_->entries();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    return IsEligible(item.second.entry, service, role);
  });
}

bool BackEndSelector::HasHealthyBackEnd(const ServiceId& service,
                                        EngineRole role, MonoTime now) const {
  const auto& all = list_->entries();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    if (!IsEligible(item.second.entry, service, role)) return false;
    const auto seen = states_.find(item.first);
    return seen == states_.end() || !IsInBackoff(seen->second, now);
  });
}

const BackEndEntry* BackEndSelector::SelectBackEnd(const SelectionQuery& query,
                                                   MonoTime now) {
  const BackEndEntry* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
  const BackEndEntry* soonest = nullptr;  // if all are passed over
  MonoTime soonest_at = kNever;
  for (const auto& [id, listed] : list_->entries()) {
    const BackEndEntry& entry = listed.entry;
    if (!IsEligible(entry, query.service, query.role)) continue;
    if (query.exclude != nullptr && query.exclude->count(id) != 0) continue;
    const BackEndState& seen = StateOf(entry);
    if (query.require_free_memory && ExceedsMemory(id, seen, query)) continue;
    if (IsInBackoff(seen, now)) {
      if (seen.backoff_until < soonest_at) {
        soonest = &entry;
        soonest_at = seen.backoff_until;
      }
      continue;
    }
    const double ms =
        ExpectedMillis(listed, seen, query, now) + random_->Unit() * kTieMs;
    if (ms < best_ms) {
      best = &entry;
      best_ms = ms;
    }
  }
  // Room is asked for again anyway: not at an engine that just failed.
  if (query.require_free_memory) return best;
  return best != nullptr ? best : soonest;
}

OpenWork BackEndSelector::PeerLoadOf(const BackEndId& id) const {
  const auto told = peer_load_.find(id);
  return told == peer_load_.end() ? OpenWork{} : told->second;
}

OpenWorkByBackEnd BackEndSelector::LocalLoad() const {
  OpenWorkByBackEnd load;
  for (const auto& [id, seen] : states_) {
    if (seen.open_calls > 0 && seen.open_total > Tokens(0))
      load[id] = {seen.open_calls, seen.open_total};
  }
  return load;
}

bool BackEndSelector::IsIdle(const BackEndId& id) const {
  const auto seen = states_.find(id);
  return PeerLoadOf(id).calls == 0 &&
         (seen == states_.end() || seen->second.open_calls == 0);
}

bool BackEndSelector::ExceedsMemory(const BackEndId& id,
                                    const BackEndState& seen,
                                    const SelectionQuery& query) const {
  const Tokens taken =
      seen.open_total + PeerLoadOf(id).tokens + query.work.total;
  return query.kv_memory > Tokens(0) &&
         static_cast<double>(taken.count()) >
             query.max_memory_share *
                 static_cast<double>(query.kv_memory.count());
}

double BackEndSelector::ExpectedMillis(const BackEndList::ListedBackEnd& listed,
                                       const BackEndState& seen,
                                       const SelectionQuery& query,
                                       MonoTime now) const {
  const BackEndEntry& entry = listed.entry;
  const OpenWork peers = PeerLoadOf(entry.id);
  double ms = DecayedFailures(seen, now) * options_.failure_penalty_ms;
  if (entry.zone != query.preferred_zone) ms += options_.other_zone_penalty_ms;
  if (listed.removal_pending) ms += kHeldMs;
  if (now < listed.learned_at + entry.warm_up_time) ms += kColdMs;
  const double calls = seen.open_calls + peers.calls;
  switch (query.role) {
    case EngineRole::kPrefill: {
      const Tokens ahead = seen.open_prompt + peers.tokens;
      ms += static_cast<double>((ahead + query.work.prompt).count()) /
            options_.prefill_tokens_per_ms;
      break;
    }
    case EngineRole::kDecode: {
      ms += calls * kRunMs;
      if (ExceedsMemory(entry.id, seen, query)) ms += kMemoryFullMs;
      if (calls >= entry.slots) ms += kMemoryFullMs;
      break;
    }
    case EngineRole::kNone:
      ms += calls / std::max(1, entry.slots) * kPlainCallMs;
      break;
  }
  return ms;
}

double BackEndSelector::DecayedFailures(const BackEndState& seen,
                                        MonoTime now) const {
  if (seen.failures == 0) return 0;
  const double half_lives =
      ToSeconds(now - seen.failures_at) / ToSeconds(options_.failure_half_life);
  return seen.failures * std::exp2(-half_lives);
}

BackEndSelector::BackEndState& BackEndSelector::StateOf(
    const BackEndEntry& back_end) {
  BackEndState& seen = states_[back_end.id];
  if (seen.incarnation != back_end.incarnation) {
    // Calls to the former one end later and are not counted here again.
    seen = BackEndState{};
    seen.incarnation = back_end.incarnation;
  }
  return seen;
}

void BackEndSelector::OnCallStarted(const BackEndEntry& back_end,
                                    const WorkSize& size) {
  BackEndState& seen = StateOf(back_end);
  ++seen.open_calls;
  seen.open_prompt += size.prompt;
  seen.open_total += size.total;
}

void BackEndSelector::OnCallEnded(const BackEndEntry& back_end,
                                  const WorkSize& size, CallOutcome verdict,
                                  MonoTime now) {
  const auto it = states_.find(back_end.id);
  if (it == states_.end() || it->second.incarnation != back_end.incarnation)
    return;
  BackEndState& seen = it->second;
  --seen.open_calls;
  seen.open_prompt -= size.prompt;
  seen.open_total -= size.total;
  ApplyOutcome(&seen, verdict, now);
  // Forgets what is no longer listed.
  if (seen.open_calls == 0 && list_->entries().count(back_end.id) == 0)
    states_.erase(it);
}

void BackEndSelector::RecordOutcome(const BackEndEntry& back_end,
                                    CallOutcome verdict, MonoTime now) {
  const auto it = states_.find(back_end.id);
  if (it == states_.end() || it->second.incarnation != back_end.incarnation)
    return;
  ApplyOutcome(&it->second, verdict, now);
}

void BackEndSelector::ApplyOutcome(BackEndState* seen, CallOutcome verdict,
                                   MonoTime now) {
  if (verdict != CallOutcome::kUnknown && verdict != CallOutcome::kSuccess)
    seen->last_failure = verdict;
  switch (verdict) {
    case CallOutcome::kUnknown:
      return;
    case CallOutcome::kSuccess:
      seen->consecutive_failures = 0;
      seen->probe_only = false;
      return;
    case CallOutcome::kFull:
      seen->backoff_until =
          std::max(seen->backoff_until, now + options_.full_backoff);
      return;
    case CallOutcome::kFailed:
    case CallOutcome::kUnreachable:
    case CallOutcome::kAddressReused:
    case CallOutcome::kPrefillResultLost:
      break;
  }
  seen->failures = DecayedFailures(*seen, now) + 1;
  seen->failures_at = now;
  const int doublings = std::min(seen->consecutive_failures, 6);
  ++seen->consecutive_failures;
  Duration pause = options_.initial_backoff * (1 << doublings);
  if (verdict == CallOutcome::kAddressReused) pause = options_.max_backoff;
  seen->backoff_until = now + std::min(pause, options_.max_backoff);
  seen->probe_only = true;
}

BackEndSelector::ObservedState BackEndSelector::GetObservedState(
    const BackEndId& id, MonoTime now) const {
  ObservedState belief;
  belief.peer_calls = PeerLoadOf(id).calls;
  belief.changing_role = role_changes_.count(id) != 0;
  const auto it = states_.find(id);
  if (it == states_.end()) return belief;
  belief.open_calls = it->second.open_calls;
  belief.failures = DecayedFailures(it->second, now);
  belief.in_backoff = IsInBackoff(it->second, now);
  belief.last_failure = it->second.last_failure;
  return belief;
}

}  // namespace mimosa
