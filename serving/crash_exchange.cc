// Reports, inquiries and the record of quarantined suspects.
#include "serving/crash_exchange.h"

#include <algorithm>
#include <utility>

#include "base/json.h"
#include "base/saturated_cast.h"
#include "decide/crash_suspects.h"

namespace mimosa {
namespace {

// Queries of one inquiry, in case a datagram is lost.
constexpr int kQueriesPerInquiry = 2;

// Returns a log line about a suspect.
LogLine SuspectLine(const CrashSuspectId& suspect, const char* event) {
  const bool is_request = IsRequest(suspect);
  return LogLine((is_request ? "crashing_request_" : "prompt_part_") +
                 std::string(event))
      .Add(is_request ? "suspect" : "part", suspect.value());
}

std::string JoinIds(const std::vector<BackEndId>& ids) {
  std::string joined;
  for (const BackEndId& id : ids) {
    if (!joined.empty()) joined += ',';
    joined += id.value();
  }
  return joined;
}

}  // namespace

// Its callback runs once, unless the claim is destroyed before.
class CrashExchange::TrialClaim : public CrashTrialClaim {
 public:
  explicit TrialClaim(ClaimCallback callback)
      : callback_(std::make_shared<ClaimCallback>(std::move(callback))) {}
  ~TrialClaim() override { *callback_ = nullptr; }

  // Returns a function that outlives the claim and runs its callback.
  std::function<void(bool granted)> Finisher() const {
    return [callback = callback_](bool granted) {
      // The callback may destroy the claim.
      const ClaimCallback run = std::exchange(*callback, nullptr);
      if (run) run(granted);
    };
  }

 private:
  const std::shared_ptr<ClaimCallback> callback_;
};

CrashExchange::CrashExchange(EventLoop* loop, const MemberList* members,
                             KvStore* store, RandomSource* random, LineLog* log,
                             const Options& options)
    : loop_(loop),
      members_(members),
      store_(store),
      random_(random),
      log_(log),
      options_(options),
      abandoned_(options.abandoned),
      evidence_(options.evidence),
      quarantine_(options.quarantine) {}

CrashExchange::~CrashExchange() = default;

// --- Requests -------------------------------------------------------------

CrashQuarantine::Decision CrashExchange::Decide(
    const std::vector<CrashSuspectId>& suspects) {
  CrashQuarantine::Decision decision =
      quarantine_.Decide(suspects, loop_->Now());
  if (decision.verdict == CrashQuarantine::Verdict::kRefuse)
    ++counters_.refused;
  return decision;
}

std::unique_ptr<CrashTrialClaim> CrashExchange::ClaimTrial(
    const CrashSuspectId& suspect, ClaimCallback callback) {
  auto claim = std::make_unique<TrialClaim>(std::move(callback));
  const auto finish = claim->Finisher();
  const auto recorded = recorded_.find(suspect);
  // Without a record there is nothing that only one daemon can change.
  if (write_ != nullptr || recorded == recorded_.end()) {
    loop_->Post([finish] { finish(false); });
    return claim;
  }
  RecordedSuspects suspects = recorded_;
  const size_t trial = ++suspects[suspect].trials;
  Write(suspects, [this, suspect, trial, finish](KvStatus status) {
    const bool granted = status == KvStatus::kOk;
    if (!pending_.empty()) ScheduleWrite();
    if (granted) {
      ++counters_.trials;
      log_->WriteAlways(SuspectLine(suspect, "trial").Add("trial", trial));
    }
    finish(granted);
  });
  return claim;
}

void CrashExchange::RecordSurvived(
    const std::vector<CrashSuspectId>& suspects) {
  const MonoTime now = loop_->Now();
  for (const CrashSuspectId& suspect : suspects) {
    evidence_.RecordSurvived(suspect, now, now);
    if (quarantine_.Contains(suspect)) Release(suspect);
  }
}

size_t CrashExchange::CountCrashes(
    const std::vector<CrashSuspectId>& suspects) const {
  size_t most = 0;
  for (const CrashSuspectId& suspect : suspects)
    most =
        std::max(most, evidence_.CrashedEngines(suspect, loop_->Now()).size());
  return most;
}

void CrashExchange::RecordAbandoned(const RequestId& request,
                                    const std::vector<CrashSuspectId>& suspects,
                                    const BackEndEntry& engine) {
  abandoned_.Add({request, suspects, engine}, loop_->Now());
}

void CrashExchange::OnBackEndsChanged(const BackEndList& back_ends) {
  for (const AbandonedCall& call :
       abandoned_.TakeEnded(back_ends, loop_->Now()))
    RecordCrash(call.request, call.suspects, call.engine);
}

void CrashExchange::RecordCrash(const RequestId& request,
                                const std::vector<CrashSuspectId>& suspects,
                                const BackEndEntry& engine) {
  const MonoTime now = loop_->Now();
  const std::set<CrashSuspectId> distinct(suspects.begin(), suspects.end());
  CrashReports reports;
  std::string reported;
  for (const CrashSuspectId& suspect : distinct) {
    if (quarantine_.Contains(suspect) ||
        evidence_.TimeSinceSurvived(suspect, now).has_value())
      continue;
    reported += (reported.empty() ? "" : ",") + suspect.value();
    evidence_.RecordCrash(suspect, engine.id, engine.incarnation, now);
    AddReports(suspect, &reports);
    OnEvidence(suspect);
  }
  if (reported.empty()) return;
  ++counters_.crashes;
  log_->Write(LogLine("prompt_crash")
                  .Add("request", request.value())
                  .Add("back_end", engine.id.value())
                  .Add("incarnation", engine.incarnation)
                  .Add("parts", reported));
  for (const auto& [key, report] : reports) SendToMember(key.first, report);
}

// Crashes before this one are reported again: their keepers may have started
// since, or the reports may have been lost.
void CrashExchange::AddReports(const CrashSuspectId& suspect,
                               CrashReports* reports) const {
  const auto engines = evidence_.CrashedEngines(suspect, loop_->Now());
  for (const std::string& keeper :
       members_->TopMembers(suspect.value(), kKeepers)) {
    for (const CrashEvidence::Incarnation& engine : engines) {
      wire::CrashReport* const report =
          (*reports)[{keeper, engine}].mutable_crash_report();
      report->set_back_end(engine.first.value());
      report->set_incarnation(engine.second);
      report->add_suspects(suspect.value());
    }
  }
}

size_t CrashExchange::quarantined_request_count() const {
  return quarantine_.request_count();
}

// --- Evidence of the fleet ------------------------------------------------

void CrashExchange::OnEvidence(const CrashSuspectId& suspect) {
  if (!evidence_.IsConclusive(suspect, loop_->Now()) ||
      quarantine_.Contains(suspect) || inquiries_.count(suspect) > 0)
    return;
  // A daemon that isn't a keeper comes last: the keepers may be out of reach.
  const std::vector<std::string> keepers =
      members_->TopMembers(suspect.value(), kKeepers);
  const auto rank =
      std::find(keepers.begin(), keepers.end(), members_->self().name()) -
      keepers.begin();
  inquiries_[suspect] =
      loop_->After(options_.keeper_delay * rank,
                   [this, suspect] { SendQuery(suspect, kQueriesPerInquiry); });
}

void CrashExchange::SendQuery(const CrashSuspectId& suspect, int queries_left) {
  if (!evidence_.IsConclusive(suspect, loop_->Now()) ||
      quarantine_.Contains(suspect)) {
    inquiries_.erase(suspect);
    return;
  }
  if (queries_left == 0) {
    Quarantine(suspect);
    inquiries_.erase(suspect);
    return;
  }
  wire::UsageDatagram datagram;
  datagram.mutable_suspect_query()->set_suspect(suspect.value());
  SendToAll(datagram);
  inquiries_[suspect] = loop_->After(
      options_.query_interval,
      [this, suspect, queries_left] { SendQuery(suspect, queries_left - 1); });
}

void CrashExchange::Quarantine(const CrashSuspectId& suspect) {
  PendingChange change;
  for (const auto& [engine, incarnation] :
       evidence_.CrashedEngines(suspect, loop_->Now()))
    change.engines.push_back(engine);
  evidence_.ForgetCrashes(suspect);
  ++counters_.quarantined;
  log_->WriteAlways(SuspectLine(suspect, "quarantined")
                        .Add("back_ends", JoinIds(change.engines)));
  notices_.erase(suspect);
  Notify(suspect, &(pending_[suspect] = std::move(change)));
  UpdateQuarantine();
  WritePendingChanges();
}

void CrashExchange::Release(const CrashSuspectId& suspect) {
  ++counters_.released;
  log_->WriteAlways(SuspectLine(suspect, "released"));
  notices_.erase(suspect);
  PendingChange change;
  change.release = true;
  Notify(suspect, &(pending_[suspect] = std::move(change)));
  UpdateQuarantine();
  WritePendingChanges();
}

void CrashExchange::Notify(const CrashSuspectId& suspect,
                           PendingChange* change) {
  change->notified_at = loop_->Now();
  wire::UsageDatagram datagram;
  datagram.mutable_suspect_notice()->set_suspect(suspect.value());
  datagram.mutable_suspect_notice()->set_released(change->release);
  SendToAll(datagram);
}

void CrashExchange::OnDatagram(const Endpoint& from,
                               const wire::UsageDatagram& datagram) {
  if (datagram.has_suspect_query()) {
    const CrashSuspectId suspect(datagram.suspect_query().suspect());
    const auto age = evidence_.TimeSinceSurvived(suspect, loop_->Now());
    if (!age || socket_ == nullptr) return;
    wire::UsageDatagram answer;
    answer.mutable_suspect_answer()->set_suspect(suspect.value());
    answer.mutable_suspect_answer()->set_age_ms(
        SaturatedCast<uint32_t>(ToMillis(*age)));
    socket_->Send(from, answer.SerializeAsString());
    return;
  }
  const bool is_evidence = datagram.has_crash_report() ||
                           datagram.has_suspect_answer() ||
                           datagram.has_suspect_notice();
  if (!is_evidence || !members_->IsMemberAddress(from)) return;
  if (datagram.has_crash_report()) HandleCrashReport(datagram.crash_report());
  if (datagram.has_suspect_answer()) {
    const MonoTime now = loop_->Now();
    const wire::CrashSuspectAnswer& answer = datagram.suspect_answer();
    evidence_.RecordSurvived(CrashSuspectId(answer.suspect()),
                             now - std::chrono::milliseconds(answer.age_ms()),
                             now);
  }
  if (datagram.has_suspect_notice()) HandleNotice(datagram.suspect_notice());
}

void CrashExchange::HandleCrashReport(const wire::CrashReport& report) {
  const MonoTime now = loop_->Now();
  for (const std::string& name : report.suspects()) {
    const CrashSuspectId suspect(name);
    if (quarantine_.Contains(suspect)) continue;
    evidence_.RecordCrash(suspect, BackEndId(report.back_end()),
                          report.incarnation(), now);
    OnEvidence(suspect);
  }
}

void CrashExchange::HandleNotice(const wire::CrashSuspectNotice& notice) {
  const CrashSuspectId suspect(notice.suspect());
  const MonoTime now = loop_->Now();
  if (notice.released()) {
    evidence_.RecordSurvived(suspect, now, now);
  } else if (evidence_.TimeSinceSurvived(suspect, now)) {
    // The sender's query was lost, or sent before the run generated.
    Release(suspect);
    return;
  }
  pending_.erase(suspect);  // The sender writes the record.
  notices_[suspect] = {notice.released(), now + options_.notice_lifetime};
  UpdateQuarantine();
}

void CrashExchange::SendToMember(const std::string& name,
                                 const wire::UsageDatagram& datagram) {
  const auto to = members_->FindAddress(name);
  if (to && socket_ != nullptr)
    socket_->Send(*to, datagram.SerializeAsString());
}

void CrashExchange::SendToAll(const wire::UsageDatagram& datagram) {
  for (const auto& [name, member] : members_->others())
    SendToMember(name, datagram);
}

// --- The record -----------------------------------------------------------

void CrashExchange::OnStoreRestored() {
  for (const auto& [suspect, recorded] : recorded_) {
    PendingChange change;
    change.engines = recorded.engines;
    change.notified_at = loop_->Now();  // All daemons know it.
    pending_.emplace(suspect, std::move(change));
  }
  // The whole fleet writes, and the first write serves all.
  if (!pending_.empty()) ScheduleWrite();
}

void CrashExchange::OnRecord(const KvRecord* record) {
  // The watch may be behind a write of this daemon.
  if (record != nullptr && record->revision < revision_) return;
  ApplyRecord(record);
  if (!write_timer_) WritePendingChanges();
}

void CrashExchange::ApplyRecord(const KvRecord* record) {
  const Revision revision = record == nullptr ? Revision(0) : record->revision;
  wire::CrashQuarantineRecord parsed;
  if (record != nullptr && !FromJson(record->value, /*strict=*/false, &parsed))
    log_->Write(LogLine("prompt_quarantine_unreadable")
                    .Add("revision", revision.count()));
  revision_ = revision;
  recorded_.clear();
  for (const wire::QuarantinedSuspect& item : parsed.parts()) {
    if (recorded_.size() >= CrashQuarantine::kMaxSuspects) break;
    RecordedSuspect& suspect = recorded_[CrashSuspectId(item.part())];
    suspect.trials = item.trials();
    for (const std::string& engine : item.back_ends())
      suspect.engines.emplace_back(engine);
  }
  UpdateQuarantine();
}

void CrashExchange::UpdateQuarantine() {
  const MonoTime now = loop_->Now();
  const auto is_recorded = [this](const CrashSuspectId& suspect) {
    return recorded_.count(suspect) > 0;
  };
  for (auto it = pending_.begin(); it != pending_.end();)
    it = is_recorded(it->first) != it->second.release ? pending_.erase(it)
                                                      : std::next(it);
  for (auto it = notices_.begin(); it != notices_.end();)
    it = now >= it->second.expires_at ||
                 is_recorded(it->first) != it->second.released
             ? notices_.erase(it)
             : std::next(it);
  std::map<CrashSuspectId, size_t> trials;
  for (const auto& [suspect, recorded] : recorded_)
    trials[suspect] = recorded.trials;
  const auto apply = [&trials](const CrashSuspectId& suspect, bool release) {
    if (release) {
      trials.erase(suspect);
    } else {
      trials.emplace(suspect, 0);
    }
  };
  for (const auto& [suspect, notice] : notices_)
    apply(suspect, notice.released);
  for (const auto& [suspect, change] : pending_) apply(suspect, change.release);
  quarantine_.ReleaseAllExcept(trials);
  for (const auto& [suspect, used] : trials)
    quarantine_.Add(suspect, used, now);
}

void CrashExchange::WritePendingChanges() {
  if (pending_.empty() || write_ != nullptr) return;
  const MonoTime now = loop_->Now();
  RecordedSuspects suspects = recorded_;
  for (auto& [suspect, change] : pending_) {
    if (now - change.notified_at >= options_.notice_interval)
      Notify(suspect, &change);
    if (change.release) {
      suspects.erase(suspect);
    } else {
      suspects.emplace(suspect, RecordedSuspect{0, change.engines});
    }
  }
  Write(suspects, [this, suspects](KvStatus status) {
    if (status != KvStatus::kOk) {
      ScheduleWrite();
      return;
    }
    // A run may have generated while the write was in flight.
    for (const auto& [suspect, recorded] : suspects)
      if (quarantine_.Contains(suspect) &&
          evidence_.TimeSinceSurvived(suspect, loop_->Now()))
        Release(suspect);
    WritePendingChanges();
  });
}

void CrashExchange::Write(const RecordedSuspects& suspects,
                          std::function<void(KvStatus status)> done) {
  wire::CrashQuarantineRecord record;
  for (const auto& [suspect, recorded] : suspects) {
    // Beyond its bound, the quarantine has dropped some.
    if (!quarantine_.Contains(suspect)) continue;
    wire::QuarantinedSuspect* const item = record.add_parts();
    item->set_part(suspect.value());
    item->set_trials(static_cast<uint32_t>(recorded.trials));
    for (const BackEndId& engine : recorded.engines)
      item->add_back_ends(engine.value());
  }
  std::string value = ToJson(record);
  write_ = store_->Put(
      options_.record_key, value, revision_, /*lease=*/"",
      [this, value, done = std::move(done)](const KvResult& result) {
        previous_write_ = std::move(write_);
        KvRecord present = result.record;
        if (result.status == KvStatus::kOk) {
          present.value = value;
          ApplyRecord(&present);
        } else if (result.status == KvStatus::kConflict) {
          ApplyRecord(present.revision == Revision(0) ? nullptr : &present);
        }
        done(result.status);
      });
}

void CrashExchange::ScheduleWrite() {
  const Duration jitter =
      Scaled(options_.write_retry_delay, random_->UniformDouble());
  write_timer_ = loop_->After(options_.write_retry_delay + jitter, [this] {
    write_timer_.Cancel();
    WritePendingChanges();
  });
}

}  // namespace mimosa
