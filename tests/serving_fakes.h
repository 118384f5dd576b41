// Fakes that in-process tests of serving/ share: a store that never responds,
// of which tests override what they script, and options of a log that writes
// nothing.
#ifndef TESTS_SERVING_FAKES_H_
#define TESTS_SERVING_FAKES_H_

#include <memory>
#include <string>

#include "base/kv_store.h"
#include "base/line_log.h"

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

inline LineLog::Options DisabledLogOptions() {
  LineLog::Options options;
  options.lines_per_second = 0;
  options.burst = 0;
  return options;
}

}  // namespace mimosa::testing

#endif  // TESTS_SERVING_FAKES_H_
