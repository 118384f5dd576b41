// Cancels requests at engines and retries until the engine has confirmed.
//
// An engine may keep a stream running and its memory allocated after the
// connection is closed. A request that ends early therefore queues a cancel
// here. It is retried until the engine answers or kGiveUpAfter has passed; by
// then the engine is down, or the owner of its ledger cancels the request
// (orphan_canceller.h). Until then the reservation is kept: the ledger must not
// grant memory that isn't free yet.
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

  // Cancels the attempts of `request` up to number `attempt` at `engine`, then
  // releases `reservation` (may be null). Later attempts, perhaps on the same
  // engine, aren't affected.
  void Cancel(const RequestId& request, int attempt, const Endpoint& engine,
              std::unique_ptr<EngineReservation> reservation);

  // Returns whether a cancel of `request` at `engine` isn't confirmed yet.
  bool IsPending(const RequestId& request, const Endpoint& engine) const;

  // Number of cancels not confirmed yet. A graceful shutdown waits for zero.
  size_t pending_count() const { return pending_cancels_.size(); }

 private:
  struct PendingCancel;
  void SendCancel(PendingCancel* cancel);
  void OnCancelReply(PendingCancel* cancel, bool confirmed);

  EventLoop* const loop_;
  HttpClient* const client_;
  std::list<std::unique_ptr<PendingCancel>> pending_cancels_;
};

}  // namespace mimosa

#endif  // ROUTER_ENGINE_CANCELLER_H_
