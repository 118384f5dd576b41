// standin-service: stand-in for a plain service that journals what it executes,
// for tests.
#include <tclap/CmdLine.h>

#include <string>

#include "standins/serve.h"
#include "standins/service.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in for a plain service, for tests", '=', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on",
                                      false, "127.0.0.1:0", "ip:port", cmd);
  TCLAP::ValueArg<std::string> name("", "name", "name given in responses",
                                    false, "service", "name", cmd);
  cmd.parse(argc, argv);

  const auto loop = mimosa::LwsLoop::Create();
  mimosa::standins::Service service(loop.get(), name.getValue());
  return mimosa::standins::ServeUntilSignal(loop.get(), listen.getValue(),
                                            &service);
}
