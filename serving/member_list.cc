// Registration under a platform lease, and tracking of the other members.
#include "serving/member_list.h"

#include <utility>

#include "base/json.h"

namespace mimosa {

MemberList::MemberList(EventLoop* loop, KvStore* store, RandomSource* random,
                       LineLog* log, wire::EntryMember self,
                       const Options& options)
    : loop_(loop),
      store_(store),
      random_(random),
      log_(log),
      self_(std::move(self)),
      options_(options) {}

void MemberList::Start() { Register(); }

void MemberList::Deregister() {
  timer_.Cancel();
  if (lease_.empty()) return;
  ReplaceCall(store_->EndLease(lease_, [](const KvResult&) {}));
}

void MemberList::ReplaceCall(KvStore::CallPtr call) {
  previous_call_ = std::move(call_);
  call_ = std::move(call);
}

void MemberList::Register() {
  lease_.clear();
  ReplaceCall(store_->CreateLease(
      options_.lease_ttl,
      [this](const KvResult& result) { OnLeaseCreated(result); }));
}

void MemberList::OnLeaseCreated(const KvResult& result) {
  if (result.status != KvStatus::kOk || result.record.value.empty()) {
    ScheduleRetry();
    return;
  }
  lease_ = result.record.value;
  WriteRecord(Revision(0));
}

void MemberList::WriteRecord(Revision expected) {
  ReplaceCall(store_->Put(
      options_.key_prefix + self_.name(), ToJson(self_), expected, lease_,
      [this](const KvResult& result) { OnRecordWritten(result); }));
}

void MemberList::OnRecordWritten(const KvResult& result) {
  if (result.status == KvStatus::kConflict) {
    // The record is from an earlier run of this daemon, because no other daemon
    // uses this name. Replace it.
    WriteRecord(result.record.revision);
    return;
  }
  if (result.status != KvStatus::kOk) {
    // If a write without a response took effect, the next write resolves it
    // through a conflict.
    ScheduleRetry();
    return;
  }
  log_->WriteAlways(LogLine("member_registered")
                        .Add("name", self_.name())
                        .Add("revision", result.record.revision.count()));
  timer_ = loop_->After(options_.renewal_interval, [this] { RenewLease(); });
}

void MemberList::RenewLease() {
  ReplaceCall(store_->RenewLease(
      lease_, [this](const KvResult& result) { OnLeaseRenewed(result); }));
}

void MemberList::OnLeaseRenewed(const KvResult& result) {
  if (result.status == KvStatus::kNotFound) {
    log_->WriteAlways(LogLine("member_lease_lapsed").Add("name", self_.name()));
    Register();
    return;
  }
  const Duration delay = result.status == KvStatus::kOk
                             ? options_.renewal_interval
                             : options_.retry_delay;
  timer_ = loop_->After(delay, [this] { RenewLease(); });
}

void MemberList::ScheduleRetry() {
  const Duration jitter =
      Scaled(options_.retry_delay, random_->UniformDouble());
  timer_ = loop_->After(options_.retry_delay + jitter, [this] { Register(); });
}

void MemberList::OnRecord(const std::string& name, const std::string* value) {
  if (name == self_.name()) return;
  wire::EntryMember member;
  if (value == nullptr) {
    others_.erase(name);
  } else if (FromJson(*value, /*strict=*/false, &member)) {
    others_[name] = std::move(member);
  } else {
    log_->Write(LogLine("member_unreadable").Add("name", name));
  }
}

}  // namespace mimosa
