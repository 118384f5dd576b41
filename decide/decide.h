// The pure decisions of mimosarouter, to be read as a manual.
//
// Everything here is driven the same way: an event comes in with the time at
// which it happened, decisions come out as return values. There is no clock,
// socket, thread or global; random numbers come from an injected source. So a
// recorded run can be replayed, and a test or an outside bench can drive many
// members in virtual time (tests/virtual_fleet.h, bench/rounds.h).
//
// The chapters, in the order in which a request and a fleet need them:
//
//   catalogue.h        what operators configured: checked, immutable, indexed
//   catalogue_parts.h  the same as records of the platform
//   credentials.h      whose request it is; no key goes any further
//
//   term.h             how long a member may use its exclusive rights
//   membership.h       who the members are; who witnesses and ends whom
//   slots.h            which member is the home of which customers
//   rendezvous.h       who is first in line for a thing
//
//   token_bucket.h     rate and burst of one customer
//   limits.h           the same over the fleet: homes and allotments
//
//   engine_book.h      reservations of one engine
//   request_queue.h    who is next for a place: fair, or first come
//   shedding.h         who can't make it, and is told at once
//   placement.h        which engine to try; prefix_index.h: what it has cached
//   place_search.h     trying engines one after the other
//
//   sse.h              events of a stream
//   token_stream.h     which of them are the answer
//
// Each chapter opens with its model. Behaviour that varies (limits, queue,
// shedding, placement) is an abstract interface with the naive policy beside
// the chosen one, so that a bench can put them side by side.
#ifndef DECIDE_DECIDE_H_
#define DECIDE_DECIDE_H_

#include "decide/catalogue.h"
#include "decide/catalogue_parts.h"
#include "decide/credentials.h"
#include "decide/engine_ledger.h"
#include "decide/engine_search.h"
#include "decide/member_lease.h"
#include "decide/membership.h"
#include "decide/placement.h"
#include "decide/prefix_index.h"
#include "decide/rate_limiter.h"
#include "decide/rendezvous.h"
#include "decide/request_queue.h"
#include "decide/shedding.h"
#include "decide/slots.h"
#include "decide/sse.h"
#include "decide/token_bucket.h"
#include "decide/token_stream.h"

#endif  // DECIDE_DECIDE_H_
