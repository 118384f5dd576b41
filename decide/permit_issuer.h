// Issues the permits for calls to one back end that names a limit.
//
// Model: a token bucket that fills at the rate of the limit. It starts empty,
// since another daemon may have issued permits until a moment ago.
//
// Load pattern covered: many daemons, each with less than one call in the time
// in which the back end takes one, ask for permits at the same time.
#ifndef DECIDE_PERMIT_ISSUER_H_
#define DECIDE_PERMIT_ISSUER_H_

#include "base/clock.h"

namespace mimosa {

class PermitIssuer {
 public:
  // `initial_permits` are in the bucket.
  PermitIssuer(double initial_permits, MonoTime now)
      : level_(initial_permits), updated_at_(now) {}

  // Sets the permits a second from now on; positive.
  void SetRate(double per_second, MonoTime now);
  // Issues up to `count` permits, or none if there are fewer than `minimum`.
  // Returns how many.
  int Issue(int count, int minimum, MonoTime now);
  // Returns the time until `count` permits can be issued.
  Duration TimeUntil(int count, MonoTime now) const;

 private:
  double LevelAt(MonoTime now) const;
  // Permits that may be issued at once.
  double Burst() const;

  double rate_ = 1;
  double level_;
  MonoTime updated_at_;
};

}  // namespace mimosa

#endif  // DECIDE_PERMIT_ISSUER_H_
