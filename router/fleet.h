// Interface to the fleet that a daemon belongs to: its members, whether this
// daemon's own lease is valid, and which slots it owns.
//
// The implementation (router/fleet_manager.h) joins the fleet through the
// platform, renews the lease with the witnesses, evicts dead members and moves
// slots. The rest of the daemon uses this interface only.
#ifndef ROUTER_FLEET_H_
#define ROUTER_FLEET_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "net/http.h"

namespace mimosa {

// A member of the fleet that has not ended.
struct FleetMember {
  MemberId id;
  Endpoint peer_address;  // where it serves calls of its peers
  FailureDomain failure_domain;
  std::string region;
  bool leaving = false;  // it is shutting down and hands over its slots
};

class Fleet {
 public:
  virtual ~Fleet() = default;

  virtual const MemberId& self() const = 0;
  // Epoch of this member's own record, which grows with each change of it.
  virtual uint64_t epoch() const = 0;

  // Members that have not ended, sorted by id. Includes this member once it has
  // joined.
  virtual const std::vector<FleetMember>& members() const = 0;
  // Returns nullptr if no such member is listed in members().
  virtual const FleetMember* FindMember(const MemberId& id) const = 0;

  // Time on this member's clock at which its lease expires; a time in the past
  // means that the lease is not held. Call this at the moment of use, because a
  // process that was paused may find its lease expired.
  virtual MonoTime LeaseDeadline() const = 0;

  // Returns the hash slot of `customer`.
  virtual int SlotOf(const CustomerId& customer) const = 0;
  // Returns the owner of `slot`, or nullopt if it has none yet.
  virtual std::optional<MemberId> SlotOwner(int slot) const = 0;
  // Returns true if this member owns `slot` and its lease is valid now.
  virtual bool OwnsSlot(int slot) const = 0;

  // Returns the member that keeps the engine's reservation ledger, chosen by
  // rendezvous hashing over the members that are not leaving. Returns nullopt
  // before the first member is known.
  virtual std::optional<MemberId> LedgerOwner(
      const BackEndId& engine) const = 0;

  // Age of the newest information from the platform, whether it was received
  // directly or through peers.
  virtual Duration TimeSincePlatformContact() const = 0;
  // Time since the last contact with the platform or any peer.
  virtual Duration TimeSinceAnyContact() const = 0;

  // Adds an observer that runs after the members, the slots or this member's
  // own lease changed.
  virtual void AddObserver(std::function<void()> observer) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_H_
