// What the relays of requests need from the daemon, and what they report.
#ifndef SERVING_RELAY_DEPS_H_
#define SERVING_RELAY_DEPS_H_

#include <functional>
#include <memory>
#include <string>

#include "base/line_log.h"
#include "base/random.h"
#include "decide/back_end_selector.h"
#include "decide/reservation_retry_policy.h"
#include "decide/retry_budget.h"
#include "decide/site.h"
#include "decide/stage_meter.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "serving/engine_memory_releaser.h"
#include "serving/request_format.h"

namespace mimosa {

// Counters that the metrics page shows.
struct RelayCounters {
  uint64_t prefills = 0;
  uint64_t prefills_unused = 0;       // whose result nobody took
  uint64_t retries = 0;               // sent to a back end once more
  uint64_t retries_denied = 0;        // not sent for want of budget
  uint64_t hedges = 0;                // second calls beside a slow first one
  uint64_t streams_resumed = 0;       // streams that went on at another engine
  uint64_t reservations = 0;          // set aside at decode engines
  uint64_t reservations_refused = 0;  // that an engine had not
  uint64_t streams_broken = 0;        // streams that ended midway
};

// Shared by all relays; everything outlives them.
struct RelayDeps {
  EventLoop* loop;
  HttpClient* client;
  const RequestFormat* format;
  BackEndSelector* selector;
  RetryBudget* budget;
  const ReservationRetryPolicy* reservation_retry;
  RandomSource* random;
  LineLog* log;
  EngineMemoryReleaser* releaser;
  RelayCounters* counters;
  StageMeter* stage_meter;
  FailureDomain zone;  // of this daemon
};

// One admitted request.
struct RelayRequest {
  CallerRequest caller;
  SiteRoute route;
  SiteService service;
  CustomerId customer;          // empty: open route
  std::optional<int> priority;  // as engines are told
  MonoTime arrived{};
  MonoTime deadline{};  // an answer after it is of no use
};

// What the caller got in the end.
struct RelayResult {
  int status = 0;           // 0: the connection was closed without an answer
  const char* reason = "";  // the decision behind an answer of the daemon's own
  BackEndId back_end;       // that answered, or was asked last
  int calls = 0;            // made to back ends, prefills included
  int64_t events = 0;       // of a stream, passed on to the caller
  // Of a stream, from the request's arrival; zero: it didn't come so far.
  Duration time_to_reservation{};  // a decode engine had room
  Duration time_to_prefill{};      // the last prefill was done
  Duration time_to_first_event{};
  bool caller_disconnected = false;
};

// A request under way. Destroying it cancels its calls and answers nothing.
class Relay {
 public:
  virtual ~Relay() = default;
  // Once; may end the relay.
  virtual void Start() = 0;
  // The caller has closed its connection.
  virtual void OnCallerDisconnected() = 0;
};

// Called once, as the last act. The relay has to live until the loop turns.
using RelayDoneCallback = std::function<void(const RelayResult&)>;

}  // namespace mimosa

#endif  // SERVING_RELAY_DEPS_H_
