// Reports, inquiries and the record of quarantined parts.
#include "serving/prompt_crash_exchange.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace mimosa {
namespace {

// Queries of one inquiry, in case a datagram is lost.
constexpr int kQueriesPerInquiry = 2;

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
class PromptCrashExchange::TrialClaim : public PromptTrialClaim {
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

PromptCrashExchange::PromptCrashExchange(EventLoop* loop,
                                         const MemberList* members,
                                         KvStore* store, RandomSource* random,
                                         LineLog* log, const Options& options)
    : loop_(loop),
      members_(members),
      store_(store),
      random_(random),
      log_(log),
      options_(options),
      evidence_(options.evidence),
      quarantine_(options.quarantine) {}

PromptCrashExchange::~PromptCrashExchange() = default;

// --- Requests -------------------------------------------------------------

PromptQuarantine::Decision PromptCrashExchange::Decide(
    const std::vector<PromptPartId>& parts) {
  PromptQuarantine::Decision decision = quarantine_.Decide(parts, loop_->Now());
  if (decision.verdict == PromptQuarantine::Verdict::kRefuse)
    ++counters_.refused;
  return decision;
}

std::unique_ptr<PromptTrialClaim> PromptCrashExchange::ClaimTrial(
    const PromptPartId& part, ClaimCallback callback) {
  auto claim = std::make_unique<TrialClaim>(std::move(callback));
  const auto finish = claim->Finisher();
  const auto recorded = recorded_.find(part);
  // Without a record there is nothing that only one daemon can change.
  if (write_ != nullptr || recorded == recorded_.end()) {
    loop_->Post([finish] { finish(false); });
    return claim;
  }
  RecordedParts parts = recorded_;
  const size_t trial = ++parts[part].trials;
  Write(parts, [this, part, trial, finish](KvStatus status) {
    const bool granted = status == KvStatus::kOk;
    if (!pending_.empty()) ScheduleWrite();
    if (granted) {
      ++counters_.trials;
      log_->WriteAlways(LogLine("prompt_part_trial")
                            .Add("part", part.value())
                            .Add("trial", trial));
    }
    finish(granted);
  });
  return claim;
}

void PromptCrashExchange::RecordGenerated(
    const std::vector<PromptPartId>& parts) {
  const MonoTime now = loop_->Now();
  for (const PromptPartId& part : parts) {
    evidence_.RecordGenerated(part, now, now);
    if (quarantine_.Contains(part)) Release(part);
  }
}

void PromptCrashExchange::RecordCrash(const RequestId& request,
                                      const std::vector<PromptPartId>& parts,
                                      const BackEndEntry& engine) {
  const MonoTime now = loop_->Now();
  const std::set<PromptPartId> distinct(parts.begin(), parts.end());
  std::map<std::string, wire::UsageDatagram> reports;  // By keeper.
  std::string reported;
  for (const PromptPartId& part : distinct) {
    if (quarantine_.Contains(part) ||
        evidence_.TimeSinceGenerated(part, now).has_value())
      continue;
    reported += (reported.empty() ? "" : ",") + part.value();
    for (const std::string& keeper :
         members_->TopMembers(part.value(), kKeepers)) {
      wire::PromptCrashReport* const report =
          reports[keeper].mutable_prompt_crash_report();
      report->set_back_end(engine.id.value());
      report->set_incarnation(engine.incarnation);
      report->add_parts(part.value());
    }
    evidence_.RecordCrash(part, engine.id, engine.incarnation, now);
    OnEvidence(part);
  }
  if (reported.empty()) return;
  ++counters_.crashes;
  log_->Write(LogLine("prompt_crash")
                  .Add("request", request.value())
                  .Add("back_end", engine.id.value())
                  .Add("incarnation", engine.incarnation)
                  .Add("parts", reported));
  for (const auto& [keeper, report] : reports) SendToMember(keeper, report);
}

// --- Evidence of the fleet ------------------------------------------------

void PromptCrashExchange::OnEvidence(const PromptPartId& part) {
  if (!evidence_.IsSuspect(part, loop_->Now()) || quarantine_.Contains(part) ||
      inquiries_.count(part) > 0)
    return;
  // A daemon that isn't a keeper comes last: the keepers may be out of reach.
  const std::vector<std::string> keepers =
      members_->TopMembers(part.value(), kKeepers);
  const auto rank =
      std::find(keepers.begin(), keepers.end(), members_->self().name()) -
      keepers.begin();
  inquiries_[part] = loop_->After(options_.keeper_delay * rank, [this, part] {
    SendQuery(part, kQueriesPerInquiry);
  });
}

void PromptCrashExchange::SendQuery(const PromptPartId& part,
                                    int queries_left) {
  if (!evidence_.IsSuspect(part, loop_->Now()) || quarantine_.Contains(part)) {
    inquiries_.erase(part);
    return;
  }
  if (queries_left == 0) {
    Quarantine(part);
    inquiries_.erase(part);
    return;
  }
  wire::UsageDatagram datagram;
  datagram.mutable_prompt_part_query()->set_part(part.value());
  SendToAll(datagram);
  inquiries_[part] = loop_->After(
      options_.query_interval,
      [this, part, queries_left] { SendQuery(part, queries_left - 1); });
}

void PromptCrashExchange::Quarantine(const PromptPartId& part) {
  PendingChange change;
  change.engines = evidence_.CrashedEngines(part, loop_->Now());
  evidence_.ForgetCrashes(part);
  ++counters_.quarantined;
  log_->WriteAlways(LogLine("prompt_part_quarantined")
                        .Add("part", part.value())
                        .Add("back_ends", JoinIds(change.engines)));
  notices_.erase(part);
  Notify(part, &(pending_[part] = std::move(change)));
  UpdateQuarantine();
  WritePendingChanges();
}

void PromptCrashExchange::Release(const PromptPartId& part) {
  ++counters_.released;
  log_->WriteAlways(LogLine("prompt_part_released").Add("part", part.value()));
  notices_.erase(part);
  PendingChange change;
  change.release = true;
  Notify(part, &(pending_[part] = std::move(change)));
  UpdateQuarantine();
  WritePendingChanges();
}

void PromptCrashExchange::Notify(const PromptPartId& part,
                                 PendingChange* change) {
  change->notified_at = loop_->Now();
  wire::UsageDatagram datagram;
  datagram.mutable_prompt_part_notice()->set_part(part.value());
  datagram.mutable_prompt_part_notice()->set_released(change->release);
  SendToAll(datagram);
}

void PromptCrashExchange::OnDatagram(const Endpoint& from,
                                     const wire::UsageDatagram& datagram) {
  if (datagram.has_prompt_part_query()) {
    const PromptPartId part(datagram.prompt_part_query().part());
    const auto age = evidence_.TimeSinceGenerated(part, loop_->Now());
    if (!age || socket_ == nullptr) return;
    wire::UsageDatagram answer;
    answer.mutable_prompt_part_answer()->set_part(part.value());
    answer.mutable_prompt_part_answer()->set_age_ms(
        static_cast<uint32_t>(ToMillis(*age)));
    socket_->Send(from, answer.SerializeAsString());
    return;
  }
  const bool is_evidence = datagram.has_prompt_crash_report() ||
                           datagram.has_prompt_part_answer() ||
                           datagram.has_prompt_part_notice();
  if (!is_evidence || !members_->IsMemberAddress(from)) return;
  if (datagram.has_prompt_crash_report())
    HandleCrashReport(datagram.prompt_crash_report());
  if (datagram.has_prompt_part_answer()) {
    const MonoTime now = loop_->Now();
    const wire::PromptPartAnswer& answer = datagram.prompt_part_answer();
    evidence_.RecordGenerated(PromptPartId(answer.part()),
                              now - std::chrono::milliseconds(answer.age_ms()),
                              now);
  }
  if (datagram.has_prompt_part_notice())
    HandleNotice(datagram.prompt_part_notice());
}

void PromptCrashExchange::HandleCrashReport(
    const wire::PromptCrashReport& report) {
  const MonoTime now = loop_->Now();
  for (const std::string& name : report.parts()) {
    const PromptPartId part(name);
    if (quarantine_.Contains(part)) continue;
    evidence_.RecordCrash(part, BackEndId(report.back_end()),
                          report.incarnation(), now);
    OnEvidence(part);
  }
}

void PromptCrashExchange::HandleNotice(const wire::PromptPartNotice& notice) {
  const PromptPartId part(notice.part());
  const MonoTime now = loop_->Now();
  if (notice.released()) {
    evidence_.RecordGenerated(part, now, now);
  } else if (evidence_.TimeSinceGenerated(part, now)) {
    // The sender's query was lost, or sent before the run generated.
    Release(part);
    return;
  }
  pending_.erase(part);  // The sender writes the record.
  notices_[part] = {notice.released(), now + options_.notice_lifetime};
  UpdateQuarantine();
}

void PromptCrashExchange::SendToMember(const std::string& name,
                                       const wire::UsageDatagram& datagram) {
  const auto to = members_->FindAddress(name);
  if (to && socket_ != nullptr)
    socket_->Send(*to, datagram.SerializeAsString());
}

void PromptCrashExchange::SendToAll(const wire::UsageDatagram& datagram) {
  for (const auto& [name, member] : members_->others())
    SendToMember(name, datagram);
}

// --- The record -----------------------------------------------------------

void PromptCrashExchange::OnRecord(const KvRecord* record) {
  // The watch may be behind a write of this daemon.
  if (record != nullptr && record->revision < revision_) return;
  ApplyRecord(record);
  WritePendingChanges();
}

void PromptCrashExchange::ApplyRecord(const KvRecord* record) {
  const Revision revision = record == nullptr ? Revision(0) : record->revision;
  wire::PromptQuarantineRecord parsed;
  if (record != nullptr && !FromJson(record->value, /*strict=*/false, &parsed))
    log_->Write(LogLine("prompt_quarantine_unreadable")
                    .Add("revision", revision.count()));
  revision_ = revision;
  recorded_.clear();
  for (const wire::QuarantinedPart& item : parsed.parts()) {
    if (recorded_.size() >= PromptQuarantine::kMaxParts) break;
    RecordedPart& part = recorded_[PromptPartId(item.part())];
    part.trials = item.trials();
    for (const std::string& engine : item.back_ends())
      part.engines.emplace_back(engine);
  }
  UpdateQuarantine();
}

void PromptCrashExchange::UpdateQuarantine() {
  const MonoTime now = loop_->Now();
  const auto is_recorded = [this](const PromptPartId& part) {
    return recorded_.count(part) > 0;
  };
  for (auto it = pending_.begin(); it != pending_.end();)
    it = is_recorded(it->first) != it->second.release ? pending_.erase(it)
                                                      : std::next(it);
  for (auto it = notices_.begin(); it != notices_.end();)
    it = now >= it->second.expires_at ||
                 is_recorded(it->first) != it->second.released
             ? notices_.erase(it)
             : std::next(it);
  std::map<PromptPartId, size_t> trials;
  for (const auto& [part, recorded] : recorded_) trials[part] = recorded.trials;
  const auto apply = [&trials](const PromptPartId& part, bool release) {
    if (release) {
      trials.erase(part);
    } else {
      trials.emplace(part, 0);
    }
  };
  for (const auto& [part, notice] : notices_) apply(part, notice.released);
  for (const auto& [part, change] : pending_) apply(part, change.release);
  quarantine_.ReleaseAllExcept(trials);
  for (const auto& [part, used] : trials) quarantine_.Add(part, used, now);
}

void PromptCrashExchange::WritePendingChanges() {
  if (pending_.empty() || write_ != nullptr) return;
  const MonoTime now = loop_->Now();
  RecordedParts parts = recorded_;
  for (auto& [part, change] : pending_) {
    if (now - change.notified_at >= options_.notice_interval)
      Notify(part, &change);
    if (change.release) {
      parts.erase(part);
    } else {
      parts.emplace(part, RecordedPart{0, change.engines});
    }
  }
  Write(parts, [this, parts](KvStatus status) {
    if (status != KvStatus::kOk) {
      ScheduleWrite();
      return;
    }
    // A run may have generated while the write was in flight.
    for (const auto& [part, recorded] : parts)
      if (quarantine_.Contains(part) &&
          evidence_.TimeSinceGenerated(part, loop_->Now()))
        Release(part);
    WritePendingChanges();
  });
}

void PromptCrashExchange::Write(const RecordedParts& parts,
                                std::function<void(KvStatus status)> done) {
  wire::PromptQuarantineRecord record;
  for (const auto& [part, recorded] : parts) {
    // Beyond its bound, the quarantine has dropped some.
    if (!quarantine_.Contains(part)) continue;
    wire::QuarantinedPart* const item = record.add_parts();
    item->set_part(part.value());
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

void PromptCrashExchange::ScheduleWrite() {
  const Duration jitter =
      Scaled(options_.write_retry_delay, random_->UniformDouble());
  write_timer_ = loop_->After(options_.write_retry_delay + jitter,
                              [this] { WritePendingChanges(); });
}

}  // namespace mimosa
