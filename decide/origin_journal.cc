// Batches, confirmations and expiry of the journal of origins.
#include "decide/origin_journal.h"

#include <algorithm>
#include <iterator>

namespace mimosa {

void UnconfirmedOrigins::Add(const RequestId& request,
                             StreamOrigins::Origin origin, MonoTime now) {
  if (origins_.size() >= options_.max_origins) return;
  origins_.try_emplace(request, Entry{std::move(origin), 0, now});
}

std::vector<UnconfirmedOrigins::Due> UnconfirmedOrigins::TakeDue(MonoTime now) {
  std::vector<Due> due;
  for (auto it = origins_.begin(); it != origins_.end();) {
    Entry& entry = it->second;
    if (now < entry.due_at) {
      ++it;
      continue;
    }
    if (entry.attempts >= options_.max_attempts) {
      it = origins_.erase(it);
      continue;
    }
    due.push_back({it->first, entry.origin, entry.attempts++});
    entry.due_at = now + options_.confirmation_timeout;
    ++it;
  }
  return due;
}

std::optional<MonoTime> UnconfirmedOrigins::NextDue() const {
  std::optional<MonoTime> next;
  for (const auto& [request, entry] : origins_)
    if (!next || entry.due_at < *next) next = entry.due_at;
  return next;
}

void JournalBatches::Add(const RequestId& request,
                         const StreamOrigins::Origin& origin) {
  if (unwritten_.size() >= options_.max_unwritten) return;
  unwritten_.try_emplace(request, origin);
}

std::optional<MonoTime> JournalBatches::NextWriteAt() const {
  if (is_writing_ || unwritten_.empty()) return std::nullopt;
  return last_write_at_ + options_.write_interval;
}

JournalBatches::Write JournalBatches::StartWrite(MonoTime now) {
  if (!written_.empty() && (written_.size() >= options_.full_batch ||
                            now - batch_began_at_ >= options_.max_age))
    CloseBatch();
  if (written_.empty()) batch_began_at_ = now;
  is_writing_ = true;
  last_write_at_ = now;
  in_progress_.clear();
  while (!unwritten_.empty() && in_progress_.size() < options_.max_added) {
    auto node = unwritten_.extract(unwritten_.begin());
    in_progress_.emplace_back(node.key(), std::move(node.mapped()));
  }
  Write write{batch_, revision_, written_};
  write.origins.insert(write.origins.end(), in_progress_.begin(),
                       in_progress_.end());
  return write;
}

void JournalBatches::OnWritten(Revision revision) {
  is_writing_ = false;
  revision_ = revision;
  std::move(in_progress_.begin(), in_progress_.end(),
            std::back_inserter(written_));
  in_progress_.clear();
}

void JournalBatches::OnRefused() {
  is_writing_ = false;
  for (Item& item : in_progress_) unwritten_.insert(std::move(item));
  in_progress_.clear();
}

void JournalBatches::OnOutcomeUnknown() {
  OnRefused();
  CloseBatch();
}

void JournalBatches::CloseBatch() {
  ++batch_;
  revision_ = Revision(0);
  written_.clear();
}

std::optional<JournalRecords::Record> JournalRecords::FindExpired(
    MonoTime now, Duration lifetime) const {
  const auto expired = std::find_if(
      records_.begin(), records_.end(),
      [&](const auto& item) { return now - item.second.seen_at >= lifetime; });
  if (expired == records_.end()) return std::nullopt;
  return Record{expired->first, expired->second.revision};
}

}  // namespace mimosa
