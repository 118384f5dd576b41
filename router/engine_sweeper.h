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
#ifndef ROUTER_ENGINE_SWEEPER_H_
#define ROUTER_ENGINE_SWEEPER_H_

#include <map>
#include <memory>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "router/book_server.h"
#include "router/catalogue_view.h"
#include "router/fleet.h"

namespace mimosa {

class EngineSweeper {
 public:
  // `grant` is the longest time that a term holds without renewal.
  EngineSweeper(EventLoop* loop, Fleet* fleet, CatalogueView* catalogue,
                HttpClient* client, BookServer* books, Duration grant);

  // Orders that an engine has confirmed.
  uint64_t swept() const { return swept_; }

 private:
  using Key = std::pair<BackEndId, MemberId>;
  struct Order {
    TimerHandle timer;
    std::unique_ptr<HttpCall> call;
  };

  void OnFleetChanged();
  void ForgetLostEngines();
  uint64_t FenceOf(const BackEndId& engine) const;
  void OnLoad(const BackEndId& engine, const EngineLoadReport& report);
  void Sweep(const BackEndId& engine, const MemberId& member);
  void Send(const Key& key);
  void OnAnswer(const Key& key, const HttpResult& result);

  EventLoop* const loop_;
  Fleet* const fleet_;
  CatalogueView* const catalogue_;
  HttpClient* const client_;
  BookServer* const books_;
  const Duration grant_;
  // The number of this member's orders, of each engine that it owns.
  std::map<BackEndId, uint64_t> fences_;
  std::set<MemberId> members_;  // of the fleet, at the last change
  // Members that are in an engine's reports and not in the fleet; since when.
  std::map<Key, MonoTime> unknown_;
  std::map<Key, Order> orders_;  // not confirmed yet
  uint64_t swept_ = 0;
};

}  // namespace mimosa

#endif  // ROUTER_ENGINE_SWEEPER_H_
