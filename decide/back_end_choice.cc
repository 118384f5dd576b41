// Expected times and verdicts.
#include "decide/back_end_choice.h"

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

const char* CallVerdictName(CallVerdict verdict) {
  switch (verdict) {
    case CallVerdict::kGood:
      return "none";
    case CallVerdict::kFull:
      return "full";
    case CallVerdict::kFailed:
      return "failed";
    case CallVerdict::kUnreachable:
      return "unreachable";
    case CallVerdict::kOtherOwner:
      return "address_of_another";
    case CallVerdict::kHandleLost:
      return "prefill_lost";
    case CallVerdict::kUnknown:
      return "unknown";
  }
  return "?";
}

bool BackEndChoice::Takes(const BackEndEntry& entry, const ServiceId& service,
                          EngineRole role) const {
  if (entry.service != service || entry.role != role || entry.draining)
    return false;
  const auto move = moving_.find(entry.id);
  return move == moving_.end() || move->second == role;
}

bool BackEndChoice::PassedOver(const Seen& seen, MonoTime now) const {
  return now < seen.passed_over_until || (seen.on_trial && seen.open_calls > 0);
}

bool BackEndChoice::Exists(const ServiceId& service, EngineRole role) const {
  const auto& all = list_->all();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    return Takes(item.second.entry, service, role);
  });
}

bool BackEndChoice::HasHealthy(const ServiceId& service, EngineRole role,
                               MonoTime now) const {
  const auto& all = list_->all();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    if (!Takes(item.second.entry, service, role)) return false;
    const auto seen = seen_.find(item.first);
    return seen == seen_.end() || !PassedOver(seen->second, now);
  });
}

const BackEndEntry* BackEndChoice::Choose(const ChoiceQuery& query,
                                          MonoTime now) {
  const BackEndEntry* best = nullptr;
  double best_ms = std::numeric_limits<double>::infinity();
  const BackEndEntry* soonest = nullptr;  // if all are passed over
  MonoTime soonest_at = kNever;
  for (const auto& [id, listed] : list_->all()) {
    const BackEndEntry& entry = listed.entry;
    if (!Takes(entry, query.service, query.role)) continue;
    if (query.exclude != nullptr && query.exclude->count(id) != 0) continue;
    const Seen& seen = SeenOf(entry);
    if (query.needs_memory && Outgrown(id, seen, query)) continue;
    if (PassedOver(seen, now)) {
      if (seen.passed_over_until < soonest_at) {
        soonest = &entry;
        soonest_at = seen.passed_over_until;
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
  if (query.needs_memory) return best;
  return best != nullptr ? best : soonest;
}

OpenWork BackEndChoice::PeerLoadOf(const BackEndId& id) const {
  const auto told = peer_load_.find(id);
  return told == peer_load_.end() ? OpenWork{} : told->second;
}

OpenWorkByBackEnd BackEndChoice::OwnLoad() const {
  OpenWorkByBackEnd load;
  for (const auto& [id, seen] : seen_) {
    if (seen.open_calls > 0 && seen.open_total > Tokens(0))
      load[id] = {seen.open_calls, seen.open_total};
  }
  return load;
}

bool BackEndChoice::IsIdle(const BackEndId& id) const {
  const auto seen = seen_.find(id);
  return PeerLoadOf(id).calls == 0 &&
         (seen == seen_.end() || seen->second.open_calls == 0);
}

bool BackEndChoice::Outgrown(const BackEndId& id, const Seen& seen,
                             const ChoiceQuery& query) const {
  const Tokens taken =
      seen.open_total + PeerLoadOf(id).tokens + query.work.total;
  return query.kv_memory > Tokens(0) &&
         static_cast<double>(taken.count()) >
             query.memory_share * static_cast<double>(query.kv_memory.count());
}

double BackEndChoice::ExpectedMillis(const BackEndList::Listed& listed,
                                     const Seen& seen, const ChoiceQuery& query,
                                     MonoTime now) const {
  const BackEndEntry& entry = listed.entry;
  const OpenWork peers = PeerLoadOf(entry.id);
  double ms = FailuresNow(seen, now) * options_.failure_ms;
  if (entry.zone != query.near) ms += options_.other_zone_ms;
  if (listed.held) ms += kHeldMs;
  if (now < listed.written + entry.cold_for) ms += kColdMs;
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
      if (Outgrown(entry.id, seen, query)) ms += kMemoryFullMs;
      if (calls >= entry.slots) ms += kMemoryFullMs;
      break;
    }
    case EngineRole::kNone:
      ms += calls / std::max(1, entry.slots) * kPlainCallMs;
      break;
  }
  return ms;
}

double BackEndChoice::FailuresNow(const Seen& seen, MonoTime now) const {
  if (seen.failures == 0) return 0;
  const double half_lives =
      ToSeconds(now - seen.failures_at) / ToSeconds(options_.failure_half_life);
  return seen.failures * std::exp2(-half_lives);
}

BackEndChoice::Seen& BackEndChoice::SeenOf(const BackEndEntry& back_end) {
  Seen& seen = seen_[back_end.id];
  if (seen.incarnation != back_end.incarnation) {
    // Calls to the former one end later and are not counted here again.
    seen = Seen{};
    seen.incarnation = back_end.incarnation;
  }
  return seen;
}

void BackEndChoice::CallBegan(const BackEndEntry& back_end,
                              const WorkSize& size) {
  Seen& seen = SeenOf(back_end);
  ++seen.open_calls;
  seen.open_prompt += size.prompt;
  seen.open_total += size.total;
}

void BackEndChoice::CallEnded(const BackEndEntry& back_end,
                              const WorkSize& size, CallVerdict verdict,
                              MonoTime now) {
  const auto it = seen_.find(back_end.id);
  if (it == seen_.end() || it->second.incarnation != back_end.incarnation)
    return;
  Seen& seen = it->second;
  --seen.open_calls;
  seen.open_prompt -= size.prompt;
  seen.open_total -= size.total;
  Judge(&seen, verdict, now);
  // Forgets what is no longer listed.
  if (seen.open_calls == 0 && list_->all().count(back_end.id) == 0)
    seen_.erase(it);
}

void BackEndChoice::Report(const BackEndEntry& back_end, CallVerdict verdict,
                           MonoTime now) {
  const auto it = seen_.find(back_end.id);
  if (it == seen_.end() || it->second.incarnation != back_end.incarnation)
    return;
  Judge(&it->second, verdict, now);
}

void BackEndChoice::Judge(Seen* seen, CallVerdict verdict, MonoTime now) {
  if (verdict != CallVerdict::kUnknown && verdict != CallVerdict::kGood)
    seen->last_failure = verdict;
  switch (verdict) {
    case CallVerdict::kUnknown:
      return;
    case CallVerdict::kGood:
      seen->failures_in_row = 0;
      seen->on_trial = false;
      return;
    case CallVerdict::kFull:
      seen->passed_over_until =
          std::max(seen->passed_over_until, now + options_.full_pause);
      return;
    case CallVerdict::kFailed:
    case CallVerdict::kUnreachable:
    case CallVerdict::kOtherOwner:
    case CallVerdict::kHandleLost:
      break;
  }
  seen->failures = FailuresNow(*seen, now) + 1;
  seen->failures_at = now;
  const int doublings = std::min(seen->failures_in_row, 6);
  ++seen->failures_in_row;
  Duration pause = options_.first_pause * (1 << doublings);
  if (verdict == CallVerdict::kOtherOwner) pause = options_.longest_pause;
  seen->passed_over_until = now + std::min(pause, options_.longest_pause);
  seen->on_trial = true;
}

BackEndChoice::Belief BackEndChoice::BeliefOf(const BackEndId& id,
                                              MonoTime now) const {
  Belief belief;
  belief.calls_of_others = PeerLoadOf(id).calls;
  belief.changes_role = moving_.count(id) != 0;
  const auto it = seen_.find(id);
  if (it == seen_.end()) return belief;
  belief.open_calls = it->second.open_calls;
  belief.failures = FailuresNow(it->second, now);
  belief.passed_over = PassedOver(it->second, now);
  belief.last_failure = it->second.last_failure;
  return belief;
}

}  // namespace mimosa
