// Lists and watches the store, and applies the records.
#include "serving/site_sync.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "base/text.h"

namespace mimosa {

SiteSync::SiteSync(EventLoop* loop, KvStore* store, const SiteFormat* format,
                   RandomSource* random, LineLog* log, BackEndList* back_ends,
                   const Options& options)
    : loop_(loop),
      store_(store),
      format_(format),
      random_(random),
      log_(log),
      back_ends_(back_ends),
      options_(options) {}

SiteSync::~SiteSync() = default;

void SiteSync::Start() { List(); }

void SiteSync::List() {
  previous_call_ = std::move(call_);
  call_ =
      store_->List("", [this](const KvListResult& result) { OnList(result); });
}

void SiteSync::OnList(const KvListResult& result) {
  if (result.status != KvStatus::kOk) {
    OnStoreLost(result.status);
    ScheduleRetry([this] { List(); });
    return;
  }
  OnStoreRegained();
  const bool is_restored = listed_ && result.era != era_;
  era_ = result.era;
  if (is_restored)
    log_->WriteAlways(LogLine("store_restored")
                          .Add("era", era_.count())
                          .Add("revision", revision_.count()));
  if (on_era_ && (is_restored || !listed_)) on_era_(era_, !listed_);
  listed_ = true;
  const auto is_back_end = [this](const KvRecord& record) {
    return StartsWith(record.key, format_->back_end_prefix());
  };
  std::vector<BackEndEntry> entries;
  for (const KvRecord& record : result.records) {
    if (!is_back_end(record)) continue;
    if (auto entry = ReadBackEnd(record)) entries.push_back(*std::move(entry));
  }
  ApplyListedEvacuations(result, /*is_older_copy=*/is_restored);
  if (is_restored) {
    back_ends_->ReplaceByOlderCopy(std::move(entries), loop_->Now());
  } else {
    back_ends_->ReplaceAll(std::move(entries), loop_->Now());
  }
  if (on_back_ends_) on_back_ends_();
  ScheduleExpiry();
  ApplyMissingRecords(result);
  // Applied after the servers, since some of these records refer to them.
  for (const KvRecord& record : result.records)
    if (!is_back_end(record) && !IsEvacuation(record.key)) ApplyRecord(record);
  revision_ = result.revision;
  log_->WriteAlways(LogLine("site_listed")
                        .Add("revision", revision_.count())
                        .Add("era", era_.count())
                        .Add("back_ends", back_ends_->entries().size()));
  Watch();
}

void SiteSync::Watch() {
  previous_call_ = std::move(call_);
  // While the store is lost, the watch waits only briefly, so that the store's
  // recovery is detected at once.
  call_ = store_->Watch(
      "", revision_,
      store_lost_ ? options_.probe_timeout : options_.watch_timeout,
      [this](const KvListResult& result) { OnWatch(result); });
}

void SiteSync::OnWatch(const KvListResult& result) {
  if (result.status == KvStatus::kCompacted) {
    OnStoreRegained();
    log_->WriteAlways(
        LogLine("watch_compacted").Add("revision", revision_.count()));
    List();
    return;
  }
  if (result.status != KvStatus::kOk) {
    OnStoreLost(result.status);
    ScheduleRetry([this] { Watch(); });
    return;
  }
  OnStoreRegained();
  for (const KvRecord& record : result.records) ApplyRecord(record);
  for (const std::string& key : result.deleted) ApplyRemoval(key);
  revision_ = std::max(revision_, result.revision);
  evacuations_as_of_ = std::max(evacuations_as_of_, revision_);
  const bool changed = !result.records.empty() || !result.deleted.empty();
  if (!changed) {
    Watch();
    return;
  }
  if (on_back_ends_) on_back_ends_();
  batch_timer_ = loop_->After(options_.batch_delay, [this] { Watch(); });
}

void SiteSync::OnStoreLost(KvStatus status) {
  if (!store_lost_) {
    log_->WriteAlways(LogLine("store_lost")
                          .Add("status", KvStatusName(status))
                          .Add("revision", revision_.count()));
  }
  const bool was_lost = std::exchange(store_lost_, true);
  back_ends_->OnStoreLost();
  if (!was_lost && on_store_lost_) on_store_lost_();
}

void SiteSync::OnStoreRegained() {
  const MonoTime now = loop_->Now();
  last_contact_ = now;
  if (on_contact_) on_contact_();
  if (!store_lost_) return;
  store_lost_ = false;
  back_ends_->OnStoreRegained(now);
  if (on_store_regained_) on_store_regained_();
  ScheduleExpiry();
  log_->WriteAlways(
      LogLine("store_regained").Add("revision", revision_.count()));
}

void SiteSync::ScheduleRetry(std::function<void()> action) {
  const Duration jitter =
      Scaled(options_.retry_delay, random_->UniformDouble());
  retry_timer_ = loop_->After(options_.retry_delay + jitter, std::move(action));
}

void SiteSync::ApplyRecord(const KvRecord& record) {
  if (record.key == format_->config_key()) {
    ApplyConfig(record);
  } else if (IsEvacuation(record.key)) {
    std::set<FailureDomain> evacuated = evacuated_;
    evacuated.insert(EvacuatedDomain(record.key));
    SetEvacuated(std::move(evacuated));
  } else if (StartsWith(record.key, format_->back_end_prefix())) {
    ApplyBackEnd(record);
  } else if (StartsWith(record.key, options_.record_prefix)) {
    const std::string name = record.key.substr(options_.record_prefix.size());
    record_names_.insert(name);
    if (on_record_) on_record_(name, &record);
  }
}

void SiteSync::ApplyMissingRecords(const KvListResult& listing) {
  std::set<std::string> missing = record_names_;
  for (const KvRecord& record : listing.records)
    if (StartsWith(record.key, options_.record_prefix))
      missing.erase(record.key.substr(options_.record_prefix.size()));
  for (const std::string& name : missing)
    ApplyRemoval(options_.record_prefix + name);
}

void SiteSync::ApplyRemoval(const std::string& key) {
  if (StartsWith(key, format_->back_end_prefix())) {
    const BackEndId id(key.substr(format_->back_end_prefix().size()));
    back_ends_->Remove(id, loop_->Now());
    ScheduleExpiry();
    log_->Write(LogLine("back_end_removed")
                    .Add("back_end", id.value())
                    .Add("held", back_ends_->entries().count(id) != 0)
                    .Add("revision", revision_.count()));
  } else if (IsEvacuation(key)) {
    std::set<FailureDomain> evacuated = evacuated_;
    evacuated.erase(EvacuatedDomain(key));
    SetEvacuated(std::move(evacuated));
  } else if (StartsWith(key, options_.record_prefix)) {
    const std::string name = key.substr(options_.record_prefix.size());
    record_names_.erase(name);
    if (on_record_) on_record_(name, nullptr);
  }
}

bool SiteSync::IsEvacuation(const std::string& key) const {
  return StartsWith(key, format_->evacuation_prefix()) &&
         key.size() > format_->evacuation_prefix().size();
}

FailureDomain SiteSync::EvacuatedDomain(const std::string& key) const {
  return FailureDomain(key.substr(format_->evacuation_prefix().size()));
}

void SiteSync::ApplyListedEvacuations(const KvListResult& listing,
                                      bool is_older_copy) {
  std::set<FailureDomain> evacuated;
  // An older copy of the records ends no evacuation; the watch that follows
  // reports what has changed since.
  if (is_older_copy || listing.revision < evacuations_as_of_)
    evacuated = evacuated_;
  evacuations_as_of_ = std::max(evacuations_as_of_, listing.revision);
  for (const KvRecord& record : listing.records)
    if (IsEvacuation(record.key)) evacuated.insert(EvacuatedDomain(record.key));
  SetEvacuated(std::move(evacuated));
}

void SiteSync::SetEvacuated(std::set<FailureDomain> evacuated) {
  if (evacuated == evacuated_) return;
  evacuated_ = std::move(evacuated);
  if (on_evacuation_) on_evacuation_(evacuated_);
}

bool SiteSync::SupersedesConfig(int64_t version, size_t digest) const {
  // An older version never replaces the version in force.
  if (config_ == nullptr || version > config_->version()) return true;
  // A version that the store has lost may be given out again.
  return version == config_->version() && era_ > config_era_ &&
         digest != config_digest_;
}

void SiteSync::ApplyConfig(const KvRecord& record) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(config, format_->ReadConfig(record.value));
        const size_t digest = std::hash<std::string>()(record.value);
        const bool supersedes = SupersedesConfig(config->version(), digest);
        if (supersedes || config->version() == config_->version())
          config_era_ = era_;
        if (!supersedes) return {};
        config_ = config;
        config_digest_ = digest;
        log_->WriteAlways(LogLine("configuration_in_force")
                              .Add("version", config->version())
                              .Add("revision", record.revision.count())
                              .Add("routes", config->routes().size())
                              .Add("customers", config->customers().size()));
        if (on_config_) on_config_(*config);
        return {};
      },
      [&](const SiteFormatError& error) {
        log_->WriteAlways(LogLine("configuration_unreadable")
                              .Add("revision", record.revision.count())
                              .Add("field", error.field)
                              .Add("why", SiteFormatErrorName(error.kind)));
      },
      [&] {
        log_->WriteAlways(LogLine("configuration_unreadable")
                              .Add("revision", record.revision.count())
                              .Add("why", "unknown error"));
      });
}

std::optional<BackEndEntry> SiteSync::ReadBackEnd(const KvRecord& record) {
  const BackEndId id(record.key.substr(format_->back_end_prefix().size()));
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<BackEndEntry>> {
        BOOST_LEAF_AUTO(entry, format_->ReadBackEnd(id, record.value));
        return std::optional<BackEndEntry>(std::move(entry));
      },
      [&](const SiteFormatError& error) {
        log_->Write(LogLine("back_end_unreadable")
                        .Add("back_end", id.value())
                        .Add("field", error.field)
                        .Add("why", SiteFormatErrorName(error.kind)));
        return std::optional<BackEndEntry>();
      },
      [] { return std::optional<BackEndEntry>(); });
}

void SiteSync::ApplyBackEnd(const KvRecord& record) {
  std::optional<BackEndEntry> entry = ReadBackEnd(record);
  if (!entry) {
    back_ends_->Remove(
        BackEndId(record.key.substr(format_->back_end_prefix().size())),
        loop_->Now());
    ScheduleExpiry();
    return;
  }
  log_->Write(LogLine("back_end_changed")
                  .Add("back_end", entry->id.value())
                  .Add("service", entry->service.value())
                  .Add("role", RoleName(entry->role))
                  .Add("draining", entry->draining)
                  .Add("incarnation", entry->incarnation)
                  .Add("software_version", entry->software_version.value())
                  .Add("revision", record.revision.count()));
  back_ends_->Put(*std::move(entry), loop_->Now());
}

void SiteSync::ScheduleExpiry() {
  const auto expiry = back_ends_->NextExpiry();
  if (!expiry) return;
  const Duration wait = std::max(Duration::zero(), *expiry - loop_->Now());
  expiry_timer_ = loop_->After(wait, [this] {
    back_ends_->RemoveExpired(loop_->Now());
    if (on_back_ends_) on_back_ends_();
    ScheduleExpiry();
  });
}

}  // namespace mimosa
