// Serves one request of a MODEL route: charge, reserve decode memory and a turn
// at a prefill engine, prefill, transfer and decode, and pass the tokens on.
//
// Model: one request has one live attempt. An attempt is prefill -> decode
// stream. A broken decode stream is first resumed at the output offset on the
// same engine, where the KV cache may still live; only if that fails does
// another attempt begin with its own prefill (which counts as wasted work).
// TokenStream decides which events count. However the request ends, what it
// holds at engines is cancelled (EngineCanceller) and unused tokens are
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

// Counters of model calls, shared by all of a daemon.
struct ModelCallCounters {
  uint64_t prefills = 0;
  uint64_t prefills_wasted = 0;  // result evicted, or the request went on anew
  uint64_t resumes = 0;
  uint64_t foreign_events = 0;  // dropped: of another request or attempt
  uint64_t faulty_events = 0;   // gaps and nonsense: the attempt was given up
};

// Mechanisms that tests turn off to see the promise broken.
struct ModelCallSwitches {
  bool check_identity = true;    // "attempt-check"
  bool cancel_at_engine = true;  // "disconnect-cancel"
};

// What model calls need of the daemon; outlives them.
struct ModelCallDeps {
  EventLoop* loop;
  HttpClient* client;
  Limiter* limiter;
  ReservationClient* reservations;
  EngineCanceller* canceller;
  ModelCallCounters* counters;
  ModelCallSwitches switches;
};

// Starts serving; `done` runs once, from the loop, when the request has ended.
std::unique_ptr<RunningRequest> StartModelCall(const ModelCallDeps& deps,
                                               RequestContext context,
                                               RequestDoneCallback done);

}  // namespace mimosa

#endif  // ROUTER_MODEL_CALL_H_
