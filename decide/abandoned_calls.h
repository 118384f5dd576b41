// Calls that were given up without a response, and which of their engines have
// ended since.
//
// Model: an engine may end without closing its connections. The calls that it
// had end at their deadlines, and only later its entry disappears, or another
// incarnation registers. An engine that says before that it is about to
// terminate ends in order.
//
// Load pattern covered: a request that crashes the machines of engines is
// repeated, while each of its calls only looks slow.
#ifndef DECIDE_ABANDONED_CALLS_H_
#define DECIDE_ABANDONED_CALLS_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/back_end_list.h"
#include "decide/site.h"

namespace mimosa {

struct AbandonedCall {
  RequestId request;
  std::vector<CrashSuspectId> suspects;
  BackEndEntry engine;
};

class AbandonedCalls {
 public:
  struct Options {
    // Longest time from a call's end to that of its engine.
    Duration lifetime = std::chrono::seconds(10);
    // Beyond this number, the oldest calls are dropped.
    size_t max_calls = 512;
  };

  explicit AbandonedCalls(const Options& options) : options_(options) {}

  void Add(AbandonedCall call, MonoTime now);
  // Removes and returns the calls whose engines have ended.
  std::vector<AbandonedCall> TakeEnded(const BackEndList& list, MonoTime now);

  size_t size() const { return calls_.size(); }

 private:
  struct Entry {
    AbandonedCall call;
    MonoTime at{};
  };

  const Options options_;
  std::deque<Entry> calls_;  // The oldest first.
};

}  // namespace mimosa

#endif  // DECIDE_ABANDONED_CALLS_H_
