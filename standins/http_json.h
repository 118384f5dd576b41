// What the stand-ins' HTTP handlers share: targets, JSON in and out, and the
// record of everything received.
#ifndef STANDINS_HTTP_JSON_H_
#define STANDINS_HTTP_JSON_H_

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "net/http.h"

namespace mimosa::standins {

// A request target, percent-decoded.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;

  // The query's value of that name, or `fallback` if it is no integer.
  int64_t IntParam(const std::string& name, int64_t fallback) const;
  std::string StringParam(const std::string& name) const;
};
Target ParseTarget(std::string_view target);

// The JSON object in `body`; nothing if it holds anything else.
std::optional<Json::Value> ParseObject(std::string_view body);

// Members of an object; the fallback if absent or of another type.
int64_t IntMember(const Json::Value& object, const char* name,
                  int64_t fallback = 0);
bool BoolMember(const Json::Value& object, const char* name, bool fallback);
Duration MillisMember(const Json::Value& object, const char* name,
                      Duration fallback);

void RespondJson(HttpExchange* exchange, int status, const Json::Value& value);
// {"error": error}
void RespondError(HttpExchange* exchange, int status, const char* error);
void RespondRaw(HttpExchange* exchange, std::string bytes);

// Aborts once all that was written has left: a cut after exactly those bytes.
void AbortWhenDrained(const std::shared_ptr<HttpExchange>& exchange);

// Head and body of all requests received, for byte searches. Keeps the newest
// `max_bytes`, so that long load runs stay within memory.
class ReceivedLog {
 public:
  explicit ReceivedLog(size_t max_bytes) : max_bytes_(max_bytes) {}
  void Add(const HttpRequest& request);
  std::string Dump() const;

 private:
  const size_t max_bytes_;
  size_t bytes_ = 0;  // sum over entries_
  std::deque<std::string> entries_;
};

// True for the paths of the test-only interface, which no log records.
bool IsDebugPath(std::string_view path);

}  // namespace mimosa::standins

#endif  // STANDINS_HTTP_JSON_H_
