// Membership of the fleet: registers this daemon in the platform's store and
// tracks the other daemons by their records.
//
// Each record is attached to a platform lease that its daemon renews, so that
// the record of a dead daemon expires. The list need not be exact: it serves to
// select the peers for usage reports and to divide evenly shared limits.
//
// While the store is away, leases may expire. Records that are missing when it
// is back belong to members that are about to register again, most likely: they
// stay in the list for that long. Otherwise all members would take themselves
// for the only one.
#ifndef SERVING_MEMBER_LIST_H_
#define SERVING_MEMBER_LIST_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/kv_store.h"
#include "base/line_log.h"
#include "base/random.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "wire/usage.pb.h"

namespace mimosa {

class MemberList {
 public:
  struct Options {
    std::string key_prefix;  // Prefix of the members' records.
    // TTL of the platform lease, and the longest time that a record outlives
    // its daemon. Longer than a common store outage, so that the member list
    // does not shrink during one.
    Duration lease_ttl = std::chrono::seconds(15);
    // Time between two renewals of the lease.
    Duration renewal_interval = std::chrono::seconds(5);
    // Delay after a failed call; jitter is added when registering.
    Duration retry_delay = std::chrono::milliseconds(1500);
    // Time within which members have registered again and are listed, after an
    // outage of the store.
    Duration reregistration_time = std::chrono::seconds(3);
  };
  // Receives the name of a member that is no longer in the list.
  using GoneObserver = std::function<void(const std::string& name)>;

  MemberList(EventLoop* loop, KvStore* store, RandomSource* random,
             LineLog* log, wire::EntryMember self, const Options& options);

  void Start();
  // Ends the lease, which removes the record.
  void Deregister();

  void SetGoneObserver(GoneObserver observer) {
    on_gone_ = std::move(observer);
  }

  // Called when the store responds again, before what has changed meanwhile.
  void OnStoreRegained();
  // Called when the store has come back from an older copy: the lease is gone,
  // or counts as gone.
  void OnStoreRestored();

  // Called by the watch on the store. `value` is nullptr if the record was
  // removed.
  void OnRecord(const std::string& name, const std::string* value);

  const wire::EntryMember& self() const { return self_; }
  // All members except this one, by name.
  const std::map<std::string, wire::EntryMember>& others() const {
    return others_;
  }
  // Returns the names of the `count` members with the highest rendezvous hashes
  // for `key`, the highest first; fewer if there are fewer. Includes this one.
  std::vector<std::string> TopMembers(std::string_view key, size_t count) const;
  // The same among the other members.
  std::vector<std::string> TopOthers(std::string_view key, size_t count) const;
  // Returns where to send datagrams for another member; nullopt if it is
  // unknown or its record is invalid.
  std::optional<Endpoint> FindAddress(const std::string& name) const;
  // Returns the other member whose datagrams come from `address`; nullptr if
  // there is none.
  const wire::EntryMember* FindMember(const Endpoint& address) const;
  // Returns whether datagrams of another member come from `address`.
  bool IsMemberAddress(const Endpoint& address) const {
    return FindMember(address) != nullptr;
  }
  // Number of members, including this one.
  int size() const { return static_cast<int>(others_.size()) + 1; }

 private:
  void Register();
  void OnLeaseCreated(const KvResult& result);
  // `expected` is the revision of the record to replace; 0 means that there is
  // none.
  void WriteRecord(Revision expected);
  void OnRecordWritten(const KvResult& result);
  void RenewLease();
  void OnLeaseRenewed(const KvResult& result);
  void ScheduleRetry();
  void ReplaceCall(KvStore::CallPtr call);
  // Keeps members whose records are missing in the list for `time`.
  void DeferRemovals(Duration time);
  void RemoveMissing();
  void Remove(const std::string& name);

  EventLoop* const loop_;
  KvStore* const store_;
  RandomSource* const random_;
  LineLog* const log_;
  const wire::EntryMember self_;
  const Options options_;
  GoneObserver on_gone_;
  std::map<std::string, wire::EntryMember> others_;
  // Those of others_ whose records are missing. Empty once removals_due_at_ has
  // come.
  std::set<std::string> missing_;
  MonoTime removals_due_at_{};
  TimerHandle removal_timer_;
  std::string lease_;  // Empty if no lease is held.
  KvStore::CallPtr call_;
  KvStore::CallPtr previous_call_;  // May be on the stack.
  TimerHandle timer_;
};

}  // namespace mimosa

#endif  // SERVING_MEMBER_LIST_H_
