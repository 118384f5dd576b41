// Which backend servers take no new work.
//
// Model: a backend server is drained in the catalogue (by whoever writes it, or
// by mimosactl), or its VM is leaving by the platform's list. Both mean the
// same: what runs there goes on, nothing new is sent, what was chosen but not
// sent moves on.
#ifndef ROUTER_DRAIN_CHECKER_H_
#define ROUTER_DRAIN_CHECKER_H_

#include <string>

#include "net/http.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

// The backend servers whose VMs the platform's list shows as leaving.
class LeavingVms {
 public:
  virtual ~LeavingVms() = default;
  virtual bool IsLeaving(const std::string& ip) const = 0;
};

class DrainChecker {
 public:
  // `enabled` false: nothing ever drains (test only, "drain").
  DrainChecker(const LeavingVms* leaving, bool enabled)
      : leaving_vms_(leaving), enabled_(enabled) {}

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
