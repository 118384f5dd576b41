// Exchanges usage between the daemons of the fleet: what each admits, has open
// and measures.
//
// Model: one member is the collector (decide/collector_choice.h). Every daemon
// sends it its totals a few times a second while they change, and receives the
// sum over the other daemons in response: two datagrams per round and daemon,
// independent of the fleet's size. A new collector needs no history, since only
// differences of its sums are used. The response also carries what the daemon
// may use without the collector, and to a daemon that has just started what the
// fleet has used.
#ifndef SERVING_USAGE_EXCHANGE_H_
#define SERVING_USAGE_EXCHANGE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/line_log.h"
#include "decide/back_end_selector.h"
#include "decide/collector_choice.h"
#include "decide/engine_speeds.h"
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
    // Time between two updates of a collector's own usage in its sums.
    Duration own_usage_refresh = std::chrono::milliseconds(50);
    // Time between two reports of an idle daemon.
    Duration idle_report_interval = std::chrono::milliseconds(800);
    // Time between two evaluations of the engines' speeds by the collector.
    Duration engine_speed_refresh = std::chrono::milliseconds(500);
    CollectorChoice::Options collector_choice;
  };

  UsageExchange(EventLoop* loop, const MemberList* members,
                ReplicatedRateLimiter* rate_limiter, BackEndSelector* selector,
                const StageMeter* stage_meter, LineLog* log,
                const Options& options);

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket);
  // The member list has changed.
  void OnMembersChanged();
  void OnMemberGone(const std::string& name);
  void OnDatagram(const Endpoint& from, const wire::UsageDatagram& datagram);

  const std::string& collector() const { return choice_.collector(); }
  // The open work of the fleet at the engines, and the cost of requests at the
  // services' stages since this daemon became the collector.
  struct FleetLoad {
    OpenWorkByBackEnd open_work;
    StageSumsByService stage_sums;
  };
  // Returns nullopt if another daemon is the collector.
  std::optional<FleetLoad> fleet_load() const;
  // Entries on engines' speeds that were dropped as implausible.
  uint64_t dropped_speeds() const { return dropped_speeds_; }

 private:
  void ReportIfDue();
  // Time between two reports of this daemon at the fleet's current size.
  Duration ReportInterval() const;
  // Adds this daemon's own admitted cost and open work to the sums.
  void RecordOwnUsage();
  void ChooseCollector(MonoTime now);
  // Updates what usage_totals_ knows of members and rates.
  void RefreshUsageTotals();
  void SendReport();
  void SendReportTo(const std::string& member);
  void Send(const Endpoint& to, const wire::UsageDatagram& datagram);
  void HandleReport(const wire::UsageReport& report, const Endpoint& from);
  void HandleSummary(const wire::UsageSummary& summary);
  // Adds times to the estimates of a collector.
  void RecordEngineTimes(const std::string& daemon, uint64_t boot,
                         uint64_t serial, const EngineSpeedSumsByBackEnd& sums);
  // Moves the collector's estimates to the selector and logs changes.
  void UpdateEngineSpeeds();
  void ApplyEngineSpeeds(const wire::UsageSummary& summary);
  void ApplyPeerUsage(const std::string& collector, uint64_t boot,
                      uint64_t serial, const AdmittedByCustomer& sum,
                      bool starts_from_window);
  std::vector<CollectorChoice::Member> OtherMembers() const;
  wire::UsageReport MakeReport();

  EventLoop* const loop_;
  const MemberList* const members_;
  ReplicatedRateLimiter* const rate_limiter_;
  BackEndSelector* const selector_;
  const StageMeter* const stage_meter_;
  LineLog* const log_;
  const Options options_;
  DatagramSocket* socket_ = nullptr;
  CollectorChoice choice_;
  bool collector_wants_used_in_window_ = false;
  bool knows_members_ = false;   // Has seen another member's record.
  bool members_changed_ = true;  // Since RefreshUsageTotals().
  uint64_t serial_ = 0;
  AdmittedByCustomer last_reported_;  // Admitted cost in the last report.
  MonoTime last_report_time_{};
  UsageTotals usage_totals_;        // Of reports received as a collector.
  AdmittedByCustomer known_rates_;  // The rates that usage_totals_ has.
  UsageDelta usage_delta_;
  MonoTime own_usage_recorded_at_{};
  OpenWorkSums open_work_;                // Of reports received as a collector.
  StageTotals peer_stage_totals_;         // Of reports received as a collector.
  EngineSpeedEstimates speed_estimates_;  // Of reports received as a collector.
  MonoTime speeds_updated_at_{};
  uint64_t dropped_speeds_ = 0;
  TimerHandle report_timer_;
};

}  // namespace mimosa

#endif  // SERVING_USAGE_EXCHANGE_H_
