// Watches whether this daemon reaches the back ends of each service: collects
// the outcomes of calls (decide/service_reachability.h), probes back ends while
// a service is in doubt, and logs what changes.
//
// Probes tell a cut from a lull, and see the end of a cut without a caller's
// request at risk. They stop once the service is reached. Then the failures
// that calls had during the cut no longer count against its back ends.
//
// Cost: nothing while calls are responded to; a few probes a second for each
// service that is in doubt.
#ifndef SERVING_REACHABILITY_MONITOR_H_
#define SERVING_REACHABILITY_MONITOR_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/line_log.h"
#include "decide/back_end_selector.h"
#include "decide/service_reachability.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "serving/request_format.h"

namespace mimosa {

class ReachabilityMonitor {
 public:
  struct Options {
    // Time between two looks at the services in doubt.
    Duration check_interval = std::chrono::milliseconds(100);
    // A service without a contact for this long after a miss is probed.
    Duration doubt_after = std::chrono::milliseconds(200);
    // Time between the probes of a service, and from each to its failure.
    Duration probe_interval = std::chrono::milliseconds(400);
    Duration probe_timeout = std::chrono::milliseconds(300);
    // Back ends that are probed at once.
    size_t probes = 3;
    ServiceReachability::Options reachability;
  };
  // Called when a service becomes unreachable or is reached again.
  using Observer = std::function<void(const ServiceId& service)>;

  // `boundaries` may be null: no failure domain is ever evacuated.
  ReachabilityMonitor(EventLoop* loop, HttpClient* client,
                      const RequestFormat* format, const BackEndList* back_ends,
                      BackEndSelector* selector, LineLog* log,
                      const Options& options,
                      const TrafficBoundaries* boundaries = nullptr);
  ~ReachabilityMonitor();

  void SetServices(const std::vector<SiteService>& services);
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  // Signs of a back end, and calls that ended without any.
  void RecordContact(const BackEndEntry& back_end);
  void RecordMiss(const BackEndEntry& back_end);
  // A call to the back end has got no sign of it for a while. Its service is
  // probed, unless another of its back ends gives a sign.
  void RecordSilence(const BackEndEntry& back_end);

  bool IsUnreachable(const ServiceId& service) const;
  std::optional<Duration> TimeSinceContact(const ServiceId& service) const;
  size_t unreachable_count() const;

 private:
  struct Doubt {
    MonoTime last_probe{};
    bool unreachable = false;  // As of the last look.
    MonoTime since{};          // Of `unreachable`.
  };
  struct Probe {
    BackEndEntry back_end;
    std::unique_ptr<HttpCall> call;
  };

  void ScheduleCheck();
  void Check();
  void SendProbes(const ServiceId& service);
  void OnProbeResult(std::list<Probe>::iterator probe,
                     const HttpResult& result);
  // Logs and reports that the service has become unreachable or is reached.
  void SetUnreachable(const ServiceId& service, Doubt* doubt, bool unreachable);

  EventLoop* const loop_;
  HttpClient* const client_;
  const RequestFormat* const format_;
  BackEndSelector* const selector_;
  LineLog* const log_;
  const Options options_;
  ServiceReachability reachability_;
  std::map<ServiceId, SiteService> services_;
  // Of services with a recent miss or silence.
  std::map<ServiceId, Doubt> doubts_;
  std::list<Probe> probes_;
  TimerHandle check_timer_;
  bool check_scheduled_ = false;
  Observer observer_;
};

}  // namespace mimosa

#endif  // SERVING_REACHABILITY_MONITOR_H_
