// Ends members that are gone, so that others can take over what they held.
//
// A member is ended by compare-and-swap on its record, at the revision that was
// read before, once one of these proves that its term is over:
//   (i) an end quorum of the witnesses that the record names agreed;
//  (ii) the platform's list of VMs no longer shows a VM that it had shown;
// (iii) this process listens at that member's address, so it is gone.
// A record under a platform lease goes by itself.
#ifndef ROUTER_MEMBER_EVICTOR_H_
#define ROUTER_MEMBER_EVICTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/kv_store.h"
#include "base/random.h"
#include "decide/membership.h"
#include "net/event_loop.h"
#include "router/fleet_options.h"
#include "router/fleet_records.h"
#include "router/membership_session.h"
#include "router/peer_bus.h"

namespace mimosa {

class MemberEvictor {
 public:
  // `ended` runs after this daemon ended a member.
  MemberEvictor(EventLoop* loop, KvStore* kv, PeerBus* bus,
                RandomSource* random, FleetRecords* records,
                MembershipSession* term, const FleetOptions& options,
                std::function<void(const MemberId&)> ended);

  // Several times a grant.
  void Tick();

 private:
  struct WitnessCall {
    std::unique_ptr<PeerCall> call;
    wire::EndReply reply;
  };
  // One attempt at ending one member.
  struct Eviction {
    MemberEntry target;  // what is to be ended, as read
    size_t end_votes = 0;
    size_t replies = 0;
    bool write_pending = false;
    std::vector<std::unique_ptr<WitnessCall>> witness_calls;
    KvStore::CallPtr kv_call;
  };
  struct ObservedMember {
    MonoTime observed_since;  // as a witness of this set
    uint64_t epoch = 0;       // of the record that names it
    int failures = 0;         // attempts without an end quorum
    MonoTime retry_at = MonoTime::min();
  };

  bool ShouldEvict(const MemberId& id, const wire::MemberRecord& record);
  void StartEviction(const MemberId& id, const MemberEntry& entry);
  void RequestEndVote(const MemberId& id, Eviction* job,
                      const MemberId& witness);
  void OnWitnessReply(const MemberId& id, bool agreed);
  void OnAllWitnessesReplied(const MemberId& id);
  void CheckVmList(const MemberId& id);
  void WriteEnded(const MemberId& id);
  void OnEndedWritten(const MemberId& id, const KvResult& result);
  void AbandonEviction(const MemberId& id);
  void DeleteEndedRecords();

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  FleetRecords* const records_;
  MembershipSession* const session_;
  const FleetOptions options_;
  const std::function<void(const MemberId&)> on_evicted_;
  std::map<MemberId, ObservedMember> observed_members_;
  std::map<MemberId, Eviction> evictions_;
  std::map<MemberId, MonoTime> ended_since_;  // of records to be deleted
  std::map<MemberId, KvStore::CallPtr> deletions_;
};

}  // namespace mimosa

#endif  // ROUTER_MEMBER_EVICTOR_H_
