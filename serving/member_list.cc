// Registration under a lease, and the others' records.
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

void MemberList::Leave() {
  timer_.Cancel();
  if (lease_.empty()) return;
  Keep(store_->EndLease(lease_, [](const KvResult&) {}));
}

void MemberList::Keep(KvStore::CallPtr call) {
  former_call_ = std::move(call_);
  call_ = std::move(call);
}

void MemberList::Register() {
  lease_.clear();
  Keep(store_->CreateLease(
      options_.lease, [this](const KvResult& result) { OnLease(result); }));
}

void MemberList::OnLease(const KvResult& result) {
  if (result.status != KvStatus::kOk || result.record.value.empty()) {
    Retry();
    return;
  }
  lease_ = result.record.value;
  Write(Revision(0));
}

void MemberList::Write(Revision expect) {
  Keep(store_->Put(options_.prefix + self_.name(), ToJson(self_), expect,
                   lease_,
                   [this](const KvResult& result) { OnWritten(result); }));
}

void MemberList::OnWritten(const KvResult& result) {
  if (result.status == KvStatus::kConflict) {
    // This daemon's former start wrote it; only one process has this name.
    Write(result.record.revision);
    return;
  }
  if (result.status != KvStatus::kOk) {
    // A write without an answer is settled by the next one, which meets it as
    // a conflict.
    Retry();
    return;
  }
  log_->WriteAlways(LogLine("member_registered")
                        .Add("name", self_.name())
                        .Add("revision", result.record.revision.count()));
  timer_ = loop_->After(options_.renewal_pause, [this] { Renew(); });
}

void MemberList::Renew() {
  Keep(store_->RenewLease(
      lease_, [this](const KvResult& result) { OnRenewed(result); }));
}

void MemberList::OnRenewed(const KvResult& result) {
  if (result.status == KvStatus::kNotFound) {
    log_->WriteAlways(LogLine("member_lease_lapsed").Add("name", self_.name()));
    Register();
    return;
  }
  const Duration pause = result.status == KvStatus::kOk ? options_.renewal_pause
                                                        : options_.retry_pause;
  timer_ = loop_->After(pause, [this] { Renew(); });
}

void MemberList::Retry() {
  const Duration jitter = Scaled(options_.retry_pause, random_->Unit());
  timer_ = loop_->After(options_.retry_pause + jitter, [this] { Register(); });
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
