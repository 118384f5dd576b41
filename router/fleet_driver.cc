// Joining, leaving, and what the rest of the daemon is told.
#include "router/fleet_driver.h"

#include <algorithm>
#include <utility>

#include "decide/slots.h"
#include "router/vm_list.h"

namespace mimosa {
namespace {

constexpr Duration kLoadRetry = std::chrono::milliseconds(500);
constexpr Duration kLeaveRetry = std::chrono::milliseconds(100);
constexpr int kLeaveAttempts = 5;
constexpr Duration kLeaveLimit = std::chrono::seconds(5);
// The parts look around so often in a grant; the term is renewed each fourth
// time.
constexpr int kTicksPerGrant = 12;
constexpr uint64_t kTicksPerRound = 4;

// For a part that isn't there.
class NoSlots : public SlotKeeper {
 public:
  void OwnSlot(int, const std::string&) override {}
  void LoseSlot(int) override {}
  wire::HandOver ExportSlots(const std::string& id,
                             const std::vector<int>&) override {
    wire::HandOver hand_over;
    hand_over.set_id(id);
    return hand_over;
  }
  void ImportSlots(const wire::HandOver&) override {}
  void ResumeSlot(int) override {}
};

SlotKeeper* NoSlotKeeper() {
  static NoSlots* const keeper = new NoSlots;
  return keeper;
}

}  // namespace

FleetDriver::FleetDriver(EventLoop* loop, KvStore* kv, PeerBus* bus,
                         RandomSource* random, FleetOptions options)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      options_(std::move(options)),
      self_(options_.name + "#" + NewId(random_)),
      keeper_(NoSlotKeeper()),
      records_(loop, kv, bus, random, options_,
               {[this] { OnView(); },
                [this](const KvRecord& head) {
                  if (head_observer_) head_observer_(head);
                },
                [this](const MemberId& peer, uint64_t version) {
                  if (newer_observer_) newer_observer_(peer, version);
                }}) {
  Serve();
}

FleetDriver::~FleetDriver() { *alive_ = false; }

void FleetDriver::ObserveCatalogueHead(HeadObserver observer) {
  head_observer_ = std::move(observer);
}

void FleetDriver::ObserveNewerCatalogue(NewerObserver observer) {
  newer_observer_ = std::move(observer);
}

void FleetDriver::Observe(std::function<void()> observer) {
  observers_.push_back(std::move(observer));
}

void FleetDriver::SetCatalogueVersion(uint64_t version) {
  records_.SetCatalogueVersion(version);
}

// The bus may outlive this driver: the handlers hold `alive_`.
void FleetDriver::Serve() {
  bus_->Register(
      "fleet.grant", wire::GrantRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive || !term_) return;
        const auto& request = static_cast<const wire::GrantRequest&>(params);
        records_.OnVersions(MemberId(request.member()), request.versions(),
                            kNever);
        reply->Reply(term_->Grant(request));
      });
  bus_->Register(
      "fleet.end", wire::EndRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive || !term_) return;
        reply->Reply(
            term_->Agree(static_cast<const wire::EndRequest&>(params)));
      });
  bus_->Register(
      "fleet.state", wire::StateRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive) return;
        reply->Reply(
            records_.State(static_cast<const wire::StateRequest&>(params)));
      });
  bus_->Register(
      "fleet.poke", wire::PokeRequest::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive) return;
        reply->Reply(
            records_.Poke(static_cast<const wire::PokeRequest&>(params)));
      });
  bus_->Register(
      "fleet.hand_over", wire::HandOver::default_instance(),
      [this, alive = alive_](const google::protobuf::Message& params,
                             const std::shared_ptr<PeerReply>& reply) {
        if (!*alive) return;
        wire::HandOverReply result;
        if (slots_ && !leaving_) {
          keeper_->ImportSlots(static_cast<const wire::HandOver&>(params));
          result.set_taken(true);
        }
        reply->Reply(result);
      });
}

// --- Joining -----------------------------------------------------------------

void FleetDriver::Start() { LoadRecords(); }

void FleetDriver::LoadRecords() {
  records_.Load([this](bool ok) {
    if (ok) {
      AskVmList();
    } else {
      retry_ = loop_->After(kLoadRetry, [this] { LoadRecords(); });
    }
  });
}

// Whether this VM is on the platform's list decides if its absence proves
// anything later.
void FleetDriver::AskVmList() {
  vm_list_ = kv_->List(kVmPrefix, [this](const KvListResult& result) {
    const KvStore::CallPtr call = std::move(vm_list_);
    listed_ = result.status == KvStatus::kOk &&
              ListsVm(result, options_.peer_address.ip);
    BecomeMember(listed_);
    Tick();
  });
}

void FleetDriver::BecomeMember(bool listed) {
  const std::string incarnation =
      self_.value().substr(self_.value().rfind('#') + 1);
  records_.SetSelf(self_);
  TermKeeper::Observers observers;
  observers.joined = [this] { OnJoined(); };
  observers.ended = [this] { OnEnded(); };
  observers.renewed = [this] { Notify(); };
  term_ = std::make_unique<TermKeeper>(loop_, kv_, bus_, random_, &records_,
                                       options_, incarnation, listed,
                                       std::move(observers));
  ender_ = std::make_unique<MemberEnder>(loop_, kv_, bus_, random_, &records_,
                                         term_.get(), options_,
                                         [this](const MemberId&) {
                                           if (slots_ && !leaving_)
                                             slots_->RepairNow();
                                         });
}

void FleetDriver::OnJoined() {
  slots_ = std::make_unique<SlotMover>(loop_, kv_, bus_, random_, &records_,
                                       keeper_, self_, options_);
  OnView();
}

void FleetDriver::OnEnded() {
  if (leaving_) return;
  // From the loop: the parts that are replaced are in the midst of a call.
  loop_->Post([this, alive = alive_] {
    if (!*alive || leaving_) return;
    if (slots_) slots_->LoseAll();
    slots_.reset();
    ender_.reset();
    term_.reset();
    self_ = MemberId(options_.name + "#" + NewId(random_));
    BecomeMember(listed_);
    term_->Tick();
    OnView();
  });
}

void FleetDriver::Tick() {
  Duration period = options_.grant / kTicksPerGrant;
  period -=
      Duration(random_->Below(static_cast<uint64_t>(period.count()) / 10 + 1));
  tick_ = loop_->After(period, [this] { Tick(); });
  records_.Tick();
  if (ticks_++ % kTicksPerRound == 0) term_->Tick();
  if (leaving_ || !term_->joined()) return;
  ender_->Tick();
  if (slots_) slots_->Tick();
}

void FleetDriver::OnView() {
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
  if (slots_) slots_->OnView();
  Notify();
}

void FleetDriver::Notify() {
  for (const auto& observer : observers_) observer();
}

// --- Leaving -----------------------------------------------------------------

void FleetDriver::LeaveGracefully(std::function<void()> done) {
  leaving_ = true;
  left_ = std::move(done);
  retry_.Cancel();
  leave_limit_ = loop_->After(kLeaveLimit, [this] { FinishLeaving(); });
  if (!term_ || !slots_) {
    loop_->Post([this, alive = alive_] {
      if (*alive) FinishLeaving();
    });
    return;
  }
  WriteLeaving(kLeaveAttempts);
}

void FleetDriver::WriteLeaving(int attempts) {
  term_->WriteLeaving([this, attempts](bool ok) {
    if (!ok && attempts > 1) {
      retry_ = loop_->After(kLeaveRetry,
                            [this, attempts] { WriteLeaving(attempts - 1); });
      return;
    }
    slots_->GiveAll(
        [this] { term_->WriteEnded([this](bool) { FinishLeaving(); }); });
  });
}

void FleetDriver::FinishLeaving() {
  leave_limit_.Cancel();
  if (left_) std::exchange(left_, nullptr)();
}

// --- Questions ---------------------------------------------------------------

const FleetMember* FleetDriver::Find(const MemberId& id) const {
  const auto it = std::lower_bound(
      members_.begin(), members_.end(), id,
      [](const FleetMember& m, const MemberId& key) { return m.id < key; });
  return it != members_.end() && it->id == id ? &*it : nullptr;
}

MonoTime FleetDriver::TermDeadline() const {
  return term_ ? term_->Deadline() : MonoTime::min();
}

int FleetDriver::SlotOf(const CustomerId& customer) const {
  return SlotOfCustomer(customer, options_.slots);
}

std::optional<MemberId> FleetDriver::SlotOwner(int slot) const {
  const wire::SlotTable& table = records_.view().slots();
  if (slot < 0 || slot >= table.owner_size()) return std::nullopt;
  const int owner = table.owner(slot);
  if (owner < 0 || owner >= table.members_size()) return std::nullopt;
  return MemberId(table.members(owner));
}

bool FleetDriver::OwnsSlot(int slot) const {
  return slots_ && slots_->Owns(slot) && loop_->Now() < TermDeadline();
}

std::optional<MemberId> FleetDriver::BookOwner(const BackEndId& engine) const {
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
