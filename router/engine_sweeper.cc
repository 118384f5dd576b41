// Finding what ended members left, and ordering it cancelled.
#include "router/engine_sweeper.h"

#include <json/value.h>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(500);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
// A member that joins is known to all others long before.
constexpr Duration kUnknownFor = std::chrono::seconds(5);

}  // namespace

EngineSweeper::EngineSweeper(EventLoop* loop, Fleet* fleet,
                             CatalogueView* catalogue, HttpClient* client,
                             BookServer* books, Duration grant)
    : loop_(loop),
      fleet_(fleet),
      catalogue_(catalogue),
      client_(client),
      books_(books),
      grant_(grant) {
  fleet_->Observe([this] { OnFleetChanged(); });
  books_->ObserveLoad(
      [this](const BackEndId& engine, const EngineLoadReport& report) {
        OnLoad(engine, report);
      });
  OnFleetChanged();
}

void EngineSweeper::OnFleetChanged() {
  ForgetLostEngines();
  std::set<MemberId> members;
  for (const FleetMember& member : fleet_->members()) {
    members.insert(member.id);
  }
  const auto snapshot = catalogue_->current();
  for (const MemberId& former : members_) {
    if (members.count(former) > 0) continue;
    for (const wire::BackEnd& back_end : snapshot->catalogue().back_ends()) {
      const BackEndId id(back_end.id());
      if (books_->Find(id) != nullptr) Sweep(id, former);
    }
  }
  members_ = std::move(members);
}

// Who becomes the owner again takes a new number then.
void EngineSweeper::ForgetLostEngines() {
  for (auto it = fences_.begin(); it != fences_.end();) {
    const bool owned = books_->Find(it->first) != nullptr;
    it = owned ? std::next(it) : fences_.erase(it);
  }
}

// 1 before the engine's first report: one that has seen more says so.
uint64_t EngineSweeper::FenceOf(const BackEndId& engine) const {
  const auto it = fences_.find(engine);
  return it == fences_.end() ? 1 : it->second;
}

void EngineSweeper::OnLoad(const BackEndId& engine,
                           const EngineLoadReport& report) {
  fences_.emplace(engine, report.fence + 1);
  std::set<MemberId> listed;
  for (const HeldRequest& held : report.held) {
    const MemberId member = MemberOfRequest(held.request);
    if (member.empty() || fleet_->Find(member) != nullptr) continue;
    listed.insert(member);
  }
  const MonoTime now = loop_->Now();
  for (auto it = unknown_.lower_bound({engine, MemberId()});
       it != unknown_.end() && it->first.first == engine;) {
    const bool still = listed.count(it->first.second) > 0;
    it = still ? std::next(it) : unknown_.erase(it);
  }
  for (const MemberId& member : listed) {
    const auto [it, inserted] = unknown_.emplace(Key{engine, member}, now);
    if (now - it->second >= kUnknownFor) Sweep(engine, member);
  }
}

void EngineSweeper::Sweep(const BackEndId& engine, const MemberId& member) {
  const Key key{engine, member};
  const wire::BackEnd* back_end = catalogue_->current()->FindBackEnd(engine);
  if (back_end == nullptr) return;
  const auto [it, inserted] = orders_.try_emplace(key);
  if (!inserted) return;
  const Duration wait = back_end->checks_fencing() ? Duration(0) : grant_;
  it->second.timer = loop_->After(wait, [this, key] { Send(key); });
}

// The right to order the engine is looked at now, not when the order was
// planned: this process may have been paused in between.
void EngineSweeper::Send(const Key& key) {
  Order& order = orders_.at(key);
  const wire::BackEnd* engine = catalogue_->current()->FindBackEnd(key.first);
  Endpoint address;
  if (engine == nullptr || books_->Find(key.first) == nullptr ||
      !Endpoint::Parse(engine->address(), &address)) {
    orders_.erase(key);
    return;
  }
  if (fleet_->TermDeadline() <= loop_->Now()) {
    order.timer = loop_->After(kRetryPause, [this, key] { Send(key); });
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
  order.call =
      Fetch(client_, CallWithin(address, kCallTimeout), std::move(request),
            [this, key](const HttpResult& result) { OnAnswer(key, result); });
}

// Refused as fenced: there has been another owner since. If this member still
// is one when it sends again, it goes on under a newer number.
void EngineSweeper::OnAnswer(const Key& key, const HttpResult& result) {
  constexpr int kOk = 200;
  constexpr int kConflict = 409;
  Order& order = orders_.at(key);
  // Kept until the end of this function, which its callback runs.
  const std::unique_ptr<HttpCall> call = std::move(order.call);
  if (result.ok && result.response.status == kOk) {
    ++swept_;
    unknown_.erase(key);
    orders_.erase(key);
    return;
  }
  EngineLoadReport refusal;
  if (result.ok && result.response.status == kConflict &&
      ParseEngineLoad(result.response.body, &refusal)) {
    fences_[key.first] = refusal.fence + 1;
  }
  order.timer = loop_->After(kRetryPause, [this, key] { Send(key); });
}

}  // namespace mimosa
