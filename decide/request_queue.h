// Queue disciplines for the requests that wait for one engine.
//
// Model: a request waits for a number of units (pieces of KV memory at a decode
// engine, turns at a prefill engine) and has a latest useful start time. There
// are two policies:
//  - first come, first served, as the baseline;
//  - fair: start-time fair queueing by customer, which equalizes the tokens
//    served divided by the customer's rate. A customer that sends several times
//    its share delays only its own requests. Requests of the prompt class
//    precede those of the patient class, but after a few prompt ones in a row a
//    waiting patient one is served. Requests that have missed their latency
//    target but not their deadline are served only when nothing else waits;
//    under overload they would otherwise make all requests behind them late
//    too. Within a customer and class, the earliest target goes first.
//
// The queues use no clock, no random numbers and no I/O.
#ifndef DECIDE_REQUEST_QUEUE_H_
#define DECIDE_REQUEST_QUEUE_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

// One unit is a piece of KV memory at a decode engine, or a turn at a prefill
// engine.
using Units = Quantity<struct UnitsTag>;

struct QueuedRequest {
  RequestId request;
  CustomerId customer;
  bool patient = false;
  Units units;
  Tokens cost;     // counted for fairness; positive
  Tokens rate{1};  // the customer's share, in tokens per second; positive
  MonoTime target_start = kNever;  // a later start misses the latency target
  MonoTime start_by = kNever;      // a later start is useless
};

class RequestQueue {
 public:
  virtual ~RequestQueue() = default;

  // The request id must not be in the queue yet.
  virtual void Push(QueuedRequest request) = 0;
  // Returns the request to serve next, or nullptr if none waits. The result
  // stays the same until the queue changes.
  virtual const QueuedRequest* Front() const = 0;
  // Removes Front() and counts it as served. The queue must not be empty.
  virtual QueuedRequest PopFront() = 0;
  // Removes a request without counting it as served. Returns false if it is not
  // in the queue.
  virtual bool Remove(const RequestId& request) = 0;
  virtual bool Contains(const RequestId& request) const = 0;
  virtual size_t size() const = 0;

  // Sets the current time; requests may have missed their target since the last
  // call.
  virtual void AdvanceTime(MonoTime now) = 0;
  // Returns the units expected to be granted before `request` if it were pushed
  // now.
  virtual Units UnitsAhead(const QueuedRequest& request) const = 0;
  // Removes and returns the requests whose start_by is before `now`.
  virtual std::vector<QueuedRequest> RemoveExpired(MonoTime now) = 0;
};

enum class QueueKind { kFifo, kFair };

// Parses "fifo" or "fair"; returns nullopt for any other name.
std::optional<QueueKind> ParseQueueKind(std::string_view name);

// Tokens by which a customer may exceed its share before its requests have to
// wait. Without this, a customer with a small share of an engine would wait
// seconds between any two requests, even if the engine has capacity for both.
inline constexpr Tokens kShareSlack{16384};

// `slack` is only used by kFair.
std::unique_ptr<RequestQueue> MakeRequestQueue(QueueKind kind,
                                               Tokens slack = kShareSlack);

// Prompt-class requests served in a row while a patient-class one waits.
inline constexpr int kMaxPromptStreak = 4;

}  // namespace mimosa

#endif  // DECIDE_REQUEST_QUEUE_H_
