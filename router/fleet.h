// What a daemon knows of the fleet it belongs to: who the members are, whether
// this daemon's own term holds, and which slots it owns.
//
// The implementation (router/fleet_manager.h) joins the fleet through the
// platform, renews the term with the witnesses, ends the terms of the dead and
// moves slots. Everything else asks here.
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

struct FleetMember {
  MemberId id;
  Endpoint peer_address;
  FailureDomain failure_domain;
  std::string region;
  bool leaving = false;
};

class Fleet {
 public:
  virtual ~Fleet() = default;

  virtual const MemberId& self() const = 0;
  virtual uint64_t epoch() const = 0;

  // Members that have not ended, self included once joined; sorted by id.
  virtual const std::vector<FleetMember>& members() const = 0;
  virtual const FleetMember* FindMember(const MemberId& id) const = 0;

  // Until when this member's term holds (its own clock); in the past: not held.
  // Ask at the moment of use: a paused process finds it over.
  virtual MonoTime LeaseDeadline() const = 0;

  // The slot that holds `customer`, and its owner (none: nobody yet).
  virtual int SlotOf(const CustomerId& customer) const = 0;
  virtual std::optional<MemberId> SlotOwner(int slot) const = 0;
  // True if this member owns the slot and its term holds now.
  virtual bool OwnsSlot(int slot) const = 0;

  // The member that keeps the engine's book: rendezvous hashing over members
  // that are not leaving. None before the first member is known.
  virtual std::optional<MemberId> LedgerOwner(
      const BackEndId& engine) const = 0;

  // Time since the newest word from the platform, heard directly or through
  // peers; and since anything at all was heard from platform or peers.
  virtual Duration TimeSincePlatformContact() const = 0;
  virtual Duration TimeSinceAnyContact() const = 0;

  // `observer` runs after members, slots or the own term changed.
  virtual void AddObserver(std::function<void()> observer) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_H_
