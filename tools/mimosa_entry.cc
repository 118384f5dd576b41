// mimosa-entry: the routing daemon of an entry VM, for platforms whose backend
// servers register themselves in the platform's store. See
// serving/entry_daemon.h.
#include <cstdlib>
#include <memory>

#include "base/logging.h"
#include "base/settings.h"
#include "platform/request_codec.h"
#include "platform/site_codec.h"
#include "platform/store_client.h"
#include "serving/entry_daemon.h"
#include "wire/settings.pb.h"

namespace mimosa {
namespace {

// Exit codes in addition to those in base/settings.h.
constexpr int kExitCannotStart = 2;

int Main(int argc, char** argv) {
  const ProgramInfo program = {
      "mimosa-entry",
      "Routes model and service requests to the backend servers that the "
      "platform's store lists.",
      "",
      "Exit codes: 0 after a graceful shutdown, 1 invalid settings, 2 can't "
      "start."};
  wire::EntrySettings settings;
  if (const auto code =
          ReadProgramSettingsWithFile(program, argc, argv, &settings))
    return *code;
  ConfigureLogging(program.name, LogLevelFromName(settings.log_level()));
  const PlatformSiteFormat site;
  const PlatformRequestFormat requests;
  EntryPlatform platform;
  platform.site_format = &site;
  platform.request_format = &requests;
  platform.open_store = [](EventLoop* loop, HttpClient* client,
                           const Endpoint& store, MetricsRegistry* metrics) {
    StoreClientOptions options;
    options.store = store;
    return std::make_unique<StoreClient>(loop, client, options, metrics);
  };
  const auto reload = [&]() -> std::optional<wire::EntrySettings> {
    wire::EntrySettings reloaded;
    if (!ReloadProgramSettings(program, argc, argv, &reloaded))
      return std::nullopt;
    return reloaded;
  };
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(daemon,
                        EntryDaemon::Create(settings, platform, reload));
        daemon->Run();
        return kExitOk;
      },
      [](EntryError error) {
        LogEvent(LogLevel::kError, "start_failed",
                 {{"reason", EntryErrorName(error)}});
        return kExitCannotStart;
      },
      [] { return kExitCannotStart; });
}

}  // namespace
}  // namespace mimosa

int main(int argc, char** argv) { return mimosa::Main(argc, argv); }
