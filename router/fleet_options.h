// Settings of FleetManager and its components.
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
  std::string name;       // unique among the running daemons
  Endpoint peer_address;  // where peers reach this daemon
  FailureDomain failure_domain;
  std::string region;
  std::string deployment;
  Duration lease_duration = std::chrono::seconds(3);
  int slot_count = 64;
  // Number of members that hold a watch on the platform.
  size_t watcher_count = 5;
  // For tests only: names of mechanisms to switch off. With "term" the member
  // lease always counts as held; with "witness" every member lease is backed by
  // a platform lease.
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
