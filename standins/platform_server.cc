// Implements the HTTP interface and the injected faults of the stand-in
// platform.
#include "standins/platform_server.h"

#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include "base/base64.h"
#include "base/json.h"
#include "base/kv_store.h"
#include "base/text.h"

namespace mimosa::standins {
namespace {

// Interval of checking leases. A lease expires up to this much late, never
// early.
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(20);

constexpr std::string_view kRenewLeasePath = "/mimosarouter/kv-keep/";
constexpr std::string_view kEndLeasePath = "/mimosarouter/kv-lease-end/";

// Maximum number of rows in a transaction, and of records in a page of a list.
constexpr unsigned kMaxTransactionRows = 32;
constexpr size_t kPageRecords = 500;

Json::Value ItemJson(const std::string& key,
                     const PlatformStore::Record& record) {
  Json::Value value;
  value["key"] = key;
  value["value"] = EncodeBase64(record.value);
  value["revision"] = Json::Int64(record.revision);
  value["created"] = Json::Int64(record.created_revision);
  value["lease"] = Json::Int64(record.lease);
  return value;
}

// Returns the first two segments of a key: "mimosa/members" for
// "mimosa/members/a#1".
std::string FirstTwoSegments(const std::string& key) {
  const size_t first = key.find('/');
  if (first == std::string::npos) return key;
  return key.substr(0, key.find('/', first + 1));
}

// Returns whether only the operator or backend servers may write this key.
bool IsReservedKey(const std::string& key) {
  return StartsWith(key, "op/") || StartsWith(key, "servers/");
}

std::optional<PlatformStore::Transaction> ParseTransaction(
    const std::string& body) {
  const auto object = ParseObject(body);
  if (!object) return std::nullopt;
  PlatformStore::Transaction transaction;
  for (const Json::Value& row : (*object)["expected"]) {
    if (!row.isObject()) return std::nullopt;
    transaction.expected.emplace_back(StringMember(row, "key"),
                                      IntMember(row, "revision", -1));
  }
  for (const Json::Value& row : (*object)["writes"]) {
    PlatformStore::Transaction::Write write;
    if (!row.isObject()) return std::nullopt;
    write.key = StringMember(row, "key");
    write.lease = IntMember(row, "lease");
    if (!DecodeBase64(StringMember(row, "value"), &write.value))
      return std::nullopt;
    transaction.writes.push_back(std::move(write));
  }
  for (const Json::Value& key : (*object)["remove"]) {
    if (!key.isString()) return std::nullopt;
    transaction.removed_keys.push_back(key.asString());
  }
  return transaction;
}

std::vector<std::string> KeysWritten(
    const PlatformStore::Transaction& transaction) {
  std::vector<std::string> keys = transaction.removed_keys;
  for (const auto& write : transaction.writes) keys.push_back(write.key);
  return keys;
}

// Validates a transaction. Returns 0 if it is valid, else the HTTP status of
// the error.
int ValidateTransaction(const PlatformStore::Transaction& transaction) {
  if (transaction.expected.size() + transaction.writes.size() +
          transaction.removed_keys.size() >
      kMaxTransactionRows)
    return 400;
  for (const auto& write : transaction.writes)
    if (write.value.size() > kMaxValueBytes) return 413;
  for (const std::string& key : KeysWritten(transaction))
    if (IsReservedKey(key)) return 403;
  return 0;
}

}  // namespace

PlatformServer::PlatformServer(EventLoop* loop, const PlatformOptions& options)
    : loop_(loop),
      options_(options),
      store_(options.history_limit),
      delayed_tasks_(loop) {
  Tick();
}

void PlatformServer::OnRequest(std::shared_ptr<HttpExchange> exchange) {
  const Target target = ParseTarget(exchange->request().target);
  if (IsDebugPath(target.path)) {
    HandleDebug(exchange, target);
    return;
  }
  delayed_tasks_.RunAfter(faults_.call_delay,
                          [this, exchange] { HandleCall(exchange); });
}

void PlatformServer::HandleCall(const ExchangePtr& exchange) {
  if (faults_.outage) {
    exchange->Abort();
    return;
  }
  if (faults_.busy ||
      faults_.refused_clients.count(exchange->client().ip) != 0) {
    ReplyError(exchange.get(), 503, "busy");
    return;
  }
  if (!AdmitCall()) {
    ++rate_limited_calls_;
    ReplyError(exchange.get(), 429, "rate");
    return;
  }
  store_.ExpireLeases(loop_->Now());
  DispatchCall(exchange, ParseTarget(exchange->request().target));
  CompleteReadyWatches();
}

bool PlatformServer::AdmitCall() {
  if (options_.max_calls_per_second == 0) return true;
  const MonoTime now = loop_->Now();
  if (now - rate_window_start_ >= std::chrono::seconds(1)) {
    rate_window_start_ = now;
    calls_in_rate_window_ = 0;
  }
  return ++calls_in_rate_window_ <= options_.max_calls_per_second;
}

void PlatformServer::DispatchCall(const ExchangePtr& exchange,
                                  const Target& target) {
  const std::string call = exchange->request().method + " " + target.path;
  if (call == "GET /mimosarouter/kv-key") {
    HandleGet(exchange, target);
  } else if (call == "GET /mimosarouter/kv-range") {
    HandleList(exchange, target);
  } else if (call == "GET /mimosarouter/kv-watch") {
    StartWatch(exchange, target);
  } else if (call == "POST /mimosarouter/kv-txn") {
    HandleTransaction(exchange);
  } else if (call == "POST /mimosarouter/kv-lease") {
    HandleCreateLease(exchange);
  } else if (StartsWith(target.path, kRenewLeasePath)) {
    HandleRenewLease(exchange,
                     std::atoll(target.path.c_str() + kRenewLeasePath.size()));
  } else if (StartsWith(target.path, kEndLeasePath)) {
    CountCall("lease_end");
    store_.EndLease(std::atoll(target.path.c_str() + kEndLeasePath.size()));
    Reply(exchange.get(), 200, Json::Value(Json::objectValue));
  } else {
    ReplyError(exchange.get(), 404, "path");
  }
}

void PlatformServer::Reply(HttpExchange* exchange, int status,
                           const Json::Value& value) const {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add("Store-Era", std::to_string(store_.era()));
  response.body = WriteJson(value);
  exchange->Respond(std::move(response));
}

void PlatformServer::ReplyError(HttpExchange* exchange, int status,
                                const char* error) const {
  Json::Value value;
  value["error"] = error;
  Reply(exchange, status, value);
}

void PlatformServer::CountCall(const char* kind) { ++calls_by_kind_[kind]; }

void PlatformServer::HandleGet(const ExchangePtr& exchange,
                               const Target& target) {
  CountCall("get");
  const std::string key = target.StringParam("key");
  const PlatformStore::Record* record = store_.Find(key);
  if (record == nullptr) {
    ReplyError(exchange.get(), 404, "absent");
    return;
  }
  Json::Value value = ItemJson(key, *record);
  value["current_rev"] = Json::Int64(store_.revision());
  Reply(exchange.get(), 200, value);
}

void PlatformServer::HandleList(const ExchangePtr& exchange,
                                const Target& target) {
  CountCall("list");
  const auto found = store_.List(target.StringParam("prefix"),
                                 target.StringParam("after"), kPageRecords + 1);
  Json::Value value;
  value["current_rev"] = Json::Int64(store_.revision());
  value["has_more"] = found.size() > kPageRecords;
  value["items"] = Json::Value(Json::arrayValue);
  for (size_t i = 0; i < found.size() && i < kPageRecords; ++i)
    value["items"].append(ItemJson(found[i].first, *found[i].second));
  Reply(exchange.get(), 200, value);
}

void PlatformServer::HandleTransaction(const ExchangePtr& exchange) {
  CountCall("transaction");
  const auto transaction = ParseTransaction(exchange->request().body);
  if (!transaction) {
    ReplyError(exchange.get(), 400, "json");
    return;
  }
  if (const int error_status = ValidateTransaction(*transaction)) {
    ReplyError(exchange.get(), error_status, "refused");
    return;
  }
  for (const std::string& key : KeysWritten(*transaction))
    ++writes_by_prefix_[FirstTwoSegments(key)];
  if (faults_.late_writes > 0) {
    --faults_.late_writes;
    exchange->Abort();
    delayed_tasks_.RunAfter(
        faults_.late_write_delay,
        [this, late = *transaction] { store_.Commit(late); });
    return;
  }
  RespondToTransaction(exchange, *transaction);
}

void PlatformServer::RespondToTransaction(
    const ExchangePtr& exchange,
    const PlatformStore::Transaction& transaction) {
  const PlatformStore::WriteResult result = store_.Commit(transaction);
  if (ShouldLoseReply(transaction)) {
    exchange->Abort();
    return;
  }
  Json::Value value;
  switch (result.status) {
    case PlatformStore::Status::kOk:
      value["revision"] = Json::Int64(result.revision);
      Reply(exchange.get(), 200, value);
      return;
    case PlatformStore::Status::kConflict:
      value["items"] = Json::Value(Json::arrayValue);
      for (const auto& [key, revision] : transaction.expected)
        if (const auto* record = store_.Find(key))
          value["items"].append(ItemJson(key, *record));
      Reply(exchange.get(), 412, value);
      return;
    case PlatformStore::Status::kNoLease:
      ReplyError(exchange.get(), 404, "lease");
      return;
  }
}

bool PlatformServer::ShouldLoseReply(
    const PlatformStore::Transaction& transaction) {
  if (faults_.lose_replies <= 0) return false;
  for (const std::string& key : KeysWritten(transaction)) {
    if (!StartsWith(key, faults_.lose_replies_prefix)) continue;
    --faults_.lose_replies;
    return true;
  }
  return false;
}

void PlatformServer::HandleCreateLease(const ExchangePtr& exchange) {
  CountCall("lease_create");
  const auto body = ParseObject(exchange->request().body);
  if (!body || IntMember(*body, "ttl_ms") <= 0) {
    ReplyError(exchange.get(), 400, "ttl_ms");
    return;
  }
  const int64_t ttl_ms = IntMember(*body, "ttl_ms");
  Json::Value value;
  value["lease"] = Json::Int64(
      store_.CreateLease(std::chrono::milliseconds(ttl_ms), loop_->Now()));
  value["ttl_ms"] = Json::Int64(ttl_ms);
  Reply(exchange.get(), 200, value);
}

void PlatformServer::HandleRenewLease(const ExchangePtr& exchange,
                                      int64_t lease) {
  CountCall("lease_renew");
  if (store_.RenewLease(lease, loop_->Now())) {
    Reply(exchange.get(), 200, Json::Value(Json::objectValue));
  } else {
    ReplyError(exchange.get(), 404, "lease");
  }
}

void PlatformServer::StartWatch(const ExchangePtr& exchange,
                                const Target& target) {
  CountCall("watch");
  Watch watch;
  watch.exchange = exchange;
  watch.prefix = target.StringParam("prefix");
  watch.after_revision = target.IntParam("after", 0);
  if (TryCompleteWatch(watch, /*timed_out=*/false)) return;
  const uint64_t serial = next_serial_++;
  const Duration wait =
      std::chrono::milliseconds(target.IntParam("wait_ms", 30000));
  watch.timeout_timer = loop_->After(wait, [this, serial] {
    const auto node = watches_.extract(serial);
    if (!node.empty()) TryCompleteWatch(node.mapped(), /*timed_out=*/true);
  });
  watches_[serial] = std::move(watch);
  exchange->OnClientDisconnected([this, serial] { watches_.erase(serial); });
}

bool PlatformServer::TryCompleteWatch(const Watch& watch, bool timed_out) {
  const auto changes = store_.ChangesAfter(watch.prefix, watch.after_revision);
  if (changes.too_old) {
    ReplyError(watch.exchange.get(), 410, "compacted");
    return true;
  }
  if (changes.entries.empty() && !timed_out) return false;
  Json::Value value;
  value["current_rev"] = Json::Int64(store_.revision());
  value["events"] = Json::Value(Json::arrayValue);
  for (const PlatformStore::Change& change : changes.entries) {
    const PlatformStore::Record* record = store_.Find(change.key);
    if (!change.removed && record != nullptr) {
      value["events"].append(ItemJson(change.key, *record));
      continue;
    }
    Json::Value event;
    event["key"] = change.key;
    event["revision"] = Json::Int64(change.revision);
    event["tombstone"] = true;
    value["events"].append(event);
  }
  Reply(watch.exchange.get(), 200, value);
  return true;
}

void PlatformServer::CompleteReadyWatches() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (TryCompleteWatch(it->second, /*timed_out=*/false))
      it = watches_.erase(it);
    else
      ++it;
  }
}

void PlatformServer::Tick() {
  const bool unavailable = faults_.outage || faults_.busy;
  // Without this fault, leases keep expiring during an outage, which is the
  // harder case for the daemons.
  if (unavailable && faults_.pause_leases)
    store_.ExtendLeases(kLeaseCheckInterval);
  store_.ExpireLeases(loop_->Now());
  if (!unavailable) CompleteReadyWatches();
  tick_timer_ = loop_->After(kLeaseCheckInterval, [this] { Tick(); });
}

void PlatformServer::HandleDebug(const ExchangePtr& exchange,
                                 const Target& target) {
  if (target.path == "/debug/control") {
    HandleControl(exchange);
  } else if (target.path == "/debug/stats") {
    RespondJson(exchange.get(), 200, StatsJson());
  } else if (target.path == "/debug/records") {
    Json::Value value;
    value["records"] = Json::Value(Json::arrayValue);
    for (const auto& [key, record] : store_.List("")) {
      Json::Value item = ItemJson(key, *record);
      item["value"] = record->value;
      value["records"].append(item);
    }
    RespondJson(exchange.get(), 200, value);
  } else if (target.path == "/debug/record") {
    HandleDebugRecord(exchange, target);
  } else {
    RespondError(exchange.get(), 404, "path");
  }
}

void PlatformServer::HandleControl(const ExchangePtr& exchange) {
  const auto body = ParseObject(exchange->request().body);
  if (!body) {
    RespondError(exchange.get(), 400, "json");
    return;
  }
  faults_.call_delay = MillisMember(*body, "slow_ms", faults_.call_delay);
  faults_.vms_lag = MillisMember(*body, "vms_lag_ms", faults_.vms_lag);
  faults_.lose_replies = IntMember(*body, "lose_replies", faults_.lose_replies);
  if (body->isMember("lose_replies_prefix"))
    faults_.lose_replies_prefix = StringMember(*body, "lose_replies_prefix");
  faults_.late_writes = IntMember(*body, "late_writes", faults_.late_writes);
  faults_.late_write_delay =
      MillisMember(*body, "late_ms", faults_.late_write_delay);
  faults_.pause_leases =
      BoolMember(*body, "pause_leases", faults_.pause_leases);
  if (BoolMember(*body, "compact", false)) store_.Compact();
  if (BoolMember(*body, "save_copy", false)) store_.SaveCopy();
  if (BoolMember(*body, "restore_copy", false)) {
    store_.RestoreCopy();
    AbortWatches();
  }
  if (body->isMember("refused")) {
    faults_.refused_clients.clear();
    for (const Json::Value& ip : (*body)["refused"])
      if (ip.isString()) faults_.refused_clients.insert(ip.asString());
  }
  if (body->isMember("vms")) ScheduleVmsWrite((*body)["vms"]);
  SetOutage(BoolMember(*body, "outage", faults_.outage),
            BoolMember(*body, "busy", faults_.busy));
  RespondJson(exchange.get(), 200, Json::Value(Json::objectValue));
}

void PlatformServer::HandleDebugRecord(const ExchangePtr& exchange,
                                       const Target& target) {
  PlatformStore::Transaction transaction;
  if (exchange->request().method == "DELETE") {
    transaction.removed_keys = {target.StringParam("key")};
  } else {
    transaction.writes = {
        {target.StringParam("key"), exchange->request().body, 0}};
  }
  Json::Value value;
  value["revision"] = Json::Int64(store_.Commit(transaction).revision);
  RespondJson(exchange.get(), 200, value);
  if (!faults_.outage && !faults_.busy) CompleteReadyWatches();
}

void PlatformServer::SetOutage(bool outage, bool busy) {
  const bool outage_started =
      (outage && !faults_.outage) || (busy && !faults_.busy);
  faults_.outage = outage;
  faults_.busy = busy;
  if (outage_started) AbortWatches();
}

void PlatformServer::AbortWatches() {
  std::map<uint64_t, Watch> aborted;
  aborted.swap(watches_);
  for (auto& [serial, watch] : aborted) watch.exchange->Abort();
}

void PlatformServer::ScheduleVmsWrite(const Json::Value& vms) {
  vms_timer_ = loop_->After(faults_.vms_lag, [this, vms] { WriteVms(vms); });
}

void PlatformServer::WriteVms(const Json::Value& vms) {
  PlatformStore::Transaction transaction;
  for (const std::string& ip : listed_vms_)
    transaction.removed_keys.push_back("vms/" + ip);
  store_.Commit(transaction);
  listed_vms_.clear();
  transaction = {};
  for (const Json::Value& vm : vms) {
    const std::string ip = StringMember(vm, "address");
    listed_vms_.insert(ip);
    transaction.writes.push_back({"vms/" + ip, WriteJson(vm), 0});
  }
  store_.Commit(transaction);
}

Json::Value PlatformServer::StatsJson() const {
  Json::Value value;
  value["calls"] = Json::Value(Json::objectValue);
  Json::Int64 total = 0;
  for (const auto& [kind, count] : calls_by_kind_) {
    value["calls"][kind] = Json::Int64(count);
    total += count;
  }
  value["total"] = total;
  value["refused"] = Json::Int64(rate_limited_calls_);
  value["waiting_watches"] = Json::UInt64(watches_.size());
  value["revision"] = Json::Int64(store_.revision());
  value["era"] = Json::Int64(store_.era());
  value["writes"] = Json::Value(Json::objectValue);
  for (const auto& [prefix, count] : writes_by_prefix_)
    value["writes"][prefix] = Json::Int64(count);
  return value;
}

}  // namespace mimosa::standins
