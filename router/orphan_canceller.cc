// Finding what ended members left, and ordering it cancelled.
#include "router/orphan_canceller.h"

#include <json/value.h>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(500);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
// A member that joins is known to all others long before.
constexpr Duration kUnknownFor = std::chrono::seconds(5);

}  // namespace

OrphanCanceller::OrphanCanceller(EventLoop* loop, Fleet* fleet,
                                 CatalogueView* catalogue, HttpClient* client,
                                 LedgerServer* books, Duration grant)
    : loop_(loop),
      fleet_(fleet),
      catalogue_(catalogue),
      client_(client),
      ledgers_(books),
      lease_duration_(grant) {
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

// Who becomes the owner again takes a new number then.
void OrphanCanceller::DropUnownedFences() {
  for (auto it = fences_.begin(); it != fences_.end();) {
    const bool owned = ledgers_->FindLedger(it->first) != nullptr;
    it = owned ? std::next(it) : fences_.erase(it);
  }
}

// 1 before the engine's first report: one that has seen more says so.
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
    const bool still = listed.count(it->first.second) > 0;
    it = still ? std::next(it) : unknown_since_.erase(it);
  }
  for (const MemberId& member : listed) {
    const auto [it, inserted] =
        unknown_since_.emplace(EngineMember{engine, member}, now);
    if (now - it->second >= kUnknownFor) ScheduleCancel(engine, member);
  }
}

void OrphanCanceller::ScheduleCancel(const BackEndId& engine,
                                     const MemberId& member) {
  const EngineMember key{engine, member};
  const wire::BackEnd* back_end = catalogue_->current()->FindBackEnd(engine);
  if (back_end == nullptr) return;
  const auto [it, inserted] = pending_cancels_.try_emplace(key);
  if (!inserted) return;
  const Duration wait =
      back_end->checks_fencing() ? Duration(0) : lease_duration_;
  it->second.timer = loop_->After(wait, [this, key] { SendCancel(key); });
}

// The right to order the engine is looked at now, not when the order was
// planned: this process may have been paused in between.
void OrphanCanceller::SendCancel(const EngineMember& key) {
  PendingCancel& order = pending_cancels_.at(key);
  const wire::BackEnd* engine = catalogue_->current()->FindBackEnd(key.first);
  Endpoint address;
  if (engine == nullptr || ledgers_->FindLedger(key.first) == nullptr ||
      !Endpoint::Parse(engine->address(), &address)) {
    pending_cancels_.erase(key);
    return;
  }
  if (fleet_->LeaseDeadline() <= loop_->Now()) {
    order.timer = loop_->After(kRetryPause, [this, key] { SendCancel(key); });
    return;
  }
  Json::Value body;
  body["prefix"] = key.second.value() + "/";
  body["fence"] = Json::UInt64(FenceOf(key.first));
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/cancel";
  request.headers.Set("Content-Type", "application/json");
  request.body = WriteJson(body);
  order.call = Fetch(
      client_, CallWithin(address, kCallTimeout), std::move(request),
      [this, key](const HttpResult& result) { OnCancelReply(key, result); });
}

// Refused as fenced: there has been another owner since. If this member still
// is one when it sends again, it goes on under a newer number.
void OrphanCanceller::OnCancelReply(const EngineMember& key,
                                    const HttpResult& result) {
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  PendingCancel& order = pending_cancels_.at(key);
  // Kept until the end of this function, which its callback runs.
  const std::unique_ptr<HttpCall> call = std::move(order.call);
  if (result.ok && result.response.status == kOk) {
    ++confirmed_cancels_;
    unknown_since_.erase(key);
    pending_cancels_.erase(key);
    return;
  }
  EngineLoadReport refusal;
  if (result.ok && result.response.status == kConflict &&
      ParseEngineLoadReport(result.response.body, &refusal)) {
    fences_[key.first] = refusal.fence + 1;
  }
  order.timer = loop_->After(kRetryPause, [this, key] { SendCancel(key); });
}

}  // namespace mimosa
