// Least open calls, own failure domain first among equals.
#include "router/service_pool.h"

#include <tuple>
#include <utility>

namespace mimosa {

ServicePool::ServicePool(const Draining* draining, FailureDomain own_domain)
    : draining_(draining), own_domain_(std::move(own_domain)) {}

bool ServicePool::Takes(const wire::BackEnd& back_end, MonoTime now) const {
  if (draining_->IsDraining(back_end)) return false;
  const BackEndId id(back_end.id());
  const auto penalty = penalty_until_.find(id);
  if (penalty != penalty_until_.end() && now < penalty->second) return false;
  const auto open = open_.find(id);
  return back_end.max_running() == 0 || open == open_.end() ||
         open->second < back_end.max_running();
}

std::optional<ServicePool::Choice> ServicePool::Choose(
    const CatalogueSnapshot& catalogue, const std::string& pool,
    const std::set<BackEndId>& avoid, MonoTime now) {
  std::optional<Choice> best;
  std::tuple<int64_t, bool> best_rank;
  const auto& back_ends = catalogue.Services(pool);
  ++turn_;
  for (size_t i = 0; i < back_ends.size(); ++i) {
    const wire::BackEnd& back_end = *back_ends[(i + turn_) % back_ends.size()];
    Choice choice{BackEndId(back_end.id()), {}};
    if (!Endpoint::Parse(back_end.address(), &choice.address) ||
        avoid.count(choice.id) != 0 || !Takes(back_end, now))
      continue;
    const auto open = open_.find(choice.id);
    const std::tuple<int64_t, bool> rank(
        open == open_.end() ? 0 : open->second,
        back_end.failure_domain() != own_domain_.value());
    if (best && !(rank < best_rank)) continue;
    best = std::move(choice);
    best_rank = rank;
  }
  return best;
}

void ServicePool::CallEnded(const BackEndId& id) {
  const auto it = open_.find(id);
  if (it != open_.end() && --it->second == 0) open_.erase(it);
}

void ServicePool::ConnectFailed(const BackEndId& id, MonoTime now) {
  penalty_until_[id] = now + kPenalty;
}

}  // namespace mimosa
