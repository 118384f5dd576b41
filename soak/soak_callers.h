// Callers of the fault soak test: threads that send requests over kept-alive
// connections and check each response by itself. Some let streams last longer
// than the grace time of the daemons, send a second request before the first
// response ends, read slowly, break streams off and take them up again, or use
// a connection until it is closed. Checks that need the servers' journals run
// at the end on the recorded outcomes.
#ifndef SOAK_SOAK_CALLERS_H_
#define SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "soak/soak_fleet.h"
#include "tests/client.h"

namespace mimosa::soak {

// Result of one request as the caller saw it.
struct Outcome {
  std::string kind;
  std::string id;
  int status = 0;  // 0 if no response head was received
  bool complete = false;
  bool has_seal = false;  // the response comes from a backend server
  uint16_t port = 0;      // of the daemon
  int events = 0;         // number of the last event of the stream
  // Whether an earlier response announced the end of the connection, or was
  // cut, so that the daemon need not have read the request.
  bool behind_end = false;
  Clock::time_point sent;
  Clock::time_point last_data;  // when the last part of the body was received
  Clock::time_point end;        // of the response
  bool has_all_events = false;
};

// `count` threads that send random requests to random daemons on `ports`, drawn
// from `seed`, until Stop(). With `breaks_off`, many break streams off.
class Callers {
 public:
  Callers(std::vector<uint16_t> ports, uint64_t seed, int count,
          bool breaks_off);
  ~Callers() { Stop(); }

  void Stop();
  // Results of all requests. Valid after Stop().
  const std::vector<Outcome>& outcomes() const { return outcomes_; }
  // Descriptions of responses that violate the protocol. Valid after Stop().
  const std::vector<std::string>& invalid_responses() const {
    return invalid_responses_;
  }
  // Truncated streams that could not be taken up. Valid after Stop().
  const std::vector<std::string>& lost_streams() const { return lost_streams_; }
  // Truncated streams, and how many of them got another event.
  int taken_up() const { return taken_up_; }
  int went_on() const { return went_on_; }

 private:
  // A request and what its caller records of it.
  struct Sent {
    Outcome outcome;
    std::string body;
    testing::Request request;
  };

  // `random` draws what a caller sends, `habits` how.
  void RunCaller(uint64_t seed, int number);
  static Sent DrawRequest(const std::string& id, int number,
                          RandomSource* random, RandomSource* habits);
  // Reads the response, with pauses of up to `reading_pause` between its parts,
  // and records the outcome. `first_event` is the one that the body of a stream
  // must begin with, and `version` its software version; empty: any. Stops
  // after `max_events` events; 0: at the end.
  testing::Reply AwaitResponse(Sent* sent, testing::Connection* connection,
                               std::chrono::milliseconds reading_pause,
                               int first_event, const std::string& version,
                               int max_events = 0);
  void RecordOutcome(const Outcome& outcome, const testing::Reply& reply,
                     const std::string& body, int first_event,
                     const std::string& version);
  // Sends the request that may crash servers, with an id made from `after`.
  // Returns whether the connection can be used again.
  static bool RepeatCrashingRequest(const std::string& after,
                                    testing::Connection* connection);
  // Takes a truncated stream up again at random daemons until it is complete or
  // doesn't go on for long.
  void TakeUp(const Outcome& begun, const testing::Reply& reply,
              RandomSource* random);

  const std::vector<uint16_t> ports_;
  const bool breaks_off_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::string> invalid_responses_;
  std::vector<std::string> lost_streams_;
  std::atomic<int> taken_up_{0};
  std::atomic<int> went_on_{0};
  std::vector<std::thread> threads_;
};

}  // namespace mimosa::soak

#endif  // SOAK_SOAK_CALLERS_H_
