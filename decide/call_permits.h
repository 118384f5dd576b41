// Interface between the selection of back ends and the permits without which
// back ends that name a limit or warm up are not called.
#ifndef DECIDE_CALL_PERMITS_H_
#define DECIDE_CALL_PERMITS_H_

#include "base/clock.h"
#include "decide/site.h"

namespace mimosa {

class CallPermits {
 public:
  virtual ~CallPermits() = default;
  // Returns whether `back_end` may be called now: it names no limit and
  // doesn't warm up, or this daemon has a permit.
  virtual bool IsAvailable(const BackEndEntry& back_end,
                           MonoTime now) const = 0;
  // Returns when `back_end` may be called at the earliest, as far as is known.
  virtual MonoTime AvailableAt(const BackEndEntry& back_end,
                               MonoTime now) const = 0;
  // Returns whether `back_end` is still slow after its start and takes few
  // requests.
  virtual bool IsWarmingUp(const BackEndEntry& back_end,
                           MonoTime now) const = 0;
  // Uses the permit for a call, if one is needed.
  virtual void Take(const BackEndEntry& back_end) = 0;
  // A call would have used a permit: gets one for the next call.
  virtual void Request(const BackEndEntry& back_end) = 0;
};

}  // namespace mimosa

#endif  // DECIDE_CALL_PERMITS_H_
