// Interface through which the fleet's slot changes reach the component that
// keeps state per slot (FleetLimiter).
#ifndef ROUTER_SLOT_STATE_HANDLER_H_
#define ROUTER_SLOT_STATE_HANDLER_H_

#include <string>
#include <vector>

#include "wire/fleet.pb.h"

namespace mimosa {

class SlotStateHandler {
 public:
  virtual ~SlotStateHandler() = default;

  // This member owns `slot` from now on. `initial_state` is the slot's `start`
  // in the slot table (wire::SlotTable), which says what state it starts from.
  virtual void OnSlotAcquired(int slot, const std::string& initial_state) = 0;
  // This member no longer owns `slot`.
  virtual void OnSlotLost(int slot) = 0;

  // Stops using the slots and returns their state for their next owner.
  virtual wire::HandOver ExportSlots(const std::string& id,
                                     const std::vector<int>& slots) = 0;
  // Receives the state of slots whose next owner is this member. It is called
  // before OnSlotAcquired() with the same hand-over id.
  virtual void ImportSlots(const wire::HandOver& hand_over) = 0;
  // Uses the slot as before, because its hand-over did not take effect.
  virtual void ResumeSlot(int slot) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_SLOT_STATE_HANDLER_H_
