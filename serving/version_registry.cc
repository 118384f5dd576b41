// Writes and readings of the record of versions.
#include "serving/version_registry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/json.h"
#include "wire/usage.pb.h"

namespace mimosa {
namespace {

// Rendezvous key of the members that write the record.
constexpr char kWriterKey[] = "service_versions";

std::string ToText(const VersionRecord& record) {
  wire::ServiceVersionsRecord message;
  message.set_complete_era(record.complete_era.count());
  for (const auto& [service, versions] : record.services) {
    wire::ServiceVersions* const item = message.add_services();
    item->set_service(service.value());
    for (const auto& [version, closing] : versions) {
      item->add_software_versions(version.value());
      if (!closing) continue;
      wire::ClosedVersion* const closed = item->add_closed();
      closed->set_software_version(version.value());
      closed->set_closing(closing->count());
    }
  }
  return ToJson(message);
}

}  // namespace

VersionRegistry::VersionRegistry(EventLoop* loop, const MemberList* members,
                                 KvStore* store, const BackEndList* back_ends,
                                 RandomSource* random, LineLog* log,
                                 IsListCurrent is_list_current,
                                 const Options& options)
    : loop_(loop),
      members_(members),
      store_(store),
      back_ends_(back_ends),
      random_(random),
      log_(log),
      is_list_current_(std::move(is_list_current)),
      options_(options),
      view_(options.record) {}

const std::set<SoftwareVersion>& VersionRegistry::StartableVersions(
    const ServiceId& service) const {
  static const std::set<SoftwareVersion> kNone;
  const auto versions = view_.startable().find(service);
  return versions == view_.startable().end() ? kNone : versions->second;
}

size_t VersionRegistry::Rank() const {
  const std::vector<std::string> first =
      members_->TopMembers(kWriterKey, options_.max_turns);
  const auto own =
      std::find(first.begin(), first.end(), members_->self().name());
  return own == first.end() ? options_.max_turns
                            : static_cast<size_t>(own - first.begin());
}

// --- The record -----------------------------------------------------------

void VersionRegistry::OnBackEndsChanged() {
  history_.Update(*back_ends_, loop_->Now());
  Update();
}

void VersionRegistry::OnEraBegun(StoreEra era) {
  view_.OnEraBegun(era, loop_->Now());
}

void VersionRegistry::OnRecord(const KvRecord* record) {
  // A lower revision is that of a watch which is behind a write of this daemon,
  // or of a store that has come back from an older copy. If a version is
  // missing, the write that follows tells which: it fails in the first case.
  Apply(record, view_.era());
}

std::optional<VersionRecord> VersionRegistry::Parse(
    const KvRecord& record) const {
  wire::ServiceVersionsRecord message;
  if (!FromJson(record.value, /*strict=*/false, &message)) {
    log_->Write(LogLine("service_versions_unreadable")
                    .Add("revision", record.revision.count()));
    return std::nullopt;
  }
  VersionRecord parsed;
  parsed.complete_era = StoreEra(message.complete_era());
  for (const wire::ServiceVersions& item : message.services()) {
    VersionRecord::Versions& versions =
        parsed.services[ServiceId(item.service())];
    for (const std::string& name : item.software_versions())
      versions[SoftwareVersion(name)];
    for (const wire::ClosedVersion& closed : item.closed())
      versions[SoftwareVersion(closed.software_version())] =
          VersionRecord::Closing(closed.closing());
  }
  return parsed;
}

void VersionRegistry::Apply(const KvRecord* record, StoreEra era) {
  std::optional<VersionRecord> content;
  if (record != nullptr) {
    content = Parse(*record);
    // What an unreadable record named is unknown.
    if (!content) content = VersionRecord{{}, StoreEra(-1)};
  }
  const VersionsByService before = view_.recorded();
  view_.OnRead(std::move(content),
               record == nullptr ? Revision(0) : record->revision, era,
               loop_->Now());
  if (view_.recorded() != before) {
    LogRecord();
    if (on_change_) on_change_();
  }
  Update();
}

void VersionRegistry::LogRecord() const {
  for (const auto& [service, versions] : view_.recorded()) {
    std::string names;
    for (const SoftwareVersion& version : versions)
      names += (names.empty() ? "" : " ") + version.value();
    log_->Write(LogLine("service_versions_recorded")
                    .Add("service", service.value())
                    .Add("software_versions", names)
                    .Add("revision", view_.revision().count()));
  }
}

std::optional<VersionRecord> VersionRegistry::FindDueRecord() const {
  if (!is_list_current_()) return std::nullopt;
  auto next = view_.Next(history_, loop_->Now());
  if (next == view_.record()) return std::nullopt;
  return next;
}

void VersionRegistry::Update() {
  if (write_timer_ || call_ != nullptr) return;
  check_timer_.Cancel();
  if (!FindDueRecord()) {
    has_looked_ = false;
    // A version is closed and removed some time after its last engine has left.
    check_timer_ = loop_->After(options_.check_interval, [this] { Check(); });
  } else if (Rank() == 0 || has_looked_) {
    ScheduleWrite(Duration::zero());
  } else {
    has_looked_ = true;
    check_timer_ =
        loop_->After(options_.look_delay +
                         Scaled(options_.look_jitter, random_->UniformDouble()),
                     [this] { ReadRecord(); });
  }
}

void VersionRegistry::Check() {
  check_timer_.Cancel();
  if (!is_list_current_() || Rank() >= options_.max_turns) {
    Update();
  } else {
    ReadRecord();
  }
}

void VersionRegistry::ReadRecord() {
  check_timer_.Cancel();
  call_revision_ = view_.revision();
  call_ = store_->Get(options_.key, [this](const KvResult& result) {
    const bool is_current = EndCall();
    if (is_current && result.status == KvStatus::kNotFound) {
      Apply(nullptr, result.era);
    } else if (is_current && result.status == KvStatus::kOk &&
               result.record.revision != view_.revision()) {
      Apply(&result.record, result.era);
    } else {
      // An unchanged record doesn't show that its versions still count.
      Update();
    }
  });
}

bool VersionRegistry::EndCall() {
  finished_call_ = std::move(call_);
  return view_.revision() == call_revision_;
}

void VersionRegistry::ScheduleWrite(Duration min_delay) {
  const size_t rank = Rank();
  Duration jitter{};
  if (members_->others().empty()) {
    // The members of a fleet that starts don't know of each other yet.
    jitter = options_.first_write_jitter;
  } else if (rank >= options_.max_turns) {
    jitter = options_.last_write_jitter;
  }
  write_timer_ =
      loop_->After(min_delay + options_.turn * static_cast<int64_t>(rank) +
                       Scaled(jitter, random_->UniformDouble()),
                   [this] { Write(); });
}

void VersionRegistry::Write() {
  write_timer_.Cancel();
  const auto record = FindDueRecord();
  if (!record) {
    Update();
    return;
  }
  const std::string value = ToText(*record);
  call_revision_ = view_.revision();
  call_ = store_->Put(
      options_.key, value, view_.revision(), /*lease=*/"",
      [this, value](const KvResult& result) { OnWritten(value, result); });
}

void VersionRegistry::OnWritten(const std::string& value,
                                const KvResult& result) {
  KvRecord present = result.record;
  if (!EndCall()) {
    Update();
  } else if (result.status == KvStatus::kOk) {
    present.value = value;
    Apply(&present, result.era);
  } else if (result.status == KvStatus::kConflict) {
    Apply(present.revision == Revision(0) ? nullptr : &present, result.era);
  } else {
    log_->Write(LogLine("service_versions_unwritten")
                    .Add("status", KvStatusName(result.status)));
    ScheduleWrite(options_.retry_delay);
  }
}

// --- Readings -------------------------------------------------------------

std::unique_ptr<VersionRegistry::Question> VersionRegistry::Read(
    ReadCallback callback) {
  const uint64_t serial = ++last_serial_;
  questions_[serial] = {std::move(callback)};
  ScheduleReading();
  return std::make_unique<Question>(this, serial);
}

void VersionRegistry::ScheduleReading() {
  if (is_reading_ || reading_timer_) return;
  const Duration interval = options_.read_interval_per_member *
                            static_cast<int64_t>(members_->size());
  reading_timer_ = loop_->After(
      std::max(Duration::zero(), last_reading_at_ + interval - loop_->Now()),
      [this] { StartReading(); });
}

void VersionRegistry::StartReading() {
  reading_timer_.Cancel();
  if (questions_.empty()) return;
  for (auto& [serial, question] : questions_) question.is_asked = true;
  is_reading_ = true;
  last_reading_at_ = loop_->Now();
  if (!is_list_current_()) {
    // The store doesn't answer this daemon.
    OnReading(std::nullopt);
    return;
  }
  reading_timer_ =
      loop_->After(options_.read_timeout, [this] { OnReading(std::nullopt); });
  reading_call_ = store_->Get(options_.key, [this](const KvResult& result) {
    std::optional<VersionReading> reading;
    if (result.status == KvStatus::kOk) {
      if (const auto record = Parse(result.record))
        reading = VersionReading{*record, result.era};
    } else if (result.status == KvStatus::kNotFound) {
      // No stream has begun.
      reading = VersionReading{{{}, result.era}, result.era};
    }
    OnReading(reading);
  });
}

void VersionRegistry::OnReading(const std::optional<VersionReading>& reading) {
  reading_timer_.Cancel();
  finished_reading_call_ = std::move(reading_call_);
  is_reading_ = false;
  std::vector<uint64_t> asked;
  for (const auto& [serial, question] : questions_)
    if (question.is_asked) asked.push_back(serial);
  for (const uint64_t serial : asked) {
    // A callback may drop other questions.
    const auto question = questions_.find(serial);
    if (question == questions_.end()) continue;
    const ReadCallback callback = std::move(question->second.callback);
    questions_.erase(question);
    callback(reading);
  }
  if (!questions_.empty()) ScheduleReading();
}

}  // namespace mimosa
