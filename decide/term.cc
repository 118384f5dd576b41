// Quorums of grants at the holder, promises at the witness.
#include "decide/term.h"

#include <algorithm>
#include <utility>

namespace mimosa {

void TermHolder::SetWitnesses(WitnessSet witnesses) {
  witnesses_ = std::move(witnesses);
  changing_ = false;
  next_.clear();
}

void TermHolder::BeginChange(WitnessSet next) {
  next_ = std::move(next);
  changing_ = true;
}

void TermHolder::SettleChange(bool took_effect) {
  if (!changing_) return;
  SetWitnesses(took_effect ? next_ : witnesses_);
}

void TermHolder::OnGrant(const MemberId& witness, MonoTime sent) {
  auto [it, inserted] = last_grant_.emplace(witness, sent);
  if (!inserted) it->second = std::max(it->second, sent);
}

MonoTime TermHolder::Deadline() const {
  if (ended_) return MonoTime::min();
  MonoTime deadline = DeadlineOf(witnesses_);
  if (changing_) deadline = std::min(deadline, DeadlineOf(next_));
  return deadline;
}

MonoTime TermHolder::DeadlineOf(const WitnessSet& witnesses) const {
  if (witnesses.empty()) return MonoTime::min();
  std::vector<MonoTime> sent;
  sent.reserve(witnesses.size());
  for (const MemberId& witness : witnesses) sent.push_back(LastGrant(witness));
  // The quorum's weakest promise is the one that counts.
  const size_t quorum = GrantQuorum(witnesses.size());
  std::nth_element(sent.begin(), sent.begin() + (quorum - 1), sent.end(),
                   std::greater<>());
  const MonoTime weakest = sent[quorum - 1];
  if (weakest == MonoTime::min()) return weakest;
  return weakest + grant_ - DriftMargin(grant_);
}

MonoTime TermHolder::LastGrant(const MemberId& witness) const {
  auto it = last_grant_.find(witness);
  return it == last_grant_.end() ? MonoTime::min() : it->second;
}

bool WitnessBook::Grant(const MemberId& member, uint64_t epoch, MonoTime now) {
  Promise& promise = promises_[member];
  if (promise.agreed && epoch <= promise.agreed_epoch) return false;
  promise.last_asked = now;
  promise.until = now + grant_;
  return true;
}

WitnessBook::EndAnswer WitnessBook::Agree(const MemberId& member,
                                          uint64_t epoch, MonoTime now) {
  Promise& promise = promises_[member];
  if (promise.agreed && epoch <= promise.agreed_epoch) return {true, {}};
  if (now < promise.until) return {false, promise.until - now};
  promise.agreed = true;
  promise.agreed_epoch = epoch;
  return {true, {}};
}

MonoTime WitnessBook::LastAsked(const MemberId& member) const {
  auto it = promises_.find(member);
  return it == promises_.end() ? MonoTime::min() : it->second.last_asked;
}

}  // namespace mimosa
