// The entry daemon: the only process on an entry VM of a platform whose backend
// servers register themselves in the platform's store.
//
// Lifecycle: the daemon lists the store, registers itself, and becomes ready
// once a configuration and the backend servers are known. From then on it stays
// ready through outages of the store. On SIGTERM it reports not ready to the
// load balancer, keeps accepting requests until the balancer has noticed, and
// exits when the running requests have finished or shortly before the platform
// would send SIGKILL. On SIGHUP it reloads the reloadable settings.
#ifndef SERVING_ENTRY_DAEMON_H_
#define SERVING_ENTRY_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>

#include "base/errors.h"
#include "base/kv_store.h"
#include "base/metrics.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "serving/request_format.h"
#include "serving/site_format.h"
#include "wire/settings.pb.h"

namespace mimosa {

enum class EntryError {
  kEventLoop,
  kCallerPort,
  kReadyPort,
  kControlPort,
  kPeerPort
};
const char* EntryErrorName(EntryError error);

// The platform-specific parts of the daemon.
struct EntryPlatform {
  const SiteFormat* site_format = nullptr;
  const RequestFormat* request_format = nullptr;
  std::function<std::unique_ptr<KvStore>(EventLoop* loop, HttpClient* client,
                                         const Endpoint& store,
                                         MetricsRegistry* metrics)>
      open_store;
};

class EntryDaemon {
 public:
  // Loads the settings again. Returns nullopt if they are invalid.
  using SettingsLoader = std::function<std::optional<wire::EntrySettings>()>;

  // Opens all ports. Fails with EntryError. `platform` must outlive the daemon.
  static leaf::result<std::unique_ptr<EntryDaemon>> Create(
      const wire::EntrySettings& settings, const EntryPlatform& platform,
      SettingsLoader load_settings);
  virtual ~EntryDaemon() = default;

  // Runs until the graceful shutdown is complete.
  virtual void Run() = 0;
};

}  // namespace mimosa

#endif  // SERVING_ENTRY_DAEMON_H_
