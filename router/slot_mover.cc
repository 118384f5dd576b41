// Writing the slot table and carrying buckets to new owners.
#include "router/slot_mover.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr Duration kHandOverTimeout = std::chrono::milliseconds(500);
constexpr Duration kRepairRetry = std::chrono::milliseconds(500);
constexpr Duration kMoveRetry = std::chrono::milliseconds(200);
constexpr int kMaxMoveAttempts = 8;
// Who is not the first in line to repair the table waits so much per place.
constexpr Duration kRepairTurn = std::chrono::milliseconds(300);
constexpr size_t kMaxRepairPlace = 10;
// Owners with a surplus start within this time, so that their writes of the
// one table seldom collide.
constexpr Duration kEvenOutSpread = std::chrono::milliseconds(500);

}  // namespace

SlotMover::SlotMover(EventLoop* loop, KvStore* kv, PeerBus* bus,
                     RandomSource* random, FleetRecords* records,
                     SlotKeeper* keeper, MemberId self,
                     const FleetOptions& options)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      records_(records),
      keeper_(keeper),
      self_(std::move(self)),
      options_(options) {
  OnView();
}

void SlotMover::LoseAll() {
  for (const auto& [slot, start] : owned_) keeper_->LoseSlot(slot);
  owned_.clear();
  resting_.clear();
}

void SlotMover::OnView() {
  const SlotMap slots(records_->view().slots());
  for (int slot = 0; slot < slots.size(); ++slot) {
    auto it = owned_.find(slot);
    const bool owns = slots.owner(slot) == self_;
    if (it != owned_.end() && (!owns || it->second != slots.start(slot))) {
      keeper_->LoseSlot(slot);
      resting_.erase(slot);
      owned_.erase(it);
      it = owned_.end();
    }
    if (owns && it == owned_.end()) {
      owned_[slot] = slots.start(slot);
      keeper_->OwnSlot(slot, slots.start(slot));
    }
  }
  if (!Orphaned()) {
    orphaned_since_ = kNever;
  } else if (orphaned_since_ == kNever) {
    orphaned_since_ = loop_->Now();
  }
}

void SlotMover::Tick() {
  const MonoTime now = loop_->Now();
  if (move_) {
    if (!move_->sending && now >= move_->retry_at) SendMove();
    return;
  }
  if (Orphaned()) {
    if (now >= RepairTurn()) RepairNow();
    return;
  }
  if (!leaving_) EvenOut();
}

bool SlotMover::Orphaned() const {
  const FleetView& view = records_->view();
  const SlotMap slots(view.slots());
  if (slots.size() < options_.slots) return true;
  std::set<MemberId> owners;
  for (int slot = 0; slot < slots.size(); ++slot) {
    owners.insert(slots.owner(slot));
  }
  return std::any_of(owners.begin(), owners.end(), [&](const MemberId& owner) {
    return owner.empty() || view.Over(owner, view.slots_revision());
  });
}

MonoTime SlotMover::RepairTurn() const {
  if (orphaned_since_ == kNever) return kNever;
  const uint64_t own = RendezvousWeight("repair", self_.value());
  size_t place = 0;
  for (const MemberId& other : records_->view().Staying()) {
    if (other != self_ && RendezvousWeight("repair", other.value()) > own) {
      ++place;
    }
  }
  return orphaned_since_ +
         static_cast<int64_t>(std::min(place, kMaxRepairPlace)) * kRepairTurn;
}

void SlotMover::RepairNow() {
  const FleetView& view = records_->view();
  if (repair_call_ || move_ || loop_->Now() < repair_retry_at_) return;
  const std::vector<MemberId> staying = view.Staying();
  if (staying.empty()) return;
  SlotMap slots(view.slots());
  const bool changed =
      slots.Repair(options_.slots, staying, [&](const MemberId& owner) {
        return view.Over(owner, view.slots_revision());
      });
  if (!changed) return;
  const std::string value = ToJson(
      slots.ToTable(view.slots().version() + 1, ChangeId(NewId(random_))));
  repair_retry_at_ = loop_->Now() + kRepairRetry;
  repair_call_ = kv_->Put(
      view.SlotsKey(), value, view.slots_revision(), "",
      [this, value](const KvResult& result) {
        const KvStore::CallPtr call = std::move(repair_call_);
        const std::string key = records_->view().SlotsKey();
        if (result.status == KvStatus::kOk) {
          records_->Learn({key, value, result.record.revision});
        } else if (result.status == KvStatus::kConflict &&
                   result.record.revision > Revision(0)) {
          records_->Learn({key, result.record.value, result.record.revision});
        }
        // No reply: if it took effect the table comes by the usual way, else
        // this is tried again.
      });
}

void SlotMover::EvenOut() {
  const MonoTime now = loop_->Now();
  const std::map<int, MemberId> moves =
      SlotMap(records_->view().slots())
          .Surplus(self_, records_->view().Staying());
  if (moves.empty()) {
    even_out_at_ = MonoTime::min();
  } else if (even_out_at_ == MonoTime::min()) {
    even_out_at_ =
        now + Duration(random_->Below(Duration(kEvenOutSpread).count()));
  } else if (now >= even_out_at_) {
    even_out_at_ = MonoTime::min();
    StartMove(moves, false);
  }
}

void SlotMover::GiveAll(std::function<void()> done) {
  leaving_ = true;
  gave_all_ = std::move(done);
  if (move_) return;  // EndMove() goes on from there
  std::vector<MemberId> others = records_->view().Staying();
  others.erase(std::remove(others.begin(), others.end(), self_), others.end());
  const std::map<int, MemberId> moves =
      SlotMap(records_->view().slots()).Surplus(self_, others);
  if (moves.empty()) {
    std::exchange(gave_all_, nullptr)();
  } else {
    StartMove(moves, true);
  }
}

void SlotMover::Rest(const std::vector<int>& slots, bool rest) {
  for (const int slot : slots) {
    if (rest) {
      resting_.insert(slot);
    } else if (resting_.erase(slot) > 0) {
      keeper_->ResumeSlot(slot);
    }
  }
}

void SlotMover::StartMove(const std::map<int, MemberId>& moves, bool all) {
  std::map<MemberId, std::vector<int>> by_target;
  for (const auto& [slot, to] : moves) {
    if (Owns(slot)) by_target[to].push_back(slot);
  }
  move_ = Move();
  move_->all = all;
  for (auto& [to, slots] : by_target) {
    move_->targets.push_back({to, std::move(slots), NewId(random_), nullptr});
  }
  move_->unanswered = move_->targets.size();
  if (move_->targets.empty()) EndMove();
  // The answers come from the loop, never from within Call().
  for (size_t i = 0; move_ && i < move_->targets.size(); ++i) {
    Target& target = move_->targets[i];
    Rest(target.slots, true);
    const wire::HandOver hand_over =
        keeper_->ExportSlots(target.id, target.slots);
    Endpoint address;
    if (!records_->AddressOf(target.to, &address)) {
      OnHandedOver(i, false);
      continue;
    }
    target.sending = std::make_unique<Sending>();
    target.sending->call = bus_->Call(
        address, "fleet.hand_over", hand_over, &target.sending->reply,
        kHandOverTimeout, [this, i](PeerStatus status) {
          const std::unique_ptr<Sending> own =
              std::move(move_->targets[i].sending);
          OnHandedOver(i, status == PeerStatus::kOk && own->reply.taken());
        });
  }
}

void SlotMover::OnHandedOver(size_t target, bool taken) {
  if (!taken) {
    Rest(move_->targets[target].slots, false);
    move_->targets[target].slots.clear();
  }
  if (--move_->unanswered == 0) WriteMove();
}

void SlotMover::WriteMove() {
  const FleetView& view = records_->view();
  SlotMap slots(view.slots());
  bool any = false;
  for (const Target& target : move_->targets) {
    for (const int slot : target.slots) {
      if (slots.owner(slot) != self_) continue;
      slots.Move(slot, target.to, target.id);
      any = true;
    }
  }
  if (!any || ++move_->attempts > kMaxMoveAttempts) {
    EndMove();
    return;
  }
  move_->table =
      slots.ToTable(view.slots().version() + 1, ChangeId(NewId(random_)));
  move_->expect = view.slots_revision();
  SendMove();
}

void SlotMover::SendMove() {
  move_->sending = true;
  move_call_ =
      kv_->Put(records_->view().SlotsKey(), ToJson(move_->table), move_->expect,
               "", [this](const KvResult& result) { OnMoveWritten(result); });
}

void SlotMover::OnMoveWritten(const KvResult& result) {
  const KvStore::CallPtr call = std::move(move_call_);
  const std::string key = records_->view().SlotsKey();
  move_->sending = false;
  switch (result.status) {
    case KvStatus::kOk:
      records_->Learn({key, ToJson(move_->table), result.record.revision});
      EndMove();
      return;
    case KvStatus::kConflict: {
      records_->Learn({key, result.record.value, result.record.revision});
      // Ours, if the first reply was lost; then the slots are no longer here
      // and there is nothing left to write.
      move_->in_doubt = false;
      WriteMove();
      return;
    }
    case KvStatus::kUnavailable:
      if (!move_->in_doubt) {
        EndMove();
        return;
      }
      break;
    case KvStatus::kNoReply:
      move_->in_doubt = true;
      break;
    case KvStatus::kNotFound:
    case KvStatus::kCompacted:
      EndMove();
      return;
  }
  move_->retry_at = loop_->Now() + kMoveRetry;
}

void SlotMover::EndMove() {
  const Move move = std::move(*move_);
  move_.reset();
  // Those that moved are not owned any more.
  for (const Target& target : move.targets) Rest(target.slots, false);
  if (!gave_all_) return;
  if (move.all) {
    std::exchange(gave_all_, nullptr)();
  } else {
    GiveAll(std::exchange(gave_all_, nullptr));
  }
}

}  // namespace mimosa
