// Keeps this daemon's view of the site in step with the platform's store: the
// configuration, the backend servers and the fleet's own records.
//
// One watch over all keys carries every change; it is renewed before a silent
// connection could hide one for longer than a change may take to be in force.
// After a loss of the store everything in force stays as it is until the store
// answers again.
#ifndef SERVING_SITE_SYNC_H_
#define SERVING_SITE_SYNC_H_

#include <functional>
#include <memory>
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
    // Records under this prefix go to the record observer.
    std::string record_prefix;
    // One watch waits so long. A store may leave a watch waiting that has
    // missed changes: it ends within the time in which the daemon has to
    // settle.
    Duration watch_timeout = std::chrono::milliseconds(2500);
    // Pause behind a watch that brought changes: those that come together cost
    // one call. Well below the time in which a change has to be in force.
    Duration batch_delay = std::chrono::milliseconds(500);
    // Pause after a failed call, before jitter: a store that is back is noticed
    // well within the time in which entries return.
    Duration retry_delay = std::chrono::milliseconds(250);
    // One watch waits so long while the store's return is waited for.
    Duration probe_timeout = std::chrono::milliseconds(50);
  };
  using ConfigObserver = std::function<void(const SiteConfig&)>;
  // A record of the fleet's own, named without the prefix; nullptr: it is gone.
  using RecordObserver =
      std::function<void(const std::string& name, const KvRecord* record)>;

  SiteSync(EventLoop* loop, KvStore* store, const SiteFormat* format,
           RandomSource* random, LineLog* log, BackEndList* back_ends,
           const Options& options);
  ~SiteSync();

  void SetConfigObserver(ConfigObserver observer) {
    on_config_ = std::move(observer);
  }
  void SetRecordObserver(RecordObserver observer) {
    on_record_ = std::move(observer);
  }
  void Start();

  std::shared_ptr<const SiteConfig> config() const { return config_; }
  // Whether the backend servers were listed once.
  bool listed() const { return listed_; }
  bool store_lost() const { return store_lost_; }
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
  void ApplyRemoval(const std::string& key);
  void ApplyConfig(const KvRecord& record);
  void ApplyBackEnd(const KvRecord& record);
  // Nothing if the record names no backend server.
  std::optional<BackEndEntry> ReadBackEnd(const KvRecord& record);
  void ScheduleExpiry();

  EventLoop* const loop_;
  KvStore* const store_;
  const SiteFormat* const format_;
  RandomSource* const random_;
  LineLog* const log_;
  BackEndList* const back_ends_;
  const Options options_;
  ConfigObserver on_config_;
  RecordObserver on_record_;

  std::shared_ptr<const SiteConfig> config_;
  bool listed_ = false;
  bool store_lost_ = false;
  MonoTime last_contact_{};
  Revision revision_;  // all changes up to it are in force
  KvStore::CallPtr call_;
  KvStore::CallPtr previous_call_;  // may be on the stack
  TimerHandle retry_timer_;
  TimerHandle batch_timer_;
  TimerHandle expiry_timer_;
};

}  // namespace mimosa

#endif  // SERVING_SITE_SYNC_H_
