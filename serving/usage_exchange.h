// Exchanges usage between the daemons of the fleet: what each admits, has open
// and measures.
//
// Model: the responsive member with the highest rendezvous hash is the
// collector. Every daemon sends it its totals a few times a second while they
// change, and receives the sum over the other daemons in response: two
// datagrams per round and daemon, independent of the fleet's size. A daemon
// that gets no response from the collector for a while puts it in backoff and
// uses the next one. A new collector needs no history, since only differences
// of its sums are used.
#ifndef SERVING_USAGE_EXCHANGE_H_
#define SERVING_USAGE_EXCHANGE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/line_log.h"
#include "decide/back_end_selector.h"
#include "decide/replicated_rate_limiter.h"
#include "decide/stage_meter.h"
#include "decide/usage_totals.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "serving/member_list.h"

namespace mimosa {

class UsageExchange {
 public:
  struct Options {
    // Time between two reports while the totals change. A customer can exceed
    // its limit by what all daemons admit within it.
    Duration report_interval = std::chrono::milliseconds(200);
    // Minimum mean time between two reports that the collector receives. In a
    // large fleet each daemon therefore reports less often, and admits a
    // smaller share of the total between two reports.
    Duration report_spacing = std::chrono::milliseconds(2);
    // Open work that was reported longer ago is considered finished.
    Duration open_work_ttl = std::chrono::milliseconds(1600);
    // Time between two reports of an idle daemon.
    Duration idle_report_interval = std::chrono::milliseconds(800);
    // A collector that has not responded for this long is put in backoff.
    Duration collector_timeout = std::chrono::milliseconds(900);
    // Backoff of an unresponsive collector; it can be chosen again afterwards.
    Duration collector_backoff = std::chrono::seconds(5);
  };

  UsageExchange(EventLoop* loop, const MemberList* members,
                ReplicatedRateLimiter* rate_limiter, BackEndSelector* selector,
                const StageMeter* stage_meter, LineLog* log,
                const Options& options);

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket);
  void OnMemberGone(const std::string& name);
  void OnDatagram(const Endpoint& from, std::string_view data);

  const std::string& collector() const { return collector_; }
  // The open work of the fleet at the engines, and the cost of requests at the
  // services' stages since this daemon became the collector.
  struct FleetLoad {
    OpenWorkByBackEnd open_work;
    StageSumsByService stage_sums;
  };
  // Returns nullopt if another daemon is the collector.
  std::optional<FleetLoad> fleet_load() const;

 private:
  void ReportIfDue();
  // Time between two reports of this daemon at the fleet's current size.
  Duration ReportInterval() const;
  // Adds this daemon's own admitted cost and open work to the sums.
  void RecordOwnUsage();
  void ChooseCollector(MonoTime now);
  void SendReport();
  void HandleReport(const wire::UsageReport& report, const Endpoint& from);
  void HandleSummary(const wire::UsageSummary& summary);
  void ApplyPeerUsage(const std::string& collector, uint64_t boot,
                      uint64_t serial, const AdmittedByCustomer& sum);
  wire::UsageReport MakeReport();

  EventLoop* const loop_;
  const MemberList* const members_;
  ReplicatedRateLimiter* const rate_limiter_;
  BackEndSelector* const selector_;
  const StageMeter* const stage_meter_;
  LineLog* const log_;
  const Options options_;
  DatagramSocket* socket_ = nullptr;
  std::string collector_;  // Name of the collector; may be this daemon.
  // Time of the collector's last response, or when it was chosen.
  MonoTime collector_last_contact_{};
  std::map<std::string, MonoTime> backoff_until_;
  uint64_t serial_ = 0;
  AdmittedByCustomer last_reported_;  // Admitted cost in the last report.
  MonoTime last_report_time_{};
  UsageTotals usage_totals_;  // Of reports received as a collector.
  UsageDelta usage_delta_;
  OpenWorkSums open_work_;         // Of reports received as a collector.
  StageTotals peer_stage_totals_;  // Of reports received as a collector.
  TimerHandle report_timer_;
};

}  // namespace mimosa

#endif  // SERVING_USAGE_EXCHANGE_H_
