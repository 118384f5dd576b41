// Implements the record of moves and the role orders that follow from it.
#include "serving/role_controller.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "base/saturated_cast.h"
#include "serving/local_responses.h"

namespace mimosa {
namespace {

// Status codes of an engine's response to an order.
constexpr int kOrderAccepted = 202;
constexpr int kFenceTooLow = 412;

}  // namespace

RoleController::RoleController(EventLoop* loop, HttpClient* client,
                               KvStore* store, const RequestFormat* format,
                               const BackEndList* back_ends,
                               BackEndSelector* selector, LineLog* log,
                               FleetLoadSource fleet_load_source,
                               std::string holder, uint64_t boot,
                               Options options)
    : loop_(loop),
      client_(client),
      store_(store),
      format_(format),
      back_ends_(back_ends),
      selector_(selector),
      log_(log),
      fleet_load_source_(std::move(fleet_load_source)),
      holder_(std::move(holder)),
      boot_(boot),
      options_(std::move(options)) {}

RoleController::~RoleController() = default;

void RoleController::Start() { Evaluate(); }

void RoleController::Stop() {
  stopped_ = true;
  pending_moves_.clear();
  orders_.clear();
}

void RoleController::SetServices(std::vector<SiteService> services) {
  services_.clear();
  for (SiteService& service : services)
    if (service.engine && service.engine->role_switch_time > Duration::zero())
      services_.push_back(std::move(service));
}

// --- Record of moves ----------------------------------------------------

void RoleController::OnRecord(const KvRecord* record) {
  const MonoTime now = loop_->Now();
  record_received_at_ = now;
  moves_.clear();
  revision_ = record == nullptr ? Revision(0) : record->revision;
  owns_record_ = false;
  wire::RoleMoves moves;
  if (record == nullptr) {
    // No moves are in progress.
  } else if (!FromJson(record->value, /*strict=*/false, &moves)) {
    log_->Write(LogLine("role_moves_unreadable")
                    .Add("revision", record->revision.count()));
  } else {
    owns_record_ = moves.holder() == holder_ && moves.boot() == boot_;
    for (const wire::MovedEngine& move : moves.moves())
      moves_[BackEndId(move.back_end())] = {
          move.incarnation(),
          move.to_prefill() ? EngineRole::kPrefill : EngineRole::kDecode,
          now + options_.move_timeout};
  }
  PruneMoves();
}

void RoleController::OnEraBegun(StoreEra era) {
  const bool is_first = !era_;
  era_ = era;
  if (is_first) return;
  former_orders_until_ = loop_->Now() + options_.takeover_delay;
  pending_moves_.clear();
  orders_.clear();
  propagation_timer_.Cancel();
}

void RoleController::PruneMoves() {
  const MonoTime now = loop_->Now();
  for (auto it = moves_.begin(); it != moves_.end();) {
    const auto listed = back_ends_->entries().find(it->first);
    const bool obsolete =
        listed == back_ends_->entries().end() ||
        listed->second.entry.incarnation != it->second.incarnation;
    const bool done = !obsolete && listed->second.entry.role == it->second.role;
    if (!obsolete && !done && now < it->second.expires_at) {
      ++it;
      continue;
    }
    log_->Write(LogLine("role_move_over")
                    .Add("back_end", it->first.value())
                    .Add("role", RoleName(it->second.role))
                    .Add("why", done       ? "done"
                                : obsolete ? "engine_gone"
                                           : "too_late"));
    it = moves_.erase(it);
  }
  std::map<BackEndId, EngineRole> role_changes;
  for (const auto& [id, move] : moves_) role_changes[id] = move.role;
  selector_->SetRoleChanges(std::move(role_changes));
}

// --- Evaluation of the balance --------------------------------------------

void RoleController::Evaluate() {
  evaluation_timer_ =
      loop_->After(options_.evaluation_interval, [this] { Evaluate(); });
  const MonoTime now = loop_->Now();
  finished_calls_.clear();
  if (!moves_.empty()) PruneMoves();
  if (stopped_ || services_.empty()) return;
  std::optional<FleetLoad> load = fleet_load_source_();
  if (!load) {
    balancers_.clear();
    pending_moves_.clear();
    previous_stage_sums_.reset();
    return;
  }
  if (now >= pending_until_) pending_moves_.clear();
  for (const SiteService& service : services_) {
    UpdateBalance(service, load->stage_sums);
    if (moves_.empty() && pending_moves_.empty() && MayWriteRecord(now))
      ProposeMoves(service, *load);
  }
  previous_stage_sums_ = std::move(load->stage_sums);
  if (!pending_moves_.empty() && !announcing_ && MayWriteRecord(now))
    AnnounceMoves();
}

void RoleController::UpdateBalance(const SiteService& service,
                                   const StageSumsByService& stages) {
  if (!previous_stage_sums_) return;
  const auto sums_of = [&service](const StageSumsByService& of) {
    const auto found = of.find(service.id);
    return found == of.end() ? StageSums{} : found->second;
  };
  balancers_.try_emplace(service.id, options_.balancer)
      .first->second.RecordWork(
          sums_of(stages) - sums_of(*previous_stage_sums_),
          service.engine->kv_memory, loop_->Now());
}

void RoleController::ProposeMoves(const SiteService& service,
                                  const FleetLoad& load) {
  const auto found = balancers_.find(service.id);
  if (found == balancers_.end()) return;
  RoleBalancer& balance = found->second;
  const MonoTime now = loop_->Now();
  for (const RoleMove& move :
       balance.ProposeMoves(EnginesOf(service, load), now)) {
    log_->Write(LogLine("role_move_wanted")
                    .Add("back_end", move.engine.value())
                    .Add("role", RoleName(move.role))
                    .Add("service", service.id.value())
                    .Add("prefill_work_pct",
                         SaturatedCast<int64_t>(100 * balance.prefill_work()))
                    .Add("decode_work_pct",
                         SaturatedCast<int64_t>(100 * balance.decode_work())));
    pending_moves_.push_back(move);
    pending_until_ = now + options_.takeover_delay / 2;
  }
}

std::vector<RoleBalancer::Engine> RoleController::EnginesOf(
    const SiteService& service, const FleetLoad& load) const {
  std::vector<RoleBalancer::Engine> engines;
  for (const auto& [id, listed] : back_ends_->entries()) {
    const BackEndEntry& entry = listed.entry;
    if (entry.service != service.id || entry.role == EngineRole::kNone)
      continue;
    RoleBalancer::Engine engine;
    engine.id = id;
    engine.zone = entry.zone;
    engine.role = entry.role;
    engine.speed = selector_->SpeedOf(entry, EngineRole::kDecode);
    engine.accepts_work = !entry.draining && !selector_->IsLeaving(entry) &&
                          !selector_->IsEvacuated(entry) &&
                          !listed.removal_pending && moves_.count(id) == 0;
    const auto open = load.open_work.find(id);
    if (open != load.open_work.end()) engine.open_calls = open->second.calls;
    engines.push_back(std::move(engine));
  }
  return engines;
}

// --- Announcement -----------------------------------------------------------

bool RoleController::MayWriteRecord(MonoTime now) const {
  if (now < former_orders_until_) return false;
  return revision_ == Revision(0) || owns_record_ ||
         now - record_received_at_ >= options_.takeover_delay;
}

void RoleController::AnnounceMoves() {
  wire::RoleMoves record;
  record.set_holder(holder_);
  record.set_boot(boot_);
  for (const RoleMove& move : pending_moves_) {
    const auto listed = back_ends_->entries().find(move.engine);
    if (listed == back_ends_->entries().end()) continue;
    wire::MovedEngine* const moved = record.add_moves();
    moved->set_back_end(move.engine.value());
    moved->set_incarnation(listed->second.entry.incarnation);
    moved->set_to_prefill(move.role == EngineRole::kPrefill);
  }
  announcing_ = true;
  const MonoTime sent_at = loop_->Now();
  store_call_ = store_->Put(options_.record_key, ToJson(record), revision_, "",
                            [this, sent_at](const KvResult& result) {
                              OnMovesAnnounced(result, sent_at);
                            });
}

void RoleController::OnMovesAnnounced(const KvResult& result,
                                      MonoTime sent_at) {
  announcing_ = false;
  const MonoTime now = loop_->Now();
  // A record of an era that isn't in force yet may hide another writer's.
  const bool may_send_orders =
      result.status == KvStatus::kOk && result.era == era_ &&
      now - sent_at <= options_.ack_timeout && !stopped_;
  log_->Write(LogLine("role_moves_announced")
                  .Add("status", KvStatusName(result.status))
                  .Add("held", may_send_orders)
                  .Add("moves", pending_moves_.size())
                  .Add("revision", result.record.revision.count())
                  .AddMillis("took_ms", now - sent_at));
  // The next evaluation retries while the moves are pending.
  if (!may_send_orders) return;
  fence_ = result.record.revision;
  orders_until_ = now + options_.propagation_delay + options_.order_window;
  orders_.clear();
  for (const RoleMove& move : pending_moves_) {
    const auto listed = back_ends_->entries().find(move.engine);
    if (listed == back_ends_->entries().end()) continue;
    Order& order = orders_[move.engine];
    order.engine = listed->second.entry;
    order.role = move.role;
  }
  pending_moves_.clear();
  propagation_timer_ =
      loop_->After(options_.propagation_delay, [this] { StartOrders(); });
}

// --- Orders ---------------------------------------------------------------

CallObstacle RoleController::FindObstacle(const BackEndEntry& engine) const {
  const CallObstacle obstacle =
      selector_->FindObstacle(engine, CallPurpose::kWork, loop_->Now());
  return obstacle == CallObstacle::kChangingRole ? CallObstacle::kNone
                                                 : obstacle;
}

bool RoleController::PrepareCall(const Order& order) {
  const BackEndId id = order.engine.id;
  const CallObstacle obstacle = FindObstacle(order.engine);
  if (obstacle == CallObstacle::kNone) return true;
  if (obstacle == CallObstacle::kPausing) {
    RetryOrderLater(id);
  } else {
    FinishOrder(id, CallObstacleName(obstacle));
  }
  return false;
}

HttpCallOptions RoleController::CallOptionsFor(
    const BackEndEntry& engine) const {
  HttpCallOptions options =
      CallOptionsWithTimeout({engine.ip, engine.port}, options_.call_timeout);
  options.retry_on_fresh_connection = false;
  options.max_response_bytes = kMaxInternalResponseBytes;
  options.may_send = [this, engine] {
    return FindObstacle(engine) == CallObstacle::kNone;
  };
  return options;
}

void RoleController::StartOrders() {
  std::vector<BackEndId> ids;
  for (const auto& [id, order] : orders_) ids.push_back(id);
  for (const BackEndId& id : ids) RequestReport(id);
}

void RoleController::RequestReport(const BackEndId& id) {
  const auto it = orders_.find(id);
  if (it == orders_.end()) return;
  if (loop_->Now() >= orders_until_) {
    FinishOrder(id, "unanswered");
    return;
  }
  Order& order = it->second;
  if (!PrepareCall(order)) return;
  finished_calls_.push_back(std::move(order.call));
  order.call = Fetch(client_, CallOptionsFor(order.engine),
                     format_->WriteReportRequest(id),
                     [this, engine = order.engine](const HttpResult& result) {
                       OnReport(engine, result);
                     });
}

void RoleController::RecordIfLeaving(const BackEndEntry& engine,
                                     const HttpResult& result) {
  if (result.ok &&
      format_->ReadResponseMarkers(result.response.headers).leaving)
    selector_->RecordLeaving(engine);
}

void RoleController::OnReport(const BackEndEntry& engine,
                              const HttpResult& result) {
  RecordIfLeaving(engine, result);
  const BackEndId& id = engine.id;
  const auto it = orders_.find(id);
  if (it == orders_.end()) return;
  const auto report = result.ok && result.response.status == kStatusOk
                          ? format_->ReadReport(result.response.body)
                          : std::nullopt;
  if (!report) {
    RetryOrderLater(id);
  } else if (report->role == it->second.role) {
    FinishOrder(id, "holds_already");
  } else if (report->changing_role) {
    // Reports are some hundred milliseconds old. The order in progress is
    // either one of this daemon whose response was lost or one of a previous
    // writer; both have the same effect.
    FinishOrder(id, "under_way");
  } else {
    SendOrder(id, report->orders_accepted);
  }
}

void RoleController::SendOrder(const BackEndId& id, int64_t orders_accepted) {
  // The report may have waited in the socket while the process was paused.
  if (loop_->Now() >= orders_until_) {
    FinishOrder(id, "too_late");
    return;
  }
  Order& order = orders_.at(id);
  if (!PrepareCall(order)) return;
  ++orders_sent_;
  finished_calls_.push_back(std::move(order.call));
  order.call = Fetch(
      client_, CallOptionsFor(order.engine),
      format_->WriteOrder({id, order.role, holder_, fence_, orders_accepted}),
      [this, engine = order.engine](const HttpResult& result) {
        OnOrderResponse(engine, result);
      });
}

void RoleController::OnOrderResponse(const BackEndEntry& engine,
                                     const HttpResult& result) {
  RecordIfLeaving(engine, result);
  const BackEndId& id = engine.id;
  if (!result.ok) {
    RetryOrderLater(id);
    return;
  }
  switch (result.response.status) {
    case kStatusOk:  // The engine has the role already.
    case kOrderAccepted:
      FinishOrder(id, "taken");
      return;
    case kFenceTooLow:
      FinishOrder(id, "another_holder");
      loop_->Post([this] { orders_.clear(); });
      return;
    default:
      RetryOrderLater(id);
  }
}

void RoleController::RetryOrderLater(const BackEndId& id) {
  orders_.at(id).retry_timer =
      loop_->After(options_.call_timeout, [this, id] { RequestReport(id); });
}

void RoleController::FinishOrder(const BackEndId& id, const char* outcome) {
  const auto it = orders_.find(id);
  log_->Write(LogLine("role_order_over")
                  .Add("back_end", id.value())
                  .Add("role", RoleName(it->second.role))
                  .Add("fence", fence_.count())
                  .Add("outcome", outcome));
  finished_calls_.push_back(std::move(it->second.call));
  orders_.erase(it);
}

}  // namespace mimosa
