// Rounds of grants, witness sets and the writes of the own record.
#include "router/membership_session.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

// A lease of the platform counts as one witness of its own name.
MemberId PlatformLeaseWitness(const std::string& lease) {
  return MemberId("@lease/" + lease);
}

// Renewals in the life of a grant.
constexpr int kRoundsPerGrant = 3;
// A witness that missed so many renewals is replaced.
constexpr int kMaxFailures = 2;
// For how many grants a peer that failed is not chosen again.
constexpr int kAvoidGrants = 5;

// "a" of "a#1".
std::string NameOf(const std::string& member) {
  return member.substr(0, member.rfind('#'));
}

}  // namespace

MembershipSession::MembershipSession(EventLoop* loop, KvStore* kv, PeerBus* bus,
                                     RandomSource* random,
                                     FleetRecords* records,
                                     const FleetOptions& options,
                                     const std::string& incarnation,
                                     bool listed, Observers observers)
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
  record_.set_listed(listed);
}

WitnessSet MembershipSession::WitnessSetOf(const LeaseGrantors& backing) {
  if (backing.uses_platform_lease())
    return {PlatformLeaseWitness(backing.platform_lease)};
  return backing.witnesses;
}

MonoTime MembershipSession::LeaseDeadline() const {
  if (options_.IsDisabled("term")) return loop_->Now() + std::chrono::hours(1);
  return joined_ ? lease_holder_.Deadline() : MonoTime::min();
}

void MembershipSession::Tick() {
  if (ended_) return;
  if (record_write_ && !record_write_->sending &&
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
  std::map<std::string, bool> leases;
  const auto add = [&](const LeaseGrantors& backing) {
    if (backing.uses_platform_lease()) leases[backing.platform_lease] = true;
    for (const MemberId& witness : backing.witnesses) witnesses[witness] = true;
  };
  add(grantors_);
  if (candidate_grantors_) add(*candidate_grantors_);
  if (record_write_) add(record_write_->grantors);
  for (const auto& [witness, used] : witnesses) RequestGrant(witness);
  for (const auto& [lease, used] : leases) RenewPlatformLease(lease);
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
  auto asked = std::make_unique<GrantCall>();
  const MonoTime sent = loop_->Now();
  asked->call =
      bus_->Call(address, "fleet.grant", request, &asked->reply,
                 options_.lease_duration / 2,
                 [this, witness, sent, round = round_](PeerStatus status) {
                   OnGrantReply(witness, round, sent, status);
                 });
  grant_calls_[{witness, round_}] = std::move(asked);
}

void MembershipSession::OnGrantReply(const MemberId& witness, uint64_t round,
                                     MonoTime sent, PeerStatus status) {
  auto it = grant_calls_.find({witness, round});
  const std::unique_ptr<GrantCall> asked = std::move(it->second);
  grant_calls_.erase(it);
  if (status == PeerStatus::kOk) {
    records_->OnPeerVersions(witness, asked->reply.versions(), sent);
  }
  PeerHealth& peer = peer_health_[witness];
  if (status == PeerStatus::kOk && asked->reply.granted()) {
    peer.failures = 0;
    OnGranted(witness, sent);
  } else if (++peer.failures >= kMaxFailures) {
    peer.avoid_until = loop_->Now() + kAvoidGrants * options_.lease_duration;
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

void MembershipSession::RenewPlatformLease(const std::string& lease) {
  if (platform_lease_renewals_.count(lease) > 0) return;
  const MonoTime sent = loop_->Now();
  platform_lease_renewals_[lease] =
      kv_->RenewLease(lease, [this, lease, sent](const KvResult& result) {
        const KvStore::CallPtr call =
            std::move(platform_lease_renewals_[lease]);
        platform_lease_renewals_.erase(lease);
        if (result.status == KvStatus::kOk) {
          records_->OnPlatformContact(sent);
          OnGranted(PlatformLeaseWitness(lease), sent);
        } else if (result.status == KvStatus::kNotFound &&
                   grantors_.platform_lease == lease && !record_write_) {
          OnMembershipEnded();  // the record went with its lease
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
    const auto answer = lease_witness_.VoteToEnd(MemberId(request.member()),
                                                 request.epoch(), now);
    reply.set_agreed(answer.agreed);
    reply.set_wait_ms(ToMillis(answer.retry_after) + 1);
  } else if (NameOf(request.witness()) == options_.name) {
    // A former incarnation is asked at this address, so it is gone; what it
    // granted last is over a grant after this one began.
    const MonoTime over = started_at_ + options_.lease_duration +
                          DriftMargin(options_.lease_duration);
    reply.set_agreed(now >= over);
    reply.set_wait_ms(ToMillis(over - now) + 1);
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
    const bool sound =
        grantors_.uses_platform_lease()
            ? desired.empty()
            : std::all_of(
                  grantors_.witnesses.begin(), grantors_.witnesses.end(),
                  [this](const MemberId& w) { return IsWitnessSuitable(w); });
    if (sound && desired.size() <= grantors_.witnesses.size()) return;
    // All that see a newcomer don't change their records at once.
    if (sound && random_->Below(kRoundsPerGrant) != 0) return;
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
  // The new backing must already hold for a while: from the sending of the
  // write on, the term rests on both.
  if (lease_holder_.DeadlineWith(WitnessSetOf(*candidate_grantors_)) >
      now + options_.lease_duration / 3) {
    wire::MemberRecord record = record_;
    record.clear_witnesses();
    for (const MemberId& witness : candidate_grantors_->witnesses) {
      record.add_witnesses(witness.value());
    }
    const LeaseGrantors backing = *candidate_grantors_;
    candidate_grantors_.reset();
    StartRecordWrite(std::move(record), backing, nullptr);
  } else if (now - candidate_since_ > options_.lease_duration) {
    candidate_grantors_
        .reset();  // the failures counted choose another set next time
  }
}

// --- The record --------------------------------------------------------------

void MembershipSession::StartRecordWrite(wire::MemberRecord record,
                                         LeaseGrantors backing,
                                         std::function<void(bool)> done) {
  record.set_epoch(record_.epoch() + 1);
  record.set_change_id(NewUniqueId(random_));
  record_write_ = RecordWrite{
      std::move(record), std::move(backing), revision_, false, false,
      loop_->Now(),      std::move(done)};
  lease_holder_.BeginWitnessChange(WitnessSetOf(record_write_->grantors));
  SendRecordWrite();
}

void MembershipSession::SendRecordWrite() {
  record_write_->sending = true;
  record_write_call_ = kv_->Put(
      records_->view().MemberKey(self_), ToJson(record_write_->record),
      record_write_->expected_revision, record_write_->grantors.platform_lease,
      [this](const KvResult& result) { OnRecordWritten(result); });
}

void MembershipSession::OnRecordWritten(const KvResult& result) {
  const KvStore::CallPtr call = std::move(record_write_call_);
  record_write_->sending = false;
  record_write_->retry_at =
      loop_->Now() + options_.lease_duration / kRoundsPerGrant;
  switch (result.status) {
    case KvStatus::kOk:
      revision_ = result.record.revision;
      SettleRecordWrite(true);
      return;
    case KvStatus::kConflict:
    case KvStatus::kNotFound:
    case KvStatus::kCompacted: {
      wire::MemberRecord there;
      if (result.record.revision > Revision(0) &&
          FromJson(result.record.value, false, &there) &&
          there.change_id() == record_write_->record.change_id()) {
        revision_ = result.record.revision;
        SettleRecordWrite(true);
      } else {
        // Only one who ends it changes this record.
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
  const bool first = took_effect && !joined_;
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
  if (first) observers_.joined();
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
