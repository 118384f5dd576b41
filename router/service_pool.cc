// Selects the backend server with the fewest open calls; among equals, one in
// the daemon's own failure domain.
#include "router/service_pool.h"

#include <tuple>
#include <utility>

namespace mimosa {

ServicePool::ServicePool(const DrainChecker* drain_checker,
                         FailureDomain own_domain)
    : drain_checker_(drain_checker), own_domain_(std::move(own_domain)) {}

bool ServicePool::IsEligible(const wire::BackEnd& back_end,
                             MonoTime now) const {
  if (drain_checker_->IsDraining(back_end)) return false;
  const BackEndId id(back_end.id());
  const auto backoff = backoff_until_.find(id);
  if (backoff != backoff_until_.end() && now < backoff->second) return false;
  const auto open_calls = open_calls_.find(id);
  return back_end.max_running() == 0 || open_calls == open_calls_.end() ||
         open_calls->second < back_end.max_running();
}

std::optional<ServicePool::Choice> ServicePool::SelectBackEnd(
    const CatalogueSnapshot& catalogue, const std::string& pool,
    const std::set<BackEndId>& excluded, MonoTime now) {
  std::optional<Choice> best;
  std::tuple<int64_t, bool> best_rank;
  const auto& back_ends = catalogue.Services(pool);
  ++rotation_;
  for (size_t i = 0; i < back_ends.size(); ++i) {
    const wire::BackEnd& back_end =
        *back_ends[(i + rotation_) % back_ends.size()];
    Choice choice{BackEndId(back_end.id()), {}};
    if (!Endpoint::Parse(back_end.address(), &choice.address) ||
        excluded.count(choice.id) != 0 || !IsEligible(back_end, now))
      continue;
    const auto open_calls = open_calls_.find(choice.id);
    const std::tuple<int64_t, bool> rank(
        open_calls == open_calls_.end() ? 0 : open_calls->second,
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
