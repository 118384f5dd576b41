// fault-proxy: a TCP proxy that injects faults, for tests.
#include <tclap/CmdLine.h>

#include <boost/asio.hpp>
#include <iostream>
#include <optional>
#include <string>

#include "net/http.h"
#include "standins/fault_proxy.h"

namespace {

using Tcp = boost::asio::ip::tcp;

std::optional<Tcp::endpoint> ParseEndpoint(const std::string& text) {
  mimosa::Endpoint endpoint;
  if (!mimosa::Endpoint::Parse(text, &endpoint)) return std::nullopt;
  return Tcp::endpoint(boost::asio::ip::make_address(endpoint.ip),
                       endpoint.port);
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine cmd("TCP proxy that injects faults, for tests", '=', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on",
                                      true, "", "ip:port", cmd);
  TCLAP::ValueArg<std::string> target("", "target", "address to connect to",
                                      true, "", "ip:port", cmd);
  TCLAP::ValueArg<std::string> control("", "control",
                                       "address to listen on for commands",
                                       true, "", "ip:port", cmd);
  TCLAP::ValueArg<uint64_t> seed("", "seed",
                                 "seed of the random number generator", false,
                                 1, "number", cmd);
  cmd.parse(argc, argv);

  const auto listen_at = ParseEndpoint(listen.getValue());
  const auto target_at = ParseEndpoint(target.getValue());
  const auto control_at = ParseEndpoint(control.getValue());
  if (!listen_at || !target_at || !control_at) {
    std::cerr << "--listen, --target and --control must be ip:port\n";
    return 2;
  }
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  mimosa::standins::FaultProxy proxy(&io, *listen_at, *target_at,
                                     seed.getValue());
  const mimosa::standins::ProxyControl commands(&io, *control_at, &proxy);
  std::cout << "listening" << std::endl;
  io.run();
  return 0;
}
