// The entry daemon: the one process on an entry VM of a platform whose backend
// servers register themselves in its store.
//
// Life: it lists the store, registers itself, and is ready once a configuration
// and the backend servers are known; from then on it stays ready through losses
// of the store. At SIGTERM it says so to the balancer, still accepts what comes
// meanwhile, and ends when what it started has ended, or shortly before the
// platform would kill it. SIGHUP reads the reloadable settings again.
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
const char* EntryErrorName(EntryError fault);

// What differs between platforms.
struct EntryPlatform {
  const SiteFormat* site_format = nullptr;
  const RequestFormat* request_format = nullptr;
  std::function<std::unique_ptr<KvStore>(
      HttpClient* client, const Endpoint& store, MetricsRegistry* metrics)>
      open_store;
};

class EntryDaemon {
 public:
  // Reads the settings again; nothing if they are faulty.
  using SettingsLoader = std::function<std::optional<wire::EntrySettings>()>;

  // Listens; fails with EntryFault. `platform` must outlive the daemon.
  static leaf::result<std::unique_ptr<EntryDaemon>> Create(
      const wire::EntrySettings& settings, const EntryPlatform& platform,
      SettingsLoader reload);
  virtual ~EntryDaemon() = default;

  // Until the graceful end.
  virtual void Run() = 0;
};

}  // namespace mimosa

#endif  // SERVING_ENTRY_DAEMON_H_
