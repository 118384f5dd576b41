// Takes back what a request holds at an engine, until the engine has confirmed.
//
// An engine may keep a stream running, and its memory held, after the
// connection is gone. So a request that ends early leaves an order to cancel
// here; it is repeated until the engine answers or kPatience has passed (then
// the engine is down, or the owner of its book sweeps it: engine_sweeper.h).
// Meanwhile the place stays reserved: the book must not grant memory that is
// not free yet.
#ifndef ROUTER_ENGINE_CANCELLER_H_
#define ROUTER_ENGINE_CANCELLER_H_

#include <list>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "router/reservation_client.h"

namespace mimosa {

class EngineCanceller {
 public:
  static constexpr Duration kGiveUpAfter = std::chrono::seconds(20);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(250);
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);

  EngineCanceller(EventLoop* loop, HttpClient* client);
  ~EngineCanceller();

  // Cancels `request` up to its attempt `attempt` at `engine` and then lets
  // `place` (may be null) go. A later attempt, perhaps on the same engine,
  // lives on.
  void Cancel(const RequestId& request, int attempt, const Endpoint& engine,
              std::unique_ptr<EngineReservation> place);

  // Whether something of `request` is still being taken back at `engine`.
  bool IsPending(const RequestId& request, const Endpoint& engine) const;

  // Orders not confirmed yet; a graceful shutdown waits for zero.
  size_t pending() const { return pending_cancels_.size(); }

 private:
  struct PendingCancel;
  void SendCancel(PendingCancel* order);
  void OnCancelReply(PendingCancel* order, bool confirmed);

  EventLoop* const loop_;
  HttpClient* const client_;
  std::list<std::unique_ptr<PendingCancel>> pending_cancels_;
};

}  // namespace mimosa

#endif  // ROUTER_ENGINE_CANCELLER_H_
