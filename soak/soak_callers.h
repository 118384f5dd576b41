// Callers of the fault soak: threads that keep using open connections and check
// each answer by itself. What needs the servers' journals is checked at the end
// from the outcomes.
#ifndef SOAK_SOAK_CALLERS_H_
#define SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/client.h"

namespace mimosa::soak {

struct Outcome {
  std::string kind;
  std::string id;
  int status = 0;  // 0: no head came
  bool complete = false;
  bool has_seal = false;  // an answer of a backend server
};

class Callers {
 public:
  Callers(std::vector<uint16_t> ports, uint64_t seed, int count);
  ~Callers() { Stop(); }

  void Stop();
  // After Stop().
  const std::vector<Outcome>& outcomes() const { return outcomes_; }
  // Answers that can't be right, as text.
  const std::vector<std::string>& invalid_responses() const {
    return invalid_responses_;
  }

 private:
  void RunCaller(uint64_t seed, int number);
  void RecordOutcome(const Outcome& outcome, const testing::Reply& reply,
                     const std::string& body);

  const std::vector<uint16_t> ports_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::string> invalid_responses_;
  std::vector<std::thread> threads_;
};

}  // namespace mimosa::soak

#endif  // SOAK_SOAK_CALLERS_H_
