// Runs a stand-in's HTTP server, for the main functions of the stand-ins.
#ifndef STANDINS_SERVE_H_
#define STANDINS_SERVE_H_

#include <string>

#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa::standins {

// Serves `handler` on `listen` ("ip:port"), prints the port to standard output,
// and runs the loop until SIGTERM or SIGINT. Returns the exit code of the
// process.
int ServeUntilSignal(LwsLoop* loop, const std::string& listen,
                     HttpHandler* handler);

}  // namespace mimosa::standins

#endif  // STANDINS_SERVE_H_
