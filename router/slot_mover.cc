// Writes the slot table and transfers token buckets to new owners.
#include "router/slot_mover.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr Duration kHandOverTimeout = std::chrono::milliseconds(500);
constexpr Duration kRepairRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kMoveRetryDelay = std::chrono::milliseconds(200);
constexpr int kMaxMoveAttempts = 8;
// A member waits this long per rank before it repairs the table, so that
// normally only the first in rendezvous order does.
constexpr Duration kRepairDelayPerRank = std::chrono::milliseconds(300);
constexpr size_t kMaxRepairRank = 10;
// Owners with surplus slots start at random times within this duration, so that
// their writes of the shared table seldom conflict.
constexpr Duration kRebalanceJitter = std::chrono::milliseconds(500);

}  // namespace

SlotMover::SlotMover(EventLoop* loop, KvStore* kv, PeerBus* bus,
                     RandomSource* random, FleetRecords* records,
                     SlotStateHandler* slot_handler, MemberId self,
                     const FleetOptions& options)
    : loop_(loop),
      kv_(kv),
      bus_(bus),
      random_(random),
      records_(records),
      slot_handler_(slot_handler),
      self_(std::move(self)),
      options_(options) {
  OnViewChanged();
}

void SlotMover::DropAllSlots() {
  for (const auto& [slot, start] : owned_slots_)
    slot_handler_->OnSlotLost(slot);
  owned_slots_.clear();
  suspended_slots_.clear();
}

void SlotMover::OnViewChanged() {
  const SlotMap slots(records_->view().slots());
  for (int slot = 0; slot < slots.size(); ++slot) {
    auto it = owned_slots_.find(slot);
    const bool owns = slots.owner(slot) == self_;
    if (it != owned_slots_.end() &&
        (!owns || it->second != slots.initial_state(slot))) {
      slot_handler_->OnSlotLost(slot);
      suspended_slots_.erase(slot);
      owned_slots_.erase(it);
      it = owned_slots_.end();
    }
    if (owns && it == owned_slots_.end()) {
      owned_slots_[slot] = slots.initial_state(slot);
      slot_handler_->OnSlotAcquired(slot, slots.initial_state(slot));
    }
  }
  if (!HasOrphanedSlots()) {
    orphaned_since_ = kNever;
  } else if (orphaned_since_ == kNever) {
    orphaned_since_ = loop_->Now();
  }
}

void SlotMover::Tick() {
  const MonoTime now = loop_->Now();
  if (move_) {
    if (!move_->write_pending && now >= move_->retry_at) SendTableWrite();
    return;
  }
  if (HasOrphanedSlots()) {
    if (now >= RepairTime()) RepairSlotTable();
    return;
  }
  if (!leaving_) Rebalance();
}

bool SlotMover::HasOrphanedSlots() const {
  const FleetView& view = records_->view();
  const SlotMap slots(view.slots());
  if (slots.size() < options_.slot_count) return true;
  std::set<MemberId> owners;
  for (int slot = 0; slot < slots.size(); ++slot) {
    owners.insert(slots.owner(slot));
  }
  return std::any_of(owners.begin(), owners.end(), [&](const MemberId& owner) {
    return owner.empty() || view.HasEnded(owner, view.slots_revision());
  });
}

MonoTime SlotMover::RepairTime() const {
  if (orphaned_since_ == kNever) return kNever;
  const uint64_t own_weight = RendezvousWeight("repair", self_.value());
  size_t rank = 0;
  for (const MemberId& other : records_->view().ActiveMembers()) {
    if (other != self_ &&
        RendezvousWeight("repair", other.value()) > own_weight) {
      ++rank;
    }
  }
  return orphaned_since_ +
         static_cast<int64_t>(std::min(rank, kMaxRepairRank)) *
             kRepairDelayPerRank;
}

void SlotMover::RepairSlotTable() {
  const FleetView& view = records_->view();
  if (repair_call_ || move_ || loop_->Now() < repair_retry_at_) return;
  const std::vector<MemberId> active_members = view.ActiveMembers();
  if (active_members.empty()) return;
  SlotMap slots(view.slots());
  const bool changed = slots.AssignOrphanedSlots(
      options_.slot_count, active_members, [&](const MemberId& owner) {
        return view.HasEnded(owner, view.slots_revision());
      });
  if (!changed) return;
  const std::string value = ToJson(slots.ToTable(
      view.slots().version() + 1, ChangeId(NewUniqueId(random_))));
  repair_retry_at_ = loop_->Now() + kRepairRetryDelay;
  repair_call_ =
      kv_->Put(view.SlotsKey(), value, view.slots_revision(), "",
               [this, value](const KvResult& result) {
                 const KvStore::CallPtr call = std::move(repair_call_);
                 const std::string key = records_->view().SlotsKey();
                 if (result.status == KvStatus::kOk) {
                   records_->ApplyRecord({key, value, result.record.revision});
                 } else if (result.status == KvStatus::kConflict &&
                            result.record.revision > Revision(0)) {
                   records_->ApplyRecord(
                       {key, result.record.value, result.record.revision});
                 }
                 // After kNoReply: if the write took effect, the table arrives
                 // as an update of the records; otherwise a later tick retries.
               });
}

void SlotMover::Rebalance() {
  const MonoTime now = loop_->Now();
  const std::map<int, MemberId> moves =
      SlotMap(records_->view().slots())
          .SlotsToHandOver(self_, records_->view().ActiveMembers());
  if (moves.empty()) {
    rebalance_at_ = MonoTime::min();
  } else if (rebalance_at_ == MonoTime::min()) {
    rebalance_at_ =
        now + Duration(random_->UniformInt(Duration(kRebalanceJitter).count()));
  } else if (now >= rebalance_at_) {
    rebalance_at_ = MonoTime::min();
    StartMove(moves, false);
  }
}

void SlotMover::HandOverAll(std::function<void()> done) {
  leaving_ = true;
  on_all_handed_over_ = std::move(done);
  if (move_) return;  // FinishMove() continues
  std::vector<MemberId> other_members = records_->view().ActiveMembers();
  other_members.erase(
      std::remove(other_members.begin(), other_members.end(), self_),
      other_members.end());
  const std::map<int, MemberId> moves =
      SlotMap(records_->view().slots()).SlotsToHandOver(self_, other_members);
  if (moves.empty()) {
    std::exchange(on_all_handed_over_, nullptr)();
  } else {
    StartMove(moves, true);
  }
}

void SlotMover::SetSuspended(const std::vector<int>& slots, bool suspend) {
  for (const int slot : slots) {
    if (suspend) {
      suspended_slots_.insert(slot);
    } else if (suspended_slots_.erase(slot) > 0) {
      slot_handler_->ResumeSlot(slot);
    }
  }
}

void SlotMover::StartMove(const std::map<int, MemberId>& moves,
                          bool all_slots) {
  std::map<MemberId, std::vector<int>> by_target;
  for (const auto& [slot, to] : moves) {
    if (Owns(slot)) by_target[to].push_back(slot);
  }
  move_ = Move();
  move_->all_slots = all_slots;
  for (auto& [to, slots] : by_target) {
    move_->targets.push_back(
        {to, std::move(slots), NewUniqueId(random_), nullptr});
  }
  move_->pending_replies = move_->targets.size();
  if (move_->targets.empty()) FinishMove();
  // The replies arrive from the event loop, never from within Call().
  for (size_t i = 0; move_ && i < move_->targets.size(); ++i) {
    HandOverTarget& target = move_->targets[i];
    SetSuspended(target.slots, true);
    const wire::HandOver hand_over =
        slot_handler_->ExportSlots(target.hand_over_id, target.slots);
    Endpoint address;
    if (!records_->FindPeerAddress(target.to, &address)) {
      OnHandOverReply(i, false);
      continue;
    }
    target.hand_over_call = std::make_unique<HandOverCall>();
    target.hand_over_call->call = bus_->Call(
        address, "fleet.hand_over", hand_over, &target.hand_over_call->reply,
        kHandOverTimeout, [this, i](PeerStatus status) {
          const std::unique_ptr<HandOverCall> finished_call =
              std::move(move_->targets[i].hand_over_call);
          OnHandOverReply(
              i, status == PeerStatus::kOk && finished_call->reply.taken());
        });
  }
}

void SlotMover::OnHandOverReply(size_t target, bool taken) {
  if (!taken) {
    SetSuspended(move_->targets[target].slots, false);
    move_->targets[target].slots.clear();
  }
  if (--move_->pending_replies == 0) PrepareTableWrite();
}

void SlotMover::PrepareTableWrite() {
  const FleetView& view = records_->view();
  SlotMap slots(view.slots());
  bool has_moved_slots = false;
  for (const HandOverTarget& target : move_->targets) {
    for (const int slot : target.slots) {
      if (slots.owner(slot) != self_) continue;
      slots.MoveSlot(slot, target.to, target.hand_over_id);
      has_moved_slots = true;
    }
  }
  if (!has_moved_slots || ++move_->attempts > kMaxMoveAttempts) {
    FinishMove();
    return;
  }
  move_->table =
      slots.ToTable(view.slots().version() + 1, ChangeId(NewUniqueId(random_)));
  move_->expected_revision = view.slots_revision();
  SendTableWrite();
}

void SlotMover::SendTableWrite() {
  move_->write_pending = true;
  table_write_call_ =
      kv_->Put(records_->view().SlotsKey(), ToJson(move_->table),
               move_->expected_revision, "",
               [this](const KvResult& result) { OnTableWritten(result); });
}

void SlotMover::OnTableWritten(const KvResult& result) {
  const KvStore::CallPtr call = std::move(table_write_call_);
  const std::string key = records_->view().SlotsKey();
  move_->write_pending = false;
  switch (result.status) {
    case KvStatus::kOk:
      records_->ApplyRecord(
          {key, ToJson(move_->table), result.record.revision});
      FinishMove();
      return;
    case KvStatus::kConflict: {
      records_->ApplyRecord({key, result.record.value, result.record.revision});
      // The table may be the one written here, if the first reply was lost.
      // Then this member no longer owns the slots, and nothing is left to
      // write.
      move_->in_doubt = false;
      PrepareTableWrite();
      return;
    }
    case KvStatus::kUnavailable:
      if (!move_->in_doubt) {
        FinishMove();
        return;
      }
      break;
    case KvStatus::kNoReply:
      move_->in_doubt = true;
      break;
    case KvStatus::kNotFound:
    case KvStatus::kCompacted:
      FinishMove();
      return;
  }
  move_->retry_at = loop_->Now() + kMoveRetryDelay;
}

void SlotMover::FinishMove() {
  const Move move = std::move(*move_);
  move_.reset();
  // This resumes only slots that did not move; the others are no longer owned.
  for (const HandOverTarget& target : move.targets)
    SetSuspended(target.slots, false);
  if (!on_all_handed_over_) return;
  if (move.all_slots) {
    std::exchange(on_all_handed_over_, nullptr)();
  } else {
    HandOverAll(std::exchange(on_all_handed_over_, nullptr));
  }
}

}  // namespace mimosa
