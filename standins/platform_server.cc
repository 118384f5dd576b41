// HTTP face and faults of the stand-in platform.
#include "standins/platform_server.h"

#include <utility>
#include <vector>

#include "router/kv_store.h"

namespace mimosa::standins {
namespace {

// How often leases are looked at: a lease lapses up to this much late, never
// early.
constexpr Duration kTick = std::chrono::milliseconds(20);

constexpr std::string_view kRecordPath = "/v1/kv/";
constexpr std::string_view kLeasePath = "/v1/lease";

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

Json::Value RecordJson(const std::string& key,
                       const PlatformStore::Record* record) {
  Json::Value value;
  value["key"] = key;
  value["value"] = record == nullptr ? "" : record->value;
  value["revision"] = Json::Int64(record == nullptr ? 0 : record->revision);
  return value;
}

Json::Value LeaseJson(const std::string& id) {
  Json::Value value;
  value["lease"] = id;
  return value;
}

// "mimosa/members/a#1" counts under "mimosa/members".
std::string TwoSegments(const std::string& key) {
  const size_t first = key.find('/');
  if (first == std::string::npos) return key;
  return key.substr(0, key.find('/', first + 1));
}

}  // namespace

PlatformServer::PlatformServer(EventLoop* loop, const PlatformOptions& options)
    : loop_(loop), options_(options), store_(options.history), delays_(loop) {
  Tick();
}

void PlatformServer::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const Target target = ParseTarget(exchange->request().target);
  if (IsDebugPath(target.path)) {
    Debug(exchange, target);
    return;
  }
  delays_.Run(faults_.slowness, [this, exchange] { Serve(exchange); });
}

void PlatformServer::Serve(const ExchangePtr& exchange) {
  if (faults_.outage) {
    exchange->Abort();
    return;
  }
  if (!Admit()) {
    ++refused_;
    RespondError(exchange.get(), 429, "rate");
    return;
  }
  store_.ExpireLeases(loop_->Now());
  Dispatch(exchange, ParseTarget(exchange->request().target));
  WakeWatches();
}

bool PlatformServer::Admit() {
  if (options_.max_calls_per_second == 0) return true;
  const MonoTime now = loop_->Now();
  if (now - second_start_ >= std::chrono::seconds(1)) {
    second_start_ = now;
    calls_this_second_ = 0;
  }
  return ++calls_this_second_ <= options_.max_calls_per_second;
}

void PlatformServer::Dispatch(const ExchangePtr& exchange,
                              const Target& target) {
  if (StartsWith(target.path, kRecordPath)) {
    ServeRecord(exchange, target);
  } else if (StartsWith(target.path, kLeasePath)) {
    ServeLease(exchange, target);
  } else if (target.path == "/v1/list") {
    List(exchange, target);
  } else if (target.path == "/v1/watch") {
    StartWatch(exchange, target);
  } else if (target.path == "/v1/vms") {
    Count("vms");
    Json::Value value;
    value["vms"] = vms_;
    RespondJson(exchange.get(), 200, value);
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void PlatformServer::Count(const char* kind) { ++calls_[kind]; }

void PlatformServer::ServeRecord(const ExchangePtr& exchange,
                                 const Target& target) {
  const std::string key = target.path.substr(kRecordPath.size());
  const std::string& method = exchange->request().method;
  if (method == "GET") {
    Get(exchange, key);
  } else if (method == "PUT") {
    Put(exchange, target, key);
  } else if (method == "DELETE") {
    Delete(exchange, target, key);
  } else {
    RespondError(exchange.get(), 405, "method");
  }
}

void PlatformServer::Get(const ExchangePtr& exchange, const std::string& key) {
  Count("get");
  const PlatformStore::Record* record = store_.Find(key);
  if (record == nullptr)
    RespondError(exchange.get(), 404, "absent");
  else
    RespondJson(exchange.get(), 200, RecordJson(key, record));
}

void PlatformServer::Put(const ExchangePtr& exchange, const Target& target,
                         const std::string& key) {
  Count("put");
  if (exchange->request().body.size() > kMaxValueBytes) {
    RespondError(exchange.get(), 413, "too_large");
    return;
  }
  ++writes_[TwoSegments(key)];
  AnswerWrite(exchange, key,
              store_.Put(key, exchange->request().body,
                         target.Int("expect", -1), target.String("lease")));
}

void PlatformServer::Delete(const ExchangePtr& exchange, const Target& target,
                            const std::string& key) {
  Count("delete");
  ++writes_[TwoSegments(key)];
  AnswerWrite(exchange, key, store_.Delete(key, target.Int("expect", -1)));
}

void PlatformServer::AnswerWrite(const ExchangePtr& exchange,
                                 const std::string& key,
                                 const PlatformStore::WriteResult& result) {
  if (LosesReply(key)) {
    exchange->Abort();
    return;
  }
  Json::Value value;
  switch (result.status) {
    case PlatformStore::Status::kOk:
      value["revision"] = Json::Int64(result.revision);
      RespondJson(exchange.get(), 200, value);
      return;
    case PlatformStore::Status::kConflict:
      RespondJson(exchange.get(), 409, RecordJson(key, store_.Find(key)));
      return;
    case PlatformStore::Status::kNotFound:
      RespondError(exchange.get(), 404, "absent");
      return;
    case PlatformStore::Status::kNoLease:
      RespondError(exchange.get(), 404, "lease");
      return;
  }
}

bool PlatformServer::LosesReply(const std::string& key) {
  if (faults_.lose_replies <= 0) return false;
  if (!StartsWith(key, faults_.lose_replies_prefix)) return false;
  --faults_.lose_replies;
  return true;
}

void PlatformServer::List(const ExchangePtr& exchange, const Target& target) {
  Count("list");
  Json::Value value;
  value["revision"] = Json::Int64(store_.revision());
  value["records"] = Json::Value(Json::arrayValue);
  for (const auto& [key, record] : store_.List(target.String("prefix")))
    value["records"].append(RecordJson(key, record));
  RespondJson(exchange.get(), 200, value);
}

void PlatformServer::ServeLease(const ExchangePtr& exchange,
                                const Target& target) {
  const std::string& method = exchange->request().method;
  std::string id = target.path.substr(kLeasePath.size());
  const MonoTime now = loop_->Now();
  if (method == "POST" && id.empty()) {
    Count("lease_create");
    const Duration ttl = std::chrono::milliseconds(target.Int("ttl_ms", 1000));
    RespondJson(exchange.get(), 200, LeaseJson(store_.CreateLease(ttl, now)));
    return;
  }
  id.erase(0, 1);  // the slash
  if (method == "DELETE") {
    Count("lease_end");
    store_.EndLease(id);
    RespondJson(exchange.get(), 200, LeaseJson(id));
    return;
  }
  Count("lease_renew");
  id = id.substr(0, id.find('/'));
  if (store_.RenewLease(id, now))
    RespondJson(exchange.get(), 200, LeaseJson(id));
  else
    RespondError(exchange.get(), 404, "lease");
}

void PlatformServer::StartWatch(const ExchangePtr& exchange,
                                const Target& target) {
  Count("watch");
  Watch watch;
  watch.exchange = exchange;
  watch.prefix = target.String("prefix");
  watch.after = target.Int("after", 0);
  if (TryAnswer(watch, /*timed_out=*/false)) return;
  const uint64_t serial = next_serial_++;
  const Duration wait = std::chrono::milliseconds(target.Int("wait_ms", 30000));
  watch.timeout = loop_->After(wait, [this, serial] {
    const auto node = watches_.extract(serial);
    if (!node.empty()) TryAnswer(node.mapped(), /*timed_out=*/true);
  });
  watches_[serial] = std::move(watch);
  exchange->OnClientGone([this, serial] { watches_.erase(serial); });
}

bool PlatformServer::TryAnswer(const Watch& watch, bool timed_out) {
  const auto changes = store_.ChangesAfter(watch.prefix, watch.after);
  if (changes.too_old) {
    RespondError(watch.exchange.get(), 410, "compacted");
    return true;
  }
  if (changes.keys.empty() && !timed_out) return false;
  Json::Value value;
  value["revision"] = Json::Int64(store_.revision());
  value["records"] = Json::Value(Json::arrayValue);
  value["deleted"] = Json::Value(Json::arrayValue);
  for (const std::string& key : changes.keys) {
    const PlatformStore::Record* record = store_.Find(key);
    if (record == nullptr)
      value["deleted"].append(key);
    else
      value["records"].append(RecordJson(key, record));
  }
  RespondJson(watch.exchange.get(), 200, value);
  return true;
}

void PlatformServer::WakeWatches() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (TryAnswer(it->second, /*timed_out=*/false))
      it = watches_.erase(it);
    else
      ++it;
  }
}

// Leases go on lapsing during an outage: the hard case for their holders.
void PlatformServer::Tick() {
  store_.ExpireLeases(loop_->Now());
  if (!faults_.outage) WakeWatches();
  tick_timer_ = loop_->After(kTick, [this] { Tick(); });
}

void PlatformServer::Debug(const ExchangePtr& exchange, const Target& target) {
  if (target.path == "/debug/control") {
    Control(exchange);
  } else if (target.path == "/debug/stats") {
    RespondJson(exchange.get(), 200, Stats());
  } else if (target.path == "/debug/records") {
    Json::Value value;
    value["records"] = Json::Value(Json::arrayValue);
    for (const auto& [key, record] : store_.List(""))
      value["records"].append(RecordJson(key, record));
    RespondJson(exchange.get(), 200, value);
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void PlatformServer::Control(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  if (!body) {
    RespondError(exchange.get(), 400, "json");
    return;
  }
  faults_.slowness = MillisOf(*body, "slow_ms", faults_.slowness);
  faults_.vms_lag = MillisOf(*body, "vms_lag_ms", faults_.vms_lag);
  faults_.lose_replies = IntOf(*body, "lose_replies", faults_.lose_replies);
  if (body->isMember("lose_replies_prefix"))
    faults_.lose_replies_prefix = StringOf(*body, "lose_replies_prefix");
  if (body->isMember("vms")) SetVms((*body)["vms"]);
  SetOutage(BoolOf(*body, "outage", faults_.outage));
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
}

void PlatformServer::SetOutage(bool outage) {
  faults_.outage = outage;
  if (!outage) return;
  std::map<uint64_t, Watch> failing;
  failing.swap(watches_);
  for (auto& [serial, watch] : failing) watch.exchange->Abort();
}

void PlatformServer::SetVms(Json::Value vms) {
  vms_timer_ = loop_->After(faults_.vms_lag,
                            [this, vms = std::move(vms)] { vms_ = vms; });
}

Json::Value PlatformServer::Stats() const {
  Json::Value value;
  value["calls"] = Json::Value(Json::objectValue);
  Json::Int64 total = 0;
  for (const auto& [kind, count] : calls_) {
    value["calls"][kind] = Json::Int64(count);
    total += count;
  }
  value["total"] = total;
  value["refused"] = Json::Int64(refused_);
  value["waiting_watches"] = Json::UInt64(watches_.size());
  value["revision"] = Json::Int64(store_.revision());
  value["writes"] = Json::Value(Json::objectValue);
  for (const auto& [prefix, count] : writes_)
    value["writes"][prefix] = Json::Int64(count);
  return value;
}

}  // namespace mimosa::standins
