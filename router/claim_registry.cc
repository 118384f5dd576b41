// Claims on Idempotency-Keys over the platform's key-value service.
#include "router/claim_registry.h"

#include <algorithm>
#include <list>
#include <utility>

#include "base/digest.h"
#include "base/json.h"

namespace mimosa {
namespace {

// A lease serves the claims of this long, then a new one is made.
constexpr Duration kLeaseUse = std::chrono::hours(1);
// Longest single wait for another attempt's outcome.
constexpr Duration kWatchWait = std::chrono::seconds(10);
// Pause before asking again after a failed call.
constexpr Duration kRetryPause = std::chrono::milliseconds(200);
// Reads and writes that settle one lost reply before giving up.
constexpr int kSettleTries = 3;
// How long a settled outcome is written again and again in an outage.
constexpr Duration kFinishPatience = std::chrono::seconds(30);

std::string RecordKey(const std::string& deployment, const ClaimKey& key) {
  std::string material = key.customer.value();
  material += '\0';
  material += key.route.value();
  material += '\0';
  material += key.idempotency_key;
  return deployment + "/claims/" + Sha256Hex(material);
}

void KeepAnswer(const HttpResponse& response, wire::ClaimRecord* record) {
  record->set_state(wire::ClaimRecord::FINISHED);
  record->set_status(response.status);
  if (response.body.size() > kMaxStoredResponseBytes) return;
  for (const auto& [name, value] : response.headers.fields()) {
    record->add_header_names(name);
    record->add_header_values(value);
  }
  record->set_body(response.body);
}

// Writes a final state until it is kept, found kept, or patience is over. Owns
// itself through the list of its kind, so that it outlives the request.
class FinalWrite {
 public:
  FinalWrite(EventLoop* loop, KvStore* kv, std::string key, Revision expect,
             std::string lease, wire::ClaimRecord record,
             std::function<void()> first_try_over,
             std::function<void(FinalWrite*)> over)
      : loop_(loop),
        kv_(kv),
        key_(std::move(key)),
        expect_(expect),
        lease_(std::move(lease)),
        record_(std::move(record)),
        give_up_(loop->Now() + kFinishPatience),
        first_try_over_(std::move(first_try_over)),
        over_(std::move(over)) {}

  void Try() {
    call_ = kv_->Put(key_, ToJson(record_), expect_, lease_,
                     [this](const KvResult& result) { OnResult(result); });
  }

 private:
  void OnResult(const KvResult& result) {
    const bool again = (result.status == KvStatus::kNoReply ||
                        result.status == KvStatus::kUnavailable) &&
                       loop_->Now() < give_up_;
    if (first_try_over_) {
      auto first = std::move(first_try_over_);
      first_try_over_ = nullptr;
      first();
    }
    // A conflict is either this very write, whose reply was lost, or means
    // that the record is no longer ours to change.
    if (!again) {
      over_(this);
      return;
    }
    timer_ = loop_->After(kRetryPause, [this] { Try(); });
  }

  EventLoop* const loop_;
  KvStore* const kv_;
  const std::string key_;
  const Revision expect_;
  const std::string lease_;
  const wire::ClaimRecord record_;
  const MonoTime give_up_;
  std::function<void()> first_try_over_;
  const std::function<void(FinalWrite*)> over_;
  KvStore::CallPtr call_;
  TimerHandle timer_;
};

// What all claims of a daemon share: the lease in use and the final writes.
class ClaimsImpl : public ClaimRegistry {
 public:
  ClaimsImpl(EventLoop* loop, KvStore* kv, std::string deployment,
             const Fleet* fleet)
      : loop_(loop),
        kv_(kv),
        deployment_(std::move(deployment)),
        fleet_(fleet) {}

  std::unique_ptr<Claim> Acquire(const ClaimKey& key, const RequestId& attempt,
                                 MonoTime deadline, DoneCallback done) override;
  std::unique_ptr<Claim> Lookup(const ClaimKey& key,
                                DoneCallback done) override;

  // Runs `use` with a lease, or with "" if none can be had.
  void WithLease(std::function<void(const std::string&)> use) {
    if (!lease_.empty() && loop_->Now() < lease_use_until_) {
      use(lease_);
      return;
    }
    waiting_for_lease_.push_back(std::move(use));
    if (lease_call_) return;
    lease_call_ =
        kv_->CreateLease(kClaimRetention + kLeaseUse,
                         [this](const KvResult& result) { OnLease(result); });
  }

  void WriteFinal(const std::string& key, Revision expect,
                  const std::string& lease, wire::ClaimRecord record,
                  std::function<void()> first_try_over) {
    final_writes_.push_back(std::make_unique<FinalWrite>(
        loop_, kv_, key, expect, lease, std::move(record),
        std::move(first_try_over), [this](FinalWrite* write) {
          // Posted: the write is still on the stack.
          loop_->Post([this, write] { Remove(write); });
        }));
    final_writes_.back()->Try();
  }

  EventLoop* loop() { return loop_; }
  KvStore* kv() { return kv_; }
  const std::string& deployment() const { return deployment_; }
  const MemberId& self() const { return fleet_->self(); }
  bool Alive(const std::string& member) const {
    return fleet_->FindMember(MemberId(member)) != nullptr;
  }

 private:
  void OnLease(const KvResult& result) {
    // Posted destruction isn't needed: the call object may be replaced here.
    auto call = std::move(lease_call_);
    if (result.status == KvStatus::kOk) {
      lease_ = result.record.value;
      lease_use_until_ = loop_->Now() + kLeaseUse;
    } else {
      lease_.clear();
    }
    auto waiting = std::move(waiting_for_lease_);
    waiting_for_lease_.clear();
    for (auto& use : waiting) use(lease_);
  }

  void Remove(const FinalWrite* write) {
    final_writes_.remove_if([write](const std::unique_ptr<FinalWrite>& each) {
      return each.get() == write;
    });
  }

  EventLoop* const loop_;
  KvStore* const kv_;
  const std::string deployment_;
  const Fleet* const fleet_;
  // Usable for new claims until lease_use_until_; empty: none was made.
  std::string lease_;
  MonoTime lease_use_until_{};
  KvStore::CallPtr lease_call_;
  std::vector<std::function<void(const std::string&)>> waiting_for_lease_;
  std::list<std::unique_ptr<FinalWrite>> final_writes_;
};

class ClaimImpl : public Claim, public std::enable_shared_from_this<ClaimImpl> {
 public:
  ClaimImpl(ClaimsImpl* claims, const ClaimKey& key, const RequestId& attempt,
            MonoTime deadline, ClaimRegistry::DoneCallback done)
      : claims_(claims),
        record_key_(RecordKey(claims->deployment(), key)),
        deadline_(deadline),
        done_(std::move(done)) {
    mine_.set_state(wire::ClaimRecord::CLAIMED);
    mine_.set_attempt(attempt.value());
    mine_.set_request_digest(key.request_digest);
    mine_.set_member(claims->self().value());
  }

  void Start() {
    // The lease may outlast this claim: hold it weakly.
    claims_->WithLease([weak = weak_from_this()](const std::string& lease) {
      const auto self = weak.lock();
      if (!self) return;
      self->lease_ = lease;
      if (lease.empty()) {
        self->claims_->loop()->Post([weak] {
          if (const auto claim = weak.lock())
            claim->End(ClaimStatus::kUnavailable);
        });
      } else {
        self->Write(Revision(0));
      }
    });
  }

  void Look() {
    call_ = claims_->kv()->Get(record_key_, [this](const KvResult& result) {
      wire::ClaimRecord record;
      if (result.status == KvStatus::kNotFound) {
        End(ClaimStatus::kUnclaimed);
      } else if (result.status != KvStatus::kOk ||
                 !FromJson(result.record.value, /*strict=*/false, &record)) {
        End(ClaimStatus::kUnavailable);
      } else if (record.request_digest() != mine_.request_digest()) {
        End(ClaimStatus::kMismatch);
      } else if (record.state() == wire::ClaimRecord::FINISHED) {
        End(ClaimStatus::kFinished, std::move(record));
      } else {
        const bool released = record.state() == wire::ClaimRecord::RELEASED;
        End(released ? ClaimStatus::kUnclaimed : ClaimStatus::kUnfinished);
      }
    });
  }

  void Release() override {
    if (!owned_) return;
    owned_ = false;
    wire::ClaimRecord record = mine_;
    record.set_state(wire::ClaimRecord::RELEASED);
    claims_->WriteFinal(record_key_, revision_, lease_, std::move(record),
                        nullptr);
  }

  void Finish(const HttpResponse& response,
              std::function<void()> done) override {
    if (!owned_) return;
    owned_ = false;
    wire::ClaimRecord record = mine_;
    KeepAnswer(response, &record);
    claims_->WriteFinal(record_key_, revision_, lease_, std::move(record),
                        std::move(done));
  }

 private:
  void Write(Revision expect) {
    expect_ = expect;
    call_ = claims_->kv()->Put(
        record_key_, ToJson(mine_), expect, lease_,
        [this](const KvResult& result) { OnWritten(result); });
  }

  void OnWritten(const KvResult& result) {
    switch (result.status) {
      case KvStatus::kOk:
        Own(result.record.revision);
        return;
      case KvStatus::kConflict:
        OnRecord(result.record);
        return;
      case KvStatus::kNoReply:
        ReadBack();
        return;
      default:
        End(ClaimStatus::kUnavailable);
    }
  }

  // The write may have taken effect: look for this attempt's id. Nothing was
  // sent yet, so giving up is always truthful; it may leave a CLAIMED record
  // behind, which only makes a later retry's answer "unknown".
  void ReadBack() {
    if (++settle_tries_ > kSettleTries) {
      End(ClaimStatus::kUnavailable);
      return;
    }
    Read([this] {
      timer_ = claims_->loop()->After(kRetryPause, [this] { ReadBack(); });
    });
  }

  // Decides by the record as it is now; `failed` runs if it can't be read.
  void Read(std::function<void()> failed) {
    call_ = claims_->kv()->Get(record_key_, [this, failed = std::move(failed)](
                                                const KvResult& result) {
      if (result.status == KvStatus::kOk) {
        OnRecord(result.record);
      } else if (result.status == KvStatus::kNotFound) {
        Write(Revision(0));
      } else {
        failed();
      }
    });
  }

  // Decides by the record that is there.
  void OnRecord(const KvRecord& found) {
    if (found.revision == Revision(0)) {  // disappeared with its lease
      Write(Revision(0));
      return;
    }
    wire::ClaimRecord record;
    if (!FromJson(found.value, /*strict=*/false, &record)) {
      End(ClaimStatus::kUnfinished);
      return;
    }
    if (record.attempt() == mine_.attempt()) {
      Own(found.revision);
    } else if (record.request_digest() != mine_.request_digest()) {
      End(ClaimStatus::kMismatch);
    } else if (record.state() == wire::ClaimRecord::FINISHED) {
      End(ClaimStatus::kFinished, std::move(record));
    } else if (record.state() == wire::ClaimRecord::RELEASED) {
      Write(found.revision);
    } else if (!claims_->Alive(record.member())) {
      End(ClaimStatus::kUnfinished, std::move(record));
    } else {
      Wait(found.revision);
    }
  }

  void Wait(Revision seen) {
    const Duration left = deadline_ - claims_->loop()->Now();
    if (left <= Duration::zero()) {
      End(ClaimStatus::kUnfinished);
      return;
    }
    call_ = claims_->kv()->Watch(
        record_key_, seen, std::min(left, kWatchWait),
        [this, seen](const KvListResult& result) { OnWatch(seen, result); });
  }

  void OnWatch(Revision seen, const KvListResult& result) {
    if (result.status == KvStatus::kOk && !result.records.empty()) {
      OnRecord(result.records.back());
    } else if (result.status == KvStatus::kOk && result.deleted.empty()) {
      Wait(seen);
    } else {
      Reread();
    }
  }

  void Reread() {
    timer_ = claims_->loop()->After(kRetryPause, [this] {
      if (claims_->loop()->Now() >= deadline_) {
        End(ClaimStatus::kUnfinished);
        return;
      }
      Read([this] { Reread(); });
    });
  }

  void Own(Revision revision) {
    revision_ = revision;
    owned_ = true;
    End(ClaimStatus::kOwned);
  }

  void End(ClaimStatus status, wire::ClaimRecord record = {}) {
    if (!done_) return;
    auto done = std::move(done_);
    done_ = nullptr;
    done({status, std::move(record)});
  }

  ClaimsImpl* const claims_;
  const std::string record_key_;
  const MonoTime deadline_;
  ClaimRegistry::DoneCallback done_;  // null once it ran
  wire::ClaimRecord mine_;
  std::string lease_;
  Revision expect_;
  // Meaningful while owned_: the record is in state CLAIMED by this attempt.
  Revision revision_;
  bool owned_ = false;
  int settle_tries_ = 0;
  KvStore::CallPtr call_;
  TimerHandle timer_;
};

// What callers of Make hold: the last reference to the claim.
class ClaimHandle : public Claim {
 public:
  explicit ClaimHandle(std::shared_ptr<ClaimImpl> claim)
      : claim_(std::move(claim)) {}
  void Release() override { claim_->Release(); }
  void Finish(const HttpResponse& response,
              std::function<void()> done) override {
    claim_->Finish(response, std::move(done));
  }

 private:
  const std::shared_ptr<ClaimImpl> claim_;
};

std::unique_ptr<Claim> ClaimsImpl::Acquire(const ClaimKey& key,
                                           const RequestId& attempt,
                                           MonoTime deadline,
                                           DoneCallback done) {
  auto claim = std::make_shared<ClaimImpl>(this, key, attempt, deadline,
                                           std::move(done));
  claim->Start();
  return std::make_unique<ClaimHandle>(std::move(claim));
}

std::unique_ptr<Claim> ClaimsImpl::Lookup(const ClaimKey& key,
                                          DoneCallback done) {
  auto claim = std::make_shared<ClaimImpl>(this, key, RequestId(), MonoTime(),
                                           std::move(done));
  claim->Look();
  return std::make_unique<ClaimHandle>(std::move(claim));
}

}  // namespace

std::unique_ptr<ClaimRegistry> MakeClaimRegistry(EventLoop* loop, KvStore* kv,
                                                 std::string deployment,
                                                 const Fleet* fleet) {
  return std::make_unique<ClaimsImpl>(loop, kv, std::move(deployment), fleet);
}

}  // namespace mimosa
