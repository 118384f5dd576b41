// Implementation of the list of backend servers.
#include "decide/back_end_list.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace mimosa {

void BackEndList::Put(BackEndEntry entry, MonoTime now) {
  const BackEndId id = entry.id;
  if (entry.draining) {
    RecordDeparture(entry, now);
  } else {
    departures_.erase(id);
  }
  entries_[id] = ListedBackEnd{std::move(entry), now};
}

void BackEndList::Remove(const BackEndId& id, MonoTime now) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  if (DefersRemovals(now)) {
    it->second.removal_pending = true;
  } else {
    RecordDeparture(it->second.entry, now);
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

void BackEndList::ReplaceByOlderCopy(std::vector<BackEndEntry> entries,
                                     MonoTime now) {
  OnStoreLost();
  OnStoreRegained(now);
  std::vector<BackEndId> presumed;
  for (BackEndEntry& entry : entries) {
    if (entry.draining || !HasDeparted(entry, now)) continue;
    entry.draining = true;
    presumed.push_back(entry.id);
  }
  ReplaceAll(std::move(entries), now);
  for (const BackEndId& id : presumed)
    entries_.at(id).presumed_draining_until = now + kMaxEntryExpiry;
}

void BackEndList::RecordDeparture(const BackEndEntry& entry, MonoTime now) {
  for (auto it = departures_.begin(); it != departures_.end();)
    it = now - it->second.at > kMaxCopyAge ? departures_.erase(it)
                                           : std::next(it);
  departures_[entry.id] = {entry.incarnation, now};
}

bool BackEndList::HasDeparted(const BackEndEntry& entry, MonoTime now) const {
  const auto it = departures_.find(entry.id);
  return it != departures_.end() &&
         it->second.incarnation == entry.incarnation &&
         now - it->second.at <= kMaxCopyAge;
}

void BackEndList::OnStoreRegained(MonoTime now) {
  if (!store_lost_) return;
  store_lost_ = false;
  defer_removals_until_ = now + kReregistrationGrace;
}

void BackEndList::RemoveExpired(MonoTime now) {
  for (auto& [id, listed] : entries_) {
    if (listed.presumed_draining_until == MonoTime{} ||
        now < listed.presumed_draining_until)
      continue;
    listed.presumed_draining_until = MonoTime{};
    listed.entry.draining = false;
  }
  if (DefersRemovals(now)) return;
  for (auto it = entries_.begin(); it != entries_.end();)
    it = it->second.removal_pending ? entries_.erase(it) : std::next(it);
}

std::optional<MonoTime> BackEndList::NextExpiry() const {
  std::optional<MonoTime> next;
  const auto add = [&next](MonoTime at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [id, listed] : entries_) {
    if (listed.removal_pending && !store_lost_) add(defer_removals_until_);
    if (listed.presumed_draining_until != MonoTime{})
      add(listed.presumed_draining_until);
  }
  return next;
}

}  // namespace mimosa
