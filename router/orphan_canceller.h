// Takes back at the engines what members that have ended left there.
//
// Model: the owner of an engine's book is the one that sweeps it. It orders the
// engine to cancel everything of a member ("<member>/..." is the id of each of
// its requests) when
//  - the member was in the fleet and is no more, or
//  - the engine's load report lists requests of a member that is not in the
//    fleet, in all reports for longer than a member can take to become known.
// The order carries a fencing number: one more than the highest that the engine
// had seen when this member became the owner. So an engine that checks it
// refuses what a former owner sent before it was paused or cut off, and is
// swept at once; for one that doesn't, the sweeper first waits until any former
// owner's term, and the ended member's own, is over. An order is repeated until
// the engine answers.
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
  // `grant` is the longest time that a term holds without renewal.
  OrphanCanceller(EventLoop* loop, Fleet* fleet, CatalogueView* catalogue,
                  HttpClient* client, LedgerServer* books, Duration grant);

  // Orders that an engine has confirmed.
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
  void SendCancel(const EngineMember& key);
  void OnCancelReply(const EngineMember& key, const HttpResult& result);

  EventLoop* const loop_;
  Fleet* const fleet_;
  CatalogueView* const catalogue_;
  HttpClient* const client_;
  LedgerServer* const ledgers_;
  const Duration lease_duration_;
  // The number of this member's orders, of each engine that it owns.
  std::map<BackEndId, uint64_t> fences_;
  std::set<MemberId> known_members_;  // of the fleet, at the last change
  // Members that are in an engine's reports and not in the fleet; since when.
  std::map<EngineMember, MonoTime> unknown_since_;
  std::map<EngineMember, PendingCancel> pending_cancels_;  // not confirmed yet
  uint64_t confirmed_cancels_ = 0;
};

}  // namespace mimosa

#endif  // ROUTER_ORPHAN_CANCELLER_H_
