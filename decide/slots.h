// The slot table: which member owns which slot, and changes of ownership.
//
// A slot is owned by the member that the table names, for as long as that
// member's lease holds. Only a live member itself may change its entries;
// anyone may change the entries of members whose lease has ended. A member that
// reads its own name in the table and has not handed the slot over therefore
// owns it, however old its copy of the table is.
#ifndef DECIDE_SLOTS_H_
#define DECIDE_SLOTS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "wire/fleet.pb.h"

namespace mimosa {

// Initial state of a slot that never had an owner: its buckets start full.
inline constexpr char kInitiallyFull[] = "full";

// Indexed form of wire::SlotTable.
class SlotMap {
 public:
  SlotMap() = default;
  explicit SlotMap(const wire::SlotTable& table);

  // Converts to the form in which the table is stored. `change_id` is unique to
  // that write.
  wire::SlotTable ToTable(uint64_t version, const ChangeId& change_id) const;

  int size() const { return static_cast<int>(slots_.size()); }
  // Empty if the slot has no owner.
  const MemberId& owner(int slot) const { return slots_[slot].owner; }
  // kInitiallyFull, the id of the hand-over to the current owner, or empty if
  // the buckets start at zero.
  const std::string& initial_state(int slot) const {
    return slots_[slot].initial_state;
  }
  int CountSlots(const MemberId& member) const;

  // Assigns each slot whose owner is `ended`, and each new slot up to `size`,
  // to the member of `active` with the fewest slots. Returns whether anything
  // changed. `active` must not be empty.
  bool AssignOrphanedSlots(int size, const std::vector<MemberId>& active,
                           const std::function<bool(const MemberId&)>& ended);

  // Returns the slots that `self` should hand over, with their new owners, so
  // that all of `active` own about the same number; all of its slots if `self`
  // is not in `active`.
  std::map<int, MemberId> SlotsToHandOver(
      const MemberId& self, const std::vector<MemberId>& active) const;

  // Changes the owner of a slot whose owner is alive; `hand_over_id` is the id
  // of the hand-over.
  void MoveSlot(int slot, const MemberId& new_owner,
                const std::string& hand_over_id);

 private:
  struct Slot {
    MemberId owner;
    std::string initial_state;
  };
  std::vector<Slot> slots_;
};

// Returns the slot of a customer; the same at all daemons.
int SlotOfCustomer(const CustomerId& customer, int slot_count);

}  // namespace mimosa

#endif  // DECIDE_SLOTS_H_
