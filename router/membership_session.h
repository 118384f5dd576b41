// One incarnation of this daemon as a member: its record in the platform, its
// lease, and its promises as a witness of other members.
//
// decide/member_lease.h has the rules. This class sends the rounds of grant
// requests, renews a platform lease if there are too few witnesses, and writes
// the record. A write that got no reply is retried unchanged, with the same
// expected revision and change id, until a reply of the platform shows whether
// it took effect.
#ifndef ROUTER_MEMBERSHIP_SESSION_H_
#define ROUTER_MEMBERSHIP_SESSION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/kv_store.h"
#include "base/random.h"
#include "decide/member_lease.h"
#include "decide/membership.h"
#include "net/event_loop.h"
#include "router/fleet_options.h"
#include "router/fleet_records.h"
#include "router/peer_bus.h"

namespace mimosa {

class MembershipSession {
 public:
  struct Observers {
    // Runs once this member's record is written for the first time.
    std::function<void()> joined;
    // Runs when this incarnation has ended, because its record was marked as
    // ended or deleted.
    std::function<void()> ended;
    // Runs when the lease is held for the first time.
    std::function<void()> lease_acquired;
  };

  MembershipSession(EventLoop* loop, KvStore* kv, PeerBus* bus,
                    RandomSource* random, FleetRecords* records,
                    const FleetOptions& options, const std::string& incarnation,
                    bool in_vm_list, Observers observers);

  const MemberId& self() const { return self_; }
  uint64_t epoch() const { return record_.epoch(); }
  bool joined() const { return joined_; }
  // Number of witnesses that the last record known to be written names; 0 if a
  // platform lease backs the member lease.
  int witness_count() const { return record_.witnesses_size(); }
  // Time on this member's clock at which its lease expires; MonoTime::min() if
  // it has not joined.
  MonoTime LeaseDeadline() const;

  // Renews the lease, joins the fleet and changes the witnesses. To be called
  // several times per lease duration.
  void Tick();

  // Marks this member's record as leaving, then calls `done` with whether the
  // write took effect.
  void WriteLeaving(std::function<void(bool)> done);
  // Gives up the lease and marks the record as ended, then calls `done` with
  // whether the write took effect.
  void WriteEnded(std::function<void(bool)> done);

  // Handlers of the peers' calls "fleet.grant" and "fleet.end".
  wire::GrantReply HandleGrantRequest(const wire::GrantRequest& request);
  wire::EndReply HandleEndRequest(const wire::EndRequest& request);
  const LeaseWitness& lease_witness() const { return lease_witness_; }
  LeaseWitness* mutable_lease_witness() { return &lease_witness_; }

 private:
  // What backs the member lease: either witnesses, or a platform lease, which
  // counts as the only member of a witness set.
  struct LeaseGrantors {
    WitnessSet witnesses;
    std::string platform_lease;

    bool uses_platform_lease() const { return !platform_lease.empty(); }
  };
  struct RecordWrite {
    wire::MemberRecord record;
    LeaseGrantors grantors;
    Revision expected_revision;
    bool in_doubt = false;  // an attempt got no reply
    bool write_pending = false;
    MonoTime retry_at;
    std::function<void(bool)> done;
  };
  struct GrantCall {
    std::unique_ptr<PeerCall> call;
    wire::GrantReply reply;
  };
  struct PeerHealth {
    int failures = 0;  // consecutive ones
    // The peer is not chosen as a witness before this time.
    MonoTime avoid_until = MonoTime::min();
  };

  static WitnessSet WitnessSetOf(const LeaseGrantors& grantors);

  void RunGrantRound();
  void RequestGrant(const MemberId& witness);
  void OnGrantReply(const MemberId& witness, uint64_t round, MonoTime sent,
                    PeerStatus status);
  void RenewPlatformLease(const std::string& platform_lease);
  void OnGranted(const MemberId& witness, MonoTime sent);

  void ReviewWitnesses();
  bool IsPeerUsable(const MemberId& id) const;
  bool IsWitnessSuitable(const MemberId& witness) const;
  void ProposeWitnesses(WitnessSet witnesses);
  void AdoptCandidateIfReady();
  void CreatePlatformLease();

  void StartRecordWrite(wire::MemberRecord record, LeaseGrantors grantors,
                        std::function<void(bool)> done);
  void SendRecordWrite();
  void OnRecordWritten(const KvResult& result);
  void SettleRecordWrite(bool took_effect);
  void OnMembershipEnded();

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  FleetRecords* const records_;
  const FleetOptions options_;
  const Observers observers_;
  const MemberId self_;
  // Start of this incarnation. Former incarnations made no promise after it.
  const MonoTime started_at_;

  // This member's record as of the last write that is known to have taken
  // effect.
  wire::MemberRecord record_;
  // Revision of `record_`; 0 if it has not been written.
  Revision revision_;
  // The grantors of the lease under `record_`.
  LeaseGrantors grantors_;
  bool joined_ = false;
  bool ended_ = false;
  bool lease_was_held_ = false;
  LeaseHolder lease_holder_;
  LeaseWitness lease_witness_;

  // The only write of the record in progress, if any.
  std::optional<RecordWrite> record_write_;
  KvStore::CallPtr record_write_call_;
  // Grantors from which grants are requested before the record is changed to
  // name them.
  std::optional<LeaseGrantors> candidate_grantors_;
  MonoTime candidate_since_;
  KvStore::CallPtr platform_lease_create_;
  // Renewals in progress, by platform lease.
  std::map<std::string, KvStore::CallPtr> platform_lease_renewals_;
  uint64_t round_ = 0;
  // Grant requests in progress, by witness and round.
  std::map<std::pair<MemberId, uint64_t>, std::unique_ptr<GrantCall>>
      grant_calls_;
  std::map<MemberId, PeerHealth> peer_health_;
};

}  // namespace mimosa

#endif  // ROUTER_MEMBERSHIP_SESSION_H_
