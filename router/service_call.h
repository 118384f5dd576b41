// Serves one request of a SERVICE route: charge, claim where it has an
// Idempotency-Key, choose a backend server, send, pass the answer on.
//
// What is sent how often:
//  - NEVER_REPEATED: written to one backend server once, on a fresh connection.
//    Only a connection that failed before the first byte may be followed by
//    another. After that byte the outcome is "unknown" until an answer is
//    whole.
//  - other classes: idempotent methods may be tried again elsewhere while
//    nothing of an answer has reached the caller; other methods only if nothing
//    was sent.
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

// Mechanisms that tests turn off to see the promise broken.
struct ServiceCallSwitches {
  bool claim_idempotency_keys = true;  // "claim": Idempotency-Keys are claimed
  bool abort_truncated = true;  // "whole-check": a cut answer is broken off
  bool send_at_most_once =
      true;  // "write-once": NEVER_REPEATED isn't tried again
};

// What service calls need of the daemon; outlives them.
struct ServiceCallDeps {
  EventLoop* loop;
  HttpClient* client;
  Limiter* limiter;
  ServicePool* pool;
  ClaimRegistry* claims;
  ServiceCallSwitches switches;
};

// Starts serving; `done` runs once, from the loop, when the request has ended.
std::unique_ptr<RunningRequest> StartServiceCall(const ServiceCallDeps& deps,
                                                 RequestContext context,
                                                 RequestDoneCallback done);

}  // namespace mimosa

#endif  // ROUTER_SERVICE_CALL_H_
