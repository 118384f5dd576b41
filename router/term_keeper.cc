// Rounds of grants, witness sets and the writes of the own record.
#include "router/term_keeper.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

// A lease of the platform counts as one witness of its own name.
MemberId LeaseWitness(const std::string& lease) {
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

TermKeeper::TermKeeper(EventLoop* loop, KvStore* kv, PeerBus* bus,
                       RandomSource* random, FleetRecords* records,
                       const FleetOptions& options,
                       const std::string& incarnation, bool listed,
                       Observers observers)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      records_(records),
      options_(options),
      observers_(std::move(observers)),
      self_(options.name + "#" + incarnation),
      born_(loop->Now()),
      holder_(options.grant),
      book_(options.grant) {
  record_.set_member(self_.value());
  record_.set_name(options.name);
  record_.set_peer_address(options.peer_address.ToString());
  record_.set_failure_domain(options.failure_domain.value());
  record_.set_region(options.region);
  record_.set_listed(listed);
}

WitnessSet TermKeeper::SetOf(const Backing& backing) {
  if (backing.on_lease()) return {LeaseWitness(backing.lease)};
  return backing.witnesses;
}

MonoTime TermKeeper::Deadline() const {
  if (options_.Disabled("term")) return loop_->Now() + std::chrono::hours(1);
  return joined_ ? holder_.Deadline() : MonoTime::min();
}

void TermKeeper::Tick() {
  if (over_) return;
  if (write_ && !write_->sending && loop_->Now() >= write_->retry_at) {
    SendWrite();
  }
  Round();
  if (over_ || write_) return;
  if (candidate_) {
    ProgressCandidate();
  } else {
    ConsiderChange();
  }
}

// --- Grants ------------------------------------------------------------------

void TermKeeper::Round() {
  ++round_;
  std::map<MemberId, bool> witnesses;  // a set, sorted
  std::map<std::string, bool> leases;
  const auto add = [&](const Backing& backing) {
    if (backing.on_lease()) leases[backing.lease] = true;
    for (const MemberId& witness : backing.witnesses) witnesses[witness] = true;
  };
  add(backing_);
  if (candidate_) add(*candidate_);
  if (write_) add(write_->backing);
  for (const auto& [witness, used] : witnesses) AskWitness(witness);
  for (const auto& [lease, used] : leases) RenewLease(lease);
}

void TermKeeper::AskWitness(const MemberId& witness) {
  Endpoint address;
  if (!records_->AddressOf(witness, &address)) return;
  wire::GrantRequest request;
  request.set_member(self_.value());
  request.set_witness(witness.value());
  request.set_epoch(record_.epoch());
  request.set_round(round_);
  *request.mutable_versions() = records_->versions();
  auto asked = std::make_unique<Asked>();
  const MonoTime sent = loop_->Now();
  asked->call = bus_->Call(
      address, "fleet.grant", request, &asked->reply, options_.grant / 2,
      [this, witness, sent, round = round_](PeerStatus status) {
        OnGrantReply(witness, round, sent, status);
      });
  asked_[{witness, round_}] = std::move(asked);
}

void TermKeeper::OnGrantReply(const MemberId& witness, uint64_t round,
                              MonoTime sent, PeerStatus status) {
  auto it = asked_.find({witness, round});
  const std::unique_ptr<Asked> asked = std::move(it->second);
  asked_.erase(it);
  if (status == PeerStatus::kOk) {
    records_->OnVersions(witness, asked->reply.versions(), sent);
  }
  PeerState& peer = peers_[witness];
  if (status == PeerStatus::kOk && asked->reply.granted()) {
    peer.failures = 0;
    OnGranted(witness, sent);
  } else if (++peer.failures >= kMaxFailures) {
    peer.avoid_until = loop_->Now() + kAvoidGrants * options_.grant;
  }
  // A candidate set that is complete now need not wait for the next tick.
  if (!over_ && candidate_ && !write_) ProgressCandidate();
}

void TermKeeper::OnGranted(const MemberId& witness, MonoTime sent) {
  holder_.OnGrant(witness, sent);
  if (was_held_ || loop_->Now() >= Deadline()) return;
  was_held_ = true;
  observers_.renewed();
}

void TermKeeper::RenewLease(const std::string& lease) {
  if (lease_renewals_.count(lease) > 0) return;
  const MonoTime sent = loop_->Now();
  lease_renewals_[lease] =
      kv_->RenewLease(lease, [this, lease, sent](const KvResult& result) {
        const KvStore::CallPtr call = std::move(lease_renewals_[lease]);
        lease_renewals_.erase(lease);
        if (result.status == KvStatus::kOk) {
          records_->OnPlatformWord(sent);
          OnGranted(LeaseWitness(lease), sent);
        } else if (result.status == KvStatus::kNotFound &&
                   backing_.lease == lease && !write_) {
          OnOver();  // the record went with its lease
        }
      });
}

wire::GrantReply TermKeeper::Grant(const wire::GrantRequest& request) {
  wire::GrantReply reply;
  reply.set_round(request.round());
  *reply.mutable_versions() = records_->versions();
  if (request.witness() == self_.value()) {
    reply.set_granted(
        book_.Grant(MemberId(request.member()), request.epoch(), loop_->Now()));
  }
  return reply;
}

wire::EndReply TermKeeper::Agree(const wire::EndRequest& request) {
  wire::EndReply reply;
  const MonoTime now = loop_->Now();
  if (request.witness() == self_.value()) {
    const auto answer =
        book_.Agree(MemberId(request.member()), request.epoch(), now);
    reply.set_agreed(answer.agreed);
    reply.set_wait_ms(ToMillis(answer.wait) + 1);
  } else if (NameOf(request.witness()) == options_.name) {
    // A former incarnation is asked at this address, so it is gone; what it
    // granted last is over a grant after this one began.
    const MonoTime over = born_ + options_.grant + DriftMargin(options_.grant);
    reply.set_agreed(now >= over);
    reply.set_wait_ms(ToMillis(over - now) + 1);
  }
  return reply;
}

// --- Choice of witnesses -----------------------------------------------------

bool TermKeeper::Usable(const MemberId& id) const {
  auto it = peers_.find(id);
  return it == peers_.end() || loop_->Now() >= it->second.avoid_until;
}

bool TermKeeper::Fits(const MemberId& witness) const {
  const MemberEntry* entry = records_->view().Find(witness);
  return entry != nullptr && !entry->record.ended() &&
         !entry->record.leaving() && Usable(witness);
}

void TermKeeper::ConsiderChange() {
  WitnessSet desired;
  if (!options_.Disabled("witness")) {
    desired =
        ChooseWitnesses(records_->view(), record_,
                        [this](const MemberId& id) { return Usable(id); });
  }
  if (joined_) {
    const bool sound =
        backing_.on_lease()
            ? desired.empty()
            : std::all_of(backing_.witnesses.begin(), backing_.witnesses.end(),
                          [this](const MemberId& w) { return Fits(w); });
    if (sound && desired.size() <= backing_.witnesses.size()) return;
    // All that see a newcomer don't change their records at once.
    if (sound && random_->Below(kRoundsPerGrant) != 0) return;
  }
  StartCandidate(std::move(desired));
}

void TermKeeper::StartCandidate(WitnessSet witnesses) {
  candidate_since_ = loop_->Now();
  if (witnesses.empty()) {
    CreateLease();
    return;
  }
  candidate_ = Backing{std::move(witnesses), ""};
  for (const MemberId& witness : candidate_->witnesses) AskWitness(witness);
}

void TermKeeper::CreateLease() {
  if (lease_create_) return;
  const MonoTime sent = loop_->Now();
  lease_create_ =
      kv_->CreateLease(options_.grant, [this, sent](const KvResult& result) {
        const KvStore::CallPtr call = std::move(lease_create_);
        if (over_ || write_ || result.status != KvStatus::kOk) return;
        records_->OnPlatformWord(sent);
        holder_.OnGrant(LeaseWitness(result.record.value), sent);
        candidate_ = Backing{{}, result.record.value};
        ProgressCandidate();
      });
}

void TermKeeper::ProgressCandidate() {
  const MonoTime now = loop_->Now();
  // The new backing must already hold for a while: from the sending of the
  // write on, the term rests on both.
  if (holder_.DeadlineOf(SetOf(*candidate_)) > now + options_.grant / 3) {
    wire::MemberRecord record = record_;
    record.clear_witnesses();
    for (const MemberId& witness : candidate_->witnesses) {
      record.add_witnesses(witness.value());
    }
    const Backing backing = *candidate_;
    candidate_.reset();
    StartWrite(std::move(record), backing, nullptr);
  } else if (now - candidate_since_ > options_.grant) {
    candidate_.reset();  // the failures counted choose another set next time
  }
}

// --- The record --------------------------------------------------------------

void TermKeeper::StartWrite(wire::MemberRecord record, Backing backing,
                            std::function<void(bool)> done) {
  record.set_epoch(record_.epoch() + 1);
  record.set_change_id(NewId(random_));
  write_ = Write{std::move(record), std::move(backing), revision_, false, false,
                 loop_->Now(),      std::move(done)};
  holder_.BeginChange(SetOf(write_->backing));
  SendWrite();
}

void TermKeeper::SendWrite() {
  write_->sending = true;
  write_call_ =
      kv_->Put(records_->view().MemberKey(self_), ToJson(write_->record),
               write_->expect, write_->backing.lease,
               [this](const KvResult& result) { OnWritten(result); });
}

void TermKeeper::OnWritten(const KvResult& result) {
  const KvStore::CallPtr call = std::move(write_call_);
  write_->sending = false;
  write_->retry_at = loop_->Now() + options_.grant / kRoundsPerGrant;
  switch (result.status) {
    case KvStatus::kOk:
      revision_ = result.record.revision;
      SettleWrite(true);
      return;
    case KvStatus::kConflict:
    case KvStatus::kNotFound:
    case KvStatus::kCompacted: {
      wire::MemberRecord there;
      if (result.record.revision > Revision(0) &&
          FromJson(result.record.value, false, &there) &&
          there.change_id() == write_->record.change_id()) {
        revision_ = result.record.revision;
        SettleWrite(true);
      } else {
        // Only one who ends it changes this record.
        OnOver();
      }
      return;
    }
    case KvStatus::kUnavailable:
      if (!write_->in_doubt) SettleWrite(false);
      return;
    case KvStatus::kNoReply:
      write_->in_doubt = true;
      return;
  }
}

void TermKeeper::SettleWrite(bool took_effect) {
  const Write write = std::move(*write_);
  write_.reset();
  const bool first = took_effect && !joined_;
  if (took_effect) {
    record_ = write.record;
    backing_ = write.backing;
    joined_ = true;
  }
  holder_.SettleChange(took_effect);
  if (took_effect) {
    records_->Learn(
        {records_->view().MemberKey(self_), ToJson(record_), revision_});
  }
  if (first) observers_.joined();
  if (write.done) write.done(took_effect);
}

void TermKeeper::WriteLeaving(std::function<void(bool)> done) {
  if (over_ || !joined_ || write_) {
    done(false);
    return;
  }
  candidate_.reset();
  wire::MemberRecord record = record_;
  record.set_leaving(true);
  StartWrite(std::move(record), backing_, std::move(done));
}

void TermKeeper::WriteEnded(std::function<void(bool)> done) {
  holder_.OnEnded();
  if (over_ || !joined_ || write_) {
    done(false);
    return;
  }
  candidate_.reset();
  wire::MemberRecord record = record_;
  record.set_ended(true);
  StartWrite(std::move(record), Backing{backing_.witnesses, ""},
             std::move(done));
}

void TermKeeper::OnOver() {
  if (over_) return;
  over_ = true;
  holder_.OnEnded();
  std::function<void(bool)> done;
  if (write_) done = std::move(write_->done);
  write_.reset();
  candidate_.reset();
  if (done) done(false);
  observers_.ended();
}

}  // namespace mimosa
