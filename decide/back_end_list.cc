// Implementation of the list of backend servers.
#include "decide/back_end_list.h"

#include <set>
#include <utility>

namespace mimosa {

void BackEndList::Put(BackEndEntry entry, MonoTime now) {
  const BackEndId id = entry.id;
  entries_[id] = ListedBackEnd{std::move(entry), now, /*held=*/false};
}

void BackEndList::Remove(const BackEndId& id, MonoTime now) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  if (DefersRemovals(now)) {
    it->second.removal_pending = true;
  } else {
    entries_.erase(it);
  }
}

void BackEndList::ReplaceAll(std::vector<BackEndEntry> entries, MonoTime now) {
  std::set<BackEndId> missing;
  for (const auto& [id, listed] : entries_) missing.insert(id);
  for (BackEndEntry& entry : entries) {
    missing.erase(entry.id);
    Put(std::move(entry), now);
  }
  for (const BackEndId& id : missing) Remove(id, now);
}

void BackEndList::OnStoreRegained(MonoTime now) {
  if (!store_lost_) return;
  store_lost_ = false;
  defer_removals_until_ = now + kReregistrationGrace;
}

void BackEndList::RemoveExpired(MonoTime now) {
  if (DefersRemovals(now)) return;
  for (auto it = entries_.begin(); it != entries_.end();)
    it = it->second.removal_pending ? entries_.erase(it) : std::next(it);
}

std::optional<MonoTime> BackEndList::NextExpiry() const {
  if (store_lost_) return std::nullopt;
  for (const auto& [id, listed] : entries_)
    if (listed.removal_pending) return defer_removals_until_;
  return std::nullopt;
}

}  // namespace mimosa
