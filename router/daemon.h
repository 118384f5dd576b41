// The daemon: creates and connects all parts of a mimosa-router process.
//
// Start: the daemon listens on the peer port (which proves that no former
// process of this VM still runs), joins the fleet and fetches the catalogue.
// The health check on the callers' port succeeds from then on.
//
// Shutdown at SIGTERM or SIGINT: the health check fails, and the load balancer
// has drain_ms to notice that. Then the daemon accepts no new connections,
// finishes every running request, releases what it holds at engines, hands over
// its slots and token buckets, ends its member record, and Run() returns.
#ifndef ROUTER_DAEMON_H_
#define ROUTER_DAEMON_H_

#include <memory>

#include "base/errors.h"
#include "wire/settings.pb.h"

namespace mimosa {

// Reason why a daemon can't start.
enum class StartError {
  kLoop,
  kUnknownMechanism,  // the test-only setting "disable" names no mechanism
  kPeerPort,          // can't listen on peer_listen
  kOperatorPort,      // likewise
  kCallerPort,        // likewise
};
const char* StartErrorMessage(StartError error);

class Daemon {
 public:
  virtual ~Daemon() = default;
  // Runs the daemon. Returns after a graceful shutdown.
  virtual void Run() = 0;

  // Creates a daemon that listens on all its ports. Fails with StartError. The
  // settings must have been validated (base/settings.h).
  static leaf::result<std::unique_ptr<Daemon>> Create(
      const wire::RouterSettings& settings);
};

}  // namespace mimosa

#endif  // ROUTER_DAEMON_H_
