// The list of backend servers through losses of the platform's store.
//
// Model: records come and go one by one, or all at once from a fresh listing.
// While the store is away the list stands as it is. A record that is missing
// when the store is back may only have lapsed in the outage, and its server may
// be writing it again: it stays in the list, marked as held, for kReturnGrace;
// one still missing then is gone. Without an outage a removal counts at once.
//
// Load pattern answered: an outage in which leases lapse, so that the store
// comes back with none or few of the entries, at full traffic.
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
  // From the platform's contract: entries that lapsed during an outage are back
  // within this time of its end.
  static constexpr Duration kReregistrationGrace = std::chrono::seconds(2);

  struct ListedBackEnd {
    BackEndEntry entry;
    MonoTime learned_at{};         // when the entry was learnt
    bool removal_pending = false;  // its record is missing since an outage
  };

  // The entry of `entry.id` is this one now.
  void Put(BackEndEntry entry, MonoTime now);
  // The record is missing. An unreadable record counts as missing as well.
  void Remove(const BackEndId& id, MonoTime now);
  // These are all records there are.
  void ReplaceAll(std::vector<BackEndEntry> entries, MonoTime now);

  void OnStoreLost() { store_lost_ = true; }
  void OnStoreRegained(MonoTime now);

  // Drops what was held for its time.
  void RemoveExpired(MonoTime now);
  // When Expire() will have something to drop.
  std::optional<MonoTime> NextExpiry() const;

  const std::map<BackEndId, ListedBackEnd>& entries() const { return entries_; }

 private:
  bool DefersRemovals(MonoTime now) const {
    return store_lost_ || now < defer_removals_until_;
  }

  std::map<BackEndId, ListedBackEnd> entries_;
  bool store_lost_ = false;
  MonoTime defer_removals_until_{};  // removals before it are held until it
};

}  // namespace mimosa

#endif  // DECIDE_BACK_END_LIST_H_
