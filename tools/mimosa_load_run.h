// Sends planned requests when they are due, without waiting for earlier ones to
// finish (open loop), and measures the responses.
#ifndef TOOLS_MIMOSA_LOAD_RUN_H_
#define TOOLS_MIMOSA_LOAD_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http.h"
#include "tools/mimosa_load_plan.h"
#include "tools/mimosa_load_report.h"
#include "wire/workload.pb.h"

namespace mimosa {

struct LoadRunOptions {
  std::vector<Endpoint> routers;  // used in round-robin order
  std::vector<Endpoint> engines;  // queried for their prefill work
  uint64_t seed = 0;              // part of the idempotency keys
};

class LoadRun {
 public:
  LoadRun(LwsLoop* loop, HttpClient* client, const wire::Workload& workload,
          std::vector<PlannedRequest> plan, const LoadRunOptions& options);
  ~LoadRun();

  // Runs the event loop until every request has finished or failed.
  void Run();

  const std::vector<RequestSample>& samples() const { return samples_; }
  // Returns the engines' prefill work during this run: their counters after the
  // run minus those before it. Empty if no engines were queried.
  const std::optional<PrefillWork>& prefill_work() const {
    return prefill_work_;
  }
  // Returns the longest time by which a request was sent after it was due.
  Duration max_send_delay() const { return max_send_delay_; }

 private:
  class RunningRequest;

  std::optional<PrefillWork> FetchPrefillWork();
  void ScheduleFaults();
  void InjectFault(const wire::WorkloadFault& fault);
  void SendDueRequests();
  void SendRequest(size_t index);
  HttpRequest MakeRequest(size_t index) const;
  void OnRequestFinished(size_t index, const RequestSample& sample);
  void StopIfFinished();

  LwsLoop* const loop_;
  HttpClient* const client_;
  const wire::Workload& workload_;
  const std::vector<PlannedRequest> plan_;
  const LoadRunOptions options_;

  MonoTime start_{};
  size_t next_request_ = 0;  // index into plan_
  TimerHandle send_timer_;
  std::vector<TimerHandle> fault_timers_;
  std::vector<std::unique_ptr<HttpCall>> fault_calls_;
  std::map<size_t, std::unique_ptr<RunningRequest>> running_;
  std::vector<RequestSample> samples_;
  std::optional<PrefillWork> prefill_work_;
  Duration max_send_delay_{};
};

}  // namespace mimosa

#endif  // TOOLS_MIMOSA_LOAD_RUN_H_
