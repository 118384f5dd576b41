// Serves one request of a MODEL route: charges the customer, reserves decode
// memory and a prefill engine, runs prefill, KV transfer and decode, and
// forwards the tokens.
//
// A request has one live attempt at a time: a prefill followed by a decode
// stream. A broken decode stream is first resumed at the output offset on the
// same engine, which may still hold the KV cache. Only if that fails does
// another attempt start with its own prefill (the former prefill then counts as
// wasted). TokenStream decides which events count. However the request ends,
// EngineCanceller cancels what it holds at engines, and unused tokens are
// refunded.
#ifndef ROUTER_MODEL_CALL_H_
#define ROUTER_MODEL_CALL_H_

#include <cstdint>
#include <memory>

#include "net/event_loop.h"
#include "net/http.h"
#include "router/engine_canceller.h"
#include "router/limiter.h"
#include "router/request.h"
#include "router/reservation_client.h"

namespace mimosa {

// Counters of the model calls of a daemon.
struct ModelCallCounters {
  uint64_t prefills = 0;
  uint64_t prefills_wasted = 0;  // result evicted, or a new attempt started
  uint64_t resumes = 0;
  uint64_t foreign_events = 0;  // dropped: from another request or attempt
  uint64_t faulty_events = 0;   // gaps and malformed events: attempt abandoned
};

// Mechanisms that tests turn off to show that a guarantee fails without them.
// The name in "disable" is given in quotes.
struct ModelCallSwitches {
  bool check_identity = true;    // "attempt-check"
  bool cancel_at_engine = true;  // "disconnect-cancel"
};

// Dependencies of model calls. They outlive the calls.
struct ModelCallDeps {
  EventLoop* loop;
  HttpClient* client;
  Limiter* limiter;
  ReservationClient* reservations;
  EngineCanceller* canceller;
  ModelCallCounters* counters;
  ModelCallSwitches switches;
};

// Starts serving the request. `done` runs once, from the loop, when the request
// has ended.
std::unique_ptr<RunningRequest> StartModelCall(const ModelCallDeps& deps,
                                               RequestContext context,
                                               RequestDoneCallback done);

}  // namespace mimosa

#endif  // ROUTER_MODEL_CALL_H_
