// Keeps in the platform's store what callers need to take up their streams
// after all daemons have ended at once: which version began each stream, while
// a service has several.
//
// Model: decide/origin_journal.h. The writer of the journal is the member with
// the highest rendezvous hash. Every daemon reads the records through its watch
// on the store, and after a start through its first listing, before it serves.
//
// Cost: nothing while services have one version each; else a few writes a
// second and one datagram a stream, whatever the fleet's size.
#ifndef SERVING_STREAM_ORIGIN_JOURNAL_H_
#define SERVING_STREAM_ORIGIN_JOURNAL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/kv_store.h"
#include "base/line_log.h"
#include "decide/origin_journal.h"
#include "net/datagram.h"
#include "net/event_loop.h"
#include "serving/member_list.h"
#include "wire/usage.pb.h"

namespace mimosa {

class StreamOriginJournal {
 public:
  struct Options {
    // Prefix of the batches' keys.
    std::string batch_key_prefix;
    // Delay after a failed call.
    Duration retry_delay = std::chrono::milliseconds(500);
    UnconfirmedOrigins::Options unconfirmed;
    JournalBatches::Options batches;
  };
  struct Counters {
    uint64_t batches_written = 0;
    uint64_t writes_failed = 0;
    uint64_t origins_read = 0;
  };

  // Receives what the store holds. Called for each record that is new or has
  // changed.
  class Reader {
   public:
    virtual ~Reader() = default;
    virtual void OnOriginRead(const RequestId& request,
                              const StreamOrigins::Origin& origin) = 0;
  };

  StreamOriginJournal(EventLoop* loop, const MemberList* members,
                      KvStore* store, LineLog* log, const Options& options);

  // `reader` and `socket` must outlive the journal.
  void Start(Reader* reader, DatagramSocket* socket);
  // Sets how long after its first event a stream can be taken up.
  void SetStreamLifetime(Duration lifetime) { lifetime_ = lifetime; }

  // Has the origin of a stream of this daemon written to the store.
  void Add(const RequestId& request, const StreamOrigins::Origin& origin);
  void OnDatagram(const Endpoint& from, const wire::UsageDatagram& datagram);

  // A record of the journal, named without the prefix, has changed; nullptr if
  // it was removed.
  void OnBatchRecord(const std::string& name, const KvRecord* record);

  const Counters& counters() const { return counters_; }
  size_t record_count() const { return records_.size(); }

 private:
  void SendDue();
  void ScheduleSend();
  void ScheduleWrite(Duration min_delay);
  void WriteBatch();
  void OnBatchWritten(uint64_t batch, const KvResult& result);
  void ScheduleSweep();
  void Sweep();
  // Number of members that rank before this one as the journal's writer, up to
  // the number of members that are tried.
  size_t Rank() const;

  EventLoop* const loop_;
  const MemberList* const members_;
  KvStore* const store_;
  LineLog* const log_;
  const Options options_;
  Reader* reader_ = nullptr;
  DatagramSocket* socket_ = nullptr;
  Duration lifetime_ = std::chrono::seconds(60);
  UnconfirmedOrigins unconfirmed_;
  JournalBatches batches_;
  JournalRecords records_;
  KvStore::CallPtr batch_call_;
  KvStore::CallPtr removal_call_;
  KvStore::CallPtr finished_call_;  // May be on the stack.
  TimerHandle send_timer_;
  TimerHandle write_timer_;
  TimerHandle sweep_timer_;
  Counters counters_;
};

}  // namespace mimosa

#endif  // SERVING_STREAM_ORIGIN_JOURNAL_H_
