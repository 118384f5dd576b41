// Implements records, leases and change history of the stand-in platform.
#include "standins/platform_store.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace mimosa::standins {

const PlatformStore::Record* PlatformStore::Find(const std::string& key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second;
}

int64_t PlatformStore::RevisionOf(const std::string& key) const {
  const Record* record = Find(key);
  return record == nullptr ? 0 : record->revision;
}

PlatformStore::WriteResult PlatformStore::Commit(
    const Transaction& transaction) {
  for (const auto& [key, expected] : transaction.expected)
    if (RevisionOf(key) != expected) return {Status::kConflict, revision_};
  for (const Transaction::Write& write : transaction.writes)
    if (write.lease != 0 && leases_.count(write.lease) == 0)
      return {Status::kNoLease, revision_};
  for (const Transaction::Write& write : transaction.writes) {
    const Record* old = Find(write.key);
    const int64_t created = old == nullptr ? 0 : old->created_revision;
    if (old != nullptr) DetachFromLease(write.key, *old);
    RecordChange(write.key, /*removed=*/false);
    if (write.lease != 0) leases_[write.lease].keys.insert(write.key);
    records_[write.key] =
        Record{write.value, revision_, created == 0 ? revision_ : created,
               write.lease};
  }
  for (const std::string& key : transaction.removed_keys) Remove(key);
  return {Status::kOk, revision_};
}

PlatformStore::WriteResult PlatformStore::Put(const std::string& key,
                                              std::string value, int64_t expect,
                                              int64_t lease) {
  Transaction transaction;
  transaction.expected = {{key, expect}};
  transaction.writes = {{key, std::move(value), lease}};
  return Commit(transaction);
}

PlatformStore::WriteResult PlatformStore::Delete(const std::string& key,
                                                 int64_t expect) {
  Transaction transaction;
  transaction.expected = {{key, expect}};
  transaction.removed_keys = {key};
  return Commit(transaction);
}

void PlatformStore::Remove(const std::string& key) {
  const auto it = records_.find(key);
  if (it == records_.end()) return;
  DetachFromLease(key, it->second);
  records_.erase(it);
  RecordChange(key, /*removed=*/true);
}

std::vector<std::pair<std::string, const PlatformStore::Record*>>
PlatformStore::List(const std::string& prefix, const std::string& after,
                    size_t limit) const {
  std::vector<std::pair<std::string, const Record*>> out;
  auto it = after.empty() ? records_.lower_bound(prefix)
                          : records_.upper_bound(after);
  for (; it != records_.end() && out.size() < limit &&
         StartsWith(it->first, prefix);
       ++it)
    out.emplace_back(it->first, &it->second);
  return out;
}

PlatformStore::Changes PlatformStore::ChangesAfter(const std::string& prefix,
                                                   int64_t after) const {
  Changes out;
  if (after < compacted_revision_ || after > revision_) {
    out.too_old = true;
    return out;
  }
  for (const Change& change : history_) {
    if (change.revision > after && StartsWith(change.key, prefix))
      out.entries.push_back(change);
  }
  return out;
}

void PlatformStore::Compact() {
  history_.clear();
  compacted_revision_ = revision_;
}

void PlatformStore::SaveCopy() {
  copy_ = Copy{revision_, next_lease_, records_, leases_};
}

void PlatformStore::RestoreCopy() {
  if (!copy_) return;
  revision_ = copy_->revision;
  next_lease_ = copy_->next_lease;
  records_ = copy_->records;
  leases_ = copy_->leases;
  ++era_;
  Compact();
}

int64_t PlatformStore::CreateLease(Duration ttl, MonoTime now) {
  const int64_t id = next_lease_++;
  leases_[id] = Lease{ttl, now + ttl, {}};
  return id;
}

bool PlatformStore::RenewLease(int64_t lease, MonoTime now) {
  ExpireLeases(now);
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return false;
  it->second.deadline = now + it->second.ttl;
  return true;
}

void PlatformStore::EndLease(int64_t lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return;
  const std::set<std::string> keys = std::move(it->second.keys);
  leases_.erase(it);
  for (const std::string& key : keys) Remove(key);
}

void PlatformStore::ExpireLeases(MonoTime now) {
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : leases_)
    if (lease.deadline <= now) expired.push_back(id);
  for (const int64_t id : expired) EndLease(id);
}

void PlatformStore::ExtendLeases(Duration by) {
  for (auto& [id, lease] : leases_) lease.deadline += by;
}

void PlatformStore::RecordChange(const std::string& key, bool removed) {
  history_.push_back(Change{++revision_, key, removed});
  if (history_.size() <= history_limit_) return;
  compacted_revision_ = history_.front().revision;
  history_.pop_front();
}

void PlatformStore::DetachFromLease(const std::string& key,
                                    const Record& record) {
  const auto it = leases_.find(record.lease);
  if (it != leases_.end()) it->second.keys.erase(key);
}

}  // namespace mimosa::standins
