// Relays a request to a plain service.
//
// A request that may not be repeated is written to one server, and to another
// only after the first one certainly has not run it. An idempotent one is sent
// again after a loss or a server error, and to a second server beside the first
// if that is slow, within the route's attempts and the fleet's budget. An
// answer is passed on once it is whole, so that a cut one is never seen.
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
