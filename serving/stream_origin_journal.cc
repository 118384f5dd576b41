// Messages, writes and removal of the journal's records.
#include "serving/stream_origin_journal.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/json.h"
#include "serving/stream_origin_messages.h"

namespace mimosa {
namespace {

// Rendezvous key of the journal's writer.
constexpr char kWriterKey[] = "stream_origins";
// Time between two removals of expired records.
constexpr Duration kRemovalInterval = std::chrono::milliseconds(200);
// Time between two looks for expired records while there are records.
constexpr Duration kSweepInterval = std::chrono::seconds(5);

}  // namespace

StreamOriginJournal::StreamOriginJournal(EventLoop* loop,
                                         const MemberList* members,
                                         KvStore* store, LineLog* log,
                                         const Options& options)
    : loop_(loop),
      members_(members),
      store_(store),
      log_(log),
      options_(options),
      unconfirmed_(options.unconfirmed),
      batches_(options.batches) {}

void StreamOriginJournal::Start(Reader* reader, DatagramSocket* socket) {
  reader_ = reader;
  socket_ = socket;
}

size_t StreamOriginJournal::Rank() const {
  const std::vector<std::string> first =
      members_->TopMembers(kWriterKey, options_.unconfirmed.max_attempts);
  return static_cast<size_t>(
      std::find(first.begin(), first.end(), members_->self().name()) -
      first.begin());
}

// --- Origins of this daemon -----------------------------------------------

void StreamOriginJournal::Add(const RequestId& request,
                              const StreamOrigins::Origin& origin) {
  unconfirmed_.Add(request, origin, loop_->Now());
  // Sent at the end of the loop's iteration, so that several go in one
  // datagram.
  send_timer_ = loop_->After(Duration::zero(), [this] { SendDue(); });
}

void StreamOriginJournal::SendDue() {
  const MonoTime now = loop_->Now();
  const std::vector<std::string> writers =
      members_->TopMembers(kWriterKey, options_.unconfirmed.max_attempts);
  std::map<std::string, wire::UsageDatagram> datagrams;
  const auto send = [this](const std::string& writer,
                           const wire::UsageDatagram& datagram) {
    const auto to = members_->FindAddress(writer);
    if (to && socket_ != nullptr)
      socket_->Send(*to, datagram.SerializeAsString());
  };
  for (const auto& due : unconfirmed_.TakeDue(now)) {
    const std::string& writer =
        writers[std::min(due.attempt, writers.size() - 1)];
    if (writer == members_->self().name()) {
      batches_.Add(due.request, due.origin);
      continue;
    }
    wire::UsageDatagram& datagram = datagrams[writer];
    wire::StreamOriginReport* const report = datagram.mutable_origin_report();
    report->set_for_journal(true);
    detail::WriteOrigin(due.request, due.origin, now, report->add_origins());
    if (report->origins_size() < detail::kMaxOriginsPerReport) continue;
    send(writer, datagram);
    datagram.Clear();
  }
  for (const auto& [writer, datagram] : datagrams)
    if (datagram.has_origin_report()) send(writer, datagram);
  ScheduleWrite(Duration::zero());
  ScheduleSend();
}

void StreamOriginJournal::ScheduleSend() {
  send_timer_.Cancel();
  const auto due = unconfirmed_.NextDue();
  if (!due) return;
  send_timer_ = loop_->After(std::max(Duration::zero(), *due - loop_->Now()),
                             [this] { SendDue(); });
}

// --- The writer's batches -------------------------------------------------

void StreamOriginJournal::OnDatagram(const Endpoint& from,
                                     const wire::UsageDatagram& datagram) {
  if (!datagram.has_origin_report() ||
      !datagram.origin_report().for_journal() ||
      !members_->IsMemberAddress(from))
    return;
  const MonoTime now = loop_->Now();
  for (const wire::StreamOrigin& item : datagram.origin_report().origins()) {
    if (item.request().empty() ||
        item.request().size() > StreamOrigins::kMaxIdBytes)
      continue;
    batches_.Add(RequestId(item.request()), detail::ReadOrigin(item, now));
  }
  ScheduleWrite(Duration::zero());
}

void StreamOriginJournal::ScheduleWrite(Duration min_delay) {
  const auto at = batches_.NextWriteAt();
  if (!at || write_timer_) return;
  write_timer_ = loop_->After(std::max(min_delay, *at - loop_->Now()),
                              [this] { WriteBatch(); });
}

void StreamOriginJournal::WriteBatch() {
  write_timer_.Cancel();
  const MonoTime now = loop_->Now();
  const JournalBatches::Write write = batches_.StartWrite(now);
  wire::StreamOriginBatch record;
  for (const auto& [request, origin] : write.origins)
    detail::WriteOrigin(request, origin, now, record.add_origins());
  // The boot keeps the records of two starts of a daemon apart.
  const std::string key = options_.batch_key_prefix + members_->self().name() +
                          "-" + std::to_string(members_->self().boot()) + "-" +
                          std::to_string(write.batch);
  batch_call_ = store_->Put(key, ToJson(record), write.expected, /*lease=*/"",
                            [this, batch = write.batch](const KvResult& r) {
                              OnBatchWritten(batch, r);
                            });
}

void StreamOriginJournal::OnBatchWritten(uint64_t batch,
                                         const KvResult& result) {
  finished_call_ = std::move(batch_call_);
  Duration delay{};
  if (result.status == KvStatus::kOk) {
    ++counters_.batches_written;
    batches_.OnWritten(result.record.revision);
  } else {
    ++counters_.writes_failed;
    delay = options_.retry_delay;
    if (result.status == KvStatus::kUnavailable) {
      batches_.OnRefused();
    } else {
      batches_.OnOutcomeUnknown();
    }
    log_->Write(LogLine("stream_origins_unwritten")
                    .Add("batch", batch)
                    .Add("status", KvStatusName(result.status)));
  }
  ScheduleWrite(delay);
}

// --- Records --------------------------------------------------------------

void StreamOriginJournal::OnBatchRecord(const std::string& name,
                                        const KvRecord* record) {
  if (record == nullptr) {
    records_.Remove(name);
    return;
  }
  const MonoTime now = loop_->Now();
  records_.Put(name, record->revision, now);
  ScheduleSweep();
  wire::StreamOriginBatch batch;
  if (!FromJson(record->value, /*strict=*/false, &batch)) {
    log_->Write(LogLine("stream_origins_unreadable")
                    .Add("record", name)
                    .Add("revision", record->revision.count()));
    return;
  }
  for (const wire::StreamOrigin& item : batch.origins()) {
    const RequestId request(item.request());
    unconfirmed_.Confirm(request);
    ++counters_.origins_read;
    reader_->OnOriginRead(request, detail::ReadOrigin(item, now));
  }
}

void StreamOriginJournal::ScheduleSweep() {
  if (!sweep_timer_)
    sweep_timer_ = loop_->After(kSweepInterval, [this] { Sweep(); });
}

// The writer removes expired records, one call at a time.
void StreamOriginJournal::Sweep() {
  sweep_timer_.Cancel();
  const auto expired = Rank() == 0
                           ? records_.FindExpired(loop_->Now(), lifetime_)
                           : std::nullopt;
  if (!expired) {
    if (!records_.empty()) ScheduleSweep();
    return;
  }
  removal_call_ = store_->Delete(
      options_.batch_key_prefix + expired->name, expired->revision,
      [this, expired](const KvResult& r) {
        finished_call_ = std::move(removal_call_);
        const bool is_gone =
            r.status == KvStatus::kOk || r.status == KvStatus::kNotFound;
        if (is_gone) records_.Remove(expired->name);
        sweep_timer_ = loop_->After(is_gone ? kRemovalInterval : kSweepInterval,
                                    [this] { Sweep(); });
      });
}

}  // namespace mimosa
