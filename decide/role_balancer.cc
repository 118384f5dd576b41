// Averages of the work, and the engine proportion derived from them.
#include "decide/role_balancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "base/saturated_cast.h"

namespace mimosa {
namespace {

double Utilization(double work, int engines) {
  return engines > 0 ? work / engines : work;
}

}  // namespace

void RoleBalancer::RecordWork(const StageSums& sums, Tokens kv_memory,
                              MonoTime now) {
  kv_memory_ = kv_memory;
  if (!has_sample_) {
    if (sums.prefills <= 0) return;
    has_sample_ = true;
    first_sample_at_ = last_sample_at_ = now;
    return;
  }
  const double elapsed = ToSeconds(now - last_sample_at_);
  const double decay = std::exp(-elapsed / ToSeconds(options_.averaging_time));
  decayed_sums_ *= decay;
  decayed_sums_ += sums;
  decayed_seconds_ = decayed_seconds_ * decay + elapsed;
  last_sample_at_ = now;
  if (elapsed > 0) UpdatePeak(sums, elapsed);
}

void RoleBalancer::UpdatePeak(const StageSums& sums, double elapsed) {
  const double decay =
      std::exp(-elapsed / ToSeconds(options_.peak_averaging_time));
  recent_prefill_work_ =
      decay * recent_prefill_work_ + (1 - decay) * sums.prefill_s / elapsed;
  peak_prefill_work_ =
      std::max(recent_prefill_work_,
               peak_prefill_work_ *
                   std::exp2(-elapsed / ToSeconds(options_.peak_half_life)));
}

double RoleBalancer::RequestRate() const {
  return decayed_seconds_ > 0 ? decayed_sums_.prefills / decayed_seconds_ : 0;
}

double RoleBalancer::prefill_work() const {
  return decayed_sums_.prefills > 0
             ? RequestRate() * decayed_sums_.prefill_s / decayed_sums_.prefills
             : 0;
}

double RoleBalancer::decode_work() const {
  if (decayed_sums_.runs <= 0 || kv_memory_ <= Tokens(0)) return 0;
  return RequestRate() * decayed_sums_.run_token_s / decayed_sums_.runs /
         static_cast<double>(kv_memory_.count());
}

int RoleBalancer::TargetPrefillCount(int prefills, int total) const {
  const double prefill = options_.prefill_headroom * prefill_work();
  const double total_work = prefill + decode_work();
  const double exact = total_work > 0 ? total * prefill / total_work : 0;
  const int min_engines = std::min(options_.min_engines_per_stage, total / 2);
  const double tolerance = std::max(1.0, options_.tolerance * total);
  const bool nearly_right =
      exact <= prefills + tolerance && exact > prefills - 1 - tolerance;
  const int wanted =
      nearly_right ? prefills : SaturatedCast<int>(std::ceil(exact));
  return std::clamp(wanted, min_engines, total - min_engines);
}

int RoleBalancer::IdlePrefillCount(int prefills, int total) const {
  // The recent peak already is part of a burst, so it needs no headroom for
  // another.
  const double kept_for_bursts =
      std::max(options_.burst_headroom * prefill_work() +
                   options_.root_headroom * std::sqrt(prefill_work()),
               options_.burst_headroom * peak_prefill_work_);
  const int kept =
      std::max(SaturatedCast<int>(std::ceil(kept_for_bursts)),
               std::min(options_.min_engines_per_stage, total / 2));
  const int idle = prefills - std::min(kept, prefills);
  const double worth_moving =
      std::max(static_cast<double>(options_.min_idle_moves),
               options_.idle_tolerance * total);
  return idle >= worth_moving ? idle : 0;
}

std::vector<RoleMove> RoleBalancer::ProposeMoves(
    const std::vector<Engine>& engines, MonoTime now) {
  if (!has_sample_) return {};
  const Duration measured = now - first_sample_at_;
  if (measured < std::min(options_.warm_up, options_.idle_warm_up)) return {};
  if (last_move_at_ != MonoTime{} && now - last_move_at_ < options_.cooldown)
    return {};
  std::vector<const Engine*> prefill;
  std::vector<const Engine*> decode;
  for (const Engine& engine : engines) {
    if (!engine.accepts_work) continue;
    if (engine.role == EngineRole::kPrefill) prefill.push_back(&engine);
    if (engine.role == EngineRole::kDecode) decode.push_back(&engine);
  }
  const int prefills = static_cast<int>(prefill.size());
  const int decodes = static_cast<int>(decode.size());
  const double prefill_use = Utilization(prefill_work(), prefills);
  const double decode_use = Utilization(decode_work(), decodes);
  if (std::max(prefill_use, decode_use) < options_.min_utilization) return {};
  std::vector<RoleMove> moves;
  const int idle = decode_use >= options_.min_utilization &&
                           measured >= options_.idle_warm_up
                       ? IdlePrefillCount(prefills, prefills + decodes)
                       : 0;
  if (idle > 0) {
    const int max_moves =
        std::max(1, static_cast<int>(options_.max_idle_moved_share * prefills));
    moves = ChooseMoves(std::move(prefill), EngineRole::kDecode,
                        std::min(idle, max_moves));
  } else if (measured >= options_.warm_up) {
    const int surplus =
        prefills - TargetPrefillCount(prefills, prefills + decodes);
    std::vector<const Engine*>& from = surplus > 0 ? prefill : decode;
    const int max_moves =
        std::max(1, static_cast<int>(options_.max_moved_share *
                                     static_cast<double>(from.size())));
    moves =
        ChooseMoves(std::move(from),
                    surplus > 0 ? EngineRole::kDecode : EngineRole::kPrefill,
                    std::min(std::abs(surplus), max_moves));
  }
  if (!moves.empty()) last_move_at_ = now;
  return moves;
}

std::vector<RoleMove> RoleBalancer::ChooseMoves(std::vector<const Engine*> from,
                                                EngineRole new_role,
                                                int count) const {
  // Engines left in the stage, by failure domain.
  std::map<FailureDomain, int> remaining;
  for (const Engine* engine : from) ++remaining[engine->zone];
  std::vector<RoleMove> moves;
  for (int i = 0; i < count; ++i) {
    // Takes, in the failure domain that has the most engines left in the stage,
    // the fastest engine for decode or the slowest one for prefill, and of
    // equal ones that with the fewest open calls.
    const auto best = std::min_element(
        from.begin(), from.end(), [&](const auto* a, const auto* b) {
          const int remaining_a = remaining[a->zone];
          const int remaining_b = remaining[b->zone];
          if (remaining_a != remaining_b) return remaining_a > remaining_b;
          if (a->speed != b->speed)
            return (a->speed > b->speed) == (new_role == EngineRole::kDecode);
          if (a->open_calls != b->open_calls)
            return a->open_calls < b->open_calls;
          return a->id < b->id;
        });
    --remaining[(*best)->zone];
    moves.push_back({(*best)->id, new_role});
    from.erase(best);
  }
  return moves;
}

}  // namespace mimosa
