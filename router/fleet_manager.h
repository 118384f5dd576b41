// Implements Fleet: joins this daemon to its fleet.
//
// It is composed of FleetRecords (the replicated records), MembershipSession
// (this incarnation's record, its lease and its promises as a witness),
// MemberEvictor (evicts dead members) and SlotMover. When others have evicted
// this incarnation, the daemon joins again as a new member, after it has
// dropped all state of the former one.
//
// The daemon must listen on its peer port before Start(): any other member
// record with this daemon's address is taken to belong to a former process that
// no longer runs.
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

  // To be called before Start().
  void SetSlotStateHandler(SlotStateHandler* handler) {
    slot_handler_ = handler;
  }
  // Sets the observer of the catalogue's head record. It runs only while this
  // daemon watches the platform.
  void SetCatalogueHeadObserver(CatalogueHeadObserver observer);
  // Sets the observer that runs when a peer has a newer catalogue than the
  // version passed to SetCatalogueVersion(). It may run repeatedly until that
  // version is raised.
  void SetNewerCatalogueObserver(NewerCatalogueObserver observer);

  void Start();
  // Hands over all slots and ends this member. `done` runs after a few seconds
  // at the latest, even if the platform is down. This object continues as a
  // witness of other members until it is destroyed.
  void LeaveGracefully(std::function<void()> done);

  // Drops all slots and makes no further call of the slot state handler. To be
  // called if the handler is destroyed before this object.
  void DetachSlotStateHandler() { slot_mover_.reset(); }

  // Sets the catalogue version in force here. A raise is announced to a few
  // random peers at once.
  void SetCatalogueVersion(uint64_t version);

  const MemberId& self() const override { return self_; }
  uint64_t epoch() const override { return session_ ? session_->epoch() : 0; }
  // Number of witnesses of this member's lease; 0 if a platform lease backs it.
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
  void StartMembership(bool in_vm_list);
  void OnJoined();
  void OnMembershipEnded();
  void OnViewChanged();
  void NotifyObservers();
  void Tick();
  void WriteLeaving(int attempts_left);
  void FinishLeaving();

  EventLoop* const loop_;
  KvStore* const kv_;
  PeerBus* const bus_;
  RandomSource* const random_;
  const FleetOptions options_;
  // False once this object is destroyed. Callbacks that can't be cancelled hold
  // and check it.
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
  // Null until this member has joined.
  std::unique_ptr<SlotMover> slot_mover_;

  KvStore::CallPtr vm_list_call_;
  TimerHandle tick_timer_;
  TimerHandle retry_timer_;
  uint64_t tick_count_ = 0;
  // Whether the platform's list of VMs showed this VM at the start.
  bool in_vm_list_ = false;
  bool leaving_ = false;
  // The `done` callback of LeaveGracefully(), until it has run.
  std::function<void()> on_left_;
  // Limits the duration of LeaveGracefully().
  TimerHandle leave_timer_;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_MANAGER_H_
