// Relays a request to a model service: a prefill runs on one engine, then a
// decode engine continues from its result, and the decode engine's events are
// forwarded to the caller as they arrive.
//
// A prefill may be retried. The decode run is sent to one engine, and to
// another only if the first one certainly has not run it or, on a route with
// resumable streams, to resume after the last event that the caller has
// received, once the first one can't be at work on it any more
// (decide/run_rights.h). If the route allows no further engine, a lost stream
// returns to one that has run it. A decode engine processes the prompt itself
// if no prefill engine is available or the prefill result is lost. Only
// complete events are forwarded, so that a stream that breaks in the middle of
// an event can be resumed at another engine.
#ifndef SERVING_STREAM_RELAY_H_
#define SERVING_STREAM_RELAY_H_

#include <memory>

#include "serving/relay_deps.h"

namespace mimosa {

std::unique_ptr<Relay> MakeStreamRelay(const RelayDeps& deps,
                                       RelayRequest request,
                                       std::shared_ptr<HttpExchange> exchange,
                                       RelayDoneCallback done);

}  // namespace mimosa

#endif  // SERVING_STREAM_RELAY_H_
