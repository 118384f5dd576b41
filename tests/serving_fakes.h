// What in-process tests of serving/ share: a store that never answers, for
// tests to override what they script, and a log that writes nothing.
#ifndef TESTS_SERVING_FAKES_H_
#define TESTS_SERVING_FAKES_H_

#include <memory>
#include <string>

#include "base/kv_store.h"
#include "base/line_log.h"

namespace mimosa::testing {

class SilentStore : public KvStore {
 public:
  CallPtr Get(const std::string&, Done) override { return Call(); }
  CallPtr Put(const std::string&, std::string, Revision, const std::string&,
              Done) override {
    return Call();
  }
  CallPtr Delete(const std::string&, Revision, Done) override { return Call(); }
  CallPtr List(const std::string&, ListDone) override { return Call(); }
  CallPtr Watch(const std::string&, Revision, Duration, ListDone) override {
    return Call();
  }
  CallPtr CreateLease(Duration, Done) override { return Call(); }
  CallPtr RenewLease(const std::string&, Done) override { return Call(); }
  CallPtr EndLease(const std::string&, Done) override { return Call(); }

 protected:
  static CallPtr Call() { return std::make_unique<KvCall>(); }
};

inline LineLog::Options QuietLog() {
  LineLog::Options options;
  options.lines_per_second = 0;
  options.burst = 0;
  return options;
}

}  // namespace mimosa::testing

#endif  // TESTS_SERVING_FAKES_H_
