// Relays a request to a plain service.
//
// A non-idempotent request is sent to one server, and to another only if the
// first one certainly has not run it. An idempotent request is retried after a
// failed call or a server error, and hedged with a second server if the first
// one is slow, within the route's attempts and the fleet's retry budget. A
// response is forwarded once it is complete, so that the caller never sees a
// truncated one; only a response too large to buffer is streamed.
#ifndef SERVING_PLAIN_RELAY_H_
#define SERVING_PLAIN_RELAY_H_

#include <memory>

#include "serving/relay_deps.h"

namespace mimosa {

std::unique_ptr<Relay> MakePlainRelay(const RelayDeps& deps,
                                      RelayRequest request,
                                      std::shared_ptr<HttpExchange> exchange,
                                      RelayDoneCallback done);

}  // namespace mimosa

#endif  // SERVING_PLAIN_RELAY_H_
