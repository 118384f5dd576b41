// Serves one request of a SERVICE route: charges the customer, claims the
// Idempotency-Key if there is one, selects a backend server, sends the request
// and forwards the response.
//
// How often a request is sent:
//  - NEVER_REPEATED: written once to one backend server, on a new connection.
//    Another one is tried only if the connection failed before the first byte.
//    After that byte the outcome is "unknown" until a response is complete.
//  - Other classes: idempotent methods may be retried on another backend server
//    as long as nothing of a response has reached the caller; other methods
//    only if nothing was sent.
#ifndef ROUTER_SERVICE_CALL_H_
#define ROUTER_SERVICE_CALL_H_

#include <memory>

#include "net/event_loop.h"
#include "net/http.h"
#include "router/claim_registry.h"
#include "router/limiter.h"
#include "router/request.h"
#include "router/service_pool.h"

namespace mimosa {

// Mechanisms that tests turn off to show that a guarantee fails without them.
// The name in "disable" is given in quotes.
struct ServiceCallSwitches {
  // "claim": Idempotency-Keys are claimed before the request is sent.
  bool claim_idempotency_keys = true;
  // "whole-check": a truncated response is aborted, not ended normally.
  bool abort_truncated = true;
  // "write-once": requests of class NEVER_REPEATED aren't retried once sent.
  bool send_at_most_once = true;
};

// Dependencies of service calls. They outlive the calls.
struct ServiceCallDeps {
  EventLoop* loop;
  HttpClient* client;
  Limiter* limiter;
  ServicePool* pool;
  ClaimRegistry* claims;
  ServiceCallSwitches switches;
};

// Starts serving the request. `done` runs once, from the loop, when the request
// has ended.
std::unique_ptr<RunningRequest> StartServiceCall(const ServiceCallDeps& deps,
                                                 RequestContext context,
                                                 RequestDoneCallback done);

}  // namespace mimosa

#endif  // ROUTER_SERVICE_CALL_H_
