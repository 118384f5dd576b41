// A site whose engines have several software versions, for process tests:
// daemons and engines as separate processes, and callers that break resumable
// streams off and take them up at any daemon. Each event of the stand-in
// engines names the version that has generated it.
#ifndef TESTS_VERSIONED_SITE_H_
#define TESTS_VERSIONED_SITE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "tests/client.h"
#include "tests/entry_site.h"
#include "tests/harness.h"

namespace mimosa::testing {

// Milliseconds of the system clock, as in the daemons' logs.
int64_t UnixMillis();

// A stream as its caller has received it over all its attempts.
class ReceivedStream {
 public:
  explicit ReceivedStream(int expected_events)
      : expected_events_(expected_events) {}

  // Adds the events of a response. A partial last one doesn't count.
  void Add(const std::string& body);

  int events() const { return events_; }
  bool is_whole() const { return events_ == expected_events_; }
  bool is_mixed() const { return mixed_attempts_ + mixed_responses_ > 0; }
  // Responses of which the first event, or a later one, has another version
  // than the stream.
  int mixed_attempts() const { return mixed_attempts_; }
  int mixed_responses() const { return mixed_responses_; }
  int misplaced() const { return misplaced_; }
  // The version of the first event; empty if there is none.
  const std::string& version() const { return version_; }

 private:
  const int expected_events_;
  std::string version_;
  int events_ = 0;
  int mixed_attempts_ = 0;
  int mixed_responses_ = 0;
  int misplaced_ = 0;
};

struct StreamTally {
  int streams = 0;
  int whole = 0;
  int taken_up = 0;  // Streams that the caller has taken up once or more.
  int went_on = 0;   // Of these, how many got another event.
  int mixed_attempts = 0;
  int mixed_responses = 0;
  int misplaced = 0;
  std::vector<std::string> mixed_streams;  // Ids of the first attempts.
};

class VersionedSite {
 public:
  struct Options {
    int daemons = 3;
    int prefill_engines = 2;
    int decode_engines = 6;
    int callers = 16;
    int events = 24;  // Of a stream.
    std::chrono::milliseconds event_interval{25};
    int deadline_ms = 8000;
    // Each daemon reaches the store through a proxy of its own.
    bool has_store_proxies = false;
  };
  struct Engine {
    std::string id;
    std::string stage;
    std::string version = "v1";
    uint16_t port = FreePort();
    std::unique_ptr<Process> process;
  };
  struct Daemon {
    std::string name;
    EntrySettingsFile settings;
    std::unique_ptr<Proxy> store_proxy;  // Null if there are none.
    std::unique_ptr<Process> process;
  };

  // Starts all processes and waits until each daemon serves and may retry.
  explicit VersionedSite(const Options& options);
  ~VersionedSite();

  void StartCallers();
  void StopCallers();

  std::vector<std::unique_ptr<Engine>>& engines() { return engines_; }
  Daemon& daemon(size_t i) { return *daemons_.at(i); }
  SeededRandom& random() { return random_; }
  // Starts an engine of the version, which the store lists `delay` later.
  void AddEngine(const std::string& id, const std::string& stage,
                 const std::string& version,
                 std::chrono::milliseconds delay = {});
  // Starts the engine's process, which the store lists `delay` later.
  void StartEngine(Engine* engine, std::chrono::milliseconds delay);

  StreamTally tally();
  // Returns what the daemons have logged of the stream.
  std::string FindLogLines(const std::string& stream) const;

 private:
  Request MakeRequest(const std::string& target, const std::string& id,
                      const Fields& more) const;
  Reply SendTo(const Daemon& daemon, const std::string& target,
               const std::string& id, const Fields& more) const;
  void RunCaller(int number);
  void RunStream(const std::string& id, SeededRandom* random);
  const Daemon& DrawDaemon(SeededRandom* random) const;

  const Options options_;
  StandIn store_;
  SeededRandom random_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  StreamTally tally_;
  std::vector<std::thread> callers_;
};

// Prints the tally, and checks that no stream has events of two versions and
// that most broken ones have gone on.
void CheckStreams(VersionedSite* site, const std::string& title);

}  // namespace mimosa::testing

#endif  // TESTS_VERSIONED_SITE_H_
