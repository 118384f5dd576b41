// Decides at which software versions streams may begin, and which version must
// have begun a stream whose origin is unknown.
//
// Model: the store holds one record of the versions that may have begun streams
// which can still be taken up. A daemon begins a stream only at a version that
// the record, as it has read it, names; a version is removed only when no
// stream of it can be left. The record as it is read after a caller has taken a
// stream up therefore names the version that began the stream. If it names one
// version only, that is the one. Nothing follows from members that are silent,
// from lists that may lack changes, or from an earlier reading.
//
// A store that has come back from an older copy lacks versions that were
// recorded after the copy was made. The record states the era for which it is
// complete, and nothing is implied in a later one until it has been completed.
//
// Load pattern covered: a release while some daemons can't reach the store and
// those that know of the new version are killed, so that callers take up
// streams of it at daemons that don't.
#ifndef DECIDE_VERSION_RECORD_H_
#define DECIDE_VERSION_RECORD_H_

#include <map>
#include <optional>
#include <set>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"
#include "decide/software_version_history.h"

namespace mimosa {

// The content of the record.
struct VersionRecord {
  VersionsByService versions;
  // The record names all versions that began streams up to its last change in
  // this era of the store, and in those before it.
  StoreEra complete_era;
};

inline bool operator==(const VersionRecord& a, const VersionRecord& b) {
  return a.versions == b.versions && a.complete_era == b.complete_era;
}

// A reading of the record that was requested after a caller had taken a stream
// up.
struct VersionReading {
  VersionRecord record;
  StoreEra era;  // Of the store when it replied.
};

// Returns the version that began every stream of `service` that had begun when
// the reading was requested and can still be taken up; nullopt if it may have
// been one of several.
std::optional<SoftwareVersion> ImpliedVersion(const VersionReading& reading,
                                              const ServiceId& service);

// Returns what the record has to be, as far as this daemon knows, which has
// read `present`, if there is one. A stream can be taken up for `window` after
// the last time at which a daemon may have begun it at an engine that was no
// longer listed.
VersionRecord NextVersionRecord(const std::optional<VersionRecord>& present,
                                const SoftwareVersionHistory& history,
                                StoreEra era, MonoTime now, Duration window);

}  // namespace mimosa

#endif  // DECIDE_VERSION_RECORD_H_
