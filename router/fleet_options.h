// Settings of the fleet driver and its parts.
#ifndef ROUTER_FLEET_OPTIONS_H_
#define ROUTER_FLEET_OPTIONS_H_

#include <set>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/membership.h"
#include "net/http.h"

namespace mimosa {

struct FleetOptions {
  std::string name;       // unique among the daemons that run
  Endpoint peer_address;  // where the peers reach this one
  FailureDomain failure_domain;
  std::string region;
  std::string deployment;
  Duration lease_duration = std::chrono::seconds(3);
  int slot_count = 64;
  size_t watcher_count = 5;
  // Test only, names of mechanisms that are off: "term": the term counts as
  // held always; "witness": every term rests on a platform lease.
  std::set<std::string> disabled_mechanisms;

  std::string FleetPrefix() const { return deployment + "/fleet/"; }
  std::string CatalogueHeadKey() const {
    return deployment + "/catalogue/head";
  }
  bool IsDisabled(const std::string& name) const {
    return disabled_mechanisms.count(name) > 0;
  }
};

}  // namespace mimosa

#endif  // ROUTER_FLEET_OPTIONS_H_
