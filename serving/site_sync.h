// Synchronizes this daemon's view of the site with the platform's store: the
// configuration, the backend servers and the fleet's own records.
//
// A single watch on all keys delivers every change. It is renewed often enough
// that a silently broken connection cannot hide a change for longer than a
// change may take to be in force. If the store becomes unreachable, everything
// in force stays as it is until the store responds again.
//
// If the store comes back from an older copy, everything is listed again. What
// the copy lacks is treated like records that expired during an outage, since
// operators and servers write theirs again: servers stay listed for a while,
// the configuration never goes back, and no evacuation ends. The fleet's own
// records are gone.
#ifndef SERVING_SITE_SYNC_H_
#define SERVING_SITE_SYNC_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/kv_store.h"
#include "base/line_log.h"
#include "base/random.h"
#include "decide/back_end_list.h"
#include "decide/site.h"
#include "net/event_loop.h"
#include "serving/site_format.h"

namespace mimosa {

class SiteSync {
 public:
  struct Options {
    // Records with this key prefix are passed to the record observer.
    std::string record_prefix;
    // Longest wait of one watch. A watch that has missed changes may be kept
    // waiting by the store, so each watch must end within the settle time
    // (`settle_ms` in EntrySettings).
    Duration watch_timeout = std::chrono::milliseconds(2500);
    // Delay after a watch that returned changes, so that changes in quick
    // succession take one call. Well below the time within which a change must
    // be in force.
    Duration batch_delay = std::chrono::milliseconds(500);
    // Delay after a failed call, before jitter. Short enough that a recovered
    // store is detected well within the time in which servers register again.
    Duration retry_delay = std::chrono::milliseconds(250);
    // Wait of one watch while the store is lost, so that its recovery is
    // detected at once.
    Duration probe_timeout = std::chrono::milliseconds(50);
  };
  using ConfigObserver = std::function<void(const SiteConfig&)>;
  // Receives a record of the fleet, named without the prefix; nullptr if it was
  // removed.
  using RecordObserver =
      std::function<void(const std::string& name, const KvRecord* record)>;

  // Receives the failure domains that are to be evacuated from now on.
  using EvacuationObserver =
      std::function<void(const std::set<FailureDomain>& evacuated)>;

  SiteSync(EventLoop* loop, KvStore* store, const SiteFormat* format,
           RandomSource* random, LineLog* log, BackEndList* back_ends,
           const Options& options);
  ~SiteSync();

  // Called at each response of the store, before what it has changed.
  void SetContactObserver(std::function<void()> observer) {
    on_contact_ = std::move(observer);
  }
  // Called when the store has ceased to respond.
  void SetStoreLostObserver(std::function<void()> observer) {
    on_store_lost_ = std::move(observer);
  }
  // Called when it responds again, before what has changed meanwhile.
  void SetStoreRegainedObserver(std::function<void()> observer) {
    on_store_regained_ = std::move(observer);
  }
  void SetConfigObserver(ConfigObserver observer) {
    on_config_ = std::move(observer);
  }
  // Called after changes of the list of backend servers.
  void SetBackEndsObserver(std::function<void()> observer) {
    on_back_ends_ = std::move(observer);
  }
  void SetRecordObserver(RecordObserver observer) {
    on_record_ = std::move(observer);
  }
  // Called after each change of the evacuated failure domains.
  void SetEvacuationObserver(EvacuationObserver observer) {
    on_evacuation_ = std::move(observer);
  }
  // Called at the first listing, and at each that is of another era of the
  // store than the one before, before its records are applied.
  using EraObserver = std::function<void(StoreEra era, bool is_first)>;
  void SetEraObserver(EraObserver observer) { on_era_ = std::move(observer); }
  void Start();

  std::shared_ptr<const SiteConfig> config() const { return config_; }
  // Whether the backend servers have been listed at least once.
  bool listed() const { return listed_; }
  bool store_lost() const { return store_lost_; }
  // Time of the last successful response of the store.
  MonoTime last_contact() const { return last_contact_; }

 private:
  void List();
  void OnList(const KvListResult& result);
  void Watch();
  void OnWatch(const KvListResult& result);
  void OnStoreLost(KvStatus status);
  void OnStoreRegained();
  void ScheduleRetry(std::function<void()> action);

  void ApplyRecord(const KvRecord& record);
  // Reports the fleet's records that are missing from a listing.
  void ApplyMissingRecords(const KvListResult& listing);
  void ApplyRemoval(const std::string& key);
  void ApplyConfig(const KvRecord& record);
  // Whether a configuration with this version, and this digest of its record,
  // replaces the one in force.
  bool SupersedesConfig(int64_t version, size_t digest) const;
  void ApplyBackEnd(const KvRecord& record);
  bool IsEvacuation(const std::string& key) const;
  // Returns the failure domain that an evacuation's key names.
  FailureDomain EvacuatedDomain(const std::string& key) const;
  // `is_older_copy`: the listing may lack what was acknowledged before.
  void ApplyListedEvacuations(const KvListResult& listing, bool is_older_copy);
  void SetEvacuated(std::set<FailureDomain> evacuated);
  // Returns nullopt if the record is not a valid backend server entry.
  std::optional<BackEndEntry> ReadBackEnd(const KvRecord& record);
  void ScheduleExpiry();

  EventLoop* const loop_;
  KvStore* const store_;
  const SiteFormat* const format_;
  RandomSource* const random_;
  LineLog* const log_;
  BackEndList* const back_ends_;
  const Options options_;
  std::function<void()> on_contact_;
  std::function<void()> on_store_lost_;
  std::function<void()> on_store_regained_;
  ConfigObserver on_config_;
  RecordObserver on_record_;
  std::function<void()> on_back_ends_;
  EvacuationObserver on_evacuation_;
  EraObserver on_era_;

  std::shared_ptr<const SiteConfig> config_;
  // Of config_: the latest era that lists it, and a digest of its record.
  StoreEra config_era_;
  size_t config_digest_ = 0;
  // Names of the fleet's records, without the prefix.
  std::set<std::string> record_names_;
  std::set<FailureDomain> evacuated_;
  // Newest revision that evacuated_ reflects. Unlike revision_, it never goes
  // back, if a store that names no era lists an older copy.
  Revision evacuations_as_of_;
  bool listed_ = false;
  bool store_lost_ = false;
  MonoTime last_contact_{};
  StoreEra era_;       // Of the records in force.
  Revision revision_;  // All changes up to this revision are in force.
  KvStore::CallPtr call_;
  KvStore::CallPtr previous_call_;  // May be on the stack.
  TimerHandle retry_timer_;
  TimerHandle batch_timer_;
  TimerHandle expiry_timer_;
};

}  // namespace mimosa

#endif  // SERVING_SITE_SYNC_H_
