// Relays a request through another daemon, which reaches the back ends that
// this one doesn't.
//
// The helper is sent the admitted request, serves it as its own, and never
// forwards it again. Its response is passed on unchanged. A request goes to
// another helper if the first one certainly has not sent it to a back end; if
// that isn't certain, only an idempotent request does, within its attempts and
// the retry budget.
#ifndef SERVING_FORWARD_RELAY_H_
#define SERVING_FORWARD_RELAY_H_

#include <memory>

#include "serving/relay_deps.h"

namespace mimosa {

std::unique_ptr<Relay> MakeForwardRelay(const RelayDeps& deps,
                                        RelayRequest request,
                                        std::shared_ptr<HttpExchange> exchange,
                                        RelayDoneCallback done);

}  // namespace mimosa

#endif  // SERVING_FORWARD_RELAY_H_
