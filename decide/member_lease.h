// The member lease: for how long a member may use its exclusive rights.
//
// Model. A member's record in the platform names its witnesses. The member asks
// them repeatedly for a grant, which renews its lease. A witness that grants
// promises, by its own clock, not to vote for the end of the member's lease
// before the lease duration has passed. The lease holds until one lease
// duration after the sending of the newest request that a grant quorum of the
// witnesses has granted, minus a margin for clock drift. Ending the lease needs
// the votes of an end quorum of the same witnesses. A grant quorum and an end
// quorum always share a witness (GrantQuorum + EndQuorum > set size), and the
// promise of that witness alone proves that nobody ends the lease while it
// holds.
//
// A change of the witness set is a compare-and-swap whose outcome may be
// unknown. From before it is sent until it is settled, the lease needs a grant
// quorum of both sets. A platform lease counts as a set of one witness.
#ifndef DECIDE_MEMBER_LEASE_H_
#define DECIDE_MEMBER_LEASE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

// The rate of each clock is within 1 / kClockDriftInverse of real time.
inline constexpr int64_t kClockDriftInverse = 500;

// Margin on a duration that is measured by one VM's clock and relied on by
// another VM's clock. The two rates differ by less than 1 part in 200.
constexpr Duration DriftMargin(Duration d) { return d / 100; }

// Number of `witnesses` that must grant a request to renew the lease.
constexpr size_t GrantQuorum(size_t witnesses) { return (witnesses + 1) / 2; }
// Number of `witnesses` that must vote for the end of the lease.
constexpr size_t EndQuorum(size_t witnesses) { return witnesses / 2 + 1; }

using WitnessSet = std::vector<MemberId>;

// The member's side of its lease.
class LeaseHolder {
 public:
  explicit LeaseHolder(Duration lease_duration)
      : lease_duration_(lease_duration) {}

  // The record is in force with `witnesses` (not empty). Earlier grants of
  // these witnesses count.
  void SetWitnesses(WitnessSet witnesses);

  // Must be called before a write is sent that may bring `next` into force.
  void BeginWitnessChange(WitnessSet next);
  // Must be called when it is known that the write took effect, or that it
  // never will.
  void SettleWitnessChange(bool took_effect);

  // `witness` granted the request that was sent at `sent`.
  void OnGrant(const MemberId& witness, MonoTime sent);

  // The record was ended: the lease never holds again.
  void OnEnded() { ended_ = true; }

  // The lease holds before this time of the holder's own clock. MonoTime::min()
  // if it never held.
  MonoTime Deadline() const;
  // The value of Deadline() if `witnesses` were the only set.
  MonoTime DeadlineWith(const WitnessSet& witnesses) const;

  const WitnessSet& witnesses() const { return witnesses_; }
  // The set that the pending change may bring into force.
  const WitnessSet& next_witnesses() const { return next_witnesses_; }
  bool changing_witnesses() const { return changing_witnesses_; }
  bool ended() const { return ended_; }
  // Sending time of the newest request that `witness` granted; MonoTime::min()
  // if none.
  MonoTime LastGrantSentAt(const MemberId& witness) const;

 private:
  const Duration lease_duration_;
  WitnessSet witnesses_;       // Of the record, as last settled.
  WitnessSet next_witnesses_;  // Meaningful while changing_witnesses_.
  bool changing_witnesses_ = false;
  bool ended_ = false;
  // Never decreases for a witness.
  std::map<MemberId, MonoTime> last_grant_sent_at_;
};

// The witness' side of member leases: what this process has promised. The state
// is lost with the process. A restarted process is a different member and is
// not bound by earlier promises, because no record names it as a witness yet.
class LeaseWitness {
 public:
  explicit LeaseWitness(Duration lease_duration)
      : lease_duration_(lease_duration) {}

  // Handles the request of `member` for a grant under its record of `epoch`.
  // Returns whether it is granted.
  bool GrantLease(const MemberId& member, uint64_t epoch, MonoTime now);

  struct EndVote {
    bool agreed = false;
    Duration retry_after{};  // If not agreed: when to ask again.
  };
  // Handles a request to evict `member`, whose record is at `epoch`. After
  // agreeing, no request under that epoch or an older one is granted. A write
  // that would end a newer epoch needs a new vote.
  EndVote VoteToEnd(const MemberId& member, uint64_t epoch, MonoTime now);

  // Time of the last grant to `member`; MonoTime::min() if none.
  MonoTime LastGrantedAt(const MemberId& member) const;

  // The record of `member` is deleted for good, so no request can refer to it
  // any more.
  void ForgetMember(const MemberId& member) { promises_.erase(member); }

 private:
  struct Promise {
    MonoTime last_granted_at = MonoTime::min();
    MonoTime promised_until = MonoTime::min();  // No end vote before this time.
    bool agreed_to_end = false;
    uint64_t agreed_epoch = 0;  // Meaningful if agreed_to_end; never decreases.
  };

  const Duration lease_duration_;
  std::map<MemberId, Promise> promises_;
};

}  // namespace mimosa

#endif  // DECIDE_MEMBER_LEASE_H_
