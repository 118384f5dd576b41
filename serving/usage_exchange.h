// Tells the fleet what this daemon admits and learns what the others do.
//
// Model: one member, first in rendezvous order among those that are heard from,
// is the collector. Every daemon sends it its totals a few times a second while
// there is something new, and gets the sum of the others in answer: two
// datagrams a round and daemon, whatever the fleet's size. A collector that
// doesn't answer for a while is passed over by who notices; a new one needs no
// knowledge of the past, since only differences of its sums are used.
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
    // Between two reports while there is something new. A customer can
    // overdraw by what all daemons admit in it.
    Duration report_interval = std::chrono::milliseconds(200);
    // The collector takes a report in so much time at most, on the mean: in a
    // large fleet each daemon reports less often, and admits less of the whole
    // between two reports.
    Duration report_spacing = std::chrono::milliseconds(2);
    // Open work that was reported longer ago counts as ended.
    Duration open_work_ttl = std::chrono::milliseconds(1600);
    // Between two reports of an idle daemon.
    Duration idle_report_interval = std::chrono::milliseconds(800);
    // A collector that has not answered for so long is passed over ...
    Duration collector_timeout = std::chrono::milliseconds(900);
    // ... and asked again after this.
    Duration collector_backoff = std::chrono::seconds(5);
  };

  UsageExchange(EventLoop* loop, const MemberList* members,
                ReplicatedRateLimiter* allotments, BackEndSelector* choice,
                const StageMeter* meter, LineLog* log, const Options& options);

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket);
  void OnMemberGone(const std::string& name);
  void OnDatagram(const Endpoint& from, std::string_view data);

  const std::string& collector() const { return collector_; }
  // What the fleet has open at the engines, and what requests cost at the
  // services' stages since this daemon began to collect.
  struct FleetLoad {
    OpenWorkByBackEnd open_work;
    StageSumsByService stage_sums;
  };
  // Nothing where another daemon adds it up.
  std::optional<FleetLoad> fleet_load() const;

 private:
  void Tick();
  // Between two reports of this daemon, in a fleet of this size.
  Duration ReportInterval() const;
  // What this daemon admitted and has open belongs to the sums, too.
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
  const StageMeter* const meter_;
  LineLog* const log_;
  const Options options_;
  DatagramSocket* socket_ = nullptr;
  std::string collector_;            // name; may be this daemon's own
  MonoTime collector_last_heard_{};  // or first asked
  std::map<std::string, MonoTime> backoff_until_;
  uint64_t serial_ = 0;
  AdmittedByCustomer last_reported_;  // what the last report said
  MonoTime last_report_time_{};
  UsageTotals usage_totals_;  // while this daemon is somebody's collector
  UsageDelta usage_delta_;
  OpenWorkSums open_work_;         // the same
  StageTotals peer_stage_totals_;  // the same
  TimerHandle report_timer_;
};

}  // namespace mimosa

#endif  // SERVING_USAGE_EXCHANGE_H_
