// Cancels at the engines the requests that evicted or ended members left there.
//
// The owner of an engine's ledger is responsible for the engine. It tells the
// engine to cancel all requests of a member (whose ids have the form
// "<member>/...") when
//  - the member was in the fleet and no longer is, or
//  - the engine's load reports list requests of a member that is not in the
//    fleet, in all reports for longer than a new member takes to become known.
//
// The cancel carries a fencing number: one more than the highest that the
// engine had received when this member became the owner. An engine that checks
// fencing refuses what a former owner sent before it was paused or
// disconnected, so such an engine is told at once. For other engines the
// canceller first waits until the member lease of any former owner, and that of
// the ended member, has expired. A cancel is retried until the engine answers.
#ifndef ROUTER_ORPHAN_CANCELLER_H_
#define ROUTER_ORPHAN_CANCELLER_H_

#include <map>
#include <memory>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "router/catalogue_view.h"
#include "router/fleet.h"
#include "router/ledger_server.h"

namespace mimosa {

class OrphanCanceller {
 public:
  // `lease_duration` is the longest time for which a member lease is valid
  // without renewal.
  OrphanCanceller(EventLoop* loop, Fleet* fleet, CatalogueView* catalogue,
                  HttpClient* client, LedgerServer* ledgers,
                  Duration lease_duration);

  // Number of cancels that engines have confirmed.
  uint64_t confirmed_cancels() const { return confirmed_cancels_; }

 private:
  using EngineMember = std::pair<BackEndId, MemberId>;
  struct PendingCancel {
    TimerHandle timer;
    std::unique_ptr<HttpCall> call;
  };

  void OnFleetChanged();
  void DropUnownedFences();
  uint64_t FenceOf(const BackEndId& engine) const;
  void OnLoadReport(const BackEndId& engine, const EngineLoadReport& report);
  void ScheduleCancel(const BackEndId& engine, const MemberId& member);
  void SendCancel(const EngineMember& target);
  void OnCancelReply(const EngineMember& target, const HttpResult& result);

  EventLoop* const loop_;
  Fleet* const fleet_;
  CatalogueView* const catalogue_;
  HttpClient* const client_;
  LedgerServer* const ledgers_;
  const Duration lease_duration_;
  // Fencing number of this member's cancels, for each engine that it owns.
  std::map<BackEndId, uint64_t> fences_;
  // Members of the fleet at the last change.
  std::set<MemberId> known_members_;
  // Members that an engine's reports list and that are not in the fleet, with
  // the time of the first such report.
  std::map<EngineMember, MonoTime> unknown_since_;
  std::map<EngineMember, PendingCancel> pending_cancels_;  // not confirmed yet
  uint64_t confirmed_cancels_ = 0;
};

}  // namespace mimosa

#endif  // ROUTER_ORPHAN_CANCELLER_H_
