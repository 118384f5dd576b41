// Least open calls, own failure domain first among equals.
#include "router/service_pool.h"

#include <tuple>
#include <utility>

namespace mimosa {

ServicePool::ServicePool(const DrainChecker* draining, FailureDomain own_domain)
    : drain_checker_(draining), own_domain_(std::move(own_domain)) {}

bool ServicePool::IsEligible(const wire::BackEnd& back_end,
                             MonoTime now) const {
  if (drain_checker_->IsDraining(back_end)) return false;
  const BackEndId id(back_end.id());
  const auto penalty = backoff_until_.find(id);
  if (penalty != backoff_until_.end() && now < penalty->second) return false;
  const auto open = open_calls_.find(id);
  return back_end.max_running() == 0 || open == open_calls_.end() ||
         open->second < back_end.max_running();
}

std::optional<ServicePool::Choice> ServicePool::SelectBackEnd(
    const CatalogueSnapshot& catalogue, const std::string& pool,
    const std::set<BackEndId>& avoid, MonoTime now) {
  std::optional<Choice> best;
  std::tuple<int64_t, bool> best_rank;
  const auto& back_ends = catalogue.Services(pool);
  ++rotation_;
  for (size_t i = 0; i < back_ends.size(); ++i) {
    const wire::BackEnd& back_end =
        *back_ends[(i + rotation_) % back_ends.size()];
    Choice choice{BackEndId(back_end.id()), {}};
    if (!Endpoint::Parse(back_end.address(), &choice.address) ||
        avoid.count(choice.id) != 0 || !IsEligible(back_end, now))
      continue;
    const auto open = open_calls_.find(choice.id);
    const std::tuple<int64_t, bool> rank(
        open == open_calls_.end() ? 0 : open->second,
        back_end.failure_domain() != own_domain_.value());
    if (best && !(rank < best_rank)) continue;
    best = std::move(choice);
    best_rank = rank;
  }
  return best;
}

void ServicePool::OnCallEnded(const BackEndId& id) {
  const auto it = open_calls_.find(id);
  if (it != open_calls_.end() && --it->second == 0) open_calls_.erase(it);
}

void ServicePool::OnConnectFailed(const BackEndId& id, MonoTime now) {
  backoff_until_[id] = now + kConnectFailureBackoff;
}

}  // namespace mimosa
