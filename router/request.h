// One caller's request on its way through a daemon, from its admission to the
// end of its answer.
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

// What is known once a request is matched to a route and a customer. The
// snapshot keeps `route` alive; a later catalogue decides about the key only.
struct RequestContext {
  RequestId id;
  std::shared_ptr<const CatalogueSnapshot> snapshot;
  const wire::Route* route = nullptr;
  CustomerId customer;     // empty on open routes
  std::string key_digest;  // empty on open routes
  MonoTime arrived_at;
  MonoTime deadline;
  HttpRequest
      outbound_request;  // as it may go to a backend server: without keys
  std::shared_ptr<ResponseWriter> answer;
};

// Why a running request is ended from outside.
enum class CancelReason {
  kCallerGone,
  kKeyWithdrawn,
  kDeadline,
};

// A request being served. The owner (the front) destroys it after `done` ran;
// destroying it earlier ends it as if the caller had gone.
class RunningRequest {
 public:
  virtual ~RunningRequest() = default;
  // Ends it now: gives the final answer where one can still be given, and
  // starts giving back all that is held.
  virtual void Cancel(CancelReason reason) = 0;
};

// Tokens used in the end, for the counters; and the latencies of model calls.
struct RequestResult {
  Tokens prompt_tokens;
  Tokens output_tokens;
  std::optional<Duration> first_token_latency;
  std::optional<Duration> max_token_gap;  // longest wait between two tokens
};

using RequestDoneCallback = std::function<void(const RequestResult&)>;

}  // namespace mimosa

#endif  // ROUTER_REQUEST_H_
