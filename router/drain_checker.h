// Determines which backend servers accept no new work.
//
// A backend server drains if the catalogue says so (set by its author or by
// mimosactl), or if the platform's list shows its VM as leaving. Both have the
// same effect: running requests continue, nothing new is sent, and requests
// that were assigned but not sent go to another backend server.
#ifndef ROUTER_DRAIN_CHECKER_H_
#define ROUTER_DRAIN_CHECKER_H_

#include <string>

#include "net/http.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

// The VMs that the platform's list shows as leaving.
class LeavingVms {
 public:
  virtual ~LeavingVms() = default;
  virtual bool IsLeaving(const std::string& ip) const = 0;
};

class DrainChecker {
 public:
  // If `enabled` is false, no backend server drains (test only, "drain").
  DrainChecker(const LeavingVms* leaving_vms, bool enabled)
      : leaving_vms_(leaving_vms), enabled_(enabled) {}

  bool IsDraining(const wire::BackEnd& back_end) const {
    if (!enabled_) return false;
    Endpoint address;
    return back_end.draining() ||
           (Endpoint::Parse(back_end.address(), &address) &&
            leaving_vms_->IsLeaving(address.ip));
  }

 private:
  const LeavingVms* const leaving_vms_;
  const bool enabled_;
};

}  // namespace mimosa

#endif  // ROUTER_DRAIN_CHECKER_H_
