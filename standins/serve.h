// What the stand-ins' main functions share: listen, say so, run until
// SIGTERM.
#ifndef STANDINS_SERVE_H_
#define STANDINS_SERVE_H_

#include <string>

#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa::standins {

// Serves `handler` on `listen` ("ip:port") until SIGTERM or SIGINT. Returns the
// process's exit code.
int ServeUntilSignal(LwsLoop* loop, const std::string& listen,
                     HttpHandler* handler);

}  // namespace mimosa::standins

#endif  // STANDINS_SERVE_H_
