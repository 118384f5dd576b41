// Content of the record of versions, and what it implies.
#include "decide/version_record.h"

namespace mimosa {

std::optional<SoftwareVersion> ImpliedVersion(const VersionReading& reading,
                                              const ServiceId& service) {
  if (reading.record.complete_era != reading.era) return std::nullopt;
  const auto versions = reading.record.versions.find(service);
  if (versions == reading.record.versions.end() || versions->second.size() != 1)
    return std::nullopt;
  return *versions->second.begin();
}

VersionRecord NextVersionRecord(const std::optional<VersionRecord>& present,
                                const SoftwareVersionHistory& history,
                                StoreEra era, MonoTime now, Duration window) {
  VersionRecord next;
  next.versions = history.Versions(now, window);
  next.complete_era = era;
  if (!present) return next;
  for (const auto& [service, versions] : present->versions)
    for (const SoftwareVersion& version : versions)
      if (!history.HasLeft(service, version, now, window))
        next.versions[service].insert(version);
  // What the copy lacks may have begun streams before this daemon listed the
  // engines in the new era.
  if (present->complete_era != era && !history.IsGapless(now, window))
    next.complete_era = present->complete_era;
  return next;
}

}  // namespace mimosa
