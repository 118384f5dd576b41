// Callers of the fault soak test: threads that send requests over kept-alive
// connections and check each response by itself. Checks that need the servers'
// journals run at the end on the recorded outcomes.
#ifndef SOAK_SOAK_CALLERS_H_
#define SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "tests/client.h"

namespace mimosa::soak {

// Result of one request as the caller saw it.
struct Outcome {
  std::string kind;
  std::string id;
  int status = 0;  // 0 if no response head was received
  bool complete = false;
  bool has_seal = false;  // the response comes from a backend server
};

// `count` threads that send random requests to random daemons on `ports`, drawn
// from `seed`, until Stop().
class Callers {
 public:
  Callers(std::vector<uint16_t> ports, uint64_t seed, int count);
  ~Callers() { Stop(); }

  void Stop();
  // Results of all requests. Valid after Stop().
  const std::vector<Outcome>& outcomes() const { return outcomes_; }
  // Descriptions of responses that violate the protocol. Valid after Stop().
  const std::vector<std::string>& invalid_responses() const {
    return invalid_responses_;
  }

 private:
  void RunCaller(uint64_t seed, int number);
  // `first_event` is the one that the body of a stream must begin with, and
  // `version` its software version; empty: any.
  void RecordOutcome(const Outcome& outcome, const testing::Reply& reply,
                     const std::string& body, int first_event,
                     const std::string& version);
  // Sends the request that may crash servers, with an id made from `after`.
  // Returns whether the connection can be used again.
  static bool RepeatCrashingRequest(const std::string& after,
                                    testing::Connection* connection);
  // Takes a truncated stream up again, up to a few times, at random daemons.
  void TakeUp(const Outcome& begun, const testing::Reply& reply,
              RandomSource* random);

  const std::vector<uint16_t> ports_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::string> invalid_responses_;
  std::vector<std::thread> threads_;
};

}  // namespace mimosa::soak

#endif  // SOAK_SOAK_CALLERS_H_
