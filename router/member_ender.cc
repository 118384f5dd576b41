// Collecting agreement and writing the end of a member.
#include "router/member_ender.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "base/json.h"
#include "router/vm_list.h"

namespace mimosa {
namespace {

constexpr Duration kEndTimeout = std::chrono::milliseconds(500);
constexpr Duration kEndRetry = std::chrono::milliseconds(500);
// Attempts without an end quorum before the list of VMs is asked.
constexpr int kFailuresBeforeVmList = 2;
// The record of an ended member is kept so long for those who lag.
constexpr Duration kEndedKept = std::chrono::seconds(60);

}  // namespace

MemberEnder::MemberEnder(EventLoop* loop, KvStore* kv, PeerBus* bus,
                         RandomSource* random, FleetRecords* records,
                         TermKeeper* term, const FleetOptions& options,
                         std::function<void(const MemberId&)> ended)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      records_(records),
      term_(term),
      options_(options),
      ended_(std::move(ended)) {}

void MemberEnder::Tick() {
  std::vector<MemberId> due;
  for (const auto& [id, entry] : records_->view().members()) {
    if (id == term_->self() || jobs_.count(id) > 0) continue;
    if (IsDue(id, entry.record)) due.push_back(id);
  }
  for (const MemberId& id : due) {
    const MemberEntry* entry = records_->view().Find(id);
    if (entry != nullptr) StartJob(id, *entry);
  }
  DeleteOldRecords();
}

bool MemberEnder::IsDue(const MemberId& id, const wire::MemberRecord& record) {
  if (record.ended()) {
    watched_.erase(id);
    return false;
  }
  const MonoTime now = loop_->Now();
  Watched& watched = watched_[id];
  if (watched.since == MonoTime() || watched.epoch != record.epoch()) {
    watched = {now, record.epoch(), watched.failures, watched.retry_at};
  }
  if (now < watched.retry_at) return false;
  if (record.peer_address() == options_.peer_address.ToString()) return true;
  const auto& witnesses = record.witnesses();
  if (witnesses.empty()) return false;
  const auto place =
      std::find(witnesses.begin(), witnesses.end(), term_->self().value());
  MonoTime heard = watched.since;
  size_t rank = static_cast<size_t>(place - witnesses.begin());
  if (place != witnesses.end()) {
    heard = std::max(heard, term_->book().LastAsked(id));
  } else {
    // Somebody must ask if none of the witnesses is there to do it.
    const FleetView& view = records_->view();
    const bool nobody = std::all_of(
        witnesses.begin(), witnesses.end(), [&](const std::string& witness) {
          return view.Over(MemberId(witness), Revision(0));
        });
    if (!nobody || !IsWatcher(view, term_->self(), 1)) return false;
  }
  return now - heard > SilenceBeforeEnd(options_.grant, rank);
}

void MemberEnder::StartJob(const MemberId& id, const MemberEntry& entry) {
  Job& job = jobs_[id];
  job.target = entry;
  if (entry.record.peer_address() == options_.peer_address.ToString()) {
    WriteEnded(id);
    return;
  }
  // Own agreement first: it is the cheapest no.
  const auto& witnesses = entry.record.witnesses();
  std::vector<MemberId> others;
  for (const std::string& witness : witnesses) {
    if (witness != term_->self().value()) others.emplace_back(witness);
  }
  if (others.size() < static_cast<size_t>(witnesses.size())) {
    const auto answer =
        term_->mutable_book()->Agree(id, entry.record.epoch(), loop_->Now());
    if (!answer.agreed) {
      GiveUp(id);
      return;
    }
    ++job.agreed;
    ++job.answers;
  }
  for (const MemberId& witness : others) AskWitness(id, &job, witness);
  if (job.asked.empty()) OnAllAnswered(id);
}

void MemberEnder::AskWitness(const MemberId& id, Job* job,
                             const MemberId& witness) {
  Endpoint address;
  if (!records_->AddressOf(witness, &address)) {
    ++job->answers;
    return;
  }
  wire::EndRequest request;
  request.set_member(id.value());
  request.set_by(term_->self().value());
  request.set_witness(witness.value());
  request.set_epoch(job->target.record.epoch());
  job->asked.push_back(std::make_unique<Asked>());
  Asked* asked = job->asked.back().get();
  asked->call = bus_->Call(
      address, "fleet.end", request, &asked->reply, kEndTimeout,
      [this, id, asked](PeerStatus status) {
        OnAnswer(id, status == PeerStatus::kOk && asked->reply.agreed());
      });
}

void MemberEnder::OnAnswer(const MemberId& id, bool agreed) {
  Job& job = jobs_.at(id);
  ++job.answers;
  if (agreed) ++job.agreed;
  const size_t witnesses = job.target.record.witnesses_size();
  if (job.writing) return;
  if (job.agreed >= EndQuorum(witnesses)) {
    WriteEnded(id);
  } else if (job.answers == witnesses) {
    OnAllAnswered(id);
  }
}

void MemberEnder::OnAllAnswered(const MemberId& id) {
  Job& job = jobs_.at(id);
  if (job.agreed >= EndQuorum(job.target.record.witnesses_size())) {
    WriteEnded(id);
  } else if (++watched_[id].failures >= kFailuresBeforeVmList &&
             job.target.record.listed()) {
    AskVmList(id);
  } else {
    GiveUp(id);
  }
}

void MemberEnder::AskVmList(const MemberId& id) {
  Job& job = jobs_.at(id);
  job.kv_call = kv_->List(kVmPrefix, [this, id](const KvListResult& result) {
    Job& own = jobs_.at(id);
    const KvStore::CallPtr call = std::move(own.kv_call);
    Endpoint address;
    const bool gone =
        result.status == KvStatus::kOk &&
        Endpoint::Parse(own.target.record.peer_address(), &address) &&
        !ListsVm(result, address.ip);
    if (gone) {
      WriteEnded(id);
    } else {
      GiveUp(id);
    }
  });
}

void MemberEnder::WriteEnded(const MemberId& id) {
  Job& job = jobs_.at(id);
  job.writing = true;
  wire::MemberRecord record = job.target.record;
  record.set_ended(true);
  record.set_change_id(NewId(random_));
  job.kv_call = kv_->Put(
      records_->view().MemberKey(id), ToJson(record), job.target.revision, "",
      [this, id](const KvResult& result) { OnWritten(id, result); });
}

void MemberEnder::OnWritten(const MemberId& id, const KvResult& result) {
  const KvStore::CallPtr call = std::move(jobs_.at(id).kv_call);
  if (result.status == KvStatus::kOk) {
    wire::MemberRecord record = jobs_.at(id).target.record;
    record.set_ended(true);
    jobs_.erase(id);
    records_->Learn({records_->view().MemberKey(id), ToJson(record),
                     result.record.revision});
    ended_(id);
    return;
  }
  // Changed meanwhile, by itself or by another who ended it: look again. No
  // reply: the next attempt finds out by the same compare-and-swap.
  if (result.status == KvStatus::kConflict &&
      result.record.revision > Revision(0)) {
    records_->Learn({records_->view().MemberKey(id), result.record.value,
                     result.record.revision});
  }
  GiveUp(id);
}

void MemberEnder::GiveUp(const MemberId& id) {
  watched_[id].retry_at = loop_->Now() + kEndRetry;
  jobs_.erase(id);
}

void MemberEnder::DeleteOldRecords() {
  const FleetView& view = records_->view();
  if (!IsWatcher(view, term_->self(), 1)) return;
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
          term_->mutable_book()->Forget(id);
        });
  }
}

}  // namespace mimosa
