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
#include "decide/allotments.h"
#include "decide/back_end_choice.h"
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
    Duration busy_pause = std::chrono::milliseconds(200);
    // The collector takes a report in so much time at most, on the mean: in a
    // large fleet each daemon reports less often, and admits less of the whole
    // between two reports.
    Duration report_spacing = std::chrono::milliseconds(2);
    // Open work that was reported longer ago counts as ended.
    Duration open_life = std::chrono::milliseconds(1600);
    // Between two reports of an idle daemon.
    Duration idle_pause = std::chrono::milliseconds(800);
    // A collector that has not answered for so long is passed over ...
    Duration silence = std::chrono::milliseconds(900);
    // ... and asked again after this.
    Duration penalty = std::chrono::seconds(5);
  };

  UsageExchange(EventLoop* loop, const MemberList* members,
                Allotments* allotments, BackEndChoice* choice,
                const StageMeter* meter, LineLog* log, const Options& options);

  // `socket` must outlive the exchange.
  void Start(DatagramSocket* socket);
  void OnMemberGone(const std::string& name);
  void OnDatagram(const Endpoint& from, std::string_view data);

  const std::string& collector() const { return collector_; }
  // What the fleet has open at the engines, and what requests cost at the
  // services' stages since this daemon began to collect.
  struct FleetWork {
    OpenWorkByBackEnd open;
    StageSumsByService stages;
  };
  // Nothing where another daemon adds it up.
  std::optional<FleetWork> fleet_work() const;

 private:
  void Tick();
  // Between two reports of this daemon, in a fleet of this size.
  Duration Pause() const;
  // What this daemon admitted and has open belongs to the sums, too.
  void TakeOwn();
  void ChooseCollector(MonoTime now);
  void SendReport();
  void TakeReport(const wire::UsageReport& report, const Endpoint& from);
  void TakeSummary(const wire::UsageSummary& summary);
  void TakeOthers(const std::string& collector, uint64_t boot, uint64_t serial,
                  const AdmittedByCustomer& sum);
  wire::UsageReport OwnReport();

  EventLoop* const loop_;
  const MemberList* const members_;
  Allotments* const allotments_;
  BackEndChoice* const choice_;
  const StageMeter* const meter_;
  LineLog* const log_;
  const Options options_;
  DatagramSocket* socket_ = nullptr;
  std::string collector_;       // name; may be this daemon's own
  MonoTime collector_heard_{};  // or first asked
  std::map<std::string, MonoTime> passed_over_until_;
  uint64_t serial_ = 0;
  AdmittedByCustomer reported_;  // what the last report said
  MonoTime reported_at_{};
  UsageTotals totals_;  // while this daemon is somebody's collector
  UsageDifference difference_;
  OpenWorkSums open_;          // the same
  StageTotals others_stages_;  // the same
  TimerHandle timer_;
};

}  // namespace mimosa

#endif  // SERVING_USAGE_EXCHANGE_H_
