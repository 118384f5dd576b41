// Finds requests that ended members left at engines, and cancels them.
#include "router/orphan_canceller.h"

#include <json/value.h>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
// How long a member must be unknown before its requests are cancelled. Members
// that join are known to all others long before that.
constexpr Duration kMinUnknownTime = std::chrono::seconds(5);

}  // namespace

OrphanCanceller::OrphanCanceller(EventLoop* loop, Fleet* fleet,
                                 CatalogueView* catalogue, HttpClient* client,
                                 LedgerServer* ledgers, Duration lease_duration)
    : loop_(loop),
      fleet_(fleet),
      catalogue_(catalogue),
      client_(client),
      ledgers_(ledgers),
      lease_duration_(lease_duration) {
  fleet_->AddObserver([this] { OnFleetChanged(); });
  ledgers_->SetLoadObserver(
      [this](const BackEndId& engine, const EngineLoadReport& report) {
        OnLoadReport(engine, report);
      });
  OnFleetChanged();
}

void OrphanCanceller::OnFleetChanged() {
  DropUnownedFences();
  std::set<MemberId> members;
  for (const FleetMember& member : fleet_->members()) {
    members.insert(member.id);
  }
  const auto snapshot = catalogue_->current();
  for (const MemberId& former : known_members_) {
    if (members.count(former) > 0) continue;
    for (const wire::BackEnd& back_end : snapshot->catalogue().back_ends()) {
      const BackEndId id(back_end.id());
      if (ledgers_->FindLedger(id) != nullptr) ScheduleCancel(id, former);
    }
  }
  known_members_ = std::move(members);
}

// Forgets the fences of engines that this member doesn't own any more. If it
// becomes the owner again, it gets a new number then.
void OrphanCanceller::DropUnownedFences() {
  for (auto it = fences_.begin(); it != fences_.end();) {
    const bool owned = ledgers_->FindLedger(it->first) != nullptr;
    it = owned ? std::next(it) : fences_.erase(it);
  }
}

// Returns the fencing number for cancels at `engine`. It is 1 before the
// engine's first report; an engine that has received a higher number refuses
// and reports that number.
uint64_t OrphanCanceller::FenceOf(const BackEndId& engine) const {
  const auto it = fences_.find(engine);
  return it == fences_.end() ? 1 : it->second;
}

void OrphanCanceller::OnLoadReport(const BackEndId& engine,
                                   const EngineLoadReport& report) {
  fences_.emplace(engine, report.fence + 1);
  std::set<MemberId> listed;
  for (const HeldRequest& held : report.held) {
    const MemberId member = MemberOfRequest(held.request);
    if (member.empty() || fleet_->FindMember(member) != nullptr) continue;
    listed.insert(member);
  }
  const MonoTime now = loop_->Now();
  for (auto it = unknown_since_.lower_bound({engine, MemberId()});
       it != unknown_since_.end() && it->first.first == engine;) {
    const bool still_listed = listed.count(it->first.second) > 0;
    it = still_listed ? std::next(it) : unknown_since_.erase(it);
  }
  for (const MemberId& member : listed) {
    const auto [it, inserted] =
        unknown_since_.emplace(EngineMember{engine, member}, now);
    if (now - it->second >= kMinUnknownTime) ScheduleCancel(engine, member);
  }
}

void OrphanCanceller::ScheduleCancel(const BackEndId& engine,
                                     const MemberId& member) {
  const EngineMember target{engine, member};
  const wire::BackEnd* back_end = catalogue_->current()->FindBackEnd(engine);
  if (back_end == nullptr) return;
  const auto [it, inserted] = pending_cancels_.try_emplace(target);
  if (!inserted) return;
  const Duration delay =
      back_end->checks_fencing() ? Duration(0) : lease_duration_;
  it->second.timer =
      loop_->After(delay, [this, target] { SendCancel(target); });
}

// Ownership and lease are checked at the time of sending, not when the cancel
// was scheduled: this process may have been paused in between.
void OrphanCanceller::SendCancel(const EngineMember& target) {
  PendingCancel& cancel = pending_cancels_.at(target);
  const wire::BackEnd* engine =
      catalogue_->current()->FindBackEnd(target.first);
  Endpoint address;
  if (engine == nullptr || ledgers_->FindLedger(target.first) == nullptr ||
      !Endpoint::Parse(engine->address(), &address)) {
    pending_cancels_.erase(target);
    return;
  }
  if (fleet_->LeaseDeadline() <= loop_->Now()) {
    cancel.timer =
        loop_->After(kRetryDelay, [this, target] { SendCancel(target); });
    return;
  }
  Json::Value body;
  body["prefix"] = target.second.value() + "/";
  body["fence"] = Json::UInt64(FenceOf(target.first));
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/cancel";
  request.headers.Set("Content-Type", "application/json");
  request.body = WriteJson(body);
  cancel.call =
      Fetch(client_, CallOptionsWithTimeout(address, kCallTimeout),
            std::move(request), [this, target](const HttpResult& result) {
              OnCancelReply(target, result);
            });
}

// A conflict means that the engine has seen a higher fencing number, so there
// has been another owner since. If this member still owns the engine at the
// next retry, it uses a higher number.
void OrphanCanceller::OnCancelReply(const EngineMember& target,
                                    const HttpResult& result) {
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  PendingCancel& cancel = pending_cancels_.at(target);
  // Keeps the call alive until this function returns: the call's callback runs
  // it.
  const std::unique_ptr<HttpCall> call = std::move(cancel.call);
  if (result.ok && result.response.status == kOk) {
    ++confirmed_cancels_;
    unknown_since_.erase(target);
    pending_cancels_.erase(target);
    return;
  }
  EngineLoadReport refusal;
  if (result.ok && result.response.status == kConflict &&
      ParseEngineLoadReport(result.response.body, &refusal)) {
    fences_[target.first] = refusal.fence + 1;
  }
  cancel.timer =
      loop_->After(kRetryDelay, [this, target] { SendCancel(target); });
}

}  // namespace mimosa
