// The slot table: which member owns which slot, and the changes to it.
//
// A slot is owned by the member that the table names, under that member's term.
// The entry of a member that lives is changed by that member alone; the entries
// of members whose term has ended may be changed by anyone. So a member that
// reads its own name there and has not given the slot away owns it, however old
// its copy is.
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

// `start` of a slot that never had an owner before.
inline constexpr char kInitiallyFull[] = "full";

// Readable form of wire::SlotTable.
class SlotMap {
 public:
  SlotMap() = default;
  explicit SlotMap(const wire::SlotTable& table);

  // The table as it is written; `change_id` is unique to that write.
  wire::SlotTable ToTable(uint64_t version, const ChangeId& change_id) const;

  int size() const { return static_cast<int>(slots_.size()); }
  // Empty: nobody.
  const MemberId& owner(int slot) const { return slots_[slot].owner; }
  const std::string& initial_state(int slot) const {
    return slots_[slot].initial_state;
  }
  int CountSlots(const MemberId& member) const;

  // Gives every slot whose owner is `over`, and each up to `size` that is not
  // in the table yet, to the member of `staying` with the fewest. Returns
  // whether anything changed. `staying` must not be empty.
  bool AssignOrphanedSlots(int size, const std::vector<MemberId>& staying,
                           const std::function<bool(const MemberId&)>& over);

  // The slots that `self` should hand to others so that all of `staying` own
  // about as many, or all of its slots if it is not among them.
  std::map<int, MemberId> SlotsToHandOver(
      const MemberId& self, const std::vector<MemberId>& staying) const;

  // Moves a slot of a living owner; `start` is the id of its hand-over.
  void MoveSlot(int slot, const MemberId& to, const std::string& start);

 private:
  struct Slot {
    MemberId owner;
    std::string initial_state;
  };
  std::vector<Slot> slots_;
};

// The slot of a customer; alike at all daemons.
int SlotOfCustomer(const CustomerId& customer, int slots);

}  // namespace mimosa

#endif  // DECIDE_SLOTS_H_
