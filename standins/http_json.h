// Helpers for the stand-ins' HTTP handlers: parsing of request targets and JSON
// bodies, JSON responses, and a log of received requests.
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

// Holds a request target with its path and query parameters percent-decoded.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;

  // Returns the value of a query parameter, or `fallback` if it is absent or
  // not an integer.
  int64_t IntParam(const std::string& name, int64_t fallback) const;
  // Returns the value of a query parameter, or "" if it is absent.
  std::string StringParam(const std::string& name) const;
};
Target ParseTarget(std::string_view target);

// Parses `body` as a JSON object. Returns nothing if it is anything else.
std::optional<Json::Value> ParseObject(std::string_view body);

// Each of these returns a member of a JSON object, or `fallback` if it is
// absent or has another type. MillisMember reads milliseconds.
int64_t IntMember(const Json::Value& object, const char* name,
                  int64_t fallback = 0);
bool BoolMember(const Json::Value& object, const char* name, bool fallback);
Duration MillisMember(const Json::Value& object, const char* name,
                      Duration fallback);

void RespondJson(HttpExchange* exchange, int status, const Json::Value& value);
// Responds with the body {"error": error}.
void RespondError(HttpExchange* exchange, int status, const char* error);
void RespondRaw(HttpExchange* exchange, std::string bytes);

// Aborts the response once all data written so far has been sent, so that the
// client receives exactly those bytes.
void AbortWhenDrained(const std::shared_ptr<HttpExchange>& exchange);

// Records head and body of received requests, so that tests can search them for
// byte strings. Keeps only the newest `max_bytes`, to bound memory in long load
// runs.
class ReceivedLog {
 public:
  explicit ReceivedLog(size_t max_bytes) : max_bytes_(max_bytes) {}
  void Add(const HttpRequest& request);
  std::string Dump() const;

 private:
  const size_t max_bytes_;
  size_t bytes_ = 0;  // sum of the sizes of entries_
  std::deque<std::string> entries_;
};

// Returns whether `path` belongs to the test-only interface. Its requests
// aren't recorded in any log.
bool IsDebugPath(std::string_view path);

}  // namespace mimosa::standins

#endif  // STANDINS_HTTP_JSON_H_
