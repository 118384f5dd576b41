// mimosa-router: the routing daemon of one entry VM. See router/daemon.h.
#include <cstdio>
#include <memory>

#include "base/logging.h"
#include "base/settings.h"
#include "router/daemon.h"
#include "wire/settings.pb.h"

namespace mimosa {
namespace {

// Exit codes in addition to those in base/settings.h.
constexpr int kExitCannotStart = 2;

int Main(int argc, char** argv) {
  wire::RouterSettings settings;
  const ProgramInfo program = {
      "mimosa-router",
      "Routes model and service requests of all customers to their engines "
      "and backend servers.",
      "",
      "Exit codes: 0 after a graceful shutdown, 1 invalid settings, 2 can't "
      "start."};
  if (const auto code =
          ReadProgramSettings(program, argc, argv, &settings, nullptr))
    return *code;
  ConfigureLogging(program.name, LogLevelFromName(settings.log_level()));
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(daemon, Daemon::Create(settings));
        daemon->Run();
        return kExitOk;
      },
      [](StartError error) {
        LogEvent(LogLevel::kError, "start_failed",
                 {{"reason", StartErrorMessage(error)}});
        return kExitCannotStart;
      },
      [] { return kExitCannotStart; });
}

}  // namespace
}  // namespace mimosa

int main(int argc, char** argv) { return mimosa::Main(argc, argv); }
