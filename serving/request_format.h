// How callers' requests and calls to engines are written on a platform: the
// seam between the relays and the header fields of one platform.
#ifndef SERVING_REQUEST_FORMAT_H_
#define SERVING_REQUEST_FORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/errors.h"
#include "base/ids.h"
#include "decide/site.h"
#include "net/http.h"

namespace mimosa {

// What a model request asks of an engine.
struct TokenCounts {
  Tokens prompt;      // to be read
  Tokens max_output;  // that may be generated
  // The caller's guess of what will be generated; absent: it made none.
  std::optional<Tokens> expected_output;
};

// A caller's request, read once. `http` is what will be passed on: without the
// caller's key and without fields that only the daemon may set.
struct CallerRequest {
  RequestId id;
  std::string host;
  std::string key;  // empty: none was shown
  // How long the caller waits, from its sending; absent: it didn't say.
  std::optional<Duration> timeout;
  std::optional<TokenCounts> token_counts;  // absent: a plain request
  std::optional<int64_t> last_event_id;     // id of the last event that it has
  HttpRequest http;
};

// A prefill's result in the memory of the engine that made it.
struct KvHandle {
  Endpoint engine;
  std::string id;
};

// What one call to a back end adds to the caller's request.
struct BackEndCallParams {
  BackEndId
      expected_back_end;  // another server at the address refuses the request
  Duration time_left{};
  CustomerId customer;  // empty: open route
  std::optional<int> priority;
  bool prefill_only = false;
  std::optional<KvHandle> kv_handle;  // goes on from this prefill
  std::optional<int64_t> last_event_id;
  std::string reservation_id;  // set aside at the engine before; empty: none
};

// What the head of a back end's answer says beside its status.
struct ResponseMarkers {
  RequestId request_id;          // empty: it names none
  bool not_executed = false;     // the request has not run there
  bool sealed = false;           // an answer of the back end's own
  bool content_encoded = false;  // a body under another encoding than its own
};

// What an engine says of itself when it is asked.
struct EngineReport {
  EngineRole role = EngineRole::kNone;
  bool changing_role = false;   // an order is under way
  int64_t orders_accepted = 0;  // since its start
};

// Makes an engine change its role.
struct RoleOrder {
  BackEndId expected_back_end;
  EngineRole role = EngineRole::kNone;
  std::string holder;  // the daemon that orders
  // Engines refuse orders under a lower fence than one that they have seen.
  Revision fence;
  // The engine's orders_taken as last reported: it refuses the order if it has
  // taken another one since.
  int64_t orders_accepted = 0;
};

enum class RequestError {
  kMissingId,      // the request has no id
  kBadTimeout,     // the time that the caller waits is no number
  kBadTokenCounts  // the token counts are no two numbers
};
inline const char* RequestErrorName(RequestError fault) {
  switch (fault) {
    case RequestError::kMissingId:
      return "no request id";
    case RequestError::kBadTimeout:
      return "the caller's time limit is not a number";
    case RequestError::kBadTokenCounts:
      return "the token counts are not two numbers";
  }
  return "?";
}

class RequestFormat {
 public:
  virtual ~RequestFormat() = default;

  // Path at which the balancer asks whether this daemon takes requests.
  virtual const std::string& ready_path() const = 0;

  // Fails with RequestFault.
  virtual leaf::result<CallerRequest> ReadRequest(HttpRequest http) const = 0;

  virtual HttpRequest WriteCall(const CallerRequest& request,
                                const BackEndCallParams& call) const = 0;
  virtual ResponseMarkers ReadResponseMarkers(
      const HttpHeaders& headers) const = 0;
  // Nothing if the body isn't a prefill's result.
  virtual std::optional<KvHandle> ReadPrefillResponse(
      const Endpoint& engine, const std::string& body) const = 0;
  // Frees a prefill's result that nobody will take.
  virtual HttpRequest WriteReleaseHandle(const KvHandle& handle) const = 0;

  // Sets a slot and KV memory aside at an engine, for `life` at most.
  virtual HttpRequest WriteReserve(const BackEndId& expect, Tokens memory,
                                   Duration life) const = 0;
  // The room's id; nothing if the body isn't the answer.
  virtual std::optional<std::string> ReadReservation(
      const std::string& body) const = 0;
  virtual HttpRequest WriteReleaseReservation(
      const std::string& room) const = 0;

  virtual HttpRequest WriteReportRequest(const BackEndId& expect) const = 0;
  // Nothing if the body is no report of an engine with a role.
  virtual std::optional<EngineReport> ReadReport(
      const std::string& body) const = 0;
  virtual HttpRequest WriteOrder(const RoleOrder& order) const = 0;
};

}  // namespace mimosa

#endif  // SERVING_REQUEST_FORMAT_H_
