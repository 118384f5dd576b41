// The stand-in platform's records, leases and history of changes: the model of
// base/kv_store.h without any I/O.
#ifndef STANDINS_PLATFORM_STORE_H_
#define STANDINS_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace mimosa::standins {

class PlatformStore {
 public:
  struct Record {
    std::string value;
    int64_t revision = 0;          // of its last change
    int64_t created_revision = 0;  // revision of its creation
    int64_t lease = 0;             // 0: the record stays until removed
  };
  // All or nothing: done if each expected key is at its revision (0: absent).
  struct Transaction {
    struct Write {
      std::string key;
      std::string value;
      int64_t lease = 0;
    };
    std::vector<std::pair<std::string, int64_t>> expected;
    std::vector<Write> writes;
    std::vector<std::string> removed_keys;
  };
  enum class Status { kOk, kConflict, kNoLease };
  struct WriteResult {
    Status status = Status::kOk;
    int64_t revision = 0;  // of the store after the write
  };
  struct Change {
    int64_t revision = 0;
    std::string key;
    bool removed = false;
  };
  struct Changes {
    bool too_old = false;
    std::vector<Change> entries;  // in order; the last one of a key counts
  };

  explicit PlatformStore(size_t history_limit)
      : history_limit_(history_limit) {}

  // nullptr if absent.
  const Record* Find(const std::string& key) const;
  WriteResult Commit(const Transaction& transaction);
  // One key's write under its expected revision.
  WriteResult Put(const std::string& key, std::string value, int64_t expect,
                  int64_t lease);
  WriteResult Delete(const std::string& key, int64_t expect);
  // At most `limit` records whose key starts with `prefix` and comes behind
  // `after`, by key.
  std::vector<std::pair<std::string, const Record*>> List(
      const std::string& prefix, const std::string& after = "",
      size_t limit = SIZE_MAX) const;
  // Changes under `prefix` after revision `after`.
  Changes ChangesAfter(const std::string& prefix, int64_t after) const;
  // Forgets all history: every watch of older revisions is too old.
  void Compact();

  int64_t CreateLease(Duration ttl, MonoTime now);
  bool RenewLease(int64_t lease, MonoTime now);
  void EndLease(int64_t lease);
  // Removes the records of all leases that ended by `now`.
  void ExpireLeases(MonoTime now);
  // Leases run `by` longer: they did not run during an outage.
  void ExtendLeases(Duration by);

  int64_t revision() const { return revision_; }

 private:
  struct Lease {
    Duration ttl{};
    MonoTime deadline{};
    std::set<std::string> keys;  // records that hang on it
  };

  int64_t RevisionOf(const std::string& key) const;
  void Remove(const std::string& key);
  void RecordChange(const std::string& key, bool removed);
  void DetachFromLease(const std::string& key, const Record& record);

  const size_t history_limit_;
  int64_t revision_ = 1;  // of the newest change
  int64_t next_lease_ = 1;
  int64_t compacted_revision_ = 1;  // history reaches back to here
  std::map<std::string, Record> records_;
  std::map<int64_t, Lease> leases_;
  std::deque<Change> history_;  // oldest first
};

}  // namespace mimosa::standins

#endif  // STANDINS_PLATFORM_STORE_H_
