// standin-platform: stand-in for the platform's key-value store and VM list,
// for tests.
#include <tclap/CmdLine.h>

#include <string>

#include "standins/platform_server.h"
#include "standins/serve.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in for the platform, for tests", '=', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on",
                                      false, "127.0.0.1:0", "ip:port", cmd);
  TCLAP::ValueArg<int64_t> rate("", "max-calls-per-s",
                                "calls per second; more get 429 (0: no limit)",
                                false, 0, "calls", cmd);
  TCLAP::ValueArg<int64_t> history("", "history",
                                   "number of past changes kept for watches",
                                   false, 4096, "changes", cmd);
  cmd.parse(argc, argv);

  mimosa::standins::PlatformOptions options;
  options.history_limit = static_cast<size_t>(history.getValue());
  options.max_calls_per_second = rate.getValue();
  const auto loop = mimosa::LwsLoop::Create();
  mimosa::standins::PlatformServer platform(loop.get(), options);
  return mimosa::standins::ServeUntilSignal(loop.get(), listen.getValue(),
                                            &platform);
}
