// Grant rounds, changes of the witness set and writes of this member's record.
#include "router/membership_session.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

// Returns the member id under which a platform lease counts as a witness.
MemberId PlatformLeaseWitness(const std::string& platform_lease) {
  return MemberId("@lease/" + platform_lease);
}

// Renewals per lease duration.
constexpr int kRoundsPerLease = 3;
// A witness that missed this many renewals in a row is replaced.
constexpr int kMaxFailures = 2;
// Number of lease durations for which a peer that failed is not chosen again.
constexpr int kAvoidLeaseDurations = 5;

// Returns the daemon's name in a member id: "a" for "a#1".
std::string DaemonNameOf(const std::string& member) {
  return member.substr(0, member.rfind('#'));
}

}  // namespace

MembershipSession::MembershipSession(EventLoop* loop, KvStore* kv, PeerBus* bus,
                                     RandomSource* random,
                                     FleetRecords* records,
                                     const FleetOptions& options,
                                     const std::string& incarnation,
                                     bool in_vm_list, Observers observers)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      records_(records),
      options_(options),
      observers_(std::move(observers)),
      self_(options.name + "#" + incarnation),
      started_at_(loop->Now()),
      lease_holder_(options.lease_duration),
      lease_witness_(options.lease_duration) {
  record_.set_member(self_.value());
  record_.set_name(options.name);
  record_.set_peer_address(options.peer_address.ToString());
  record_.set_failure_domain(options.failure_domain.value());
  record_.set_region(options.region);
  record_.set_listed(in_vm_list);
}

WitnessSet MembershipSession::WitnessSetOf(const LeaseGrantors& grantors) {
  if (grantors.uses_platform_lease())
    return {PlatformLeaseWitness(grantors.platform_lease)};
  return grantors.witnesses;
}

MonoTime MembershipSession::LeaseDeadline() const {
  if (options_.IsDisabled("term")) return loop_->Now() + std::chrono::hours(1);
  return joined_ ? lease_holder_.Deadline() : MonoTime::min();
}

void MembershipSession::Tick() {
  if (ended_) return;
  if (record_write_ && !record_write_->write_pending &&
      loop_->Now() >= record_write_->retry_at) {
    SendRecordWrite();
  }
  RunGrantRound();
  if (ended_ || record_write_) return;
  if (candidate_grantors_) {
    AdoptCandidateIfReady();
  } else {
    ReviewWitnesses();
  }
}

// --- Grants ------------------------------------------------------------------

void MembershipSession::RunGrantRound() {
  ++round_;
  std::map<MemberId, bool> witnesses;  // a set, sorted
  std::map<std::string, bool> platform_leases;
  const auto add = [&](const LeaseGrantors& grantors) {
    if (grantors.uses_platform_lease())
      platform_leases[grantors.platform_lease] = true;
    for (const MemberId& witness : grantors.witnesses)
      witnesses[witness] = true;
  };
  add(grantors_);
  if (candidate_grantors_) add(*candidate_grantors_);
  if (record_write_) add(record_write_->grantors);
  for (const auto& [witness, used] : witnesses) RequestGrant(witness);
  for (const auto& [platform_lease, used] : platform_leases)
    RenewPlatformLease(platform_lease);
}

void MembershipSession::RequestGrant(const MemberId& witness) {
  Endpoint address;
  if (!records_->FindPeerAddress(witness, &address)) return;
  wire::GrantRequest request;
  request.set_member(self_.value());
  request.set_witness(witness.value());
  request.set_epoch(record_.epoch());
  request.set_round(round_);
  *request.mutable_versions() = records_->versions();
  auto grant_call = std::make_unique<GrantCall>();
  const MonoTime sent = loop_->Now();
  grant_call->call =
      bus_->Call(address, "fleet.grant", request, &grant_call->reply,
                 options_.lease_duration / 2,
                 [this, witness, sent, round = round_](PeerStatus status) {
                   OnGrantReply(witness, round, sent, status);
                 });
  grant_calls_[{witness, round_}] = std::move(grant_call);
}

void MembershipSession::OnGrantReply(const MemberId& witness, uint64_t round,
                                     MonoTime sent, PeerStatus status) {
  auto it = grant_calls_.find({witness, round});
  const std::unique_ptr<GrantCall> grant_call = std::move(it->second);
  grant_calls_.erase(it);
  if (status == PeerStatus::kOk) {
    records_->OnPeerVersions(witness, grant_call->reply.versions(), sent);
  }
  PeerHealth& peer = peer_health_[witness];
  if (status == PeerStatus::kOk && grant_call->reply.granted()) {
    peer.failures = 0;
    OnGranted(witness, sent);
  } else if (++peer.failures >= kMaxFailures) {
    peer.avoid_until =
        loop_->Now() + kAvoidLeaseDurations * options_.lease_duration;
  }
  // A candidate set that is complete now need not wait for the next tick.
  if (!ended_ && candidate_grantors_ && !record_write_) AdoptCandidateIfReady();
}

void MembershipSession::OnGranted(const MemberId& witness, MonoTime sent) {
  lease_holder_.OnGrant(witness, sent);
  if (lease_was_held_ || loop_->Now() >= LeaseDeadline()) return;
  lease_was_held_ = true;
  observers_.lease_acquired();
}

void MembershipSession::RenewPlatformLease(const std::string& platform_lease) {
  if (platform_lease_renewals_.count(platform_lease) > 0) return;
  const MonoTime sent = loop_->Now();
  platform_lease_renewals_[platform_lease] = kv_->RenewLease(
      platform_lease, [this, platform_lease, sent](const KvResult& result) {
        const KvStore::CallPtr call =
            std::move(platform_lease_renewals_[platform_lease]);
        platform_lease_renewals_.erase(platform_lease);
        if (result.status == KvStatus::kOk) {
          records_->OnPlatformContact(sent);
          OnGranted(PlatformLeaseWitness(platform_lease), sent);
        } else if (result.status == KvStatus::kNotFound &&
                   grantors_.platform_lease == platform_lease &&
                   !record_write_) {
          OnMembershipEnded();  // the record was deleted with its lease
        }
      });
}

wire::GrantReply MembershipSession::HandleGrantRequest(
    const wire::GrantRequest& request) {
  wire::GrantReply reply;
  reply.set_round(request.round());
  *reply.mutable_versions() = records_->versions();
  if (request.witness() == self_.value()) {
    reply.set_granted(lease_witness_.GrantLease(MemberId(request.member()),
                                                request.epoch(), loop_->Now()));
  }
  return reply;
}

wire::EndReply MembershipSession::HandleEndRequest(
    const wire::EndRequest& request) {
  wire::EndReply reply;
  const MonoTime now = loop_->Now();
  if (request.witness() == self_.value()) {
    const auto end_vote = lease_witness_.VoteToEnd(MemberId(request.member()),
                                                   request.epoch(), now);
    reply.set_agreed(end_vote.agreed);
    reply.set_wait_ms(ToMillis(end_vote.retry_after) + 1);
  } else if (DaemonNameOf(request.witness()) == options_.name) {
    // The request is for a former incarnation of this daemon. It no longer
    // runs, and the last lease that it granted expires one lease duration after
    // this incarnation started.
    const MonoTime former_leases_expire_at =
        started_at_ + options_.lease_duration +
        DriftMargin(options_.lease_duration);
    reply.set_agreed(now >= former_leases_expire_at);
    reply.set_wait_ms(ToMillis(former_leases_expire_at - now) + 1);
  }
  return reply;
}

// --- Choice of witnesses -----------------------------------------------------

bool MembershipSession::IsPeerUsable(const MemberId& id) const {
  auto it = peer_health_.find(id);
  return it == peer_health_.end() || loop_->Now() >= it->second.avoid_until;
}

bool MembershipSession::IsWitnessSuitable(const MemberId& witness) const {
  const MemberEntry* entry = records_->view().FindMember(witness);
  return entry != nullptr && !entry->record.ended() &&
         !entry->record.leaving() && IsPeerUsable(witness);
}

void MembershipSession::ReviewWitnesses() {
  WitnessSet desired;
  if (!options_.IsDisabled("witness")) {
    desired = ChooseWitnesses(
        records_->view(), record_,
        [this](const MemberId& id) { return IsPeerUsable(id); });
  }
  if (joined_) {
    const bool are_grantors_suitable =
        grantors_.uses_platform_lease()
            ? desired.empty()
            : std::all_of(grantors_.witnesses.begin(),
                          grantors_.witnesses.end(),
                          [this](const MemberId& witness) {
                            return IsWitnessSuitable(witness);
                          });
    if (are_grantors_suitable && desired.size() <= grantors_.witnesses.size())
      return;
    // Random delay, so that the members that see a new member don't all change
    // their records at once.
    if (are_grantors_suitable && random_->UniformInt(kRoundsPerLease) != 0)
      return;
  }
  ProposeWitnesses(std::move(desired));
}

void MembershipSession::ProposeWitnesses(WitnessSet witnesses) {
  candidate_since_ = loop_->Now();
  if (witnesses.empty()) {
    CreatePlatformLease();
    return;
  }
  candidate_grantors_ = LeaseGrantors{std::move(witnesses), ""};
  for (const MemberId& witness : candidate_grantors_->witnesses)
    RequestGrant(witness);
}

void MembershipSession::CreatePlatformLease() {
  if (platform_lease_create_) return;
  const MonoTime sent = loop_->Now();
  platform_lease_create_ = kv_->CreateLease(
      options_.lease_duration, [this, sent](const KvResult& result) {
        const KvStore::CallPtr call = std::move(platform_lease_create_);
        if (ended_ || record_write_ || result.status != KvStatus::kOk) return;
        records_->OnPlatformContact(sent);
        lease_holder_.OnGrant(PlatformLeaseWitness(result.record.value), sent);
        candidate_grantors_ = LeaseGrantors{{}, result.record.value};
        AdoptCandidateIfReady();
      });
}

void MembershipSession::AdoptCandidateIfReady() {
  const MonoTime now = loop_->Now();
  // The candidate's grants must already last for a while, because once the
  // write is sent, the lease requires both the old and the new grantors.
  if (lease_holder_.DeadlineWith(WitnessSetOf(*candidate_grantors_)) >
      now + options_.lease_duration / 3) {
    wire::MemberRecord record = record_;
    record.clear_witnesses();
    for (const MemberId& witness : candidate_grantors_->witnesses) {
      record.add_witnesses(witness.value());
    }
    const LeaseGrantors grantors = *candidate_grantors_;
    candidate_grantors_.reset();
    StartRecordWrite(std::move(record), grantors, nullptr);
  } else if (now - candidate_since_ > options_.lease_duration) {
    // The recorded failures make the next proposal a different set.
    candidate_grantors_.reset();
  }
}

// --- The record --------------------------------------------------------------

void MembershipSession::StartRecordWrite(wire::MemberRecord record,
                                         LeaseGrantors grantors,
                                         std::function<void(bool)> done) {
  record.set_epoch(record_.epoch() + 1);
  record.set_change_id(NewUniqueId(random_));
  record_write_ = RecordWrite{
      std::move(record), std::move(grantors), revision_, false, false,
      loop_->Now(),      std::move(done)};
  lease_holder_.BeginWitnessChange(WitnessSetOf(record_write_->grantors));
  SendRecordWrite();
}

void MembershipSession::SendRecordWrite() {
  record_write_->write_pending = true;
  record_write_call_ = kv_->Put(
      records_->view().MemberKey(self_), ToJson(record_write_->record),
      record_write_->expected_revision, record_write_->grantors.platform_lease,
      [this](const KvResult& result) { OnRecordWritten(result); });
}

void MembershipSession::OnRecordWritten(const KvResult& result) {
  const KvStore::CallPtr call = std::move(record_write_call_);
  record_write_->write_pending = false;
  record_write_->retry_at =
      loop_->Now() + options_.lease_duration / kRoundsPerLease;
  switch (result.status) {
    case KvStatus::kOk:
      revision_ = result.record.revision;
      SettleRecordWrite(true);
      return;
    case KvStatus::kConflict:
    case KvStatus::kNotFound:
    case KvStatus::kCompacted: {
      wire::MemberRecord stored_record;
      if (result.record.revision > Revision(0) &&
          FromJson(result.record.value, false, &stored_record) &&
          stored_record.change_id() == record_write_->record.change_id()) {
        revision_ = result.record.revision;
        SettleRecordWrite(true);
      } else {
        // Other members change this record only to end this member.
        OnMembershipEnded();
      }
      return;
    }
    case KvStatus::kUnavailable:
      if (!record_write_->in_doubt) SettleRecordWrite(false);
      return;
    case KvStatus::kNoReply:
      record_write_->in_doubt = true;
      return;
  }
}

void MembershipSession::SettleRecordWrite(bool took_effect) {
  const RecordWrite write = std::move(*record_write_);
  record_write_.reset();
  const bool is_first_write = took_effect && !joined_;
  if (took_effect) {
    record_ = write.record;
    grantors_ = write.grantors;
    joined_ = true;
  }
  lease_holder_.SettleWitnessChange(took_effect);
  if (took_effect) {
    records_->ApplyRecord(
        {records_->view().MemberKey(self_), ToJson(record_), revision_});
  }
  if (is_first_write) observers_.joined();
  if (write.done) write.done(took_effect);
}

void MembershipSession::WriteLeaving(std::function<void(bool)> done) {
  if (ended_ || !joined_ || record_write_) {
    done(false);
    return;
  }
  candidate_grantors_.reset();
  wire::MemberRecord record = record_;
  record.set_leaving(true);
  StartRecordWrite(std::move(record), grantors_, std::move(done));
}

void MembershipSession::WriteEnded(std::function<void(bool)> done) {
  lease_holder_.OnEnded();
  if (ended_ || !joined_ || record_write_) {
    done(false);
    return;
  }
  candidate_grantors_.reset();
  wire::MemberRecord record = record_;
  record.set_ended(true);
  StartRecordWrite(std::move(record), LeaseGrantors{grantors_.witnesses, ""},
                   std::move(done));
}

void MembershipSession::OnMembershipEnded() {
  if (ended_) return;
  ended_ = true;
  lease_holder_.OnEnded();
  std::function<void(bool)> done;
  if (record_write_) done = std::move(record_write_->done);
  record_write_.reset();
  candidate_grantors_.reset();
  if (done) done(false);
  observers_.ended();
}

}  // namespace mimosa
