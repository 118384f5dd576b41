// The decision logic of mimosarouter; this header includes its main parts.
//
// All of this code is driven the same way: an event comes in with the time at
// which it happened, and decisions come out as return values. There is no
// clock, socket, thread or global state, and random numbers come from an
// injected source. A recorded run can therefore be replayed, and a test or a
// benchmark can drive many members in virtual time (tests/virtual_fleet.h,
// bench/rounds.h).
//
// The headers, in the order in which a request and a fleet need them:
//
//   catalogue.h        what operators configured: checked, immutable, indexed
//   catalogue_parts.h  the catalogue as records of the platform
//   credentials.h      the caller's key, and removal of all keys
//
//   member_lease.h     for how long a member may use its exclusive rights
//   membership.h       the members, their witnesses, and their eviction
//   slots.h            which member owns the buckets of which customers
//   rendezvous.h       rendezvous hashing over the members
//
//   token_bucket.h     rate and burst of one customer
//   rate_limiter.h     rate limits over the fleet: bucket owners and allotments
//
//   engine_ledger.h    reservations of one engine
//   request_queue.h    which request is next for a reservation: fair or FIFO
//   shedding.h         refuses requests at once that can't meet their deadline
//   placement.h        which engine to try; prefix_index.h: its cached prefixes
//   engine_search.h    tries engines one after the other
//
//   sse.h              events of a stream
//   token_stream.h     which of the events carry the response
//
// Each header begins with its model. Behaviour with several policies (limits,
// queue, shedding, placement) is an abstract interface with the naive policy
// beside the chosen one, so that a benchmark can compare them.
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
