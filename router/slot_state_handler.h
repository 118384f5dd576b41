// What the fleet driver tells whoever keeps state by slot (the limits).
#ifndef ROUTER_SLOT_STATE_HANDLER_H_
#define ROUTER_SLOT_STATE_HANDLER_H_

#include <string>
#include <vector>

#include "wire/fleet.pb.h"

namespace mimosa {

class SlotStateHandler {
 public:
  virtual ~SlotStateHandler() = default;

  // This member owns `slot` from now on; `start` is the slot table's word on
  // how (wire::SlotTable).
  virtual void OnSlotAcquired(int slot, const std::string& start) = 0;
  virtual void OnSlotLost(int slot) = 0;

  // Stops using the slots and states what they hold, for their next owner.
  virtual wire::HandOver ExportSlots(const std::string& id,
                                     const std::vector<int>& slots) = 0;
  // The next owner's side: comes before OwnSlot with the same id.
  virtual void ImportSlots(const wire::HandOver& hand_over) = 0;
  // The hand-over did not come about: the slot is used as before.
  virtual void ResumeSlot(int slot) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_SLOT_STATE_HANDLER_H_
