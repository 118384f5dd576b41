// Estimates how long a stream lasts, from the streams that have ended lately.
//
// Model: the time to the first event, which includes the wait for memory, and
// the time from there to the end, per token of output that was expected. Both
// are smoothed with their mean deviation, as TCP does with round-trip times. An
// expected output that is off by a factor widens the deviation like an engine
// that slows down. Streams that were ended early count with the time that they
// took, since leaving out the longest ones would make the estimate too short.
//
// Load pattern covered: bursts in which streams last several times as long as
// usual, for some seconds.
#ifndef DECIDE_STREAM_DURATIONS_H_
#define DECIDE_STREAM_DURATIONS_H_

#include <map>
#include <optional>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

class StreamDurations {
 public:
  // Estimates that most streams stay below.
  struct Estimate {
    Duration to_first_event{};
    Duration generation{};  // From the first event to the end.
    Duration total() const { return to_first_event + generation; }
  };

  // Records a stream that has ended. `expected_output` is what was expected
  // when it was admitted.
  void Record(const ServiceId& service, Tokens expected_output,
              Duration to_first_event, Duration generation);
  // Returns nullopt if too few streams of the service have ended.
  std::optional<Estimate> Find(const ServiceId& service,
                               Tokens expected_output) const;

 private:
  // Smoothed mean and mean deviation, in seconds.
  struct Smoothed {
    void Add(double sample, bool is_first);
    double UpperBound() const;

    double mean = 0;
    double deviation = 0;
  };
  struct Streams {
    int samples = 0;
    Smoothed to_first_event;
    Smoothed per_token;
  };

  std::map<ServiceId, Streams> streams_;
};

}  // namespace mimosa

#endif  // DECIDE_STREAM_DURATIONS_H_
