// The stand-in platform's records, leases and history of changes: the model of
// router/kv_store.h without any I/O.
#ifndef STANDINS_PLATFORM_STORE_H_
#define STANDINS_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace mimosa::standins {

class PlatformStore {
 public:
  struct Record {
    std::string value;
    int64_t revision = 0;
    std::string lease;  // empty: the record stays until deleted
  };
  enum class Status { kOk, kConflict, kNotFound, kNoLease };
  struct WriteResult {
    Status status = Status::kOk;
    int64_t revision = 0;  // of the store after the write
  };
  struct Changes {
    bool too_old = false;
    std::set<std::string> keys;  // changed or deleted since
  };

  explicit PlatformStore(size_t history_limit)
      : history_limit_(history_limit) {}

  // nullptr if absent.
  const Record* Find(const std::string& key) const;
  WriteResult Put(const std::string& key, std::string value, int64_t expect,
                  const std::string& lease);
  WriteResult Delete(const std::string& key, int64_t expect);
  // Records whose key starts with `prefix`, by key.
  std::vector<std::pair<std::string, const Record*>> List(
      const std::string& prefix) const;
  // Keys under `prefix` that changed after revision `after`.
  Changes ChangesAfter(const std::string& prefix, int64_t after) const;

  std::string CreateLease(Duration ttl, MonoTime now);
  bool RenewLease(const std::string& lease, MonoTime now);
  void EndLease(const std::string& lease);
  // Removes the records of all leases that ended by `now`.
  void ExpireLeases(MonoTime now);

  int64_t revision() const { return revision_; }

 private:
  struct Lease {
    Duration ttl{};
    MonoTime deadline{};
    std::set<std::string> keys;  // records that hang on it
  };
  struct Change {
    int64_t revision = 0;
    std::string key;
  };

  void NoteChange(const std::string& key);
  void Detach(const std::string& key, const Record& record);

  const size_t history_limit_;
  int64_t revision_ = 0;  // of the newest change
  uint64_t next_lease_ = 1;
  std::map<std::string, Record> records_;
  std::map<std::string, Lease> leases_;
  // Oldest first, without gaps: revisions [front, revision_].
  std::deque<Change> history_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_PLATFORM_STORE_H_
