// Stand-in for a backend server of the platform that mimosa-entry runs on. It
// registers itself in the stand-in store and serves as prefill engine, decode
// engine or plain service.
//
// It journals executed requests by request id before it responds. Prefill
// handles and memory reservations expire. Memory is counted in tokens, and a
// request that doesn't fit gets an error response marked as not executed. A
// report lists the runs as of some hundred milliseconds ago.
//
//   POST /debug/behave   any of {"gap_ms", "events", "delay_ms",
//                        "abort_runs", "draining": bool, "silent": bool,
//                        "unframed": bool, "says_leaving": bool, "pause_ms",
//                        "body_bytes", "reject_percent", "reset_percent",
//                        "crash_part": part of a prompt,
//                        "crash_target": path and query of a request,
//                        "crash_silently": bool,
//                        "limit": requests a second, negative for none,
//                        "id_in_rejections": bool, "preempt_percent",
//                        "preempt_ms", "lose_percent", "status",
//                        "whole_events": bool, "crash": true, "restart_ms",
//                        "lose_reports_percent", "reject_reports_percent"}
//       "id_in_rejections": rejections name the request, which they needn't
//       "limit": all responses name it as the server's limit
//       "crash_part": a run whose prompt has the part, not as its last one,
//       crashes the server once the head of its response is out; it is back as
//       another incarnation after "restart_ms", at first half a second
//       "crash_target": the same for any request with the target, also for a
//       plain one
//       "crash": the same now
//       "whole_events": a stream that is aborted, or that a crash breaks off,
//       ends between two events instead of inside one
//       "crash_silently": a crash leaves all connections open, without a
//       response
//       "says_leaving": responses to requests have the field that announces the
//       end of the server, whatever its entry says
//       "pause_ms": rejects all requests for so long and asks for that pause
//       "body_bytes": responses of plain services have at least so many bytes
//       "reject_percent", "reset_percent": this share of the requests is
//       rejected as not executed, or has its connection closed
//       "preempt_percent", "preempt_ms": this share of the streams sends
//       nothing for so long after its second event
//       "lose_percent": this share of the streams runs without a response, and
//       closes its connection at its end
//       "status": of the responses of plain services and of streams, also one
//       that HTTP doesn't define
//       "unframed": streams and responses of plain services have neither a
//       length nor chunks, and those that have begun end with an orderly close,
//       also if aborted; the second half of a plain one follows after "gap_ms"
//       "lose_reports_percent", "reject_reports_percent": this share of the
//       requests for a report and of the health checks gets no response, or is
//       rejected
//   GET  /debug/journal  {"runs": {id: count}, "foreign": requests that carried
//                        a caller's key, "used": tokens, "handles": n,
//                        "rooms": reservations, "stage", "orders": n,
//                        "in_pause": requests later than half a second into a
//                        pause, "served": requests that were not rejected,
//                        "crashes": n, "crash_requests": [ids of the requests
//                        that crash the server and have reached it],
//                        "arrivals": [{"id": request, "ms": monotonic time,
//                        "prefill": whether it is a prefill that was accepted}
//                        for each request of a caller, also a rejected one],
//                        "spans": [{"id": request, "begin": ms, "begin_us": the
//                        same in microseconds, "end": ms or
//                        absent, "stall_ms": how long the server's loop stood
//                        still in that time, at most} for each run of a
//                        stream], "responding": responses that have begun and
//                        not ended, "withheld_reports": requests for a report
//                        and health checks that were lost or rejected}
//   POST /debug/take/HANDLE  claims a prefill result; 404 if it has expired
#ifndef STANDINS_SITE_SERVER_H_
#define STANDINS_SITE_SERVER_H_

#include <json/value.h>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http.h"
#include "standins/delayed_tasks.h"
#include "standins/http_json.h"

namespace mimosa::standins {

struct SiteServerOptions {
  std::string id;
  std::string service;
  std::string zone = "z";
  std::string stage;  // "prefill" or "decode"; empty for a plain service
  Endpoint listen;
  std::string address;  // address to register; `listen` if empty
  Endpoint store;
  int64_t memory_tokens = 36000;
  std::string software_version =
      "v1";  // another one than "v1" marks its events
  // A stream has as many events as its request's length hint says.
  bool follows_length_hints = false;
  // Members of a request to /debug/behave that hold from the start on.
  Json::Value behavior{Json::objectValue};
  // Between the start and the first registration, so that until then the store
  // lists the process that had the id before.
  Duration registration_delay{};
};

class SiteServer : public HttpHandler {
 public:
  SiteServer(LwsLoop* loop, SiteServerOptions options);

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct Run {
    ExchangePtr exchange;
    int64_t tokens = 0;
    int64_t next_event = 1;
    int64_t events = 0;            // number of the last event
    int64_t events_made = 0;       // in this run
    bool ends_with_close = false;  // the response has no framing
    bool is_preempted = false;     // falls silent after its second event
    bool is_lost = false;          // sends nothing
    size_t span = 0;               // index in spans_
    TimerHandle timer;
  };

  // The time in which a stream ran.
  struct RunSpan {
    std::string id;  // of the request
    MonoTime begin;
    std::optional<MonoTime> end;
    int64_t tokens = 0;
    int64_t first_event = 1;
    std::vector<MonoTime> events;  // when each was made
  };

  // A time in which the loop ran no timer, although one was due.
  struct Stall {
    MonoTime begin;
    MonoTime end;
  };

  // Picks a share of the events that it is asked about, evenly spread.
  class Share {
   public:
    void set_percent(int64_t percent) { percent_ = percent; }
    int64_t percent() const { return percent_; }
    // Counts one more event.
    void Count() { due_ += percent_; }
    // Returns whether an event is due to be picked, once.
    bool Take() {
      constexpr int64_t kWhole = 100;
      if (due_ < kWhole) return false;
      due_ -= kWhole;
      return true;
    }

   private:
    int64_t percent_ = 0;
    int64_t due_ = 0;  // percents of an event
  };

  // A request of a caller that has reached the server.
  struct Arrival {
    std::string id;
    MonoTime at;
    bool accepted_prefill = false;
  };

  void Register();
  std::string RegistrationJson() const;
  void RecordArrival(const HttpRequest& request);
  // Rejects or resets a share of the requests. Returns false for the others.
  bool RejectShare(const ExchangePtr& exchange);
  // Rejects a share of the requests for a report and of the health checks, or
  // leaves it without a response. Returns false for the others.
  bool RejectReportShare(const ExchangePtr& exchange);
  void HandleDebug(const ExchangePtr& exchange, const std::string& path);
  void HandleBehave(const ExchangePtr& exchange);
  void SetBehavior(const Json::Value& members);
  Json::Value JournalJson() const;
  void HandleReport(const ExchangePtr& exchange);
  // Returns the runs at that time, in the form of a report.
  Json::Value ListRuns(MonoTime as_of) const;
  // Changes the stage, unless the fencing token is too low, a change is in
  // progress, or the order expects another sequence number.
  void HandleOrder(const ExchangePtr& exchange);
  void HandleReserve(const ExchangePtr& exchange);
  void HandlePrefill(const ExchangePtr& exchange);
  // Claims the prefill result from the engine that `source` names, then admits
  // the run.
  void ClaimKvThenAdmit(const ExchangePtr& exchange, const std::string& source);
  void AdmitRun(const ExchangePtr& exchange);
  void HandlePlainRequest(const ExchangePtr& exchange);
  // Returns whether the target is crash_target_, or a part of the prompt,
  // except the last, is crash_part_.
  bool CrashesServer(const HttpRequest& request) const;
  // Responds in two halves and without framing.
  void RespondUnframed(const ExchangePtr& exchange,
                       const HttpResponse& response);
  // Ends a stream early: inside an event, or between two with "whole_events".
  void BreakOff(const Run& run) const;
  // Breaks off all runs, and restarts as another incarnation.
  void Crash();
  void SendNextEvent(uint64_t serial);
  void EndRun(uint64_t serial);
  void ScheduleStallCheck();
  // Returns the longest stall between these times.
  Duration LongestStall(MonoTime from, MonoTime to) const;
  // Ends the response of a run that has made all its events.
  static void FinishResponse(const Run& run);
  void RecordEnd(const Run& run) { spans_[run.span].end = loop_->Now(); }
  void RespondNotExecuted(const ExchangePtr& exchange, int status) const;
  // Rejects a request during a pause. Returns false if there is none.
  bool RejectInPause(const ExchangePtr& exchange);
  // Returns the fields of a response of this server to `request`.
  HttpHeaders ResponseHeaders(const HttpRequest& request) const;

  LwsLoop* const loop_;
  SiteServerOptions options_;
  const std::unique_ptr<HttpClient> client_;
  std::string stage_;
  bool changing_stage_ = false;  // true while a stage change is in progress
  int64_t accepted_orders_ = 0;
  int64_t max_fence_ = 0;  // the highest fencing token accepted
  TimerHandle stage_change_timer_;
  int64_t incarnation_;
  MonoTime incarnation_began_{};
  bool draining_ = false;
  // Requests get no response, and registration stops.
  bool unresponsive_ = false;
  bool says_leaving_ = false;
  double limit_ = -1;         // negative: none
  std::string crash_part_;    // empty: none
  std::string crash_target_;  // empty: none
  bool crashes_silently_ = false;
  // Requests that a silent crash has left without a response.
  std::set<ExchangePtr> abandoned_;
  bool crashed_ = false;  // breaks off all connections until the restart
  int64_t crashes_ = 0;
  std::set<std::string> crash_requests_;
  std::set<ExchangePtr> plain_exchanges_;  // Not responded to yet.
  // The responses without framing of which half has been sent.
  std::set<ExchangePtr> half_responses_;
  Duration restart_time_ = std::chrono::milliseconds(500);
  TimerHandle restart_timer_;
  MonoTime pause_began_{};
  MonoTime pause_until_{};
  int64_t requests_in_pause_ = 0;
  int64_t requests_served_ = 0;
  std::vector<Arrival> arrivals_;
  std::vector<RunSpan> spans_;
  std::vector<Stall> stalls_;
  MonoTime stall_check_due_{};
  TimerHandle stall_timer_;
  Share rejected_requests_;
  Share reset_requests_;
  Share preempted_runs_;
  Share lost_runs_;
  Share lost_reports_;
  Share rejected_reports_;
  int64_t withheld_reports_ = 0;
  Duration preemption_time_{};
  bool id_in_rejections_ = false;
  bool unframed_ = false;  // responses end with their connection
  bool whole_events_ = false;
  int status_ = 200;  // of the responses of plain services and of streams
  int64_t events_per_run_ = 5;
  int64_t body_bytes_ = 0;     // lowest size of the body of a plain response
  int64_t runs_to_abort_ = 0;  // this many next runs are aborted after an event
  Duration event_interval_ = std::chrono::milliseconds(10);
  Duration response_delay_{};
  std::map<std::string, int64_t> run_counts_;
  // Requests that carried a caller's API key.
  int64_t requests_with_api_key_ = 0;
  int64_t used_tokens_ = 0;  // tokens of runs and reservations
  uint64_t last_serial_ = 0;
  std::map<uint64_t, Run> running_;
  std::map<std::string, TimerHandle> handles_;
  // Tokens and expiry timer of each reservation, by its id.
  std::map<std::string, std::pair<int64_t, TimerHandle>> reservations_;
  std::unique_ptr<HttpCall> register_call_;
  std::list<std::unique_ptr<HttpCall>> claims_;  // Of prefill results.
  DelayedTasks delayed_tasks_;
  TimerHandle register_timer_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_SITE_SERVER_H_
