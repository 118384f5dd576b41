// Decides which origins of streams (decide/stream_origins.h) are written to the
// platform's store, and when, so that they outlive the end of all daemons.
//
// Model: one member, the journal's writer, writes the origins of the whole
// fleet in a few batches a second. A batch is a record that is rewritten as
// origins are added and closed when it is large or old, so that the cost of the
// store grows with neither the fleet nor the length of a release. The daemon at
// which a stream began sends its origin to the writer, and to the next member
// if it doesn't see the origin in the store in time: the writer may be dead,
// cut off from the store, or of a build without a journal.
//
// Load pattern covered: all daemons end at once while engines of two software
// versions serve, and the callers of all streams take them up.
#ifndef DECIDE_ORIGIN_JOURNAL_H_
#define DECIDE_ORIGIN_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/stream_origins.h"

namespace mimosa {

// The origins of this daemon's streams that aren't known to be in the store.
class UnconfirmedOrigins {
 public:
  struct Options {
    // Time after which an origin that wasn't seen in the store is sent to
    // another member. Covers a write and the delay of the watch.
    Duration confirmation_timeout = std::chrono::milliseconds(1500);
    // Number of members that are tried.
    size_t max_attempts = 3;
    // Beyond this number no origins are added.
    size_t max_origins = 5000;
  };
  struct Due {
    RequestId request;
    StreamOrigins::Origin origin;
    size_t attempt = 0;  // Counts from 0.
  };

  explicit UnconfirmedOrigins(const Options& options) : options_(options) {}

  void Add(const RequestId& request, StreamOrigins::Origin origin,
           MonoTime now);
  // The origin was seen in the store.
  void Confirm(const RequestId& request) { origins_.erase(request); }
  // Returns the origins to be sent now.
  std::vector<Due> TakeDue(MonoTime now);
  // Returns when the next origin is due; nullopt if there is none.
  std::optional<MonoTime> NextDue() const;
  size_t size() const { return origins_.size(); }

 private:
  struct Entry {
    StreamOrigins::Origin origin;
    size_t attempts = 0;
    MonoTime due_at{};
  };

  const Options options_;
  std::map<RequestId, Entry> origins_;
};

// The batches of the journal's writer. At most one write is in progress.
class JournalBatches {
 public:
  struct Options {
    // Minimum time between two writes.
    Duration write_interval = std::chrono::milliseconds(250);
    // A batch with so many origins, or of this age, is closed.
    size_t full_batch = 64;
    // Most origins that one write adds.
    size_t max_added = 256;
    Duration max_age = std::chrono::seconds(5);
    // Beyond this number of unwritten origins no more are accepted.
    size_t max_unwritten = 5000;
  };
  using Item = std::pair<RequestId, StreamOrigins::Origin>;
  struct Write {
    uint64_t batch = 0;  // Number of the batch, which names its record.
    Revision expected;   // Revision that the write replaces; 0: none.
    std::vector<Item> origins;
  };

  explicit JournalBatches(const Options& options) : options_(options) {}

  void Add(const RequestId& request, const StreamOrigins::Origin& origin);
  // Returns when the next write may start; nullopt if there is nothing to write
  // or a write is in progress.
  std::optional<MonoTime> NextWriteAt() const;
  // Starts a write. Only called when NextWriteAt() is due.
  Write StartWrite(MonoTime now);
  // The write has succeeded.
  void OnWritten(Revision revision);
  // The write had no effect and is repeated.
  void OnRefused();
  // The write may have taken effect. Its origins are written again to another
  // record, since the revision of this one isn't known.
  void OnOutcomeUnknown();

 private:
  void CloseBatch();

  const Options options_;
  std::map<RequestId, StreamOrigins::Origin> unwritten_;
  // Origins of the open batch that are in the store.
  std::vector<Item> written_;
  std::vector<Item> in_progress_;  // Added by the write in progress.
  uint64_t batch_ = 0;
  Revision revision_;  // Of the open batch's record; 0: not written yet.
  MonoTime batch_began_at_{};
  MonoTime last_write_at_{};
  bool is_writing_ = false;
};

// The records of the journal that the store holds, and since when this daemon
// has known them.
class JournalRecords {
 public:
  struct Record {
    std::string name;
    Revision revision;
  };

  void Put(const std::string& name, Revision revision, MonoTime now) {
    records_[name] = {revision, now};
  }
  void Remove(const std::string& name) { records_.erase(name); }
  // Returns a record that has not changed within `lifetime`, to be removed from
  // the store; nullopt if there is none.
  std::optional<Record> FindExpired(MonoTime now, Duration lifetime) const;
  bool empty() const { return records_.empty(); }
  size_t size() const { return records_.size(); }

 private:
  struct Entry {
    Revision revision;
    MonoTime seen_at{};
  };
  std::map<std::string, Entry> records_;
};

}  // namespace mimosa

#endif  // DECIDE_ORIGIN_JOURNAL_H_
