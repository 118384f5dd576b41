// Moves slots away from members that have ended, to members that own few slots,
// and away from this member when it leaves.
//
// A hand-over between live members has three steps. This member stops using the
// slots and sends their state to the next owners; it changes the slot table by
// compare-and-swap; each next owner finds its id in the table and starts from
// the received state. If the write did not take effect, this member uses the
// slots as before; while the outcome is in doubt, they stay suspended.
#ifndef ROUTER_SLOT_MOVER_H_
#define ROUTER_SLOT_MOVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/kv_store.h"
#include "base/random.h"
#include "decide/slots.h"
#include "net/event_loop.h"
#include "router/fleet_options.h"
#include "router/fleet_records.h"
#include "router/peer_bus.h"
#include "router/slot_state_handler.h"

namespace mimosa {

class SlotMover {
 public:
  SlotMover(EventLoop* loop, KvStore* kv, PeerBus* bus, RandomSource* random,
            FleetRecords* records, SlotStateHandler* slot_handler,
            MemberId self, const FleetOptions& options);

  // Drops all owned slots, because this incarnation has ended.
  void DropAllSlots();

  // To be called after the view of the fleet's records changed.
  void OnViewChanged();
  // To be called several times per lease duration.
  void Tick();
  // Reassigns the slots of ended members now, without waiting until it is this
  // member's turn.
  void RepairSlotTable();

  // Returns true if this member owns `slot` and is not moving it.
  bool Owns(int slot) const {
    return owned_slots_.count(slot) > 0 && suspended_slots_.count(slot) == 0;
  }
  // Hands over all owned slots. `done` runs once nothing more can be done.
  void HandOverAll(std::function<void()> done);

 private:
  struct HandOverCall {
    std::unique_ptr<PeerCall> call;
    wire::HandOverReply reply;
  };
  // A next owner and the slots handed over to it.
  struct HandOverTarget {
    MemberId to;
    std::vector<int> slots;
    std::string hand_over_id;
    std::unique_ptr<HandOverCall> hand_over_call;
  };
  struct Move {
    std::vector<HandOverTarget> targets;
    size_t pending_replies = 0;  // targets that have not replied
    wire::SlotTable table;       // the table to write
    Revision expected_revision;
    bool in_doubt = false;  // an attempt to write got no reply
    bool write_pending = false;
    MonoTime retry_at = kNever;
    int attempts = 0;
    bool all_slots = false;  // moves all owned slots
  };

  bool HasOrphanedSlots() const;
  MonoTime RepairTime() const;
  void Rebalance();
  void StartMove(const std::map<int, MemberId>& moves, bool all_slots);
  void OnHandOverReply(size_t target, bool taken);
  void PrepareTableWrite();
  void SendTableWrite();
  void OnTableWritten(const KvResult& result);
  void FinishMove();
  void SetSuspended(const std::vector<int>& slots, bool suspend);

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  FleetRecords* const records_;
  SlotStateHandler* const slot_handler_;
  const MemberId self_;
  const FleetOptions options_;

  // Owned slots, with the initial state that the slot table named for each when
  // this member acquired it.
  std::map<int, std::string> owned_slots_;
  // Slots that are being moved; a subset of the keys of `owned_`.
  std::set<int> suspended_slots_;
  // Since when some slots have no live owner; kNever if all have one.
  MonoTime orphaned_since_ = kNever;
  KvStore::CallPtr repair_call_;
  MonoTime repair_retry_at_ = MonoTime::min();
  // When Rebalance() may start a move; MonoTime::min() if none is scheduled.
  MonoTime rebalance_at_ = MonoTime::min();
  // The only move in progress, if any.
  std::optional<Move> move_;
  KvStore::CallPtr table_write_call_;
  bool leaving_ = false;
  // The `done` callback of HandOverAll(), until it has run.
  std::function<void()> on_all_handed_over_;
};

}  // namespace mimosa

#endif  // ROUTER_SLOT_MOVER_H_
