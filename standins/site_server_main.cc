// standin-site-server: stand-in for a backend server that registers itself in
// the store, for tests.
#include <tclap/CmdLine.h>

#include <chrono>
#include <string>

#include "standins/http_json.h"
#include "standins/serve.h"
#include "standins/site_server.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in for a registering backend server", '=', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on",
                                      true, "", "ip:port", cmd);
  TCLAP::ValueArg<std::string> store("", "store",
                                     "address of the stand-in platform", true,
                                     "", "ip:port", cmd);
  TCLAP::ValueArg<std::string> id("", "id", "id of the store entry", true, "",
                                  "id", cmd);
  TCLAP::ValueArg<std::string> service("", "service", "name of the service",
                                       true, "", "name", cmd);
  TCLAP::ValueArg<std::string> stage("", "stage", "prefill or decode", false,
                                     "", "stage", cmd);
  TCLAP::ValueArg<std::string> address(
      "", "address", "address to register instead of --listen", false, "",
      "ip:port", cmd);
  TCLAP::ValueArg<std::string> version("", "software-version",
                                       "version of the software to register",
                                       false, "v1", "version", cmd);
  TCLAP::SwitchArg hints("", "follow-length-hints",
                         "give a stream as many events as its length hint says",
                         cmd);
  TCLAP::ValueArg<std::string> behavior(
      "", "behavior", "what /debug/behave takes, from the start on", false,
      "{}", "JSON object", cmd);
  TCLAP::ValueArg<int> delay("", "register-after-ms",
                             "time from the start to the first registration",
                             false, 0, "milliseconds", cmd);
  cmd.parse(argc, argv);

  mimosa::standins::SiteServerOptions options;
  options.id = id.getValue();
  options.service = service.getValue();
  options.stage = stage.getValue();
  options.address = address.getValue();
  options.software_version = version.getValue();
  options.follows_length_hints = hints.getValue();
  const auto members = mimosa::standins::ParseObject(behavior.getValue());
  if (!members) return 1;
  options.behavior = *members;
  options.registration_delay = std::chrono::milliseconds(delay.getValue());
  if (!mimosa::Endpoint::Parse(listen.getValue(), &options.listen) ||
      !mimosa::Endpoint::Parse(store.getValue(), &options.store))
    return 1;
  const auto loop = mimosa::LwsLoop::Create();
  mimosa::standins::SiteServer server(loop.get(), options);
  return mimosa::standins::ServeUntilSignal(loop.get(), listen.getValue(),
                                            &server);
}
