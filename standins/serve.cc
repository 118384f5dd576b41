// Implements the common part of the stand-ins' main functions.
#include "standins/serve.h"

#include <iostream>

namespace mimosa::standins {

int ServeUntilSignal(LwsLoop* loop, const std::string& listen,
                     HttpHandler* handler) {
  HttpServerOptions options;
  // A test may delay a response for a long time, so the stand-in's own timeouts
  // must not end it.
  options.write_stall_timeout = std::chrono::minutes(10);
  options.idle_timeout = std::chrono::minutes(10);
  if (!Endpoint::Parse(listen, &options.listen)) {
    std::cerr << "--listen must be ip:port, but is: " << listen << "\n";
    return 2;
  }
  const auto server = MakeHttpServer(loop, options, handler);
  if (server == nullptr) {
    std::cerr << "can't listen on " << listen << "\n";
    return 1;
  }
  std::cout << "listening on port " << server->port() << std::endl;
  loop->OnSignal([loop] { loop->Stop(); });
  loop->Run();
  return 0;
}

}  // namespace mimosa::standins
