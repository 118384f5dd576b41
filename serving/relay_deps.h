// The dependencies of the request relays, their input and their result.
#ifndef SERVING_RELAY_DEPS_H_
#define SERVING_RELAY_DEPS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/line_log.h"
#include "base/random.h"
#include "decide/back_end_selector.h"
#include "decide/call_rights.h"
#include "decide/reservation_retry_policy.h"
#include "decide/retry_budget.h"
#include "decide/run_rights.h"
#include "decide/shutdown_policy.h"
#include "decide/site.h"
#include "decide/stage_meter.h"
#include "decide/stream_durations.h"
#include "decide/traffic_boundaries.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "serving/buffer_monitor.h"
#include "serving/crash_guard.h"
#include "serving/engine_memory_releaser.h"
#include "serving/helper_exchange.h"
#include "serving/permit_exchange.h"
#include "serving/reachability_monitor.h"
#include "serving/request_format.h"
#include "serving/stream_origin_directory.h"

namespace mimosa {

// Counters for the metrics page.
struct RelayCounters {
  uint64_t prefills = 0;
  uint64_t prefills_unused = 0;  // Prefills whose result was not used.
  uint64_t retries = 0;          // Further calls to a back end for a request.
  uint64_t retries_denied = 0;   // Not sent: retry budget exhausted.
  uint64_t hedges = 0;  // Second calls in parallel to a slow first one.
  uint64_t streams_resumed = 0;       // Streams resumed at another engine.
  uint64_t reservations = 0;          // Made at decode engines.
  uint64_t reservations_refused = 0;  // Refused by a decode engine.
  uint64_t streams_broken = 0;        // Streams that ended incomplete.
  // Responses of back ends that ended as their framing says, or by a close, and
  // were truncated.
  uint64_t responses_incomplete = 0;
  // Responses that only the close of their connection ended, and those of them
  // whose end was not confirmed.
  uint64_t ends_checked = 0;
  uint64_t ends_unconfirmed = 0;
  // Runs broken off since an event didn't follow the ones before it.
  uint64_t events_misplaced = 0;
  uint64_t pauses = 0;  // Rejections that asked for a pause.
  // Calls that were withheld since the engine is another incarnation than the
  // listed one.
  uint64_t unlisted_incarnations = 0;
  // Streams of engines that didn't say which incarnation they are.
  uint64_t streams_of_unknown_version = 0;
};

// Dependencies shared by all relays. All of them outlive the relays.
struct RelayDeps {
  EventLoop* loop;
  HttpClient* client;
  const RequestFormat* format;
  BackEndSelector* selector;
  RetryBudget* retry_budget;
  const ReservationRetryPolicy* reservation_retry;
  RandomSource* random;
  LineLog* log;
  EngineMemoryReleaser* releaser;
  RelayCounters* counters;
  StageMeter* stage_meter;
  StreamOriginDirectory* stream_origins;
  CrashGuard* crash_guard;
  PermitExchange* permits;
  ReachabilityMonitor* reachability;
  HelperExchange* helpers;
  FailureDomain zone;  // Zone of this daemon.
  BufferMonitor* buffers;
  const ShutdownPolicy* shutdown;
  StreamDurations* stream_durations;
};

// An admitted request.
struct RelayRequest {
  CallerRequest caller;
  SiteRoute route;
  SiteService service;
  CustomerId customer;  // Empty on a route without authentication.
  // The member that has forwarded the request; empty if a caller sent it.
  std::string forwarded_by;
  std::optional<int> priority;  // Sent to engines; 0 is served first.
  // Those of its route and its customer.
  AllowedRegions allowed_regions;
  RequestFingerprint fingerprint;
  // What would be at fault if the request crashed an engine.
  std::vector<CrashSuspectId> crash_suspects;
  // Shared with the calls in progress.
  std::shared_ptr<CallRights> rights;
  std::shared_ptr<RunRights> runs;
  MonoTime arrived{};
  MonoTime deadline{};  // A later response is of no use to the caller.
};

// The outcome of a request for the caller.
struct RelayResult {
  int status = 0;           // 0: the connection was closed without a response.
  const char* reason = "";  // Why the request ended like this.
  BackEndId back_end;       // The one that responded or was called last.
  // The software version and the incarnation, as listed, of the last engine
  // that sent events of the stream.
  SoftwareVersion software_version;
  int64_t incarnation = 0;
  int calls = 0;       // Calls to back ends, including prefills.
  int64_t events = 0;  // Stream events forwarded to the caller.
  // What marked the end of the back end's response; absent if none ended.
  std::optional<ResponseEnd> response_end;
  // Bytes of the incomplete event in which the last truncated run ended.
  size_t partial_event_bytes = 0;
  // For streams, measured from the request's arrival. Zero if the request did
  // not get that far.
  Duration time_to_reservation{};  // A decode engine granted a reservation.
  Duration time_to_prefill{};      // The last prefill was complete.
  Duration time_to_first_event{};
  Duration longest_gap{};  // Between two events of the stream.
  // What the request waited for or did when it ended.
  const char* stage = "";
  size_t unsent_bytes = 0;  // Of a response that the shutdown truncated.
  bool truncated_by_shutdown = false;
  bool caller_disconnected = false;
  // No back end could be reached: the request has run nowhere, and the caller
  // has no response yet.
  bool unreachable = false;
  std::string helper;  // The member that the request was last forwarded to.
};

// A request in progress. Destroying it cancels its calls and sends no response.
class Relay {
 public:
  virtual ~Relay() = default;
  // Called once. May destroy the relay.
  virtual void Start() = 0;
  // The caller has closed its connection.
  virtual void OnCallerDisconnected() = 0;
  // The daemon ends now. Sends the response that is true at this moment, or
  // aborts the response if it has started. A relay whose back end's response
  // has ended and is being checked may await the verdict until the shutdown's
  // checks_end_at().
  virtual void OnShutdown() = 0;
  // Returns the request of a relay that has ended as unreachable.
  virtual RelayRequest TakeRequest() = 0;
};

// Called once, as the last action of a relay. The relay must stay alive until
// the current event loop iteration ends.
using RelayDoneCallback = std::function<void(const RelayResult&)>;

}  // namespace mimosa

#endif  // SERVING_RELAY_DEPS_H_
