// Tracks which software versions the engines of each service have lately had.
//
// Model: a version counts while an engine of it is listed, and for a window
// after the last one has left the list. While the list may lack changes, a
// version may come back and leave unseen, so none is known to have left until
// the list has been complete for as long.
//
// Load pattern covered: releases that replace the engines of a service one
// after the other, some of which crash and start again at the old version.
#ifndef DECIDE_SOFTWARE_VERSION_HISTORY_H_
#define DECIDE_SOFTWARE_VERSION_HISTORY_H_

#include <map>
#include <optional>
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

  // Until `now`, the list may have lacked changes.
  void RecordGap(MonoTime now) { gapless_since_ = now; }

  // A record of the fleet shows that engines of `service` had `version` at the
  // time `at`.
  void RecordSighting(const ServiceId& service, const SoftwareVersion& version,
                      MonoTime at);

  // Returns whether the list has lacked no changes within `window`.
  bool IsGapless(MonoTime now, Duration window) const {
    return gapless_since_ && now - *gapless_since_ >= window;
  }
  // Returns whether engines of the version, or records of it, have been seen.
  bool HasSeen(const ServiceId& service, const SoftwareVersion& version) const;
  // Returns whether the version has been seen, and certainly no engine of it
  // has been listed within `window`.
  bool HasLeft(const ServiceId& service, const SoftwareVersion& version,
               MonoTime now, Duration window) const;
  // Returns the versions that engines of each service have had within `window`,
  // as far as this daemon knows.
  VersionsByService Versions(MonoTime now, Duration window) const;

 private:
  struct Sighting {
    bool listed = false;     // An engine of the version is in the list.
    MonoTime last_listed{};  // Valid if not `listed`.

    bool IsWithin(MonoTime now, Duration window) const {
      return listed || now - last_listed < window;
    }
  };

  std::map<ServiceId, std::map<SoftwareVersion, Sighting>> sightings_;
  // Since then the list has lacked no changes; absent before the first
  // Update().
  std::optional<MonoTime> gapless_since_;
};

}  // namespace mimosa

#endif  // DECIDE_SOFTWARE_VERSION_HISTORY_H_
