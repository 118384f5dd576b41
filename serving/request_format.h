// Interface between the relays and one platform's encoding of callers' requests
// and of calls to engines, such as its header fields.
#ifndef SERVING_REQUEST_FORMAT_H_
#define SERVING_REQUEST_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/errors.h"
#include "base/ids.h"
#include "decide/site.h"
#include "net/http.h"

namespace mimosa {

// Largest response of a back end to a call that the daemon makes for itself.
inline constexpr size_t kMaxInternalResponseBytes = 64U << 10;

// Token counts of a model request.
struct TokenCounts {
  Tokens prompt;      // Tokens of the prompt.
  Tokens max_output;  // Upper bound on generated tokens.
  // The caller's estimate of the generated tokens; absent if it gave none.
  std::optional<Tokens> expected_output;
};

// Returns the output that a request most likely generates.
Tokens LikelyOutput(const TokenCounts& counts);

// A caller's request in parsed form. `http` is the request to forward, without
// the caller's API key and without header fields that only the daemon may set.
struct CallerRequest {
  RequestId id;
  std::string host;
  std::string key;  // API key; empty if the request has none.
  // How long the caller waits after sending the request; absent if it does not
  // say.
  std::optional<Duration> timeout;
  std::optional<TokenCounts> token_counts;  // Absent for a plain request.
  // The parts of the prompt that other requests may share: all but the last
  // one. Entries that can't be read are left out.
  std::vector<PromptPartId> shared_prompt_parts;
  // Id of the last event that the caller has received.
  std::optional<int64_t> last_event_id;
  // Whether the caller has a part of a stream already. An engine may understand
  // where that ends even if last_event_id is absent.
  bool resumes_stream = false;
  // The request whose response brought the caller the first event of the stream
  // that this request resumes; empty if the caller names none.
  RequestId resumed_request;
  HttpRequest http;
};

// Refers to the result of a prefill in the KV memory of the engine that ran it.
struct KvHandle {
  Endpoint engine;
  std::string id;
};

// What a call to a back end adds to the caller's request.
struct BackEndCallParams {
  // Another server at the same address must reject the request.
  BackEndId expected_back_end;
  Duration time_left{};
  CustomerId customer;  // Empty on a route without authentication.
  std::optional<int> priority;
  bool prefill_only = false;
  // The decode run uses this prefill result.
  std::optional<KvHandle> kv_handle;
  std::optional<int64_t> last_event_id;
  std::string reservation_id;  // Reservation at the engine; empty if none.
  // An engine that serves other weights must reject the request.
  std::optional<WeightVersion> weight_version;
};

// What the header of a back end's response states besides the status.
struct ResponseMarkers {
  RequestId request_id;               // Empty if the response names none.
  std::optional<BackEndId> back_end;  // The server, if it names itself.
  // The weights that the response begins with.
  std::optional<WeightVersion> weight_version;
  bool not_executed = false;     // The request has not run at the back end.
  bool sealed = false;           // The back end itself generated the response.
  bool content_encoded = false;  // The body has a Content-Encoding.
  bool leaving = false;          // The back end is about to terminate.
  // Requests a second that the back end takes from all daemons together; absent
  // if it names no limit.
  std::optional<double> limit;
  // For how long the back end asks to be sent nothing; zero if it doesn't.
  Duration retry_after{};
  // For how long the back end still warms up; zero: it says nothing.
  Duration warm_up_time{};
};

// An engine's report on its own state.
struct EngineReport {
  EngineRole role = EngineRole::kNone;
  bool changing_role = false;   // A role order is in progress.
  int64_t orders_accepted = 0;  // Since the engine started.
};

// What a server says of itself in a response.
struct ServerStatement {
  std::optional<BackEndId> id;
  std::optional<int64_t> incarnation;
  // Events that it has generated for each request that it runs, as of some
  // hundred milliseconds ago; absent if it doesn't say which it runs.
  std::optional<std::map<RequestId, int64_t>> events_by_run;
};

// An order to an engine to change its role.
struct RoleOrder {
  BackEndId expected_back_end;
  EngineRole role = EngineRole::kNone;
  std::string holder;  // Name of the daemon that sends the order.
  // Fencing token. An engine rejects orders with a lower fence than the highest
  // one that it has received.
  Revision fence;
  // The engine's orders_accepted as last reported. The engine rejects the order
  // if it has accepted another one since.
  int64_t orders_accepted = 0;
};

enum class RequestError {
  kMissingId,       // The request has no id.
  kBadTimeout,      // The caller's timeout is not a number.
  kBadTokenCounts,  // The token counts are not two numbers.
  kNumberTooLarge   // A count, a time or an event id has more than 60 bits.
};
inline const char* RequestErrorName(RequestError error) {
  switch (error) {
    case RequestError::kMissingId:
      return "no request id";
    case RequestError::kBadTimeout:
      return "the caller's time limit is not a number";
    case RequestError::kBadTokenCounts:
      return "the token counts are not two numbers";
    case RequestError::kNumberTooLarge:
      return "a number has more than 60 bits";
  }
  return "?";
}

class RequestFormat {
 public:
  virtual ~RequestFormat() = default;

  // Path at which the load balancer probes whether this daemon accepts
  // requests.
  virtual const std::string& ready_path() const = 0;

  // Parses a caller's request. Fails with RequestError.
  virtual leaf::result<CallerRequest> ReadRequest(HttpRequest http) const = 0;

  // Name of the field in which an event states that the weights change with it.
  virtual const std::string& weight_version_field() const = 0;

  virtual HttpRequest WriteCall(const CallerRequest& request,
                                const BackEndCallParams& call) const = 0;
  virtual ResponseMarkers ReadResponseMarkers(
      const HttpHeaders& headers) const = 0;
  // Returns nullopt if the body is not the result of a prefill.
  virtual std::optional<KvHandle> ReadPrefillResponse(
      const Endpoint& engine, const std::string& body) const = 0;
  // Releases a prefill result that no request will use.
  virtual HttpRequest WriteReleaseHandle(const KvHandle& handle) const = 0;

  // Reserves a slot and `memory` of KV memory at an engine for at most
  // `lifetime`.
  virtual HttpRequest WriteReserve(const BackEndId& expected_back_end,
                                   Tokens memory, Duration lifetime) const = 0;
  // Returns the id of the reservation, or nullopt if the body is not a valid
  // response.
  virtual std::optional<std::string> ReadReservation(
      const std::string& body) const = 0;
  virtual HttpRequest WriteReleaseReservation(
      const std::string& reservation_id) const = 0;

  // Asks a back end for a sign of life.
  virtual HttpRequest WriteProbe(const SiteService& service,
                                 const BackEndId& expected_back_end) const = 0;
  virtual HttpRequest WriteReportRequest(
      const BackEndId& expected_back_end) const = 0;
  // Reads the response to a probe or to a request for a report.
  virtual ServerStatement ReadStatement(const HttpResponse& response) const = 0;
  // Returns nullopt if the body is not a report of an engine with a role.
  virtual std::optional<EngineReport> ReadReport(
      const std::string& body) const = 0;
  virtual HttpRequest WriteOrder(const RoleOrder& order) const = 0;
};

}  // namespace mimosa

#endif  // SERVING_REQUEST_FORMAT_H_
