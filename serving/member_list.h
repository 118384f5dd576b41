// The daemons of the fleet: registers this one in the platform's store and
// knows the others by their records.
//
// A record hangs on a lease that its daemon renews, so that a dead daemon's
// record goes by itself. Nothing depends on the list being exact: it says whom
// to tell about usage and by how many to share what is shared evenly.
#ifndef SERVING_MEMBER_LIST_H_
#define SERVING_MEMBER_LIST_H_

#include <map>
#include <memory>
#include <string>

#include "base/kv_store.h"
#include "base/line_log.h"
#include "base/random.h"
#include "net/event_loop.h"
#include "wire/usage.pb.h"

namespace mimosa {

class MemberList {
 public:
  struct Options {
    std::string key_prefix;  // of the members' records
    // A record outlives its daemon by this at most; longer than a store outage
    // that is common, so that the fleet doesn't shrink in one.
    Duration lease_ttl = std::chrono::seconds(15);
    Duration renewal_interval = std::chrono::seconds(5);
    Duration retry_delay = std::chrono::milliseconds(1500);
  };

  MemberList(EventLoop* loop, KvStore* store, RandomSource* random,
             LineLog* log, wire::EntryMember self, const Options& options);

  void Start();
  // Gives the lease back; the record goes with it.
  void Deregister();

  // From the watch over the store; `value` nullptr: the record is gone.
  void OnRecord(const std::string& name, const std::string* value);

  const wire::EntryMember& self() const { return self_; }
  // All members but this one, by name.
  const std::map<std::string, wire::EntryMember>& others() const {
    return others_;
  }
  // This one included.
  int size() const { return static_cast<int>(others_.size()) + 1; }

 private:
  void Register();
  void OnLeaseCreated(const KvResult& result);
  // `expect`: the revision of the record to replace; 0: none is there.
  void WriteRecord(Revision expect);
  void OnRecordWritten(const KvResult& result);
  void RenewLease();
  void OnLeaseRenewed(const KvResult& result);
  void ScheduleRetry();
  void ReplaceCall(KvStore::CallPtr call);

  EventLoop* const loop_;
  KvStore* const store_;
  RandomSource* const random_;
  LineLog* const log_;
  const wire::EntryMember self_;
  const Options options_;
  std::map<std::string, wire::EntryMember> others_;
  std::string lease_;  // empty: none is held
  KvStore::CallPtr call_;
  KvStore::CallPtr previous_call_;  // may be on the stack
  TimerHandle timer_;
};

}  // namespace mimosa

#endif  // SERVING_MEMBER_LIST_H_
