// Lookup and expiry of origins.
#include "decide/stream_origins.h"

namespace mimosa {

void StreamOrigins::Record(const RequestId& request, Origin origin,
                           MonoTime now) {
  RemoveExpired(now);
  if (request.empty() || request.value().size() > kMaxIdBytes ||
      now - origin.began >= lifetime_)
    return;
  const MonoTime began = origin.began;
  if (!origins_.emplace(request, std::move(origin)).second) return;
  by_age_.emplace(began, request);
  if (origins_.size() > kMaxOrigins) RemoveOldest();
}

std::optional<StreamOrigins::Origin> StreamOrigins::Find(
    const RequestId& request, MonoTime now) {
  RemoveExpired(now);
  const auto it = origins_.find(request);
  if (it == origins_.end()) return std::nullopt;
  return it->second;
}

std::vector<std::pair<RequestId, StreamOrigins::Origin>>
StreamOrigins::LocalOrigins(const ServiceId& service, MonoTime now) {
  RemoveExpired(now);
  std::vector<std::pair<RequestId, Origin>> local;
  for (const auto& [request, origin] : origins_)
    if (origin.is_local && origin.service == service)
      local.emplace_back(request, origin);
  return local;
}

void StreamOrigins::RemoveExpired(MonoTime now) {
  while (!by_age_.empty() && now - by_age_.begin()->first >= lifetime_)
    RemoveOldest();
}

void StreamOrigins::RemoveOldest() {
  origins_.erase(by_age_.begin()->second);
  by_age_.erase(by_age_.begin());
}

}  // namespace mimosa
