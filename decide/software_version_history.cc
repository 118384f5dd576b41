// Sightings of software versions in the list of backend servers.
#include "decide/software_version_history.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace mimosa {
namespace {

// Versions that were last listed longer ago are forgotten. Longer than any
// stream lasts.
constexpr Duration kRetention = std::chrono::hours(1);
// Most versions of a service that records of the fleet may add.
constexpr size_t kMaxVersions = 64;

}  // namespace

void SoftwareVersionHistory::Update(const BackEndList& list, MonoTime now) {
  if (!gapless_since_) gapless_since_ = now;
  std::set<std::pair<ServiceId, SoftwareVersion>> listed;
  for (const auto& [id, back_end] : list.entries()) {
    const BackEndEntry& entry = back_end.entry;
    if (entry.role == EngineRole::kNone) continue;
    listed.emplace(entry.service, entry.software_version);
    sightings_[entry.service][entry.software_version].listed = true;
  }
  for (auto& [service, versions] : sightings_) {
    for (auto it = versions.begin(); it != versions.end();) {
      Sighting& sighting = it->second;
      if (sighting.listed && listed.count({service, it->first}) == 0) {
        sighting.listed = false;
        sighting.last_listed = now;
      }
      const bool forgotten =
          !sighting.listed && now - sighting.last_listed >= kRetention;
      it = forgotten ? versions.erase(it) : std::next(it);
    }
  }
}

void SoftwareVersionHistory::RecordSighting(const ServiceId& service,
                                            const SoftwareVersion& version,
                                            MonoTime at) {
  std::map<SoftwareVersion, Sighting>& versions = sightings_[service];
  if (versions.size() >= kMaxVersions && versions.count(version) == 0) return;
  Sighting& sighting = versions[version];
  sighting.last_listed = std::max(sighting.last_listed, at);
}

bool SoftwareVersionHistory::HasSeen(const ServiceId& service,
                                     const SoftwareVersion& version) const {
  const auto versions = sightings_.find(service);
  return versions != sightings_.end() && versions->second.count(version) > 0;
}

bool SoftwareVersionHistory::HasLeft(const ServiceId& service,
                                     const SoftwareVersion& version,
                                     MonoTime now, Duration window) const {
  return IsGapless(now, window) && HasSeen(service, version) &&
         !sightings_.at(service).at(version).IsWithin(now, window);
}

VersionsByService SoftwareVersionHistory::Versions(MonoTime now,
                                                   Duration window) const {
  VersionsByService result;
  for (const auto& [service, versions] : sightings_) {
    for (const auto& [version, sighting] : versions)
      if (sighting.IsWithin(now, window)) result[service].insert(version);
  }
  return result;
}

}  // namespace mimosa
