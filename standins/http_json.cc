// Implements the HTTP and JSON helpers of the stand-ins.
#include "standins/http_json.h"

#include <charconv>
#include <utility>

#include "base/json.h"

namespace mimosa::standins {
namespace {

std::optional<int64_t> ParseInt(std::string_view text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    int code = 0;
    const char* hex = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(hex, hex + 2, code, 16).ptr == hex + 2) {
      out += static_cast<char>(code);
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

}  // namespace

int64_t Target::IntParam(const std::string& name, int64_t fallback) const {
  const auto it = query.find(name);
  if (it == query.end()) return fallback;
  return ParseInt(it->second).value_or(fallback);
}

std::string Target::StringParam(const std::string& name) const {
  const auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}

Target ParseTarget(std::string_view target) {
  Target out;
  const size_t mark = target.find('?');
  out.path = PercentDecode(target.substr(0, mark));
  if (mark == std::string_view::npos) return out;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t amp = rest.find('&');
    const std::string_view pair = rest.substr(0, amp);
    const size_t equals = pair.find('=');
    out.query[PercentDecode(pair.substr(0, equals))] =
        equals == std::string_view::npos
            ? std::string()
            : PercentDecode(pair.substr(equals + 1));
    rest = amp == std::string_view::npos ? std::string_view()
                                         : rest.substr(amp + 1);
  }
  return out;
}

std::optional<Json::Value> ParseObject(std::string_view body) {
  const auto value = ParseJson(body);
  if (!value || !value->isObject()) return std::nullopt;
  return *value;
}

int64_t IntMember(const Json::Value& object, const char* name,
                  int64_t fallback) {
  const Json::Value& value = object[name];
  if (value.isInt64()) return value.asInt64();
  // Protobuf's JSON mapping writes 64-bit integers as strings.
  if (value.isString()) return ParseInt(value.asString()).value_or(fallback);
  return fallback;
}

bool BoolMember(const Json::Value& object, const char* name, bool fallback) {
  const Json::Value& value = object[name];
  return value.isBool() ? value.asBool() : fallback;
}

Duration MillisMember(const Json::Value& object, const char* name,
                      Duration fallback) {
  return std::chrono::milliseconds(IntMember(object, name, ToMillis(fallback)));
}

void RespondJson(HttpExchange* exchange, int status, const Json::Value& value) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = WriteJson(value);
  exchange->Respond(std::move(response));
}

void RespondError(HttpExchange* exchange, int status, const char* error) {
  Json::Value value;
  value["error"] = error;
  RespondJson(exchange, status, value);
}

void RespondRaw(HttpExchange* exchange, std::string bytes) {
  HttpResponse response;
  response.status = 200;
  response.headers.Add("Content-Type", "application/octet-stream");
  response.body = std::move(bytes);
  exchange->Respond(std::move(response));
}

void AbortWhenDrained(const std::shared_ptr<HttpExchange>& exchange) {
  if (exchange->UnsentBytes() == 0) {
    exchange->Abort();
    return;
  }
  exchange->OnDrained([exchange] { exchange->Abort(); });
}

void ReceivedLog::Add(const HttpRequest& request) {
  std::string entry = request.method + " " + request.target + "\n";
  for (const auto& [name, value] : request.headers.fields())
    entry.append(name).append(": ").append(value).append("\n");
  entry.append("\n").append(request.body).append("\n");
  bytes_ += entry.size();
  entries_.push_back(std::move(entry));
  while (bytes_ > max_bytes_ && entries_.size() > 1) {
    bytes_ -= entries_.front().size();
    entries_.pop_front();
  }
}

std::string ReceivedLog::Dump() const {
  std::string out;
  out.reserve(bytes_);
  for (const std::string& entry : entries_) out += entry;
  return out;
}

bool IsDebugPath(std::string_view path) {
  return path.substr(0, 7) == "/debug/";
}

}  // namespace mimosa::standins
