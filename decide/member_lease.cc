// Quorums of grants at the holder, and promises at the witness.
#include "decide/member_lease.h"

#include <algorithm>
#include <utility>

namespace mimosa {

void LeaseHolder::SetWitnesses(WitnessSet witnesses) {
  witnesses_ = std::move(witnesses);
  changing_witnesses_ = false;
  next_witnesses_.clear();
}

void LeaseHolder::BeginWitnessChange(WitnessSet next) {
  next_witnesses_ = std::move(next);
  changing_witnesses_ = true;
}

void LeaseHolder::SettleWitnessChange(bool took_effect) {
  if (!changing_witnesses_) return;
  SetWitnesses(took_effect ? next_witnesses_ : witnesses_);
}

void LeaseHolder::OnGrant(const MemberId& witness, MonoTime sent) {
  auto [it, inserted] = last_grant_sent_at_.emplace(witness, sent);
  if (!inserted) it->second = std::max(it->second, sent);
}

MonoTime LeaseHolder::Deadline() const {
  if (ended_) return MonoTime::min();
  MonoTime deadline = DeadlineWith(witnesses_);
  if (changing_witnesses_)
    deadline = std::min(deadline, DeadlineWith(next_witnesses_));
  return deadline;
}

MonoTime LeaseHolder::DeadlineWith(const WitnessSet& witnesses) const {
  if (witnesses.empty()) return MonoTime::min();
  std::vector<MonoTime> sent;
  sent.reserve(witnesses.size());
  for (const MemberId& witness : witnesses)
    sent.push_back(LastGrantSentAt(witness));
  // The oldest grant of the best quorum determines the deadline.
  const size_t quorum = GrantQuorum(witnesses.size());
  std::nth_element(sent.begin(), sent.begin() + (quorum - 1), sent.end(),
                   std::greater<>());
  const MonoTime oldest = sent[quorum - 1];
  if (oldest == MonoTime::min()) return oldest;
  return oldest + lease_duration_ - DriftMargin(lease_duration_);
}

MonoTime LeaseHolder::LastGrantSentAt(const MemberId& witness) const {
  auto it = last_grant_sent_at_.find(witness);
  return it == last_grant_sent_at_.end() ? MonoTime::min() : it->second;
}

bool LeaseWitness::GrantLease(const MemberId& member, uint64_t epoch,
                              MonoTime now) {
  Promise& promise = promises_[member];
  if (promise.agreed_to_end && epoch <= promise.agreed_epoch) return false;
  promise.last_granted_at = now;
  promise.promised_until = now + lease_duration_;
  return true;
}

LeaseWitness::EndVote LeaseWitness::VoteToEnd(const MemberId& member,
                                              uint64_t epoch, MonoTime now) {
  Promise& promise = promises_[member];
  if (promise.agreed_to_end && epoch <= promise.agreed_epoch) return {true, {}};
  if (now < promise.promised_until)
    return {false, promise.promised_until - now};
  promise.agreed_to_end = true;
  promise.agreed_epoch = epoch;
  return {true, {}};
}

MonoTime LeaseWitness::LastGrantedAt(const MemberId& member) const {
  auto it = promises_.find(member);
  return it == promises_.end() ? MonoTime::min() : it->second.last_granted_at;
}

}  // namespace mimosa
