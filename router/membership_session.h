// One incarnation of this daemon as a member: its record in the platform, its
// term, and its promises as a witness of others.
//
// decide/member_lease.h has the rules; this class sends the rounds of grant
// requests, renews the platform lease where there are too few witnesses, and
// writes the record. A write that got no reply is repeated unchanged under the
// same revision and change id until the platform says what became of it.
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
    std::function<void()> joined;  // the record is written
    // The record was ended or is gone: this incarnation is over.
    std::function<void()> ended;
    std::function<void()>
        lease_acquired;  // a deadline was reached for the first time
  };

  MembershipSession(EventLoop* loop, KvStore* kv, PeerBus* bus,
                    RandomSource* random, FleetRecords* records,
                    const FleetOptions& options, const std::string& incarnation,
                    bool listed, Observers observers);

  const MemberId& self() const { return self_; }
  uint64_t epoch() const { return record_.epoch(); }
  bool joined() const { return joined_; }
  // Named in the record as last settled; 0: the term rests on a lease.
  int witness_count() const { return record_.witnesses_size(); }
  MonoTime LeaseDeadline() const;

  // Several times a grant: renews, joins, changes the witnesses.
  void Tick();

  // Writes that this member is leaving, or has ended; `done(ok)`.
  void WriteLeaving(std::function<void(bool)> done);
  void WriteEnded(std::function<void(bool)> done);

  // Peers' calls.
  wire::GrantReply HandleGrantRequest(const wire::GrantRequest& request);
  wire::EndReply HandleEndRequest(const wire::EndRequest& request);
  const LeaseWitness& lease_witness() const { return lease_witness_; }
  LeaseWitness* mutable_lease_witness() { return &lease_witness_; }

 private:
  // What holds the record up: witnesses, or a lease as the set's only member.
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
    bool sending = false;
    MonoTime retry_at;
    std::function<void(bool)> done;
  };
  struct GrantCall {
    std::unique_ptr<PeerCall> call;
    wire::GrantReply reply;
  };
  struct PeerHealth {
    int failures = 0;  // in a row
    MonoTime avoid_until = MonoTime::min();
  };

  static WitnessSet WitnessSetOf(const LeaseGrantors& backing);

  void RunGrantRound();
  void RequestGrant(const MemberId& witness);
  void OnGrantReply(const MemberId& witness, uint64_t round, MonoTime sent,
                    PeerStatus status);
  void RenewPlatformLease(const std::string& lease);
  void OnGranted(const MemberId& witness, MonoTime sent);

  void ReviewWitnesses();
  bool IsPeerUsable(const MemberId& id) const;
  bool IsWitnessSuitable(const MemberId& witness) const;
  void ProposeWitnesses(WitnessSet witnesses);
  void AdoptCandidateIfReady();
  void CreatePlatformLease();

  void StartRecordWrite(wire::MemberRecord record, LeaseGrantors backing,
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
  const MonoTime
      started_at_;  // promises of former incarnations end before this

  wire::MemberRecord record_;  // as last settled
  Revision revision_;          // of record_; 0: not written yet
  LeaseGrantors grantors_;     // of record_
  bool joined_ = false;
  bool ended_ = false;
  bool lease_was_held_ = false;
  LeaseHolder lease_holder_;
  LeaseWitness lease_witness_;

  std::optional<RecordWrite> record_write_;  // one at a time
  KvStore::CallPtr record_write_call_;
  // A backing that is asked for grants before the record is changed to it.
  std::optional<LeaseGrantors> candidate_grantors_;
  MonoTime candidate_since_;
  KvStore::CallPtr platform_lease_create_;
  std::map<std::string, KvStore::CallPtr> platform_lease_renewals_;  // by lease
  uint64_t round_ = 0;
  std::map<std::pair<MemberId, uint64_t>, std::unique_ptr<GrantCall>>
      grant_calls_;
  std::map<MemberId, PeerHealth> peer_health_;
};

}  // namespace mimosa

#endif  // ROUTER_MEMBERSHIP_SESSION_H_
