// Decides which streams a daemon that shuts down still admits, and until when
// its requests may count on it.
//
// Model: the load balancer sends new connections until it has noticed the
// shutdown, and a caller that is refused reaches another daemon at its next
// attempt. A stream is admitted only if most streams like it would end before
// the daemon does: its caller loses some hundred milliseconds by a refusal and
// the whole response by a truncation.
//
// Load pattern covered: daemons that are stopped one after the other while
// engines are short of memory, so that streams last as long as the grace time.
#ifndef DECIDE_SHUTDOWN_POLICY_H_
#define DECIDE_SHUTDOWN_POLICY_H_

#include <optional>

#include "base/clock.h"

namespace mimosa {

class ShutdownPolicy {
 public:
  // The daemon admits no stream after `stream_cutoff` and ends its remaining
  // requests at `ends_at`. Responses that have ended by then may be checked for
  // another `check_time`.
  void Begin(MonoTime stream_cutoff, MonoTime ends_at,
             Duration check_time = Duration::zero());
  // Ends the requests earlier. A later time than the current one is ignored.
  void EndBy(MonoTime ends_at);

  bool has_begun() const { return ends_at_ != kNever; }
  // When the daemon ends its remaining requests; kNever before the shutdown.
  MonoTime ends_at() const { return ends_at_; }
  // When the check of a response that has ended must be over; kNever before the
  // shutdown.
  MonoTime checks_end_at() const {
    return has_begun() ? ends_at_ + check_time_ : kNever;
  }

  // Returns whether a request that arrives now may begin at all.
  bool AdmitsRequest(MonoTime now) const { return now < ends_at_; }
  // `expected_duration`: that most streams like this one stay below; absent if
  // unknown.
  bool AdmitsStream(MonoTime now,
                    std::optional<Duration> expected_duration) const;

 private:
  MonoTime stream_cutoff_ = kNever;
  MonoTime ends_at_ = kNever;
  Duration check_time_{};
};

}  // namespace mimosa

#endif  // DECIDE_SHUTDOWN_POLICY_H_
