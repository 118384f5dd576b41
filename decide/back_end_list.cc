// Entries of backend servers, and what is held over an outage.
#include "decide/back_end_list.h"

#include <set>
#include <utility>

namespace mimosa {

void BackEndList::Put(BackEndEntry entry, MonoTime now) {
  const BackEndId id = entry.id;
  all_[id] = Listed{std::move(entry), now, /*held=*/false};
}

void BackEndList::Remove(const BackEndId& id, MonoTime now) {
  const auto it = all_.find(id);
  if (it == all_.end()) return;
  if (HoldsRemovals(now)) {
    it->second.held = true;
  } else {
    all_.erase(it);
  }
}

void BackEndList::ReplaceAll(std::vector<BackEndEntry> entries, MonoTime now) {
  std::set<BackEndId> missing;
  for (const auto& [id, listed] : all_) missing.insert(id);
  for (BackEndEntry& entry : entries) {
    missing.erase(entry.id);
    Put(std::move(entry), now);
  }
  for (const BackEndId& id : missing) Remove(id, now);
}

void BackEndList::StoreRegained(MonoTime now) {
  if (!store_lost_) return;
  store_lost_ = false;
  hold_until_ = now + kReturnGrace;
}

void BackEndList::Expire(MonoTime now) {
  if (HoldsRemovals(now)) return;
  for (auto it = all_.begin(); it != all_.end();)
    it = it->second.held ? all_.erase(it) : std::next(it);
}

std::optional<MonoTime> BackEndList::NextExpiry() const {
  if (store_lost_) return std::nullopt;
  for (const auto& [id, listed] : all_)
    if (listed.held) return hold_until_;
  return std::nullopt;
}

}  // namespace mimosa
