// Averages of the work, and the engine proportion derived from them.
#include "decide/role_balancer.h"

#include <algorithm>
#include <cmath>
#include <map>

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
      nearly_right ? prefills : static_cast<int>(std::ceil(exact));
  return std::clamp(wanted, min_engines, total - min_engines);
}

std::vector<RoleMove> RoleBalancer::ProposeMoves(
    const std::vector<Engine>& engines, MonoTime now) {
  if (!has_sample_ || now - first_sample_at_ < options_.warm_up) return {};
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
  if (std::max(Utilization(prefill_work(), prefills),
               Utilization(decode_work(), decodes)) < options_.min_utilization)
    return {};
  const int surplus =
      prefills - TargetPrefillCount(prefills, prefills + decodes);
  if (surplus == 0) return {};
  std::vector<const Engine*>& from = surplus > 0 ? prefill : decode;
  const int max_moves =
      std::max(1, static_cast<int>(options_.max_moved_share *
                                   static_cast<double>(from.size())));
  const int count = std::min(std::abs(surplus), max_moves);
  const EngineRole new_role =
      surplus > 0 ? EngineRole::kDecode : EngineRole::kPrefill;
  // Engines left in the stage, by failure domain.
  std::map<FailureDomain, int> remaining;
  for (const Engine* engine : from) ++remaining[engine->zone];
  std::vector<RoleMove> moves;
  for (int i = 0; i < count; ++i) {
    // Takes the engine with the fewest open calls in the failure domain that
    // has the most engines left in the stage.
    const auto best = std::min_element(
        from.begin(), from.end(), [&](const auto* a, const auto* b) {
          const int remaining_a = remaining[a->zone];
          const int remaining_b = remaining[b->zone];
          if (remaining_a != remaining_b) return remaining_a > remaining_b;
          if (a->open_calls != b->open_calls)
            return a->open_calls < b->open_calls;
          return a->id < b->id;
        });
    --remaining[(*best)->zone];
    moves.push_back({(*best)->id, new_role});
    from.erase(best);
  }
  last_move_at_ = now;
  return moves;
}

}  // namespace mimosa
