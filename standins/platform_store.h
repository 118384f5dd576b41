// Holds the stand-in platform's records, leases and change history. Implements
// the data model of base/kv_store.h without any I/O.
#ifndef STANDINS_PLATFORM_STORE_H_
#define STANDINS_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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
    int64_t revision = 0;          // revision of the record's last change
    int64_t created_revision = 0;  // revision at which the record was created
    int64_t lease = 0;             // 0 if the record doesn't depend on a lease
  };
  // Describes an atomic transaction. It is committed if each expected key is at
  // the given revision, where 0 means absent, and each lease of a write exists;
  // otherwise it changes nothing.
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
    int64_t revision = 0;  // revision of the store after the write
  };
  struct Change {
    int64_t revision = 0;
    std::string key;
    bool removed = false;
  };
  struct Changes {
    bool too_old = false;
    // In order of revision. A key may occur several times; its last change is
    // the valid one.
    std::vector<Change> entries;
  };

  explicit PlatformStore(size_t history_limit)
      : history_limit_(history_limit) {}

  // Returns the record, or nullptr if it is absent.
  const Record* Find(const std::string& key) const;
  WriteResult Commit(const Transaction& transaction);
  // Writes one record if its key is at the expected revision.
  WriteResult Put(const std::string& key, std::string value, int64_t expect,
                  int64_t lease);
  // Removes one record if its key is at the expected revision.
  WriteResult Delete(const std::string& key, int64_t expect);
  // Returns up to `limit` records, sorted by key, whose key starts with
  // `prefix` and is greater than `after`.
  std::vector<std::pair<std::string, const Record*>> List(
      const std::string& prefix, const std::string& after = "",
      size_t limit = SIZE_MAX) const;
  // Returns the changes of keys under `prefix` after revision `after`, or sets
  // `too_old` if the history doesn't reach back that far or the store has not
  // got to that revision.
  Changes ChangesAfter(const std::string& prefix, int64_t after) const;
  // Discards the change history, so that every watch from an older revision is
  // too old.
  void Compact();

  // Keeps a copy of all records and leases.
  void SaveCopy();
  // Goes back to the last copy, without any history, and begins a new era.
  // Revisions and lease ids are given out again. Does nothing without a copy.
  void RestoreCopy();

  int64_t CreateLease(Duration ttl, MonoTime now);
  bool RenewLease(int64_t lease, MonoTime now);
  void EndLease(int64_t lease);
  // Removes the leases that have expired by `now`, and their records.
  void ExpireLeases(MonoTime now);
  // Extends all leases by `by`, for an outage during which leases don't expire.
  void ExtendLeases(Duration by);

  int64_t revision() const { return revision_; }
  int64_t era() const { return era_; }

 private:
  struct Lease {
    Duration ttl{};
    MonoTime deadline{};
    std::set<std::string> keys;  // records that are removed with the lease
  };

  struct Copy {
    int64_t revision = 0;
    int64_t next_lease = 0;
    std::map<std::string, Record> records;
    std::map<int64_t, Lease> leases;
  };

  int64_t RevisionOf(const std::string& key) const;
  void Remove(const std::string& key);
  void RecordChange(const std::string& key, bool removed);
  void DetachFromLease(const std::string& key, const Record& record);

  const size_t history_limit_;
  int64_t revision_ = 1;  // revision of the newest change
  int64_t next_lease_ = 1;
  // The history has all changes after this revision.
  int64_t compacted_revision_ = 1;
  std::map<std::string, Record> records_;
  std::map<int64_t, Lease> leases_;
  std::deque<Change> history_;  // oldest first
  std::optional<Copy> copy_;
  int64_t era_ = 1;
};

}  // namespace mimosa::standins

#endif  // STANDINS_PLATFORM_STORE_H_
