// A caller's request inside a daemon, from admission to the end of the
// response.
#ifndef ROUTER_REQUEST_H_
#define ROUTER_REQUEST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/catalogue.h"
#include "net/http.h"
#include "router/response_writer.h"

namespace mimosa {

// Context of a request that was matched to a route and a customer. `snapshot`
// keeps `route` alive. A later catalogue can only end the request by
// withdrawing its key.
struct RequestContext {
  RequestId id;
  std::shared_ptr<const CatalogueSnapshot> snapshot;
  const wire::Route* route = nullptr;
  CustomerId customer;     // empty on open routes
  std::string key_digest;  // empty on open routes
  MonoTime arrived_at;
  MonoTime deadline;
  // The request as it is sent to a backend server, without keys.
  HttpRequest outbound_request;
  std::shared_ptr<ResponseWriter> response_writer;
};

// Why a running request is cancelled.
enum class CancelReason {
  kCallerDisconnected,
  kKeyWithdrawn,
  kDeadline,
};

// A request being served. The owner (the frontend) destroys it after `done`
// ran. Destroying it earlier cancels it as if the caller had disconnected.
class RunningRequest {
 public:
  virtual ~RunningRequest() = default;
  // Cancels the request: sends the final response if one can still be sent, and
  // starts to release what the request holds.
  virtual void Cancel(CancelReason reason) = 0;
};

// Tokens used in the end, for the counters, and latencies of model calls.
struct RequestResult {
  Tokens prompt_tokens;
  Tokens output_tokens;
  std::optional<Duration> first_token_latency;
  std::optional<Duration> max_token_gap;  // longest time between two tokens
};

using RequestDoneCallback = std::function<void(const RequestResult&)>;

}  // namespace mimosa

#endif  // ROUTER_REQUEST_H_
