// Collects end votes of witnesses and marks members as ended.
#include "router/member_evictor.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/json.h"
#include "router/leaving_vm_tracker.h"

namespace mimosa {
namespace {

constexpr Duration kEndVoteTimeout = std::chrono::milliseconds(500);
constexpr Duration kEvictionRetryDelay = std::chrono::milliseconds(500);
// Attempts without an end quorum before the platform's list of VMs is read.
constexpr int kFailuresBeforeVmList = 2;
// How long the record of an ended member is kept for members whose records lag.
constexpr Duration kEndedRecordRetention = std::chrono::seconds(60);

}  // namespace

MemberEvictor::MemberEvictor(EventLoop* loop, KvStore* kv, PeerBus* bus,
                             RandomSource* random, FleetRecords* records,
                             MembershipSession* session,
                             const FleetOptions& options,
                             std::function<void(const MemberId&)> on_evicted)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      records_(records),
      session_(session),
      options_(options),
      on_evicted_(std::move(on_evicted)) {}

void MemberEvictor::Tick() {
  std::vector<MemberId> due;
  for (const auto& [id, entry] : records_->view().members()) {
    if (id == session_->self() || evictions_.count(id) > 0) continue;
    if (ShouldEvict(id, entry.record)) due.push_back(id);
  }
  for (const MemberId& id : due) {
    const MemberEntry* entry = records_->view().FindMember(id);
    if (entry != nullptr) StartEviction(id, *entry);
  }
  DeleteEndedRecords();
}

bool MemberEvictor::ShouldEvict(const MemberId& id,
                                const wire::MemberRecord& record) {
  if (record.ended()) {
    observed_members_.erase(id);
    return false;
  }
  const MonoTime now = loop_->Now();
  ObservedMember& observed = observed_members_[id];
  if (observed.observed_since == MonoTime() ||
      observed.epoch != record.epoch()) {
    observed = {now, record.epoch(), observed.failures, observed.retry_at};
  }
  if (now < observed.retry_at) return false;
  if (record.peer_address() == options_.peer_address.ToString()) return true;
  const auto& witnesses = record.witnesses();
  if (witnesses.empty()) return false;
  const auto own_entry =
      std::find(witnesses.begin(), witnesses.end(), session_->self().value());
  MonoTime last_contact = observed.observed_since;
  size_t rank = static_cast<size_t>(own_entry - witnesses.begin());
  if (own_entry != witnesses.end()) {
    last_contact =
        std::max(last_contact, session_->lease_witness().LastGrantedAt(id));
  } else {
    // If all witnesses have ended, the first watching member proposes the
    // eviction instead.
    const FleetView& view = records_->view();
    const bool all_witnesses_ended = std::all_of(
        witnesses.begin(), witnesses.end(), [&](const std::string& witness) {
          return view.HasEnded(MemberId(witness), Revision(0));
        });
    if (!all_witnesses_ended || !IsWatcher(view, session_->self(), 1))
      return false;
  }
  return now - last_contact > EndProposalDelay(options_.lease_duration, rank);
}

void MemberEvictor::StartEviction(const MemberId& id,
                                  const MemberEntry& entry) {
  Eviction& eviction = evictions_[id];
  eviction.target = entry;
  if (entry.record.peer_address() == options_.peer_address.ToString()) {
    WriteEnded(id);
    return;
  }
  // This member votes first, because its refusal costs no call.
  const auto& witnesses = entry.record.witnesses();
  std::vector<MemberId> others;
  for (const std::string& witness : witnesses) {
    if (witness != session_->self().value()) others.emplace_back(witness);
  }
  if (others.size() < static_cast<size_t>(witnesses.size())) {
    const auto own_vote = session_->mutable_lease_witness()->VoteToEnd(
        id, entry.record.epoch(), loop_->Now());
    if (!own_vote.agreed) {
      AbandonEviction(id);
      return;
    }
    ++eviction.end_votes;
    ++eviction.replies;
  }
  for (const MemberId& witness : others) RequestEndVote(id, &eviction, witness);
  if (eviction.witness_calls.empty()) OnAllWitnessesReplied(id);
}

void MemberEvictor::RequestEndVote(const MemberId& id, Eviction* eviction,
                                   const MemberId& witness) {
  Endpoint address;
  if (!records_->FindPeerAddress(witness, &address)) {
    ++eviction->replies;
    return;
  }
  wire::EndRequest request;
  request.set_member(id.value());
  request.set_by(session_->self().value());
  request.set_witness(witness.value());
  request.set_epoch(eviction->target.record.epoch());
  eviction->witness_calls.push_back(std::make_unique<WitnessCall>());
  WitnessCall* witness_call = eviction->witness_calls.back().get();
  witness_call->call =
      bus_->Call(address, "fleet.end", request, &witness_call->reply,
                 kEndVoteTimeout, [this, id, witness_call](PeerStatus status) {
                   OnWitnessReply(id, status == PeerStatus::kOk &&
                                          witness_call->reply.agreed());
                 });
}

void MemberEvictor::OnWitnessReply(const MemberId& id, bool agreed) {
  Eviction& eviction = evictions_.at(id);
  ++eviction.replies;
  if (agreed) ++eviction.end_votes;
  const size_t witnesses = eviction.target.record.witnesses_size();
  if (eviction.write_pending) return;
  if (eviction.end_votes >= EndQuorum(witnesses)) {
    WriteEnded(id);
  } else if (eviction.replies == witnesses) {
    OnAllWitnessesReplied(id);
  }
}

void MemberEvictor::OnAllWitnessesReplied(const MemberId& id) {
  Eviction& eviction = evictions_.at(id);
  if (eviction.end_votes >=
      EndQuorum(eviction.target.record.witnesses_size())) {
    WriteEnded(id);
  } else if (++observed_members_[id].failures >= kFailuresBeforeVmList &&
             eviction.target.record.listed()) {
    CheckVmList(id);
  } else {
    AbandonEviction(id);
  }
}

void MemberEvictor::CheckVmList(const MemberId& id) {
  Eviction& eviction = evictions_.at(id);
  eviction.kv_call =
      kv_->List(kVmKeyPrefix, [this, id](const KvListResult& result) {
        Eviction& current_eviction = evictions_.at(id);
        const KvStore::CallPtr call = std::move(current_eviction.kv_call);
        Endpoint address;
        const bool is_vm_gone =
            result.status == KvStatus::kOk &&
            Endpoint::Parse(current_eviction.target.record.peer_address(),
                            &address) &&
            !ContainsVm(result, address.ip);
        if (is_vm_gone) {
          WriteEnded(id);
        } else {
          AbandonEviction(id);
        }
      });
}

void MemberEvictor::WriteEnded(const MemberId& id) {
  Eviction& eviction = evictions_.at(id);
  eviction.write_pending = true;
  wire::MemberRecord record = eviction.target.record;
  record.set_ended(true);
  record.set_change_id(NewUniqueId(random_));
  eviction.kv_call = kv_->Put(
      records_->view().MemberKey(id), ToJson(record), eviction.target.revision,
      "", [this, id](const KvResult& result) { OnEndedWritten(id, result); });
}

void MemberEvictor::OnEndedWritten(const MemberId& id, const KvResult& result) {
  const KvStore::CallPtr call = std::move(evictions_.at(id).kv_call);
  if (result.status == KvStatus::kOk) {
    wire::MemberRecord record = evictions_.at(id).target.record;
    record.set_ended(true);
    evictions_.erase(id);
    records_->ApplyRecord({records_->view().MemberKey(id), ToJson(record),
                           result.record.revision});
    on_evicted_(id);
    return;
  }
  // After a conflict: the member itself or another evictor changed the record,
  // so the next attempt starts from the new one. After kNoReply: the next
  // attempt finds out by the same compare-and-swap whether the write took
  // effect.
  if (result.status == KvStatus::kConflict &&
      result.record.revision > Revision(0)) {
    records_->ApplyRecord({records_->view().MemberKey(id), result.record.value,
                           result.record.revision});
  }
  AbandonEviction(id);
}

void MemberEvictor::AbandonEviction(const MemberId& id) {
  observed_members_[id].retry_at = loop_->Now() + kEvictionRetryDelay;
  evictions_.erase(id);
}

void MemberEvictor::DeleteEndedRecords() {
  const FleetView& view = records_->view();
  if (!IsWatcher(view, session_->self(), 1)) return;
  // Owners of slots and witnesses of live members.
  std::set<MemberId> needed;
  for (const std::string& owner : view.slots().members()) needed.emplace(owner);
  for (const auto& [id, entry] : view.members()) {
    if (entry.record.ended()) continue;
    for (const std::string& witness : entry.record.witnesses())
      needed.emplace(witness);
  }
  const MonoTime now = loop_->Now();
  for (const auto& [id, entry] : view.members()) {
    if (!entry.record.ended() || needed.count(id) > 0) continue;
    const auto [it, inserted] = ended_since_.emplace(id, now);
    if (now - it->second < kEndedRecordRetention || deletions_.count(id) > 0)
      continue;
    // If the deletion fails, it is retried after the same time again.
    it->second = now;
    deletions_[id] = kv_->Delete(
        view.MemberKey(id), entry.revision, [this, id = id](const KvResult&) {
          const KvStore::CallPtr call = std::move(deletions_[id]);
          deletions_.erase(id);
          session_->mutable_lease_witness()->ForgetMember(id);
        });
  }
}

}  // namespace mimosa
