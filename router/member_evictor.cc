// Collecting agreement and writing the end of a member.
#include "router/member_evictor.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/json.h"
#include "router/leaving_vm_tracker.h"

namespace mimosa {
namespace {

constexpr Duration kEndTimeout = std::chrono::milliseconds(500);
constexpr Duration kEndRetry = std::chrono::milliseconds(500);
// Attempts without an end quorum before the list of VMs is asked.
constexpr int kFailuresBeforeVmList = 2;
// The record of an ended member is kept so long for those who lag.
constexpr Duration kEndedKept = std::chrono::seconds(60);

}  // namespace

MemberEvictor::MemberEvictor(EventLoop* loop, KvStore* kv, PeerBus* bus,
                             RandomSource* random, FleetRecords* records,
                             MembershipSession* term,
                             const FleetOptions& options,
                             std::function<void(const MemberId&)> ended)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      records_(records),
      session_(term),
      options_(options),
      on_evicted_(std::move(ended)) {}

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
  ObservedMember& watched = observed_members_[id];
  if (watched.observed_since == MonoTime() || watched.epoch != record.epoch()) {
    watched = {now, record.epoch(), watched.failures, watched.retry_at};
  }
  if (now < watched.retry_at) return false;
  if (record.peer_address() == options_.peer_address.ToString()) return true;
  const auto& witnesses = record.witnesses();
  if (witnesses.empty()) return false;
  const auto place =
      std::find(witnesses.begin(), witnesses.end(), session_->self().value());
  MonoTime heard = watched.observed_since;
  size_t rank = static_cast<size_t>(place - witnesses.begin());
  if (place != witnesses.end()) {
    heard = std::max(heard, session_->lease_witness().LastGrantedAt(id));
  } else {
    // Somebody must ask if none of the witnesses is there to do it.
    const FleetView& view = records_->view();
    const bool nobody = std::all_of(
        witnesses.begin(), witnesses.end(), [&](const std::string& witness) {
          return view.HasEnded(MemberId(witness), Revision(0));
        });
    if (!nobody || !IsWatcher(view, session_->self(), 1)) return false;
  }
  return now - heard > EndProposalDelay(options_.lease_duration, rank);
}

void MemberEvictor::StartEviction(const MemberId& id,
                                  const MemberEntry& entry) {
  Eviction& job = evictions_[id];
  job.target = entry;
  if (entry.record.peer_address() == options_.peer_address.ToString()) {
    WriteEnded(id);
    return;
  }
  // Own agreement first: it is the cheapest no.
  const auto& witnesses = entry.record.witnesses();
  std::vector<MemberId> others;
  for (const std::string& witness : witnesses) {
    if (witness != session_->self().value()) others.emplace_back(witness);
  }
  if (others.size() < static_cast<size_t>(witnesses.size())) {
    const auto answer = session_->mutable_lease_witness()->VoteToEnd(
        id, entry.record.epoch(), loop_->Now());
    if (!answer.agreed) {
      AbandonEviction(id);
      return;
    }
    ++job.end_votes;
    ++job.replies;
  }
  for (const MemberId& witness : others) RequestEndVote(id, &job, witness);
  if (job.witness_calls.empty()) OnAllWitnessesReplied(id);
}

void MemberEvictor::RequestEndVote(const MemberId& id, Eviction* job,
                                   const MemberId& witness) {
  Endpoint address;
  if (!records_->FindPeerAddress(witness, &address)) {
    ++job->replies;
    return;
  }
  wire::EndRequest request;
  request.set_member(id.value());
  request.set_by(session_->self().value());
  request.set_witness(witness.value());
  request.set_epoch(job->target.record.epoch());
  job->witness_calls.push_back(std::make_unique<WitnessCall>());
  WitnessCall* asked = job->witness_calls.back().get();
  asked->call = bus_->Call(
      address, "fleet.end", request, &asked->reply, kEndTimeout,
      [this, id, asked](PeerStatus status) {
        OnWitnessReply(id, status == PeerStatus::kOk && asked->reply.agreed());
      });
}

void MemberEvictor::OnWitnessReply(const MemberId& id, bool agreed) {
  Eviction& job = evictions_.at(id);
  ++job.replies;
  if (agreed) ++job.end_votes;
  const size_t witnesses = job.target.record.witnesses_size();
  if (job.write_pending) return;
  if (job.end_votes >= EndQuorum(witnesses)) {
    WriteEnded(id);
  } else if (job.replies == witnesses) {
    OnAllWitnessesReplied(id);
  }
}

void MemberEvictor::OnAllWitnessesReplied(const MemberId& id) {
  Eviction& job = evictions_.at(id);
  if (job.end_votes >= EndQuorum(job.target.record.witnesses_size())) {
    WriteEnded(id);
  } else if (++observed_members_[id].failures >= kFailuresBeforeVmList &&
             job.target.record.listed()) {
    CheckVmList(id);
  } else {
    AbandonEviction(id);
  }
}

void MemberEvictor::CheckVmList(const MemberId& id) {
  Eviction& job = evictions_.at(id);
  job.kv_call = kv_->List(kVmKeyPrefix, [this, id](const KvListResult& result) {
    Eviction& own = evictions_.at(id);
    const KvStore::CallPtr call = std::move(own.kv_call);
    Endpoint address;
    const bool gone =
        result.status == KvStatus::kOk &&
        Endpoint::Parse(own.target.record.peer_address(), &address) &&
        !ContainsVm(result, address.ip);
    if (gone) {
      WriteEnded(id);
    } else {
      AbandonEviction(id);
    }
  });
}

void MemberEvictor::WriteEnded(const MemberId& id) {
  Eviction& job = evictions_.at(id);
  job.write_pending = true;
  wire::MemberRecord record = job.target.record;
  record.set_ended(true);
  record.set_change_id(NewUniqueId(random_));
  job.kv_call = kv_->Put(
      records_->view().MemberKey(id), ToJson(record), job.target.revision, "",
      [this, id](const KvResult& result) { OnEndedWritten(id, result); });
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
  // Changed meanwhile, by itself or by another who ended it: look again. No
  // reply: the next attempt finds out by the same compare-and-swap.
  if (result.status == KvStatus::kConflict &&
      result.record.revision > Revision(0)) {
    records_->ApplyRecord({records_->view().MemberKey(id), result.record.value,
                           result.record.revision});
  }
  AbandonEviction(id);
}

void MemberEvictor::AbandonEviction(const MemberId& id) {
  observed_members_[id].retry_at = loop_->Now() + kEndRetry;
  evictions_.erase(id);
}

void MemberEvictor::DeleteEndedRecords() {
  const FleetView& view = records_->view();
  if (!IsWatcher(view, session_->self(), 1)) return;
  std::set<MemberId> needed;  // owners of slots, witnesses of living members
  for (const std::string& owner : view.slots().members()) needed.emplace(owner);
  for (const auto& [id, entry] : view.members()) {
    if (entry.record.ended()) continue;
    for (const std::string& w : entry.record.witnesses()) needed.emplace(w);
  }
  const MonoTime now = loop_->Now();
  for (const auto& [id, entry] : view.members()) {
    if (!entry.record.ended() || needed.count(id) > 0) continue;
    const auto [it, first] = ended_since_.emplace(id, now);
    if (now - it->second < kEndedKept || deletions_.count(id) > 0) continue;
    it->second = now;  // when it fails, it is tried again after as long
    deletions_[id] = kv_->Delete(
        view.MemberKey(id), entry.revision, [this, id = id](const KvResult&) {
          const KvStore::CallPtr call = std::move(deletions_[id]);
          deletions_.erase(id);
          session_->mutable_lease_witness()->ForgetMember(id);
        });
  }
}

}  // namespace mimosa
