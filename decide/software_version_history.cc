// Sightings of software versions in the list of backend servers.
#include "decide/software_version_history.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace mimosa {
namespace {

// Versions that were last listed longer ago are forgotten.
constexpr Duration kRetention = std::chrono::hours(1);

}  // namespace

void SoftwareVersionHistory::Update(const BackEndList& list, MonoTime now) {
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

VersionsByService SoftwareVersionHistory::Versions(MonoTime now,
                                                   Duration window) const {
  VersionsByService result;
  for (const auto& [service, versions] : sightings_) {
    for (const auto& [version, sighting] : versions)
      if (sighting.listed || now - sighting.last_listed < window)
        result[service].insert(version);
  }
  return result;
}

}  // namespace mimosa
