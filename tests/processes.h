// Real processes for integration tests: started, frozen, killed, always reaped.
#ifndef TESTS_PROCESSES_H_
#define TESTS_PROCESSES_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosa::testing {

using Seconds = std::chrono::duration<double>;

// Generous: tests assert what happens, not how fast. Bounds that a promise
// states are given explicitly by its test.
inline constexpr Seconds kDefaultTimeout{30};

// Polls until `condition` holds. False if it doesn't within `deadline`.
bool Eventually(const std::function<bool()>& condition,
                Seconds deadline = kDefaultTimeout);

// A TCP port of 127.0.0.1 that nothing listens on. Outside of the range from
// which the kernel takes the ports of outgoing connections.
uint16_t FreePort();
std::string Loopback(uint16_t port);

// The seed of this run: MIMOSA_SEED, or a fixed one. Printed once.
uint64_t Seed();

// One child process. Its output goes to a file that is printed if the process
// ends on its own with a failure.
class Process {
 public:
  using Environment = std::map<std::string, std::string>;

  // `program`: path below the build directory.
  Process(std::string program, std::vector<std::string> args,
          Environment environment = {});
  // Kills what still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Kill();       // KILL, and waits for the end
  void Pause();      // STOP
  void Resume();     // CONT
  void Terminate();  // TERM, doesn't wait
  void Signal(int number);
  void Restart() {
    Kill();
    Start();
  }
  bool running() const;
  // The exit code once it has ended; negative signal number if killed; nothing
  // if it still runs at the deadline.
  std::optional<int> Wait(Seconds deadline = kDefaultTimeout);
  // All that it wrote since its first start.
  std::string Output() const;

  static bool Exists(const std::string& program);

 private:
  struct Child;

  const std::string program_;
  const std::vector<std::string> args_;
  const Environment environment_;
  const std::string output_path_;
  std::unique_ptr<Child> child_;  // null while none runs
  std::optional<int> exit_code_;
};

}  // namespace mimosa::testing

#endif  // TESTS_PROCESSES_H_
