// Relays a request to a model service: prefill on one engine, then its result
// is taken by a decode engine, whose events go to the caller as they come.
//
// A prefill may be repeated; the run itself is sent to one engine, and to
// another only if the first one certainly has not run it or, on a route that
// allows it, behind the last event that the caller has. A decode engine reads
// the prompt itself where no prefill engine can be had or its result is gone.
// Only whole events are passed on, so that a stream that breaks in the middle
// of one can go on elsewhere.
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
