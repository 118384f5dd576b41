// Joins this daemon to its fleet: implements Fleet.
//
// Composition: FleetRecords (what is known), TermKeeper (this incarnation's
// record, term and promises), MemberEnder (ends the dead) and SlotMover. When
// this incarnation was ended by others, the daemon joins anew as another
// member; what hung on the former one is dropped first.
//
// The peers' port must be listened on before Start(): a record with this
// daemon's address is taken as a former process that is gone.
#ifndef ROUTER_FLEET_DRIVER_H_
#define ROUTER_FLEET_DRIVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/kv_store.h"
#include "base/random.h"
#include "net/event_loop.h"
#include "router/fleet.h"
#include "router/fleet_options.h"
#include "router/fleet_records.h"
#include "router/member_ender.h"
#include "router/peer_bus.h"
#include "router/slot_keeper.h"
#include "router/slot_mover.h"
#include "router/term_keeper.h"

namespace mimosa {

class FleetDriver : public Fleet {
 public:
  using HeadObserver = std::function<void(const KvRecord&)>;
  using NewerObserver =
      std::function<void(const MemberId& peer, uint64_t version)>;

  FleetDriver(EventLoop* loop, KvStore* kv, PeerBus* bus, RandomSource* random,
              FleetOptions options);
  ~FleetDriver() override;

  // Before Start().
  void SetSlotKeeper(SlotKeeper* keeper) { keeper_ = keeper; }
  // The catalogue's head record, when this daemon is one that watches.
  void ObserveCatalogueHead(HeadObserver observer);
  // A peer said that it has a newer catalogue than the version set below; may
  // be said again and again until that is raised.
  void ObserveNewerCatalogue(NewerObserver observer);

  void Start();
  // Hands everything over and ends this member; `done` after a few seconds at
  // the latest, also with the platform down. It goes on as a witness of others
  // until it is destroyed.
  void LeaveGracefully(std::function<void()> done);

  // Loses all slots; the keeper is not called any more after this. For a keeper
  // that is destroyed before this driver.
  void DetachSlotKeeper() { slots_.reset(); }

  // The version in force here; a raise is told to a few peers at once.
  void SetCatalogueVersion(uint64_t version);

  const MemberId& self() const override { return self_; }
  uint64_t epoch() const override { return term_ ? term_->epoch() : 0; }
  // Of the own term; 0: it rests on a platform lease.
  int witnesses() const { return term_ ? term_->witnesses() : 0; }
  const std::vector<FleetMember>& members() const override { return members_; }
  const FleetMember* Find(const MemberId& id) const override;
  MonoTime TermDeadline() const override;
  int SlotOf(const CustomerId& customer) const override;
  std::optional<MemberId> SlotOwner(int slot) const override;
  bool OwnsSlot(int slot) const override;
  std::optional<MemberId> BookOwner(const BackEndId& engine) const override;
  Duration PlatformAge() const override { return records_.PlatformAge(); }
  Duration SilenceAge() const override { return records_.SilenceAge(); }
  void Observe(std::function<void()> observer) override;

 private:
  void Serve();
  void LoadRecords();
  void AskVmList();
  void BecomeMember(bool listed);
  void OnJoined();
  void OnEnded();
  void OnView();
  void Notify();
  void Tick();
  void WriteLeaving(int attempts);
  void FinishLeaving();

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  const FleetOptions options_;
  // Callbacks that can't be cancelled check this.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  MemberId self_;
  std::vector<FleetMember> members_;  // sorted by id
  std::vector<std::function<void()>> observers_;
  HeadObserver head_observer_;
  NewerObserver newer_observer_;
  SlotKeeper* keeper_ = nullptr;

  FleetRecords records_;
  std::unique_ptr<TermKeeper> term_;
  std::unique_ptr<MemberEnder> ender_;
  std::unique_ptr<SlotMover> slots_;  // once joined

  KvStore::CallPtr vm_list_;
  TimerHandle tick_;
  TimerHandle retry_;
  uint64_t ticks_ = 0;
  bool listed_ = false;
  bool leaving_ = false;
  std::function<void()> left_;
  TimerHandle leave_limit_;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_DRIVER_H_
