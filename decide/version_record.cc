// Content of the record of versions, and what it implies.
#include "decide/version_record.h"

namespace mimosa {
namespace {

bool Contains(const VersionsByService& set, const ServiceId& service,
              const SoftwareVersion& version) {
  const auto versions = set.find(service);
  return versions != set.end() && versions->second.count(version) > 0;
}

}  // namespace

std::optional<SoftwareVersion> ImpliedVersion(const VersionReading& reading,
                                              const ServiceId& service) {
  if (reading.record.complete_era != reading.era) return std::nullopt;
  const auto versions = reading.record.services.find(service);
  if (versions == reading.record.services.end() || versions->second.size() != 1)
    return std::nullopt;
  return versions->second.begin()->first;
}

void VersionRecordView::OnEraBegun(StoreEra era, MonoTime now) {
  era_ = era;
  era_seen_at_ = now;
}

void VersionRecordView::OnRead(std::optional<VersionRecord> record,
                               Revision revision, StoreEra era, MonoTime now) {
  const bool follows = record && era == record_era_ && revision > revision_;
  if (!follows) KeepLostVersions(record);
  if (era != era_) OnEraBegun(era, now);
  record_ = std::move(record);
  record_era_ = era;
  revision_ = revision;
  UpdateClosings(now);
  UpdateSets();
}

void VersionRecordView::KeepLostVersions(
    const std::optional<VersionRecord>& record) {
  for (const auto& [service, versions] : recorded_) {
    for (const SoftwareVersion& version : versions) {
      const bool is_lost = !record || record->services.count(service) == 0 ||
                           record->services.at(service).count(version) == 0;
      if (is_lost) lost_.emplace(service, version);
    }
  }
}

void VersionRecordView::UpdateClosings(MonoTime now) {
  std::map<VersionKey, SeenClosing> closings;
  if (record_) {
    for (const auto& [service, versions] : record_->services) {
      for (const auto& [version, closing] : versions) {
        const VersionKey key(service, version);
        lost_.erase(key);
        if (!closing) continue;
        const auto seen = closings_.find(key);
        const bool is_known =
            seen != closings_.end() && seen->second.closing == *closing;
        closings[key] = is_known ? seen->second : SeenClosing{*closing, now};
      }
    }
  }
  closings_ = std::move(closings);
}

void VersionRecordView::UpdateSets() {
  recorded_.clear();
  startable_.clear();
  if (!record_) return;
  for (const auto& [service, versions] : record_->services) {
    for (const auto& [version, closing] : versions) {
      recorded_[service].insert(version);
      if (!closing) startable_[service].insert(version);
    }
  }
}

bool VersionRecordView::IsOver(const VersionKey& key,
                               VersionRecord::Closing closing,
                               MonoTime now) const {
  const auto seen = closings_.find(key);
  return seen != closings_.end() && seen->second.closing == closing &&
         now - seen->second.seen_at >= options_.max_age + lifetime_;
}

std::optional<VersionRecord> VersionRecordView::Next(
    const SoftwareVersionHistory& history, MonoTime now) const {
  VersionRecord next;
  if (record_) next.services = record_->services;
  for (const auto& [service, version] : lost_)
    next.services[service].emplace(version, std::nullopt);
  const VersionsByService listed = history.Versions(now, Duration::zero());
  for (const auto& [service, versions] : listed)
    for (const SoftwareVersion& version : versions)
      next.services[service][version].reset();
  const VersionsByService in_use = history.Versions(now, options_.close_delay);
  for (auto service = next.services.begin(); service != next.services.end();) {
    VersionRecord::Versions& versions = service->second;
    for (auto it = versions.begin(); it != versions.end();) {
      auto& [version, closing] = *it;
      if (!closing && !Contains(in_use, service->first, version))
        closing = revision_;
      const bool is_over =
          closing && IsOver({service->first, version}, *closing, now);
      it = is_over ? versions.erase(it) : std::next(it);
    }
    service =
        versions.empty() ? next.services.erase(service) : std::next(service);
  }
  if (!record_ && next.services.empty()) return std::nullopt;
  // In a new era, streams may have begun at versions that the store has lost.
  const bool is_complete = !record_ || record_->complete_era == era_ ||
                           now - era_seen_at_ >= options_.max_age + lifetime_;
  next.complete_era = is_complete ? era_ : record_->complete_era;
  return next;
}

}  // namespace mimosa
