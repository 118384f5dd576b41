// The order in which requests that wait for one engine are served.
//
// Model: a request waits for a number of units (pieces of KV memory at a decode
// engine, turns at a prefill engine) and has a latest time at which a start is
// still of use. Two policies:
//  - first come first served, the baseline;
//  - fair: start-time fair queueing by customer: tokens served, divided by the
//    customer's rate, are kept alike. A customer that sends several times its
//    share waits behind itself, not before the others. Prompt requests go
//    before patient ones, but after a few prompt ones in a row a waiting
//    patient one is served. What has missed its latency target, but not its
//    deadline, is served when nothing else waits: under overload it would else
//    make everything behind it late too. Within customer and class the earliest
//    target goes first.
//
// Pure: no clock, no random numbers, no I/O.
#ifndef DECIDE_REQUEST_QUEUE_H_
#define DECIDE_REQUEST_QUEUE_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

// One piece of KV memory at a decode engine, one turn at a prefill engine.
using Units = Quantity<struct UnitsTag>;

struct QueuedRequest {
  RequestId request;
  CustomerId customer;
  bool patient = false;
  Units units;
  Tokens cost;     // what fairness counts; > 0
  Tokens rate{1};  // the customer's share: its rate a second; > 0
  MonoTime target_start = kNever;  // a later start misses the latency target
  MonoTime start_by = kNever;      // a later start is of no use
};

class RequestQueue {
 public:
  virtual ~RequestQueue() = default;

  // The id must not be in the queue.
  virtual void Push(QueuedRequest request) = 0;
  // The request to be served next; nullptr if none waits. Stays the same until
  // the queue changes.
  virtual const QueuedRequest* Front() const = 0;
  // Takes Front() out as served. The queue must not be empty.
  virtual QueuedRequest PopFront() = 0;
  // Takes a request out as not served. False if it is not there.
  virtual bool Remove(const RequestId& request) = 0;
  virtual bool Contains(const RequestId& request) const = 0;
  virtual size_t size() const = 0;

  // Time has come to `now`: some may have missed their target since.
  virtual void AdvanceTime(MonoTime now) = 0;
  // The units expected to be handed out before `request`, were it pushed now.
  virtual Units UnitsAhead(const QueuedRequest& request) const = 0;
  // Takes out what can't be of use any more (start_by < now).
  virtual std::vector<QueuedRequest> RemoveExpired(MonoTime now) = 0;
};

enum class QueueKind { kFifo, kFair };

// "fifo" or "fair"; nothing for any other name.
std::optional<QueueKind> ParseQueueKind(std::string_view name);

// Tokens that a customer may be ahead of its share without waiting for it. One
// whose share of an engine is small would else wait seconds between any two
// requests, though the engine has room for both.
inline constexpr Tokens kShareSlack{16384};

// `slack` is of use to kFair only.
std::unique_ptr<RequestQueue> MakeRequestQueue(QueueKind kind,
                                               Tokens slack = kShareSlack);

// Prompt requests that are served in a row while a patient one waits.
inline constexpr int kMaxPromptStreak = 4;

}  // namespace mimosa

#endif  // DECIDE_REQUEST_QUEUE_H_
