// Requests to and answers from the platform.
#include "router/kv_client.h"

#include <array>
#include <cctype>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusTooMany = 429;
constexpr int kStatusServerError = 500;
constexpr int kStatusUnavailable = 503;

std::string PercentEncoded(std::string_view text) {
  static constexpr std::string_view kHex = "0123456789ABCDEF";
  constexpr unsigned kNibbleBits = 4;
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 ||
        std::string_view("-._~/").find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kHex[byte >> kNibbleBits];
    encoded += kHex[byte & 0xfU];
  }
  return encoded;
}

// 429, 503 and the other refusals say that nothing was done. Any other server
// error leaves it open.
KvStatus StatusOf(int http_status) {
  switch (http_status) {
    case kStatusOk:
      return KvStatus::kOk;
    case kStatusNotFound:
      return KvStatus::kNotFound;
    case kStatusConflict:
      return KvStatus::kConflict;
    case kStatusGone:
      return KvStatus::kCompacted;
    case kStatusTooMany:
    case kStatusUnavailable:
      return KvStatus::kUnavailable;
    default:
      return http_status > kStatusConflict && http_status < kStatusServerError
                 ? KvStatus::kUnavailable
                 : KvStatus::kNoReply;
  }
}

// jsoncpp throws when a member has another type than asked for; these don't.
std::string StringMember(const Json::Value& object, const char* name) {
  const Json::Value& value = object[name];
  return value.isString() ? value.asString() : "";
}

Revision RevisionMember(const Json::Value& object) {
  const Json::Value& value = object["revision"];
  return Revision(value.isInt64() ? value.asInt64() : 0);
}

std::optional<Json::Value> ObjectOf(const std::string& body) {
  const auto value = ParseJson(body);
  if (!value || !value->isObject()) return std::nullopt;
  return *value;
}

KvRecord RecordOf(const Json::Value& object) {
  return {StringMember(object, "key"), StringMember(object, "value"),
          RevisionMember(object)};
}

// An answer that isn't what the protocol says is as good as none.
KvResult RecordResult(KvStatus status, const std::string& key,
                      const std::string& body) {
  KvResult result;
  result.status = status;
  if (status != KvStatus::kOk && status != KvStatus::kConflict) return result;
  const std::optional<Json::Value> object = ObjectOf(body);
  if (!object || !(*object)["revision"].isInt64()) {
    result.status = KvStatus::kNoReply;
    return result;
  }
  result.record = RecordOf(*object);
  result.record.key = key;
  return result;
}

KvListResult ListResult(KvStatus status, const std::string& body) {
  KvListResult result;
  result.status = status;
  if (status != KvStatus::kOk) return result;
  const std::optional<Json::Value> object = ObjectOf(body);
  if (!object || !(*object)["revision"].isInt64() ||
      !(*object)["records"].isArray()) {
    result.status = KvStatus::kNoReply;
    return result;
  }
  result.revision = RevisionMember(*object);
  for (const Json::Value& record : (*object)["records"])
    if (record.isObject()) result.records.push_back(RecordOf(record));
  const Json::Value& deleted = (*object)["deleted"];
  if (!deleted.isArray()) return result;
  for (const Json::Value& key : deleted)
    if (key.isString()) result.deleted.push_back(key.asString());
  return result;
}

VmListResult VmsResult(KvStatus status, const std::string& body) {
  VmListResult result;
  result.status = status;
  if (status != KvStatus::kOk) return result;
  const std::optional<Json::Value> object = ObjectOf(body);
  if (!object || !(*object)["vms"].isArray()) {
    result.status = KvStatus::kNoReply;
    return result;
  }
  for (const Json::Value& vm : (*object)["vms"]) {
    if (!vm.isObject()) continue;
    result.vms.push_back({StringMember(vm, "address"),
                          StringMember(vm, "failure_domain"),
                          StringMember(vm, "state") == "leaving"});
  }
  return result;
}

class HttpKvCall : public KvCall {
 public:
  explicit HttpKvCall(std::unique_ptr<HttpCall> call)
      : call_(std::move(call)) {}

 private:
  std::unique_ptr<HttpCall> call_;
};

std::string RecordTarget(const std::string& key) {
  return "/v1/kv/" + PercentEncoded(key);
}

std::string ExpectQuery(Revision expect) {
  return "?expect=" + std::to_string(expect.count());
}

}  // namespace

const char* KvStatusName(KvStatus status) {
  switch (status) {
    case KvStatus::kOk:
      return "ok";
    case KvStatus::kNotFound:
      return "not_found";
    case KvStatus::kConflict:
      return "conflict";
    case KvStatus::kUnavailable:
      return "unavailable";
    case KvStatus::kNoReply:
      return "no_reply";
    case KvStatus::kCompacted:
      return "compacted";
  }
  return "?";
}

KvClient::KvClient(HttpClient* client, const KvClientOptions& options,
                   MetricsRegistry* metrics)
    : client_(client), options_(options), metrics_(metrics) {}

KvStore::CallPtr KvClient::Start(
    Call call, std::function<void(KvStatus, HttpResponse)> done) {
  HttpCallOptions options;
  options.to = options_.platform;
  options.connect_timeout = options_.connect_timeout;
  options.head_timeout = options_.call_timeout + call.wait;
  options.idle_timeout = options_.call_timeout;
  options.reuse_connection = call.repeat == Repeat::kHarmless;
  HttpRequest request;
  request.method = call.method;
  request.target = std::move(call.target);
  request.body = std::move(call.body);
  return std::make_unique<HttpKvCall>(
      Fetch(client_, options, std::move(request),
            [this, kind = call.kind, done = std::move(done)](HttpResult http) {
              const KvStatus status = http.ok ? StatusOf(http.response.status)
                                      : http.sent ? KvStatus::kNoReply
                                                  : KvStatus::kUnavailable;
              Count(kind, status);
              done(status, std::move(http.response));
            }));
}

void KvClient::Count(const char* kind, KvStatus status) {
  if (metrics_ == nullptr) return;
  Counter*& counter = counters_[{kind, status}];
  if (counter == nullptr)
    counter = metrics_->AddCounter(
        "mimosa_platform_calls_total", "Calls to the platform by kind and end.",
        {{"kind", kind}, {"result", KvStatusName(status)}});
  counter->Add();
}

KvStore::CallPtr KvClient::StartRecordCall(Call call, std::string key,
                                           Done done) {
  return Start(std::move(call),
               [key = std::move(key), done = std::move(done)](
                   KvStatus status, const HttpResponse& response) {
                 done(RecordResult(status, key, response.body));
               });
}

KvStore::CallPtr KvClient::StartLeaseCall(Call call, Done done) {
  return Start(
      std::move(call),
      [done = std::move(done)](KvStatus status, const HttpResponse& response) {
        KvResult result;
        result.status = status;
        if (status == KvStatus::kOk) {
          const std::optional<Json::Value> object = ObjectOf(response.body);
          if (object) result.record.value = StringMember(*object, "lease");
        }
        done(std::move(result));
      });
}

KvStore::CallPtr KvClient::StartListCall(Call call, ListDone done) {
  return Start(
      std::move(call),
      [done = std::move(done)](KvStatus status, const HttpResponse& response) {
        done(ListResult(status, response.body));
      });
}

KvStore::CallPtr KvClient::Get(const std::string& key, Done done) {
  return StartRecordCall({"get", "GET", RecordTarget(key)}, key,
                         std::move(done));
}

KvStore::CallPtr KvClient::Put(const std::string& key, std::string value,
                               Revision expect, const std::string& lease,
                               Done done) {
  std::string target = RecordTarget(key) + ExpectQuery(expect);
  if (!lease.empty()) target += "&lease=" + PercentEncoded(lease);
  return StartRecordCall(
      {"put", "PUT", std::move(target), Repeat::kNever, std::move(value)}, key,
      std::move(done));
}

KvStore::CallPtr KvClient::Delete(const std::string& key, Revision expect,
                                  Done done) {
  return StartRecordCall(
      {"delete", "DELETE", RecordTarget(key) + ExpectQuery(expect),
       Repeat::kNever},
      key, std::move(done));
}

KvStore::CallPtr KvClient::List(const std::string& prefix, ListDone done) {
  return StartListCall(
      {"list", "GET", "/v1/list?prefix=" + PercentEncoded(prefix)},
      std::move(done));
}

KvStore::CallPtr KvClient::Watch(const std::string& prefix, Revision after,
                                 Duration wait, ListDone done) {
  std::string target = "/v1/watch?prefix=" + PercentEncoded(prefix) +
                       "&after=" + std::to_string(after.count()) +
                       "&wait_ms=" + std::to_string(ToMillis(wait));
  return StartListCall(
      {"watch", "GET", std::move(target), Repeat::kHarmless, "", wait},
      std::move(done));
}

KvStore::CallPtr KvClient::CreateLease(Duration ttl, Done done) {
  return StartLeaseCall(
      {"lease_create", "POST",
       "/v1/lease?ttl_ms=" + std::to_string(ToMillis(ttl)), Repeat::kNever},
      std::move(done));
}

KvStore::CallPtr KvClient::RenewLease(const std::string& lease, Done done) {
  return StartLeaseCall(
      {"lease_renew", "POST", "/v1/lease/" + PercentEncoded(lease) + "/renew"},
      std::move(done));
}

KvStore::CallPtr KvClient::EndLease(const std::string& lease, Done done) {
  return StartLeaseCall(
      {"lease_end", "DELETE", "/v1/lease/" + PercentEncoded(lease)},
      std::move(done));
}

KvStore::CallPtr KvClient::ListVms(VmsDone done) {
  return Start(
      {"vms", "GET", "/v1/vms"},
      [done = std::move(done)](KvStatus status, const HttpResponse& response) {
        done(VmsResult(status, response.body));
      });
}

}  // namespace mimosa
