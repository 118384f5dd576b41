// The record of moves and the orders that follow from it.
#include "serving/role_keeper.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "serving/answers.h"

namespace mimosa {
namespace {

// How engines answer an order.
constexpr int kOrderTaken = 202;
constexpr int kFenceTooLow = 412;

}  // namespace

RoleKeeper::RoleKeeper(EventLoop* loop, HttpClient* client, KvStore* store,
                       const RequestFormat* format,
                       const BackEndList* back_ends, BackEndChoice* choice,
                       LineLog* log, FleetWork fleet_work, std::string holder,
                       uint64_t boot, Options options)
    : loop_(loop),
      client_(client),
      store_(store),
      format_(format),
      back_ends_(back_ends),
      choice_(choice),
      log_(log),
      fleet_work_(std::move(fleet_work)),
      holder_(std::move(holder)),
      boot_(boot),
      options_(std::move(options)) {}

RoleKeeper::~RoleKeeper() = default;

void RoleKeeper::Start() { Look(); }

void RoleKeeper::Stop() {
  stopped_ = true;
  wanted_.clear();
  orders_.clear();
}

void RoleKeeper::SetServices(std::vector<SiteService> services) {
  services_.clear();
  for (SiteService& service : services)
    if (service.engine && service.engine->role_switch > Duration::zero())
      services_.push_back(std::move(service));
}

// --- What the record says -----------------------------------------------

void RoleKeeper::OnRecord(const KvRecord* record) {
  const MonoTime now = loop_->Now();
  seen_at_ = now;
  moves_.clear();
  revision_ = record == nullptr ? Revision(0) : record->revision;
  own_ = false;
  wire::RoleMoves moves;
  if (record == nullptr) {
    // Nothing is under way.
  } else if (!FromJson(record->value, /*strict=*/false, &moves)) {
    log_->Write(LogLine("role_moves_unreadable")
                    .Add("revision", record->revision.count()));
  } else {
    own_ = moves.holder() == holder_ && moves.boot() == boot_;
    for (const wire::MovedEngine& move : moves.moves())
      moves_[BackEndId(move.back_end())] = {
          move.incarnation(),
          move.to_prefill() ? EngineRole::kPrefill : EngineRole::kDecode,
          now + options_.move_life};
  }
  Prune();
}

void RoleKeeper::Prune() {
  const MonoTime now = loop_->Now();
  for (auto it = moves_.begin(); it != moves_.end();) {
    const auto listed = back_ends_->all().find(it->first);
    const bool void_now =
        listed == back_ends_->all().end() ||
        listed->second.entry.incarnation != it->second.incarnation;
    const bool done = !void_now && listed->second.entry.role == it->second.role;
    if (!void_now && !done && now < it->second.until) {
      ++it;
      continue;
    }
    log_->Write(LogLine("role_move_over")
                    .Add("back_end", it->first.value())
                    .Add("role", RoleName(it->second.role))
                    .Add("why", done       ? "done"
                                : void_now ? "engine_gone"
                                           : "too_late"));
    it = moves_.erase(it);
  }
  std::map<BackEndId, EngineRole> moving;
  for (const auto& [id, move] : moves_) moving[id] = move.role;
  choice_->SetMoving(std::move(moving));
}

// --- What should move -----------------------------------------------------

void RoleKeeper::Look() {
  look_timer_ = loop_->After(options_.look_pause, [this] { Look(); });
  const MonoTime now = loop_->Now();
  ended_.clear();
  if (!moves_.empty()) Prune();
  if (stopped_ || services_.empty()) return;
  std::optional<Work> work = fleet_work_();
  if (!work) {
    balances_.clear();
    wanted_.clear();
    last_stages_.reset();
    return;
  }
  if (now >= wanted_until_) wanted_.clear();
  for (const SiteService& service : services_) {
    Observe(service, work->stages);
    if (moves_.empty() && wanted_.empty() && MayWrite(now))
      Want(service, *work);
  }
  last_stages_ = std::move(work->stages);
  if (!wanted_.empty() && !announcing_ && MayWrite(now)) Announce();
}

void RoleKeeper::Observe(const SiteService& service,
                         const StageSumsByService& stages) {
  if (!last_stages_) return;
  const auto sums_of = [&service](const StageSumsByService& of) {
    const auto found = of.find(service.id);
    return found == of.end() ? StageSums{} : found->second;
  };
  balances_.try_emplace(service.id, options_.balance)
      .first->second.Observe(sums_of(stages) - sums_of(*last_stages_),
                             service.engine->kv_memory, loop_->Now());
}

void RoleKeeper::Want(const SiteService& service, const Work& work) {
  const auto found = balances_.find(service.id);
  if (found == balances_.end()) return;
  RoleBalance& balance = found->second;
  const MonoTime now = loop_->Now();
  for (const RoleMove& move : balance.Propose(EnginesOf(service, work), now)) {
    log_->Write(LogLine("role_move_wanted")
                    .Add("back_end", move.engine.value())
                    .Add("role", RoleName(move.role))
                    .Add("service", service.id.value())
                    .Add("prefill_work_pct",
                         static_cast<int64_t>(100 * balance.prefill_work()))
                    .Add("decode_work_pct",
                         static_cast<int64_t>(100 * balance.decode_work())));
    wanted_.push_back(move);
    wanted_until_ = now + options_.takeover / 2;
  }
}

std::vector<RoleBalance::Engine> RoleKeeper::EnginesOf(
    const SiteService& service, const Work& work) const {
  std::vector<RoleBalance::Engine> engines;
  for (const auto& [id, listed] : back_ends_->all()) {
    const BackEndEntry& entry = listed.entry;
    if (entry.service != service.id || entry.role == EngineRole::kNone)
      continue;
    RoleBalance::Engine engine;
    engine.id = id;
    engine.zone = entry.zone;
    engine.role = entry.role;
    engine.usable = !entry.draining && !listed.held && moves_.count(id) == 0;
    const auto open = work.open.find(id);
    if (open != work.open.end()) engine.calls = open->second.calls;
    engines.push_back(std::move(engine));
  }
  return engines;
}

// --- Announcing -------------------------------------------------------------

bool RoleKeeper::MayWrite(MonoTime now) const {
  return revision_ == Revision(0) || own_ ||
         now - seen_at_ >= options_.takeover;
}

void RoleKeeper::Announce() {
  wire::RoleMoves record;
  record.set_holder(holder_);
  record.set_boot(boot_);
  for (const RoleMove& move : wanted_) {
    const auto listed = back_ends_->all().find(move.engine);
    if (listed == back_ends_->all().end()) continue;
    wire::MovedEngine* const moved = record.add_moves();
    moved->set_back_end(move.engine.value());
    moved->set_incarnation(listed->second.entry.incarnation);
    moved->set_to_prefill(move.role == EngineRole::kPrefill);
  }
  announcing_ = true;
  const MonoTime sent = loop_->Now();
  store_call_ = store_->Put(
      options_.key, ToJson(record), revision_, "",
      [this, sent](const KvResult& result) { OnAnnounced(result, sent); });
}

void RoleKeeper::OnAnnounced(const KvResult& result, MonoTime sent) {
  announcing_ = false;
  const MonoTime now = loop_->Now();
  const bool held = result.status == KvStatus::kOk &&
                    now - sent <= options_.ack_patience && !stopped_;
  log_->Write(LogLine("role_moves_announced")
                  .Add("status", KvStatusName(result.status))
                  .Add("held", held)
                  .Add("moves", wanted_.size())
                  .Add("revision", result.record.revision.count())
                  .AddMillis("took_ms", now - sent));
  if (!held) return;  // the next look tries again while they are wanted
  fence_ = result.record.revision;
  orders_until_ = now + options_.notice + options_.order_window;
  orders_.clear();
  for (const RoleMove& move : wanted_) {
    const auto listed = back_ends_->all().find(move.engine);
    if (listed == back_ends_->all().end()) continue;
    Order& order = orders_[move.engine];
    order.engine = listed->second.entry;
    order.role = move.role;
  }
  wanted_.clear();
  notice_timer_ = loop_->After(options_.notice, [this] { SendOrders(); });
}

// --- Orders
// -------------------------------------------------------------------

HttpCallOptions RoleKeeper::CallTo(const BackEndEntry& engine) const {
  HttpCallOptions options =
      CallWithin({engine.ip, engine.port}, options_.call_timeout);
  options.resend_on_fresh = false;
  return options;
}

void RoleKeeper::SendOrders() {
  std::vector<BackEndId> ids;
  for (const auto& [id, order] : orders_) ids.push_back(id);
  for (const BackEndId& id : ids) Ask(id);
}

void RoleKeeper::Ask(const BackEndId& id) {
  const auto it = orders_.find(id);
  if (it == orders_.end()) return;
  if (loop_->Now() >= orders_until_) {
    EndOrder(id, "unanswered");
    return;
  }
  Order& order = it->second;
  ended_.push_back(std::move(order.call));
  order.call =
      Fetch(client_, CallTo(order.engine), format_->WriteReportCall(id),
            [this, id](const HttpResult& result) { OnReport(id, result); });
}

void RoleKeeper::OnReport(const BackEndId& id, const HttpResult& result) {
  const auto it = orders_.find(id);
  if (it == orders_.end()) return;
  const auto report = result.ok && result.response.status == kStatusOk
                          ? format_->ReadReport(result.response.body)
                          : std::nullopt;
  if (!report) {
    AskAgain(id);
  } else if (report->role == it->second.role) {
    EndOrder(id, "holds_already");
  } else if (report->changing) {
    // Reports are some hundred milliseconds old: this is an order of ours whose
    // answer was lost, or a former writer's, which comes to the same.
    EndOrder(id, "under_way");
  } else {
    Send(id, report->orders_taken);
  }
}

void RoleKeeper::Send(const BackEndId& id, int64_t orders_taken) {
  Order& order = orders_.at(id);
  ++orders_sent_;
  ended_.push_back(std::move(order.call));
  order.call = Fetch(
      client_, CallTo(order.engine),
      format_->WriteOrder({id, order.role, holder_, fence_, orders_taken}),
      [this, id](const HttpResult& result) { OnOrdered(id, result); });
}

void RoleKeeper::OnOrdered(const BackEndId& id, const HttpResult& result) {
  if (!result.ok) {
    AskAgain(id);
    return;
  }
  switch (result.response.status) {
    case kStatusOk:  // it holds already
    case kOrderTaken:
      EndOrder(id, "taken");
      return;
    case kFenceTooLow:
      EndOrder(id, "another_holder");
      loop_->Post([this] { orders_.clear(); });
      return;
    default:
      AskAgain(id);
  }
}

void RoleKeeper::AskAgain(const BackEndId& id) {
  orders_.at(id).timer =
      loop_->After(options_.call_timeout, [this, id] { Ask(id); });
}

void RoleKeeper::EndOrder(const BackEndId& id, const char* outcome) {
  const auto it = orders_.find(id);
  log_->Write(LogLine("role_order_over")
                  .Add("back_end", id.value())
                  .Add("role", RoleName(it->second.role))
                  .Add("fence", fence_.count())
                  .Add("outcome", outcome));
  ended_.push_back(std::move(it->second.call));
  orders_.erase(it);
}

}  // namespace mimosa
