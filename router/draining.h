// Which backend servers take no new work.
//
// Model: a backend server is drained in the catalogue (by whoever writes it, or
// by mimosactl), or its VM is leaving by the platform's list. Both mean the
// same: what runs there goes on, nothing new is sent, what was chosen but not
// sent moves on.
#ifndef ROUTER_DRAINING_H_
#define ROUTER_DRAINING_H_

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

class Draining {
 public:
  // `enabled` false: nothing ever drains (test only, "drain").
  Draining(const LeavingVms* leaving, bool enabled)
      : leaving_(leaving), enabled_(enabled) {}

  bool IsDraining(const wire::BackEnd& back_end) const {
    if (!enabled_) return false;
    Endpoint address;
    return back_end.draining() ||
           (Endpoint::Parse(back_end.address(), &address) &&
            leaving_->IsLeaving(address.ip));
  }

 private:
  const LeavingVms* const leaving_;
  const bool enabled_;
};

}  // namespace mimosa

#endif  // ROUTER_DRAINING_H_
