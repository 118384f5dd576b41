// Records, leases and history of the stand-in platform.
#include "standins/platform_store.h"

#include <utility>

namespace mimosa::standins {

const PlatformStore::Record* PlatformStore::Find(const std::string& key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second;
}

PlatformStore::WriteResult PlatformStore::Put(const std::string& key,
                                              std::string value, int64_t expect,
                                              const std::string& lease) {
  const Record* old = Find(key);
  if ((old == nullptr ? 0 : old->revision) != expect)
    return {Status::kConflict, revision_};
  const auto holder = leases_.find(lease);
  if (!lease.empty() && holder == leases_.end())
    return {Status::kNoLease, revision_};
  if (old != nullptr) Detach(key, *old);
  NoteChange(key);
  if (!lease.empty()) holder->second.keys.insert(key);
  records_[key] = Record{std::move(value), revision_, lease};
  return {Status::kOk, revision_};
}

PlatformStore::WriteResult PlatformStore::Delete(const std::string& key,
                                                 int64_t expect) {
  const Record* old = Find(key);
  if (old == nullptr) return {Status::kNotFound, revision_};
  if (old->revision != expect) return {Status::kConflict, revision_};
  Detach(key, *old);
  records_.erase(key);
  NoteChange(key);
  return {Status::kOk, revision_};
}

std::vector<std::pair<std::string, const PlatformStore::Record*>>
PlatformStore::List(const std::string& prefix) const {
  std::vector<std::pair<std::string, const Record*>> out;
  for (auto it = records_.lower_bound(prefix);
       it != records_.end() && it->first.compare(0, prefix.size(), prefix) == 0;
       ++it)
    out.emplace_back(it->first, &it->second);
  return out;
}

PlatformStore::Changes PlatformStore::ChangesAfter(const std::string& prefix,
                                                   int64_t after) const {
  Changes out;
  const int64_t oldest =
      history_.empty() ? revision_ + 1 : history_.front().revision;
  if (after + 1 < oldest) {
    out.too_old = true;
    return out;
  }
  for (const Change& change : history_) {
    if (change.revision > after &&
        change.key.compare(0, prefix.size(), prefix) == 0)
      out.keys.insert(change.key);
  }
  return out;
}

std::string PlatformStore::CreateLease(Duration ttl, MonoTime now) {
  std::string id = "lease-" + std::to_string(next_lease_++);
  leases_[id] = Lease{ttl, now + ttl, {}};
  return id;
}

bool PlatformStore::RenewLease(const std::string& lease, MonoTime now) {
  ExpireLeases(now);
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return false;
  it->second.deadline = now + it->second.ttl;
  return true;
}

void PlatformStore::EndLease(const std::string& lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return;
  const std::set<std::string> keys = std::move(it->second.keys);
  leases_.erase(it);
  for (const std::string& key : keys) {
    records_.erase(key);
    NoteChange(key);
  }
}

void PlatformStore::ExpireLeases(MonoTime now) {
  std::vector<std::string> over;
  for (const auto& [id, lease] : leases_)
    if (lease.deadline <= now) over.push_back(id);
  for (const std::string& id : over) EndLease(id);
}

void PlatformStore::NoteChange(const std::string& key) {
  history_.push_back(Change{++revision_, key});
  if (history_.size() > history_limit_) history_.pop_front();
}

void PlatformStore::Detach(const std::string& key, const Record& record) {
  const auto it = leases_.find(record.lease);
  if (it != leases_.end()) it->second.keys.erase(key);
}

}  // namespace mimosa::standins
