// Implements claims on Idempotency-Keys with the platform's key-value store.
#include "router/claim_registry.h"

#include <algorithm>
#include <list>
#include <utility>

#include "base/digest.h"
#include "base/json.h"

namespace mimosa {
namespace {

// New claims are attached to a lease for this long; then a new lease is
// created.
constexpr Duration kLeaseUse = std::chrono::hours(1);
// Longest single watch call while waiting for another attempt's outcome.
constexpr Duration kMaxWatchWait = std::chrono::seconds(10);
// Delay before a failed store call is retried.
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
// Reads with which an attempt determines the effect of a write whose reply was
// lost, before it gives up.
constexpr int kMaxReadBacks = 3;
// How long the write of a final state is retried during an outage.
constexpr Duration kFinalWriteTimeout = std::chrono::seconds(30);

std::string ClaimRecordKey(const std::string& deployment, const ClaimKey& key) {
  std::string material = key.customer.value();
  material += '\0';
  material += key.route.value();
  material += '\0';
  material += key.idempotency_key;
  return deployment + "/claims/" + Sha256Hex(material);
}

void StoreResponse(const HttpResponse& response, wire::ClaimRecord* record) {
  record->set_state(wire::ClaimRecord::FINISHED);
  record->set_status(response.status);
  if (response.body.size() > kMaxStoredResponseBytes) return;
  for (const auto& [name, value] : response.headers.fields()) {
    record->add_header_names(name);
    record->add_header_values(value);
  }
  record->set_body(response.body);
}

// Writes a final state and retries until the write succeeds, conflicts or
// kFinalWriteTimeout has passed. Owned by ClaimRegistryImpl::final_writes_, so
// it outlives the request.
class FinalWrite {
 public:
  FinalWrite(EventLoop* loop, KvStore* kv, std::string key, Revision expect,
             std::string lease, wire::ClaimRecord record,
             std::function<void()> on_first_try_done,
             std::function<void(FinalWrite*)> on_finished)
      : loop_(loop),
        kv_(kv),
        key_(std::move(key)),
        expect_(expect),
        lease_(std::move(lease)),
        record_(std::move(record)),
        give_up_at_(loop->Now() + kFinalWriteTimeout),
        on_first_try_done_(std::move(on_first_try_done)),
        on_finished_(std::move(on_finished)) {}

  void SendWrite() {
    call_ = kv_->Put(key_, ToJson(record_), expect_, lease_,
                     [this](const KvResult& result) { OnResult(result); });
  }

 private:
  void OnResult(const KvResult& result) {
    const bool retry = (result.status == KvStatus::kNoReply ||
                        result.status == KvStatus::kUnavailable) &&
                       loop_->Now() < give_up_at_;
    if (on_first_try_done_) {
      auto first = std::move(on_first_try_done_);
      on_first_try_done_ = nullptr;
      first();
    }
    // A conflict is final. Either an earlier try took effect and its reply was
    // lost, or the record belongs to another attempt now.
    if (!retry) {
      on_finished_(this);
      return;
    }
    timer_ = loop_->After(kRetryDelay, [this] { SendWrite(); });
  }

  EventLoop* const loop_;
  KvStore* const kv_;
  const std::string key_;
  const Revision expect_;
  const std::string lease_;
  const wire::ClaimRecord record_;
  const MonoTime give_up_at_;
  std::function<void()> on_first_try_done_;
  const std::function<void(FinalWrite*)> on_finished_;
  KvStore::CallPtr call_;
  TimerHandle timer_;
};

// State shared by all claims of a daemon: the current platform lease and the
// final writes in progress.
class ClaimRegistryImpl : public ClaimRegistry {
 public:
  ClaimRegistryImpl(EventLoop* loop, KvStore* kv, std::string deployment,
                    const Fleet* fleet)
      : loop_(loop),
        kv_(kv),
        deployment_(std::move(deployment)),
        fleet_(fleet) {}

  std::unique_ptr<Claim> Acquire(const ClaimKey& key, const RequestId& attempt,
                                 MonoTime deadline, DoneCallback done) override;
  std::unique_ptr<Claim> Lookup(const ClaimKey& key,
                                DoneCallback done) override;

  // Runs `use` with the id of a lease, or with "" if none could be created.
  void WithLease(std::function<void(const std::string&)> use) {
    if (!lease_.empty() && loop_->Now() < lease_use_until_) {
      use(lease_);
      return;
    }
    waiting_for_lease_.push_back(std::move(use));
    if (lease_call_) return;
    lease_call_ = kv_->CreateLease(
        kClaimRetention + kLeaseUse,
        [this](const KvResult& result) { OnLeaseCreated(result); });
  }

  void WriteFinal(const std::string& key, Revision expect,
                  const std::string& lease, wire::ClaimRecord record,
                  std::function<void()> on_first_try_done) {
    final_writes_.push_back(std::make_unique<FinalWrite>(
        loop_, kv_, key, expect, lease, std::move(record),
        std::move(on_first_try_done), [this](FinalWrite* write) {
          // Posted because the FinalWrite is still on the stack.
          loop_->Post([this, write] { RemoveFinalWrite(write); });
        }));
    final_writes_.back()->SendWrite();
  }

  EventLoop* loop() { return loop_; }
  KvStore* kv() { return kv_; }
  const std::string& deployment() const { return deployment_; }
  const MemberId& self() const { return fleet_->self(); }
  bool IsMember(const std::string& member) const {
    return fleet_->FindMember(MemberId(member)) != nullptr;
  }

 private:
  void OnLeaseCreated(const KvResult& result) {
    // Destroying the call object here is safe, so it isn't posted.
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

  void RemoveFinalWrite(const FinalWrite* write) {
    final_writes_.remove_if([write](const std::unique_ptr<FinalWrite>& each) {
      return each.get() == write;
    });
  }

  EventLoop* const loop_;
  KvStore* const kv_;
  const std::string deployment_;
  const Fleet* const fleet_;
  // Lease for new claims until lease_use_until_. Empty if none could be
  // created.
  std::string lease_;
  MonoTime lease_use_until_{};
  KvStore::CallPtr lease_call_;
  std::vector<std::function<void(const std::string&)>> waiting_for_lease_;
  std::list<std::unique_ptr<FinalWrite>> final_writes_;
};

class ClaimImpl : public Claim, public std::enable_shared_from_this<ClaimImpl> {
 public:
  ClaimImpl(ClaimRegistryImpl* registry, const ClaimKey& key,
            const RequestId& attempt, MonoTime deadline,
            ClaimRegistry::DoneCallback done)
      : registry_(registry),
        record_key_(ClaimRecordKey(registry->deployment(), key)),
        deadline_(deadline),
        done_(std::move(done)) {
    own_record_.set_state(wire::ClaimRecord::CLAIMED);
    own_record_.set_attempt(attempt.value());
    own_record_.set_request_digest(key.request_digest);
    own_record_.set_member(registry->self().value());
  }

  void Start() {
    // The lease may be created after this claim is destroyed, so `this` is held
    // weakly.
    registry_->WithLease([weak = weak_from_this()](const std::string& lease) {
      const auto self = weak.lock();
      if (!self) return;
      self->lease_ = lease;
      if (lease.empty()) {
        self->registry_->loop()->Post([weak] {
          if (const auto claim = weak.lock())
            claim->Complete(ClaimStatus::kUnavailable);
        });
      } else {
        self->WriteClaim(Revision(0));
      }
    });
  }

  void ReadState() {
    call_ = registry_->kv()->Get(record_key_, [this](const KvResult& result) {
      wire::ClaimRecord record;
      if (result.status == KvStatus::kNotFound) {
        Complete(ClaimStatus::kUnclaimed);
      } else if (result.status != KvStatus::kOk ||
                 !FromJson(result.record.value, /*strict=*/false, &record)) {
        Complete(ClaimStatus::kUnavailable);
      } else if (record.request_digest() != own_record_.request_digest()) {
        Complete(ClaimStatus::kMismatch);
      } else if (record.state() == wire::ClaimRecord::FINISHED) {
        Complete(ClaimStatus::kFinished, std::move(record));
      } else {
        const bool released = record.state() == wire::ClaimRecord::RELEASED;
        Complete(released ? ClaimStatus::kUnclaimed : ClaimStatus::kUnfinished);
      }
    });
  }

  void Release() override {
    if (!owned_) return;
    owned_ = false;
    wire::ClaimRecord record = own_record_;
    record.set_state(wire::ClaimRecord::RELEASED);
    registry_->WriteFinal(record_key_, revision_, lease_, std::move(record),
                          nullptr);
  }

  void Finish(const HttpResponse& response,
              std::function<void()> done) override {
    if (!owned_) return;
    owned_ = false;
    wire::ClaimRecord record = own_record_;
    StoreResponse(response, &record);
    registry_->WriteFinal(record_key_, revision_, lease_, std::move(record),
                          std::move(done));
  }

 private:
  void WriteClaim(Revision expect) {
    expect_ = expect;
    call_ = registry_->kv()->Put(
        record_key_, ToJson(own_record_), expect, lease_,
        [this](const KvResult& result) { OnClaimWritten(result); });
  }

  void OnClaimWritten(const KvResult& result) {
    switch (result.status) {
      case KvStatus::kOk:
        SetOwned(result.record.revision);
        return;
      case KvStatus::kConflict:
        OnRecord(result.record);
        return;
      case KvStatus::kNoReply:
        ReadBack();
        return;
      default:
        Complete(ClaimStatus::kUnavailable);
    }
  }

  // The write may have taken effect, so the record is read and its attempt id
  // compared. Nothing was sent yet, so giving up reports the truth. It may
  // leave a CLAIMED record behind, which only makes the outcome of a later
  // retry "unknown".
  void ReadBack() {
    if (++read_backs_ > kMaxReadBacks) {
      Complete(ClaimStatus::kUnavailable);
      return;
    }
    ReadRecord([this] {
      timer_ = registry_->loop()->After(kRetryDelay, [this] { ReadBack(); });
    });
  }

  // Reads the record and continues with its state. Runs `failed` if the read
  // fails.
  void ReadRecord(std::function<void()> failed) {
    call_ = registry_->kv()->Get(
        record_key_,
        [this, failed = std::move(failed)](const KvResult& result) {
          if (result.status == KvStatus::kOk) {
            OnRecord(result.record);
          } else if (result.status == KvStatus::kNotFound) {
            WriteClaim(Revision(0));
          } else {
            failed();
          }
        });
  }

  // Continues with the state of the record found.
  void OnRecord(const KvRecord& found) {
    if (found.revision == Revision(0)) {  // the record expired with its lease
      WriteClaim(Revision(0));
      return;
    }
    wire::ClaimRecord record;
    if (!FromJson(found.value, /*strict=*/false, &record)) {
      Complete(ClaimStatus::kUnfinished);
      return;
    }
    if (record.attempt() == own_record_.attempt()) {
      SetOwned(found.revision);
    } else if (record.request_digest() != own_record_.request_digest()) {
      Complete(ClaimStatus::kMismatch);
    } else if (record.state() == wire::ClaimRecord::FINISHED) {
      Complete(ClaimStatus::kFinished, std::move(record));
    } else if (record.state() == wire::ClaimRecord::RELEASED) {
      WriteClaim(found.revision);
    } else if (!registry_->IsMember(record.member())) {
      Complete(ClaimStatus::kUnfinished, std::move(record));
    } else {
      WatchRecord(found.revision);
    }
  }

  void WatchRecord(Revision known_revision) {
    const Duration left = deadline_ - registry_->loop()->Now();
    if (left <= Duration::zero()) {
      Complete(ClaimStatus::kUnfinished);
      return;
    }
    call_ = registry_->kv()->Watch(
        record_key_, known_revision, std::min(left, kMaxWatchWait),
        [this, known_revision](const KvListResult& result) {
          OnWatch(known_revision, result);
        });
  }

  void OnWatch(Revision known_revision, const KvListResult& result) {
    if (result.status == KvStatus::kOk && !result.records.empty()) {
      OnRecord(result.records.back());
    } else if (result.status == KvStatus::kOk && result.deleted.empty()) {
      WatchRecord(known_revision);
    } else {
      ReadRecordLater();
    }
  }

  void ReadRecordLater() {
    timer_ = registry_->loop()->After(kRetryDelay, [this] {
      if (registry_->loop()->Now() >= deadline_) {
        Complete(ClaimStatus::kUnfinished);
        return;
      }
      ReadRecord([this] { ReadRecordLater(); });
    });
  }

  void SetOwned(Revision revision) {
    revision_ = revision;
    owned_ = true;
    Complete(ClaimStatus::kOwned);
  }

  void Complete(ClaimStatus status, wire::ClaimRecord record = {}) {
    if (!done_) return;
    auto done = std::move(done_);
    done_ = nullptr;
    done({status, std::move(record)});
  }

  ClaimRegistryImpl* const registry_;
  const std::string record_key_;
  const MonoTime deadline_;
  ClaimRegistry::DoneCallback done_;  // null once it was called
  wire::ClaimRecord own_record_;
  std::string lease_;
  Revision expect_;
  // Valid while owned_ is true: the record then has this revision, is in state
  // CLAIMED and names this attempt.
  Revision revision_;
  bool owned_ = false;
  int read_backs_ = 0;
  KvStore::CallPtr call_;
  TimerHandle timer_;
};

// Handle returned to callers. Holds the only long-lived reference to the claim.
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

std::unique_ptr<Claim> ClaimRegistryImpl::Acquire(const ClaimKey& key,
                                                  const RequestId& attempt,
                                                  MonoTime deadline,
                                                  DoneCallback done) {
  auto claim = std::make_shared<ClaimImpl>(this, key, attempt, deadline,
                                           std::move(done));
  claim->Start();
  return std::make_unique<ClaimHandle>(std::move(claim));
}

std::unique_ptr<Claim> ClaimRegistryImpl::Lookup(const ClaimKey& key,
                                                 DoneCallback done) {
  auto claim = std::make_shared<ClaimImpl>(this, key, RequestId(), MonoTime(),
                                           std::move(done));
  claim->ReadState();
  return std::make_unique<ClaimHandle>(std::move(claim));
}

}  // namespace

std::unique_ptr<ClaimRegistry> MakeClaimRegistry(EventLoop* loop, KvStore* kv,
                                                 std::string deployment,
                                                 const Fleet* fleet) {
  return std::make_unique<ClaimRegistryImpl>(loop, kv, std::move(deployment),
                                             fleet);
}

}  // namespace mimosa
