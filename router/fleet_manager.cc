// Joining and leaving the fleet, and queries of the rest of the daemon.
#include "router/fleet_manager.h"

#include <algorithm>
#include <utility>

#include "decide/slots.h"
#include "router/leaving_vm_tracker.h"

namespace mimosa {
namespace {

constexpr Duration kLoadRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kLeaveRetryDelay = std::chrono::milliseconds(100);
constexpr int kLeaveAttempts = 5;
constexpr Duration kLeaveTimeout = std::chrono::seconds(5);
// Tick() runs this many times per lease duration.
constexpr int kTicksPerLease = 12;
// The lease is renewed on every fourth tick.
constexpr uint64_t kTicksPerGrantRound = 4;

// Handler used when no slot state handler has been set.
class NullSlotStateHandler : public SlotStateHandler {
 public:
  void OnSlotAcquired(int, const std::string&) override {}
  void OnSlotLost(int) override {}
  wire::HandOver ExportSlots(const std::string& id,
                             const std::vector<int>&) override {
    wire::HandOver hand_over;
    hand_over.set_id(id);
    return hand_over;
  }
  void ImportSlots(const wire::HandOver&) override {}
  void ResumeSlot(int) override {}
};

SlotStateHandler* GetNullSlotStateHandler() {
  static NullSlotStateHandler* const handler = new NullSlotStateHandler;
  return handler;
}

}  // namespace

FleetManager::FleetManager(EventLoop* loop, KvStore* kv, PeerBus* bus,
                           RandomSource* random, FleetOptions options)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      options_(std::move(options)),
      self_(options_.name + "#" + NewUniqueId(random_)),
      slot_handler_(GetNullSlotStateHandler()),
      records_(loop, kv, bus, random, options_,
               {[this] { OnViewChanged(); },
                [this](const KvRecord& head) {
                  if (catalogue_head_observer_) catalogue_head_observer_(head);
                },
                [this](const MemberId& peer, uint64_t version) {
                  if (newer_catalogue_observer_)
                    newer_catalogue_observer_(peer, version);
                }}) {
  RegisterMethods();
}

FleetManager::~FleetManager() { *alive_ = false; }

void FleetManager::SetCatalogueHeadObserver(CatalogueHeadObserver observer) {
  catalogue_head_observer_ = std::move(observer);
}

void FleetManager::SetNewerCatalogueObserver(NewerCatalogueObserver observer) {
  newer_catalogue_observer_ = std::move(observer);
}

void FleetManager::AddObserver(std::function<void()> observer) {
  observers_.push_back(std::move(observer));
}

void FleetManager::SetCatalogueVersion(uint64_t version) {
  records_.SetCatalogueVersion(version);
}

// The method handlers hold `alive_` because the bus may outlive this object.
void FleetManager::RegisterMethods() {
  bus_->RegisterMethod(
      "fleet.grant", wire::GrantRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive || !session_) return;
        const auto& request = static_cast<const wire::GrantRequest&>(params);
        records_.OnPeerVersions(MemberId(request.member()), request.versions(),
                                kNever);
        reply->Reply(session_->HandleGrantRequest(request));
      });
  bus_->RegisterMethod(
      "fleet.end", wire::EndRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive || !session_) return;
        reply->Reply(session_->HandleEndRequest(
            static_cast<const wire::EndRequest&>(params)));
      });
  bus_->RegisterMethod(
      "fleet.state", wire::StateRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive) return;
        reply->Reply(records_.HandleStateRequest(
            static_cast<const wire::StateRequest&>(params)));
      });
  bus_->RegisterMethod(
      "fleet.poke", wire::PokeRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive) return;
        reply->Reply(
            records_.HandlePoke(static_cast<const wire::PokeRequest&>(params)));
      });
  bus_->RegisterMethod(
      "fleet.hand_over", wire::HandOver::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive) return;
        wire::HandOverReply result;
        if (slot_mover_ && !leaving_) {
          slot_handler_->ImportSlots(
              static_cast<const wire::HandOver&>(params));
          result.set_taken(true);
        }
        reply->Reply(result);
      });
}

// --- Joining -----------------------------------------------------------------

void FleetManager::Start() { LoadRecords(); }

void FleetManager::LoadRecords() {
  records_.Load([this](bool ok) {
    if (ok) {
      CheckVmList();
    } else {
      retry_timer_ = loop_->After(kLoadRetryDelay, [this] { LoadRecords(); });
    }
  });
}

// Only if the platform's list shows this VM now does its absence from a later
// list prove that the VM is gone.
void FleetManager::CheckVmList() {
  vm_list_call_ = kv_->List(kVmKeyPrefix, [this](const KvListResult& result) {
    const KvStore::CallPtr call = std::move(vm_list_call_);
    in_vm_list_ = result.status == KvStatus::kOk &&
                  ContainsVm(result, options_.peer_address.ip);
    StartMembership(in_vm_list_);
    Tick();
  });
}

void FleetManager::StartMembership(bool in_vm_list) {
  const std::string incarnation =
      self_.value().substr(self_.value().rfind('#') + 1);
  records_.SetSelf(self_);
  MembershipSession::Observers observers;
  observers.joined = [this] { OnJoined(); };
  observers.ended = [this] { OnMembershipEnded(); };
  observers.lease_acquired = [this] { NotifyObservers(); };
  session_ = std::make_unique<MembershipSession>(
      loop_, kv_, bus_, random_, &records_, options_, incarnation, in_vm_list,
      std::move(observers));
  evictor_ = std::make_unique<MemberEvictor>(loop_, kv_, bus_, random_,
                                             &records_, session_.get(),
                                             options_, [this](const MemberId&) {
                                               if (slot_mover_ && !leaving_)
                                                 slot_mover_->RepairSlotTable();
                                             });
}

void FleetManager::OnJoined() {
  slot_mover_ = std::make_unique<SlotMover>(
      loop_, kv_, bus_, random_, &records_, slot_handler_, self_, options_);
  OnViewChanged();
}

void FleetManager::OnMembershipEnded() {
  if (leaving_) return;
  // Posted to the event loop because the components that are replaced are still
  // on the call stack.
  loop_->Post([this, alive = alive_] {
    if (!*alive || leaving_) return;
    if (slot_mover_) slot_mover_->DropAllSlots();
    slot_mover_.reset();
    evictor_.reset();
    session_.reset();
    self_ = MemberId(options_.name + "#" + NewUniqueId(random_));
    StartMembership(in_vm_list_);
    session_->Tick();
    OnViewChanged();
  });
}

void FleetManager::Tick() {
  Duration period = options_.lease_duration / kTicksPerLease;
  period -= Duration(
      random_->UniformInt(static_cast<uint64_t>(period.count()) / 10 + 1));
  tick_timer_ = loop_->After(period, [this] { Tick(); });
  records_.Tick();
  if (tick_count_++ % kTicksPerGrantRound == 0) session_->Tick();
  if (leaving_ || !session_->joined()) return;
  evictor_->Tick();
  if (slot_mover_) slot_mover_->Tick();
}

void FleetManager::OnViewChanged() {
  members_.clear();
  for (const auto& [id, entry] : records_.view().members()) {
    const wire::MemberRecord& record = entry.record;
    FleetMember member;
    if (record.ended() ||
        !Endpoint::Parse(record.peer_address(), &member.peer_address)) {
      continue;
    }
    member.id = id;
    member.failure_domain = FailureDomain(record.failure_domain());
    member.region = record.region();
    member.leaving = record.leaving();
    members_.push_back(std::move(member));
  }
  if (slot_mover_) slot_mover_->OnViewChanged();
  NotifyObservers();
}

void FleetManager::NotifyObservers() {
  for (const auto& observer : observers_) observer();
}

// --- Leaving -----------------------------------------------------------------

void FleetManager::LeaveGracefully(std::function<void()> done) {
  leaving_ = true;
  on_left_ = std::move(done);
  retry_timer_.Cancel();
  leave_timer_ = loop_->After(kLeaveTimeout, [this] { FinishLeaving(); });
  if (!session_ || !slot_mover_) {
    loop_->Post([this, alive = alive_] {
      if (*alive) FinishLeaving();
    });
    return;
  }
  WriteLeaving(kLeaveAttempts);
}

void FleetManager::WriteLeaving(int attempts_left) {
  session_->WriteLeaving([this, attempts_left](bool ok) {
    if (!ok && attempts_left > 1) {
      retry_timer_ = loop_->After(kLeaveRetryDelay, [this, attempts_left] {
        WriteLeaving(attempts_left - 1);
      });
      return;
    }
    slot_mover_->HandOverAll(
        [this] { session_->WriteEnded([this](bool) { FinishLeaving(); }); });
  });
}

void FleetManager::FinishLeaving() {
  leave_timer_.Cancel();
  if (on_left_) std::exchange(on_left_, nullptr)();
}

// --- Queries -----------------------------------------------------------------

const FleetMember* FleetManager::FindMember(const MemberId& id) const {
  const auto it = std::lower_bound(
      members_.begin(), members_.end(), id,
      [](const FleetMember& m, const MemberId& key) { return m.id < key; });
  return it != members_.end() && it->id == id ? &*it : nullptr;
}

MonoTime FleetManager::LeaseDeadline() const {
  return session_ ? session_->LeaseDeadline() : MonoTime::min();
}

int FleetManager::SlotOf(const CustomerId& customer) const {
  return SlotOfCustomer(customer, options_.slot_count);
}

std::optional<MemberId> FleetManager::SlotOwner(int slot) const {
  const wire::SlotTable& table = records_.view().slots();
  if (slot < 0 || slot >= table.owner_size()) return std::nullopt;
  const int owner = table.owner(slot);
  if (owner < 0 || owner >= table.members_size()) return std::nullopt;
  return MemberId(table.members(owner));
}

bool FleetManager::OwnsSlot(int slot) const {
  return slot_mover_ && slot_mover_->Owns(slot) &&
         loop_->Now() < LeaseDeadline();
}

std::optional<MemberId> FleetManager::LedgerOwner(
    const BackEndId& engine) const {
  std::optional<MemberId> best;
  uint64_t best_weight = 0;
  for (const FleetMember& member : members_) {
    if (member.leaving) continue;
    const uint64_t weight = RendezvousWeight(engine.value(), member.id.value());
    if (best && weight <= best_weight) continue;
    best = member.id;
    best_weight = weight;
  }
  return best;
}

}  // namespace mimosa
