// Bound on the bytes that a daemon holds for callers and backend servers that
// read slowly, over all of its requests.
//
// Three measures, from the mildest on. Back pressure: the more responses there
// are, the less of each may wait for its caller before the daemon stops to read
// it from the back end. Admission: a request that doesn't fit beside what is
// held is refused, since it has not run yet. Victims: if more than the limit is
// held all the same, responses are ended whose callers have read nothing for
// some time, those that have stalled for longest first. A caller that reads,
// however slowly, is never a victim.
//
// Load pattern covered: many callers read slowly at once, or many large
// requests arrive in a burst, on a VM whose memory holds only a part of what
// each connection alone may buffer.
#ifndef DECIDE_BUFFER_BUDGET_H_
#define DECIDE_BUFFER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace mimosa {

class BufferBudget {
 public:
  // Largest part of a response that waits for its caller while memory is ample.
  static constexpr size_t kMaxResponseBytes = 256U << 10;
  // The same with any number of responses: less would make each read of the
  // back end's connection stall.
  static constexpr size_t kMinResponseBytes = 16U << 10;

  struct Options {
    // Bytes that may be held; zero: no bound.
    size_t limit_bytes = 0;
    // A caller that reads nothing for this long has stalled. Longer than the
    // retransmissions of a link with heavy loss take.
    Duration stall_time = std::chrono::seconds(5);
  };

  // The unsent part of a response.
  struct Response {
    uint64_t request = 0;  // Chosen by the owner of the responses.
    size_t unsent_bytes = 0;
    MonoTime last_progress{};  // When the caller last read.
  };

  explicit BufferBudget(Options options) : options_(options) {}

  // Returns whether a request that takes `bytes` may be admitted while
  // `held_bytes` are held.
  bool MayAdmit(size_t held_bytes, size_t bytes) const;

  // Returns how many bytes of each of `responses` responses may be held, at
  // most `max_bytes`.
  size_t ResponseLimit(size_t responses,
                       size_t max_bytes = kMaxResponseBytes) const;

  // Returns whether all responses together, of which `unsent_bytes` are held,
  // have used up their share. Then none may grow beyond kMinResponseBytes.
  bool IsResponseShareFull(size_t unsent_bytes) const;

  // Returns the requests whose responses are to be ended, in order, so that
  // what remains of `held_bytes` fits. Fewer if too few have stalled.
  std::vector<uint64_t> ChooseVictims(std::vector<Response> responses,
                                      size_t held_bytes, MonoTime now) const;

 private:
  const Options options_;
};

}  // namespace mimosa

#endif  // DECIDE_BUFFER_BUDGET_H_
