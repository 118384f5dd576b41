// Joins this daemon to its fleet: implements Fleet.
//
// Composition: FleetRecords (what is known), TermKeeper (this incarnation's
// record, term and promises), MemberEnder (ends the dead) and SlotMover. When
// this incarnation was ended by others, the daemon joins anew as another
// member; what hung on the former one is dropped first.
//
// The peers' port must be listened on before Start(): a record with this
// daemon's address is taken as a former process that is gone.
#ifndef ROUTER_FLEET_MANAGER_H_
#define ROUTER_FLEET_MANAGER_H_

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
#include "router/member_evictor.h"
#include "router/membership_session.h"
#include "router/peer_bus.h"
#include "router/slot_mover.h"
#include "router/slot_state_handler.h"

namespace mimosa {

class FleetManager : public Fleet {
 public:
  using CatalogueHeadObserver = std::function<void(const KvRecord&)>;
  using NewerCatalogueObserver =
      std::function<void(const MemberId& peer, uint64_t version)>;

  FleetManager(EventLoop* loop, KvStore* kv, PeerBus* bus, RandomSource* random,
               FleetOptions options);
  ~FleetManager() override;

  // Before Start().
  void SetSlotStateHandler(SlotStateHandler* keeper) { slot_handler_ = keeper; }
  // The catalogue's head record, when this daemon is one that watches.
  void SetCatalogueHeadObserver(CatalogueHeadObserver observer);
  // A peer said that it has a newer catalogue than the version set below; may
  // be said again and again until that is raised.
  void SetNewerCatalogueObserver(NewerCatalogueObserver observer);

  void Start();
  // Hands everything over and ends this member; `done` after a few seconds at
  // the latest, also with the platform down. It goes on as a witness of others
  // until it is destroyed.
  void LeaveGracefully(std::function<void()> done);

  // Loses all slots; the keeper is not called any more after this. For a keeper
  // that is destroyed before this driver.
  void DetachSlotStateHandler() { slot_mover_.reset(); }

  // The version in force here; a raise is told to a few peers at once.
  void SetCatalogueVersion(uint64_t version);

  const MemberId& self() const override { return self_; }
  uint64_t epoch() const override { return session_ ? session_->epoch() : 0; }
  // Of the own term; 0: it rests on a platform lease.
  int witness_count() const { return session_ ? session_->witness_count() : 0; }
  const std::vector<FleetMember>& members() const override { return members_; }
  const FleetMember* FindMember(const MemberId& id) const override;
  MonoTime LeaseDeadline() const override;
  int SlotOf(const CustomerId& customer) const override;
  std::optional<MemberId> SlotOwner(int slot) const override;
  bool OwnsSlot(int slot) const override;
  std::optional<MemberId> LedgerOwner(const BackEndId& engine) const override;
  Duration TimeSincePlatformContact() const override {
    return records_.TimeSincePlatformContact();
  }
  Duration TimeSinceAnyContact() const override {
    return records_.TimeSinceAnyContact();
  }
  void AddObserver(std::function<void()> observer) override;

 private:
  void RegisterMethods();
  void LoadRecords();
  void CheckVmList();
  void StartMembership(bool listed);
  void OnJoined();
  void OnMembershipEnded();
  void OnViewChanged();
  void NotifyObservers();
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
  CatalogueHeadObserver catalogue_head_observer_;
  NewerCatalogueObserver newer_catalogue_observer_;
  SlotStateHandler* slot_handler_ = nullptr;

  FleetRecords records_;
  std::unique_ptr<MembershipSession> session_;
  std::unique_ptr<MemberEvictor> evictor_;
  std::unique_ptr<SlotMover> slot_mover_;  // once joined

  KvStore::CallPtr vm_list_call_;
  TimerHandle tick_timer_;
  TimerHandle retry_timer_;
  uint64_t tick_count_ = 0;
  bool in_vm_list_ = false;
  bool leaving_ = false;
  std::function<void()> on_left_;
  TimerHandle leave_timer_;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_MANAGER_H_
