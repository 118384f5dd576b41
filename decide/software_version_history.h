// Tracks which software versions the engines of each service have lately had.
//
// Load pattern covered: releases that replace the engines of a service one
// after the other, some of which crash and start again at the old version.
#ifndef DECIDE_SOFTWARE_VERSION_HISTORY_H_
#define DECIDE_SOFTWARE_VERSION_HISTORY_H_

#include <map>
#include <set>

#include "base/clock.h"
#include "decide/back_end_list.h"
#include "decide/site.h"

namespace mimosa {

using VersionsByService = std::map<ServiceId, std::set<SoftwareVersion>>;

class SoftwareVersionHistory {
 public:
  // Takes over the current list. Called after each change of it.
  void Update(const BackEndList& list, MonoTime now);

  // Returns the versions of which engines are listed, or were within `window`,
  // as far as this daemon knows.
  VersionsByService Versions(MonoTime now, Duration window) const;

 private:
  struct Sighting {
    bool listed = false;     // An engine of the version is in the list.
    MonoTime last_listed{};  // Valid if not `listed`.
  };

  std::map<ServiceId, std::map<SoftwareVersion, Sighting>> sightings_;
};

}  // namespace mimosa

#endif  // DECIDE_SOFTWARE_VERSION_HISTORY_H_
