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
#include "router/slot_keeper.h"

namespace mimosa {

class SlotMover {
 public:
  SlotMover(EventLoop* loop, KvStore* kv, PeerBus* bus, RandomSource* random,
            FleetRecords* records, SlotKeeper* keeper, MemberId self,
            const FleetOptions& options);

  // This incarnation is over: nothing is owned any more.
  void LoseAll();

  // After the view changed.
  void OnView();
  // Several times a grant.
  void Tick();
  // Takes the slots of the dead now, whoever's turn it is.
  void RepairNow();

  // Owned by this member and not being moved.
  bool Owns(int slot) const {
    return owned_.count(slot) > 0 && resting_.count(slot) == 0;
  }
  // Hands everything over; `done` once nothing more can be done.
  void GiveAll(std::function<void()> done);

 private:
  struct Sending {
    std::unique_ptr<PeerCall> call;
    wire::HandOverReply reply;
  };
  struct Target {
    MemberId to;
    std::vector<int> slots;
    std::string id;  // of the hand-over
    std::unique_ptr<Sending> sending;
  };
  struct Move {
    std::vector<Target> targets;
    size_t unanswered = 0;
    wire::SlotTable table;  // being written
    Revision expect;
    bool in_doubt = false;
    bool sending = false;
    MonoTime retry_at = kNever;
    int attempts = 0;
    bool all = false;  // everything that is owned
  };

  bool Orphaned() const;
  MonoTime RepairTurn() const;
  void EvenOut();
  void StartMove(const std::map<int, MemberId>& moves, bool all);
  void OnHandedOver(size_t target, bool taken);
  void WriteMove();
  void SendMove();
  void OnMoveWritten(const KvResult& result);
  void EndMove();
  void Rest(const std::vector<int>& slots, bool rest);

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  FleetRecords* const records_;
  SlotKeeper* const keeper_;
  const MemberId self_;
  const FleetOptions options_;

  std::map<int, std::string> owned_;  // slot to the `start` it was gained with
  std::set<int> resting_;             // subset of owned_: being moved
  MonoTime orphaned_since_ = kNever;
  KvStore::CallPtr repair_call_;
  MonoTime repair_retry_at_ = MonoTime::min();
  MonoTime even_out_at_ = MonoTime::min();
  std::optional<Move> move_;  // one at a time
  KvStore::CallPtr move_call_;
  bool leaving_ = false;
  std::function<void()> gave_all_;
};

}  // namespace mimosa

#endif  // ROUTER_SLOT_MOVER_H_
