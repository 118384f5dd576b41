// Changes of the slot table: assignment, takeover, hand-over and balancing.
#include "decide/slots.h"

#include <algorithm>
#include <utility>

#include "decide/membership.h"

namespace mimosa {
namespace {

// Returns the member with the fewest slots; among several, the first by id.
std::pair<MemberId, int> MemberWithFewestSlots(
    const std::map<MemberId, int>& counts) {
  auto fewest = std::min_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return {fewest->first, fewest->second};
}

}  // namespace

SlotMap::SlotMap(const wire::SlotTable& table) {
  slots_.resize(table.owner_size());
  for (int i = 0; i < table.owner_size(); ++i) {
    const int owner = table.owner(i);
    if (owner >= 0 && owner < table.members_size()) {
      slots_[i].owner = MemberId(table.members(owner));
    }
    if (i < table.start_size()) slots_[i].initial_state = table.start(i);
  }
}

wire::SlotTable SlotMap::ToTable(uint64_t version,
                                 const ChangeId& change_id) const {
  wire::SlotTable table;
  table.set_version(version);
  table.set_change_id(change_id.value());
  std::map<MemberId, int> index;
  for (const Slot& slot : slots_) {
    table.add_start(slot.initial_state);
    if (slot.owner.empty()) {
      table.add_owner(-1);
      continue;
    }
    auto [it, inserted] = index.emplace(slot.owner, table.members_size());
    if (inserted) table.add_members(slot.owner.value());
    table.add_owner(it->second);
  }
  return table;
}

int SlotMap::CountSlots(const MemberId& member) const {
  return static_cast<int>(
      std::count_if(slots_.begin(), slots_.end(),
                    [&](const Slot& slot) { return slot.owner == member; }));
}

bool SlotMap::AssignOrphanedSlots(
    int size, const std::vector<MemberId>& active,
    const std::function<bool(const MemberId&)>& ended) {
  std::map<MemberId, int> counts;
  for (const MemberId& member : active) counts[member] = CountSlots(member);
  bool changed = false;
  const int old_size = this->size();
  if (size > old_size) slots_.resize(size);
  for (int i = 0; i < this->size(); ++i) {
    Slot& slot = slots_[i];
    if (!slot.owner.empty() && !ended(slot.owner)) continue;
    slot.owner = MemberWithFewestSlots(counts).first;
    slot.initial_state = i >= old_size ? kInitiallyFull : "";
    ++counts[slot.owner];
    changed = true;
  }
  return changed;
}

std::map<int, MemberId> SlotMap::SlotsToHandOver(
    const MemberId& self, const std::vector<MemberId>& active) const {
  std::map<int, MemberId> moves;
  std::map<MemberId, int> counts;
  bool self_is_active = false;
  for (const MemberId& member : active) {
    if (member == self) {
      self_is_active = true;
    } else {
      counts[member] = CountSlots(member);
    }
  }
  if (counts.empty()) return moves;
  int own_count = CountSlots(self);
  for (int i = 0; i < size(); ++i) {
    if (slots_[i].owner != self) continue;
    const auto [new_owner, count] = MemberWithFewestSlots(counts);
    if (self_is_active && own_count <= count + 1) break;
    moves.emplace(i, new_owner);
    ++counts[new_owner];
    --own_count;
  }
  return moves;
}

void SlotMap::MoveSlot(int slot, const MemberId& new_owner,
                       const std::string& hand_over_id) {
  slots_[slot] = {new_owner, hand_over_id};
}

int SlotOfCustomer(const CustomerId& customer, int slot_count) {
  return static_cast<int>(RendezvousWeight("slot", customer.value()) %
                          static_cast<uint64_t>(slot_count));
}

}  // namespace mimosa
