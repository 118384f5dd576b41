// Means of the work and the proportion that follows from them.
#include "decide/role_balance.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace mimosa {
namespace {

double Share(double work, int engines) {
  return engines > 0 ? work / engines : work;
}

}  // namespace

void RoleBalance::Observe(const StageSums& sums, Tokens kv_memory,
                          MonoTime now) {
  kv_memory_ = kv_memory;
  if (!observed_) {
    if (sums.prefills <= 0) return;
    observed_ = true;
    since_ = at_ = now;
    return;
  }
  const double passed = ToSeconds(now - at_);
  const double kept = std::exp(-passed / ToSeconds(options_.memory));
  sums_ *= kept;
  sums_ += sums;
  seconds_ = seconds_ * kept + passed;
  at_ = now;
}

double RoleBalance::Rate() const {
  return seconds_ > 0 ? sums_.prefills / seconds_ : 0;
}

double RoleBalance::prefill_work() const {
  return sums_.prefills > 0 ? Rate() * sums_.prefill_s / sums_.prefills : 0;
}

double RoleBalance::decode_work() const {
  if (sums_.runs <= 0 || kv_memory_ <= Tokens(0)) return 0;
  return Rate() * sums_.run_token_s / sums_.runs /
         static_cast<double>(kv_memory_.count());
}

int RoleBalance::WantedPrefill(int prefills, int total) const {
  const double prefill = options_.prefill_headroom * prefill_work();
  const double all = prefill + decode_work();
  const double exact = all > 0 ? total * prefill / all : 0;
  const int least = std::min(options_.least_engines, total / 2);
  const double slack = std::max(1.0, options_.slack * total);
  const bool nearly_right =
      exact <= prefills + slack && exact > prefills - 1 - slack;
  const int wanted =
      nearly_right ? prefills : static_cast<int>(std::ceil(exact));
  return std::clamp(wanted, least, total - least);
}

std::vector<RoleMove> RoleBalance::Propose(const std::vector<Engine>& engines,
                                           MonoTime now) {
  if (!observed_ || now - since_ < options_.first_look) return {};
  if (moved_ != MonoTime{} && now - moved_ < options_.rest) return {};
  std::vector<const Engine*> prefill;
  std::vector<const Engine*> decode;
  for (const Engine& engine : engines) {
    if (!engine.usable) continue;
    if (engine.role == EngineRole::kPrefill) prefill.push_back(&engine);
    if (engine.role == EngineRole::kDecode) decode.push_back(&engine);
  }
  const int prefills = static_cast<int>(prefill.size());
  const int decodes = static_cast<int>(decode.size());
  if (std::max(Share(prefill_work(), prefills), Share(decode_work(), decodes)) <
      options_.worth_a_move)
    return {};
  const int surplus = prefills - WantedPrefill(prefills, prefills + decodes);
  if (surplus == 0) return {};
  std::vector<const Engine*>& from = surplus > 0 ? prefill : decode;
  const int most =
      std::max(1, static_cast<int>(options_.most_at_once *
                                   static_cast<double>(from.size())));
  const int count = std::min(std::abs(surplus), most);
  const EngineRole to =
      surplus > 0 ? EngineRole::kDecode : EngineRole::kPrefill;
  std::map<FailureDomain, int> left;  // engines of the stage, by domain
  for (const Engine* engine : from) ++left[engine->zone];
  std::vector<RoleMove> moves;
  for (int i = 0; i < count; ++i) {
    // From the domain that keeps most, and there the idlest.
    const auto best = std::min_element(from.begin(), from.end(),
                                       [&](const auto* a, const auto* b) {
                                         const int left_a = left[a->zone];
                                         const int left_b = left[b->zone];
                                         if (left_a != left_b)
                                           return left_a > left_b;
                                         if (a->calls != b->calls)
                                           return a->calls < b->calls;
                                         return a->id < b->id;
                                       });
    --left[(*best)->zone];
    moves.push_back({(*best)->id, to});
    from.erase(best);
  }
  moved_ = now;
  return moves;
}

}  // namespace mimosa
