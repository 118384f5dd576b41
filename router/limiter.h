// Rate limit of each customer, as the request path sees it.
//
// A request is charged once, before it is sent anywhere, and the unused
// part of the charge is refunded at the end. Charged tokens count as admitted
// at the moment at which the charge is granted.
#ifndef ROUTER_LIMITER_H_
#define ROUTER_LIMITER_H_

#include <functional>
#include <memory>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

struct ChargeResult {
  bool granted = false;
  Duration retry_after{};  // meaningful if refused
};

// A charge that is waiting for tokens. Destroying it cancels the charge, and
// nothing stays charged.
class PendingCharge {
 public:
  virtual ~PendingCharge() = default;
};

class Limiter {
 public:
  using DoneCallback = std::function<void(ChargeResult)>;

  virtual ~Limiter() = default;

  // Charges `tokens` (> 0) to `customer`. If `wait_until` is in the future, the
  // charge may wait for tokens until then; otherwise it is decided no later
  // than the reply of the customer's bucket owner. `done` runs once, from the
  // event loop or, if tokens are available here, from within this call; in the
  // latter case the returned handle is null.
  [[nodiscard]] virtual std::unique_ptr<PendingCharge> Charge(
      const CustomerId& customer, Tokens tokens, MonoTime wait_until,
      DoneCallback done) = 0;

  // Refunds `tokens` of a charge that was granted at `charged_at` (when its
  // `done` ran). The bucket owner credits them as if they had never been
  // charged: tokens that would have overflowed the bucket's burst since then
  // stay lost.
  virtual void Refund(const CustomerId& customer, Tokens tokens,
                      MonoTime charged_at) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_LIMITER_H_
