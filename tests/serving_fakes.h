// Fakes that in-process tests of serving/ share: a store that never responds,
// of which tests override what they script, one that keeps records, and options
// of a log that writes nothing.
#ifndef TESTS_SERVING_FAKES_H_
#define TESTS_SERVING_FAKES_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/kv_store.h"
#include "base/line_log.h"
#include "net/event_loop.h"

namespace mimosa::testing {

class UnresponsiveStore : public KvStore {
 public:
  CallPtr Get(const std::string&, DoneCallback) override {
    return PendingCall();
  }
  CallPtr Put(const std::string&, std::string, Revision, const std::string&,
              DoneCallback) override {
    return PendingCall();
  }
  CallPtr Delete(const std::string&, Revision, DoneCallback) override {
    return PendingCall();
  }
  CallPtr List(const std::string&, ListDoneCallback) override {
    return PendingCall();
  }
  CallPtr Watch(const std::string&, Revision, Duration,
                ListDoneCallback) override {
    return PendingCall();
  }
  CallPtr CreateLease(Duration, DoneCallback) override { return PendingCall(); }
  CallPtr RenewLease(const std::string&, DoneCallback) override {
    return PendingCall();
  }
  CallPtr EndLease(const std::string&, DoneCallback) override {
    return PendingCall();
  }

 protected:
  static CallPtr PendingCall() { return std::make_unique<KvCall>(); }
};

// Keeps records, and answers at the next iteration of the loop.
class RecordStore : public UnresponsiveStore {
 public:
  explicit RecordStore(EventLoop* loop) : loop_(loop) {}

  CallPtr Get(const std::string& key, DoneCallback done) override {
    return Reply([this, key] { return Find(key); }, std::move(done));
  }
  CallPtr Put(const std::string& key, std::string value, Revision expect,
              const std::string&, DoneCallback done) override {
    return Reply([this, key, value = std::move(value),
                  expect] { return Write(key, value, expect); },
                 std::move(done));
  }

  KvResult Find(const std::string& key) const {
    KvResult result;
    const auto record = records_.find(key);
    result.status =
        record == records_.end() ? KvStatus::kNotFound : KvStatus::kOk;
    if (record != records_.end()) result.record = record->second;
    return result;
  }
  KvResult Write(const std::string& key, const std::string& value,
                 Revision expect) {
    KvResult result = Find(key);
    if (result.record.revision != expect) {
      result.status = KvStatus::kConflict;
      return result;
    }
    records_[key] = {key, value, Revision(++revision_)};
    return Find(key);
  }

 private:
  struct PendingReply : KvCall {
    TimerHandle timer;
  };
  CallPtr Reply(std::function<KvResult()> run, DoneCallback done) {
    auto call = std::make_unique<PendingReply>();
    call->timer = loop_->After(
        Duration::zero(),
        [run = std::move(run), done = std::move(done)] { done(run()); });
    return call;
  }

  EventLoop* const loop_;
  std::map<std::string, KvRecord> records_;
  int64_t revision_ = 0;
};

inline LineLog::Options DisabledLogOptions() {
  LineLog::Options options;
  options.lines_per_second = 0;
  options.burst = 0;
  return options;
}

}  // namespace mimosa::testing

#endif  // TESTS_SERVING_FAKES_H_
