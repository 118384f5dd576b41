// Moves slots: from members that are over, to members that have few, and away
// from this member when it leaves.
//
// A hand-over between living members has three steps: this member stops using
// the slots and sends their state to the next owners; it changes the slot
// table by compare-and-swap; the next owner finds its name there and starts
// from that state. If the write did not come about the slots are used as
// before; while that is in doubt they rest.
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
            FleetRecords* records, SlotStateHandler* keeper, MemberId self,
            const FleetOptions& options);

  // This incarnation is over: nothing is owned any more.
  void DropAllSlots();

  // After the view changed.
  void OnViewChanged();
  // Several times a grant.
  void Tick();
  // Takes the slots of the dead now, whoever's turn it is.
  void RepairSlotTable();

  // Owned by this member and not being moved.
  bool Owns(int slot) const {
    return owned_.count(slot) > 0 && suspended_.count(slot) == 0;
  }
  // Hands everything over; `done` once nothing more can be done.
  void HandOverAll(std::function<void()> done);

 private:
  struct HandOverCall {
    std::unique_ptr<PeerCall> call;
    wire::HandOverReply reply;
  };
  struct HandOverTarget {
    MemberId to;
    std::vector<int> slots;
    std::string hand_over_id;  // of the hand-over
    std::unique_ptr<HandOverCall> hand_over_call;
  };
  struct Move {
    std::vector<HandOverTarget> targets;
    size_t pending_replies = 0;
    wire::SlotTable table;  // being written
    Revision expected_revision;
    bool in_doubt = false;
    bool write_pending = false;
    MonoTime retry_at = kNever;
    int attempts = 0;
    bool all_slots = false;  // everything that is owned
  };

  bool HasOrphanedSlots() const;
  MonoTime RepairTime() const;
  void Rebalance();
  void StartMove(const std::map<int, MemberId>& moves, bool all);
  void OnHandOverReply(size_t target, bool taken);
  void PrepareTableWrite();
  void SendTableWrite();
  void OnTableWritten(const KvResult& result);
  void FinishMove();
  void SetSuspended(const std::vector<int>& slots, bool rest);

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  FleetRecords* const records_;
  SlotStateHandler* const slot_handler_;
  const MemberId self_;
  const FleetOptions options_;

  std::map<int, std::string> owned_;  // slot to the `start` it was gained with
  std::set<int> suspended_;           // subset of owned_: being moved
  MonoTime orphaned_since_ = kNever;
  KvStore::CallPtr repair_call_;
  MonoTime repair_retry_at_ = MonoTime::min();
  MonoTime rebalance_at_ = MonoTime::min();
  std::optional<Move> move_;  // one at a time
  KvStore::CallPtr table_write_call_;
  bool leaving_ = false;
  std::function<void()> on_all_handed_over_;
};

}  // namespace mimosa

#endif  // ROUTER_SLOT_MOVER_H_
