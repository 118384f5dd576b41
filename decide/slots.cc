// Changes of the slot table: claim, take over, hand over, even out.
#include "decide/slots.h"

#include <algorithm>
#include <utility>

#include "decide/membership.h"

namespace mimosa {
namespace {

// The member with the fewest slots; of several, the first by id.
std::pair<MemberId, int> Fewest(const std::map<MemberId, int>& counts) {
  auto least = std::min_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return {least->first, least->second};
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
    int size, const std::vector<MemberId>& staying,
    const std::function<bool(const MemberId&)>& over) {
  std::map<MemberId, int> counts;
  for (const MemberId& member : staying) counts[member] = CountSlots(member);
  bool changed = false;
  const int before = this->size();
  if (size > before) slots_.resize(size);
  for (int i = 0; i < this->size(); ++i) {
    Slot& slot = slots_[i];
    if (!slot.owner.empty() && !over(slot.owner)) continue;
    slot.owner = Fewest(counts).first;
    slot.initial_state = i >= before ? kInitiallyFull : "";
    ++counts[slot.owner];
    changed = true;
  }
  return changed;
}

std::map<int, MemberId> SlotMap::SlotsToHandOver(
    const MemberId& self, const std::vector<MemberId>& staying) const {
  std::map<int, MemberId> moves;
  std::map<MemberId, int> counts;
  bool stays = false;
  for (const MemberId& member : staying) {
    if (member == self) {
      stays = true;
    } else {
      counts[member] = CountSlots(member);
    }
  }
  if (counts.empty()) return moves;
  int own = CountSlots(self);
  for (int i = 0; i < size(); ++i) {
    if (slots_[i].owner != self) continue;
    const auto [taker, count] = Fewest(counts);
    if (stays && own <= count + 1) break;
    moves.emplace(i, taker);
    ++counts[taker];
    --own;
  }
  return moves;
}

void SlotMap::MoveSlot(int slot, const MemberId& to, const std::string& start) {
  slots_[slot] = {to, start};
}

int SlotOfCustomer(const CustomerId& customer, int slots) {
  return static_cast<int>(RendezvousWeight("slot", customer.value()) %
                          static_cast<uint64_t>(slots));
}

}  // namespace mimosa
