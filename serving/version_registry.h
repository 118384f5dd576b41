// Keeps the record of versions (decide/version_record.h) in the platform's
// store, and reads it for streams that callers take up.
//
// Model: every daemon learns of the record through its watch on the store. When
// the record has to change, the first of the members that the store answers
// writes it; the revision that it replaces settles races. The others read it a
// moment later, before their watches report it, since streams wait for a new
// version. The first members also read it from time to time, since no watch
// reports that a store which has come back from an older copy lacks it.
//
// A reading is requested from the store after the question has come. Questions
// that come while a reading is under way wait for the next one.
//
// Cost: three reads in 5 s; a write and a read of each daemon when versions
// change; and a read for the streams that are taken up at a daemon within the
// least time between two readings.
#ifndef SERVING_VERSION_REGISTRY_H_
#define SERVING_VERSION_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/kv_store.h"
#include "base/line_log.h"
#include "base/random.h"
#include "decide/software_version_history.h"
#include "decide/version_record.h"
#include "net/event_loop.h"
#include "serving/member_list.h"

namespace mimosa {

class VersionRegistry {
 public:
  struct Options {
    std::string key;
    // Delay of a write for each member that ranks before this one.
    Duration turn = std::chrono::milliseconds(250);
    // Number of members that take turns. All others come after them.
    size_t max_turns = 3;
    // Time after which a member that isn't the first reads the record that it
    // expects to be written, and the largest random delay that is added.
    Duration look_delay = std::chrono::milliseconds(50);
    Duration look_jitter = std::chrono::milliseconds(100);
    // Largest random delay of a write by members that have no turn of their
    // own: the first one, when a whole fleet starts, and those after all turns.
    Duration first_write_jitter = std::chrono::seconds(1);
    Duration last_write_jitter = std::chrono::seconds(2);
    // Delay after a failed write.
    Duration retry_delay = std::chrono::milliseconds(1500);
    // Time between two looks at the record.
    Duration check_interval = std::chrono::seconds(5);
    // Timeout of a reading.
    Duration read_timeout = std::chrono::milliseconds(500);
    // Least time between two readings, for each member of the fleet.
    Duration read_interval_per_member = std::chrono::milliseconds(1);
    VersionRecordView::Options record;
  };
  // Returns whether the list of backend servers is current: the store has
  // answered lately.
  using IsListCurrent = std::function<bool()>;
  // Receives nullopt if the record could not be read.
  using ReadCallback = std::function<void(std::optional<VersionReading>)>;

  // A pending question. Destroying it drops the callback.
  class Question {
   public:
    Question(VersionRegistry* registry, uint64_t serial)
        : registry_(registry), serial_(serial) {}
    ~Question() { registry_->questions_.erase(serial_); }
    Question(const Question&) = delete;
    Question& operator=(const Question&) = delete;

   private:
    VersionRegistry* const registry_;
    const uint64_t serial_;
  };

  VersionRegistry(EventLoop* loop, const MemberList* members, KvStore* store,
                  const BackEndList* back_ends, RandomSource* random,
                  LineLog* log, IsListCurrent is_list_current,
                  const Options& options);

  // Called after each change of the versions that the record names.
  void SetObserver(std::function<void()> observer) {
    on_change_ = std::move(observer);
  }
  // Sets how long after its first event a stream can be taken up.
  void SetStreamLifetime(Duration lifetime) {
    view_.SetStreamLifetime(lifetime);
  }

  // The list of backend servers has changed.
  void OnBackEndsChanged();
  // The store is listed for the first time, or in a new era.
  void OnEraBegun(StoreEra era);
  // The watch on the store has read the record; nullptr: there is none.
  void OnRecord(const KvRecord* record);

  // Returns the versions at which streams may begin.
  const std::set<SoftwareVersion>& StartableVersions(
      const ServiceId& service) const;
  // Returns the versions that may have begun streams, as far as this daemon
  // knows.
  const VersionsByService& recorded_versions() const {
    return view_.recorded();
  }
  bool is_list_current() const { return is_list_current_(); }

  // Reads the record. Runs `callback` once, from the loop.
  [[nodiscard]] std::unique_ptr<Question> Read(ReadCallback callback);

 private:
  struct PendingQuestion {
    ReadCallback callback;
    bool is_asked = false;  // The reading under way was requested after it.
  };

  // Takes over what was read or written, with the store's era at the time.
  void Apply(const KvRecord* record, StoreEra era);
  std::optional<VersionRecord> Parse(const KvRecord& record) const;
  void Update();
  // Returns the record to be written; nullopt if it needn't change, or this
  // daemon can't judge that.
  std::optional<VersionRecord> FindDueRecord() const;
  void LogRecord() const;
  void ReadRecord();
  // Ends call_. Returns whether its response says something of the record as
  // this daemon knows it, and not of an earlier one.
  bool EndCall();
  void Check();
  void ScheduleWrite(Duration min_delay);
  void Write();
  void OnWritten(const std::string& value, const KvResult& result);
  // Number of members that rank before this one, at most max_turns.
  size_t Rank() const;

  void ScheduleReading();
  void StartReading();
  void OnReading(const std::optional<VersionReading>& reading);

  EventLoop* const loop_;
  const MemberList* const members_;
  KvStore* const store_;
  const BackEndList* const back_ends_;
  RandomSource* const random_;
  LineLog* const log_;
  const IsListCurrent is_list_current_;
  const Options options_;
  std::function<void()> on_change_;
  SoftwareVersionHistory history_;
  VersionRecordView view_;
  KvStore::CallPtr call_;           // A write, or a look at the record.
  Revision call_revision_;          // revision() when it began.
  KvStore::CallPtr finished_call_;  // May be on the stack.
  // This daemon has read the record since it found that it has to change.
  bool has_looked_ = false;
  TimerHandle write_timer_;
  TimerHandle check_timer_;

  std::map<uint64_t, PendingQuestion> questions_;  // By serial.
  uint64_t last_serial_ = 0;
  MonoTime last_reading_at_{};
  bool is_reading_ = false;
  KvStore::CallPtr reading_call_;
  KvStore::CallPtr finished_reading_call_;  // May be on the stack.
  TimerHandle reading_timer_;
};

}  // namespace mimosa

#endif  // SERVING_VERSION_REGISTRY_H_
