// The daemon: everything of a mimosa-router process, wired together.
//
// Start: listen on the peers' port (which proves that no former process of this
// VM still runs), join the fleet, fetch the catalogue; the callers' health
// check is good from then on.
// End, at SIGTERM or SIGINT: the health check turns bad, the balancer gets
// drain_ms to notice, then nothing new is accepted, every running request is
// finished, what is held at engines is given back, slots and buckets are handed
// over, the member's record is ended, and Run() returns.
#ifndef ROUTER_DAEMON_H_
#define ROUTER_DAEMON_H_

#include <memory>

#include "base/errors.h"
#include "wire/settings.pb.h"

namespace mimosa {

// Why a daemon can't start.
enum class StartError {
  kLoop,
  kUnknownMechanism,  // in the test-only setting "disable"
  kPeerPort,          // the address can't be listened on
  kOperatorPort,      // likewise
  kCallerPort,        // likewise
};
const char* StartErrorMessage(StartError fault);

class Daemon {
 public:
  virtual ~Daemon() = default;
  // Returns after a graceful end.
  virtual void Run() = 0;

  // Fails with StartFault. The settings must have been checked
  // (base/settings.h).
  static leaf::result<std::unique_ptr<Daemon>> Create(
      const wire::RouterSettings& settings);
};

}  // namespace mimosa

#endif  // ROUTER_DAEMON_H_
