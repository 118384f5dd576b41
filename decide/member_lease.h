// The term: the time for which a member may use its exclusive rights.
//
// Model. A member's record in the platform names its witnesses. The member asks
// them again and again for a grant; a witness that grants promises, on its own
// clock, not to agree to the end of the member's term before the grant is over.
// The term holds until `grant` after the sending of the newest request that a
// grant quorum of the witnesses has answered, less a margin for clock drift.
// Whoever wants to end the term needs an end quorum of the same witnesses; the
// two quorums always share a witness (GrantQuorum + EndQuorum > set size), and
// that witness' promise is the whole proof.
//
// A change of the witness set is a compare-and-swap whose outcome may be in
// doubt; from before it is sent until it is settled, the term needs a grant
// quorum of both sets. A lease of the platform is a set of one witness.
#ifndef DECIDE_MEMBER_LEASE_H_
#define DECIDE_MEMBER_LEASE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

// Each clock's rate is within 1 / kClockDriftInverse of real time.
inline constexpr int64_t kClockDriftInverse = 500;

// Margin on a duration that was measured by one VM's clock and is relied on by
// another's: the two rates differ by less than 1 part in 200.
constexpr Duration DriftMargin(Duration d) { return d / 100; }

// A request answered by so many of `witnesses` renews the term.
constexpr size_t GrantQuorum(size_t witnesses) { return (witnesses + 1) / 2; }
// So many of `witnesses` must agree before the term is ended.
constexpr size_t EndQuorum(size_t witnesses) { return witnesses / 2 + 1; }

using WitnessSet = std::vector<MemberId>;

// The holder's side.
class LeaseHolder {
 public:
  explicit LeaseHolder(Duration grant) : lease_duration_(grant) {}

  // The record is in force with `witnesses` (not empty). Grants that were
  // received before count as far as these witnesses gave them.
  void SetWitnesses(WitnessSet witnesses);

  // A write that may bring `next` into force is about to be sent.
  void BeginWitnessChange(WitnessSet next);
  // The write is known to have taken effect, or to never take effect.
  void SettleWitnessChange(bool took_effect);

  // `witness` granted the request that was sent at `sent`.
  void OnGrant(const MemberId& witness, MonoTime sent);

  // The record was ended: the term never holds again.
  void OnEnded() { ended_ = true; }

  // The term holds before this time of the holder's own clock; MonoTime::min()
  // if it never held.
  MonoTime Deadline() const;
  // What Deadline() would be with `witnesses` alone.
  MonoTime DeadlineWith(const WitnessSet& witnesses) const;

  const WitnessSet& witnesses() const { return witnesses_; }
  const WitnessSet& next_witnesses() const { return next_witnesses_; }
  bool changing_witnesses() const { return changing_witnesses_; }
  bool ended() const { return ended_; }
  // When `witness` last granted (time of sending); MonoTime::min(): never.
  MonoTime LastGrantSentAt(const MemberId& witness) const;

 private:
  const Duration lease_duration_;
  WitnessSet witnesses_;       // of the record, as last settled
  WitnessSet next_witnesses_;  // meaningful while changing_
  bool changing_witnesses_ = false;
  bool ended_ = false;
  // Only grows, for each witness.
  std::map<MemberId, MonoTime> last_grant_sent_at_;
};

// The witness' side: what one process has promised. It lives and dies with the
// process; a restarted process is another member and bound by none of it,
// since no record names it yet.
class LeaseWitness {
 public:
  explicit LeaseWitness(Duration grant) : lease_duration_(grant) {}

  // `member` asks for a grant under its record of `epoch`.
  bool GrantLease(const MemberId& member, uint64_t epoch, MonoTime now);

  struct EndVote {
    bool agreed = false;
    Duration retry_after{};  // if not agreed: when to ask again
  };
  // Someone wants to end `member`, whose record is at `epoch`. Once agreed, no
  // request under that epoch or an older one is granted: a write that would
  // end a newer epoch is another question.
  EndVote VoteToEnd(const MemberId& member, uint64_t epoch, MonoTime now);

  // When `member` was last granted; MonoTime::min(): never.
  MonoTime LastGrantedAt(const MemberId& member) const;

  // The record is gone for good: nothing about it can be asked any more.
  void ForgetMember(const MemberId& member) { promises_.erase(member); }

 private:
  struct Promise {
    MonoTime last_granted_at = MonoTime::min();
    MonoTime promised_until = MonoTime::min();  // no end is agreed to before
    bool agreed_to_end = false;
    uint64_t agreed_epoch = 0;  // meaningful if agreed; only grows
  };

  const Duration lease_duration_;
  std::map<MemberId, Promise> promises_;
};

}  // namespace mimosa

#endif  // DECIDE_MEMBER_LEASE_H_
