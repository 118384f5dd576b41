// Decides at which software versions streams may begin, and which version must
// have begun a stream whose origin is unknown.
//
// Model: the store holds one record of the versions that may have begun streams
// which can still be taken up. A daemon begins a stream only at a version that
// the record, as it has read it, names as open. A version is closed once none
// of its engines is listed, and removed when no daemon can have missed that and
// no stream of it can be left. The record as it is read after a caller has
// taken a stream up therefore names the version that began the stream. If it
// names one version only, that is the one. Nothing follows from members that
// are silent, from lists that may lack changes, or from an earlier reading.
//
// A daemon whose list lacks changes may close a version that is in use; those
// that list it open it again, and count from the next closing on.
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
#include <utility>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"
#include "decide/software_version_history.h"

namespace mimosa {

// The content of the record.
struct VersionRecord {
  // Identifies a closing: the revision of the record that it replaced.
  using Closing = Revision;
  // Each version is open, or was closed.
  using Versions = std::map<SoftwareVersion, std::optional<Closing>>;

  std::map<ServiceId, Versions> services;
  // The record names all versions that began streams in this era of the store
  // and in those before it.
  StoreEra complete_era;
};

inline bool operator==(const VersionRecord& a, const VersionRecord& b) {
  return a.services == b.services && a.complete_era == b.complete_era;
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

// The record as a daemon knows it, and what the daemon writes next.
class VersionRecordView {
 public:
  struct Options {
    // Time for which no engine of a version is listed before it is closed, so
    // that a restart of its engines costs no writes.
    Duration close_delay = std::chrono::seconds(5);
    // Longest time for which a daemon begins streams by a record that the store
    // has replaced.
    Duration max_age = std::chrono::seconds(5);
  };

  explicit VersionRecordView(const Options& options) : options_(options) {}

  // Sets how long after its first event a stream can be taken up.
  void SetStreamLifetime(Duration lifetime) { lifetime_ = lifetime; }
  // The store is listed for the first time, or begins a new era.
  void OnEraBegun(StoreEra era, MonoTime now);
  // Takes over what was read or written. `record` is absent, and `revision` 0,
  // if there is none.
  void OnRead(std::optional<VersionRecord> record, Revision revision,
              StoreEra era, MonoTime now);

  // Returns the record to be written, the present one if nothing has changed;
  // nullopt if there is none and nothing to record.
  std::optional<VersionRecord> Next(const SoftwareVersionHistory& history,
                                    MonoTime now) const;

  const std::optional<VersionRecord>& record() const { return record_; }
  Revision revision() const { return revision_; }
  StoreEra era() const { return era_; }
  // All versions that the record names, and those at which streams may begin.
  const VersionsByService& recorded() const { return recorded_; }
  const VersionsByService& startable() const { return startable_; }

 private:
  struct SeenClosing {
    VersionRecord::Closing closing;
    MonoTime seen_at{};
  };
  using VersionKey = std::pair<ServiceId, SoftwareVersion>;

  void KeepLostVersions(const std::optional<VersionRecord>& record);
  void UpdateClosings(MonoTime now);
  void UpdateSets();
  // Whether no stream of a closed version can be left.
  bool IsOver(const VersionKey& key, VersionRecord::Closing closing,
              MonoTime now) const;

  const Options options_;
  Duration lifetime_ = std::chrono::seconds(60);
  std::optional<VersionRecord> record_;
  Revision revision_;
  StoreEra record_era_;  // Of the store when it sent record_.
  StoreEra era_;         // The latest one known.
  MonoTime era_seen_at_{};
  // Versions that a record named which the store has lost.
  std::set<VersionKey> lost_;
  std::map<VersionKey, SeenClosing> closings_;
  VersionsByService recorded_;
  VersionsByService startable_;
};

}  // namespace mimosa

#endif  // DECIDE_VERSION_RECORD_H_
