// The list of backend servers, kept through outages of the platform's store.
//
// Model: records are added and removed one by one, or replaced by a fresh
// listing. While the store is unavailable the list doesn't change. A record
// that is missing when the store is back may only have expired during the
// outage, and its server may be about to write it again. Its entry stays in the
// list for kReregistrationGrace, marked as pending removal, and is removed if
// the record is still missing then. Without an outage a removal takes effect at
// once.
//
// The store may also come back from an older copy of its records. Entries that
// the copy lacks are treated in the same way. Servers that drained or were
// removed after the copy was made are listed as before by it, until they write
// their entries again or these expire; they count as draining for so long.
//
// Load pattern: an outage during which leases expire, so that the store comes
// back with few or no entries while traffic is at its full level; a release
// during which the store comes back from a copy made before it.
#ifndef DECIDE_BACK_END_LIST_H_
#define DECIDE_BACK_END_LIST_H_

#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "decide/site.h"

namespace mimosa {

class BackEndList {
 public:
  // By the platform's contract, entries that expired during an outage are
  // written again within this time after its end.
  static constexpr Duration kReregistrationGrace = std::chrono::seconds(2);
  // Age of the oldest copy that the store comes back from.
  static constexpr Duration kMaxCopyAge = std::chrono::seconds(30);
  // The entry of a server that has ended expires within this time.
  static constexpr Duration kMaxEntryExpiry = std::chrono::seconds(10);

  struct ListedBackEnd {
    BackEndEntry entry;
    MonoTime learned_at{};         // When the entry was read.
    bool removal_pending = false;  // Missing since an outage.
    // Counts as draining until then, although its entry says otherwise.
    MonoTime presumed_draining_until{};
  };

  // Adds or replaces the entry of `entry.id`.
  void Put(BackEndEntry entry, MonoTime now);
  // Handles a missing record. An unreadable record counts as missing as well.
  void Remove(const BackEndId& id, MonoTime now);
  // Replaces the list by `entries`, a complete listing. Entries that are not in
  // it are removed as by Remove().
  void ReplaceAll(std::vector<BackEndEntry> entries, MonoTime now);

  // The same with a listing of a store that has come back from an older copy.
  void ReplaceByOlderCopy(std::vector<BackEndEntry> entries, MonoTime now);

  void OnStoreLost() { store_lost_ = true; }
  void OnStoreRegained(MonoTime now);

  // Removes the entries that are pending removal once the grace is over, and
  // presumes servers to drain no longer.
  void RemoveExpired(MonoTime now);
  // Time at which RemoveExpired() has something to do, if any.
  std::optional<MonoTime> NextExpiry() const;

  const std::map<BackEndId, ListedBackEnd>& entries() const { return entries_; }

 private:
  // A server that drained or was removed.
  struct Departure {
    int64_t incarnation = 0;
    MonoTime at{};
  };

  void RecordDeparture(const BackEndEntry& entry, MonoTime now);
  // Whether a copy may list the server as it was before it departed.
  bool HasDeparted(const BackEndEntry& entry, MonoTime now) const;

  bool DefersRemovals(MonoTime now) const {
    return store_lost_ || now < defer_removals_until_;
  }

  std::map<BackEndId, ListedBackEnd> entries_;
  std::map<BackEndId, Departure> departures_;  // Within kMaxCopyAge.
  bool store_lost_ = false;
  MonoTime defer_removals_until_{};  // Removals are deferred before this time.
};

}  // namespace mimosa

#endif  // DECIDE_BACK_END_LIST_H_
