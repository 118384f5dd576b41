// Evicts dead members, so that other members can take over what they owned.
//
// Eviction marks a member's record as ended by compare-and-swap at the revision
// that was read before, once one of these proves that the member's lease has
// expired:
//   (i) an end quorum of the witnesses named in the record voted to end it;
//  (ii) the platform's list of VMs no longer shows a VM that it used to show;
// (iii) this process listens at that member's address, so the member's process
//       no longer runs.
// A record that a platform lease backs is removed together with that lease.
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
  // `on_evicted` runs after this daemon has evicted a member.
  MemberEvictor(EventLoop* loop, KvStore* kv, PeerBus* bus,
                RandomSource* random, FleetRecords* records,
                MembershipSession* session, const FleetOptions& options,
                std::function<void(const MemberId&)> on_evicted);

  // To be called several times per lease duration.
  void Tick();

 private:
  struct WitnessCall {
    std::unique_ptr<PeerCall> call;
    wire::EndReply reply;
  };
  // One attempt at evicting one member.
  struct Eviction {
    MemberEntry target;    // the member's record as read before
    size_t end_votes = 0;  // witnesses that voted to end the member
    size_t replies = 0;    // witnesses that replied or have no known address
    bool write_pending = false;
    std::vector<std::unique_ptr<WitnessCall>> witness_calls;
    KvStore::CallPtr kv_call;
  };
  struct ObservedMember {
    MonoTime observed_since;  // when the record was first seen at `epoch`
    uint64_t epoch = 0;       // epoch of the member's record
    int failures = 0;         // attempts without an end quorum
    MonoTime retry_at = MonoTime::min();
  };

  bool ShouldEvict(const MemberId& id, const wire::MemberRecord& record);
  void StartEviction(const MemberId& id, const MemberEntry& entry);
  void RequestEndVote(const MemberId& id, Eviction* eviction,
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
  // When each ended record that is to be deleted was first seen, or when its
  // deletion was last attempted.
  std::map<MemberId, MonoTime> ended_since_;
  std::map<MemberId, KvStore::CallPtr> deletions_;
};

}  // namespace mimosa

#endif  // ROUTER_MEMBER_EVICTOR_H_
