// Ends members that are gone, so that others can take over what they held.
//
// A member is ended by compare-and-swap on its record, at the revision that was
// read before, once one of these proves that its term is over:
//   (i) an end quorum of the witnesses that the record names agreed;
//  (ii) the platform's list of VMs no longer shows a VM that it had shown;
// (iii) this process listens at that member's address, so it is gone.
// A record under a platform lease goes by itself.
#ifndef ROUTER_MEMBER_ENDER_H_
#define ROUTER_MEMBER_ENDER_H_

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
#include "router/peer_bus.h"
#include "router/term_keeper.h"

namespace mimosa {

class MemberEnder {
 public:
  // `ended` runs after this daemon ended a member.
  MemberEnder(EventLoop* loop, KvStore* kv, PeerBus* bus, RandomSource* random,
              FleetRecords* records, TermKeeper* term,
              const FleetOptions& options,
              std::function<void(const MemberId&)> ended);

  // Several times a grant.
  void Tick();

 private:
  struct Asked {
    std::unique_ptr<PeerCall> call;
    wire::EndReply reply;
  };
  // One attempt at ending one member.
  struct Job {
    MemberEntry target;  // what is to be ended, as read
    size_t agreed = 0;
    size_t answers = 0;
    bool writing = false;
    std::vector<std::unique_ptr<Asked>> asked;
    KvStore::CallPtr kv_call;
  };
  struct Watched {
    MonoTime since;      // as a witness of this set
    uint64_t epoch = 0;  // of the record that names it
    int failures = 0;    // attempts without an end quorum
    MonoTime retry_at = MonoTime::min();
  };

  bool IsDue(const MemberId& id, const wire::MemberRecord& record);
  void StartJob(const MemberId& id, const MemberEntry& entry);
  void AskWitness(const MemberId& id, Job* job, const MemberId& witness);
  void OnAnswer(const MemberId& id, bool agreed);
  void OnAllAnswered(const MemberId& id);
  void AskVmList(const MemberId& id);
  void WriteEnded(const MemberId& id);
  void OnWritten(const MemberId& id, const KvResult& result);
  void GiveUp(const MemberId& id);
  void DeleteOldRecords();

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  FleetRecords* const records_;
  TermKeeper* const term_;
  const FleetOptions options_;
  const std::function<void(const MemberId&)> ended_;
  std::map<MemberId, Watched> watched_;
  std::map<MemberId, Job> jobs_;
  std::map<MemberId, MonoTime> ended_since_;  // of records to be deleted
  std::map<MemberId, KvStore::CallPtr> deletions_;
};

}  // namespace mimosa

#endif  // ROUTER_MEMBER_ENDER_H_
