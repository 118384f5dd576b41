// Registration under a platform lease, and tracking of the other members.
#include "serving/member_list.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "decide/rendezvous.h"

namespace mimosa {
namespace {

struct NamedMember {
  MemberId id;
};

std::vector<std::string> TopNames(const std::vector<NamedMember>& members,
                                  std::string_view key, size_t count) {
  std::vector<std::string> names;
  for (const NamedMember* member : TopByRendezvousWeight(members, key, count))
    names.push_back(member->id.value());
  return names;
}

std::vector<NamedMember> NamesOf(
    const std::map<std::string, wire::EntryMember>& members) {
  std::vector<NamedMember> names;
  names.reserve(members.size() + 1);
  for (const auto& [name, member] : members) names.push_back({MemberId(name)});
  return names;
}

}  // namespace

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

void MemberList::OnStoreRegained() {
  DeferRemovals(options_.reregistration_time);
}

void MemberList::DeferRemovals(Duration time) {
  removals_due_at_ = std::max(removals_due_at_, loop_->Now() + time);
  removal_timer_ = loop_->After(removals_due_at_ - loop_->Now(),
                                [this] { RemoveMissing(); });
}

void MemberList::RemoveMissing() {
  removal_timer_.Cancel();
  for (const std::string& name : std::exchange(missing_, {})) Remove(name);
}

void MemberList::Remove(const std::string& name) {
  if (others_.erase(name) > 0 && on_gone_) on_gone_(name);
}

void MemberList::OnStoreRestored() {
  DeferRemovals(options_.renewal_interval + options_.reregistration_time);
  // The whole fleet registers again, so the calls are spread.
  lease_.clear();
  call_.reset();
  previous_call_.reset();
  timer_ =
      loop_->After(Scaled(options_.renewal_interval, random_->UniformDouble()),
                   [this] { Register(); });
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
    if (loop_->Now() < removals_due_at_) {
      missing_.insert(name);
    } else {
      Remove(name);
    }
  } else if (FromJson(*value, /*strict=*/false, &member)) {
    missing_.erase(name);
    others_[name] = std::move(member);
  } else {
    log_->Write(LogLine("member_unreadable").Add("name", name));
  }
}

std::vector<std::string> MemberList::TopMembers(std::string_view key,
                                                size_t count) const {
  std::vector<NamedMember> members = NamesOf(others_);
  members.push_back({MemberId(self_.name())});
  return TopNames(members, key, count);
}

std::vector<std::string> MemberList::TopOthers(std::string_view key,
                                               size_t count) const {
  return TopNames(NamesOf(others_), key, count);
}

std::optional<Endpoint> MemberList::FindAddress(const std::string& name) const {
  const auto found = others_.find(name);
  Endpoint address;
  if (found == others_.end() ||
      !Endpoint::Parse(found->second.peer_address(), &address))
    return std::nullopt;
  return address;
}

const wire::EntryMember* MemberList::FindMember(const Endpoint& address) const {
  const std::string text = address.ToString();
  const auto it = std::find_if(
      others_.begin(), others_.end(),
      [&text](const auto& item) { return item.second.peer_address() == text; });
  return it == others_.end() ? nullptr : &it->second;
}

}  // namespace mimosa
