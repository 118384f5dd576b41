// Rate and burst of each customer, as the request path sees them.
//
// A charge is taken once, before the request is sent anywhere, and the unused
// part is given back at the end. What is charged counts as admitted at the
// moment the charge is granted.
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

// A charge being waited for; destroying it gives up (nothing stays charged).
class PendingCharge {
 public:
  virtual ~PendingCharge() = default;
};

class Limiter {
 public:
  using DoneCallback = std::function<void(ChargeResult)>;

  virtual ~Limiter() = default;

  // Charges `tokens` (> 0) to `customer`. With `wait_until` in the future the
  // charge may wait for tokens until then; otherwise the answer comes as soon
  // as the customer's home has been asked, at most. `done` runs once, from the
  // loop or (if the tokens are at hand) from within this call; the returned
  // handle is null in the latter case.
  [[nodiscard]] virtual std::unique_ptr<PendingCharge> Charge(
      const CustomerId& customer, Tokens tokens, MonoTime wait_until,
      DoneCallback done) = 0;

  // Gives back `tokens` of a charge that was granted at `charged_at` (when its
  // `done` ran). The home credits them as if they had never been charged: what
  // the bucket would have lost to its cap since then stays lost.
  virtual void Refund(const CustomerId& customer, Tokens tokens,
                      MonoTime charged_at) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_LIMITER_H_
