// A small deployment on loopback: the stand-in store and daemons that are
// started with the command of the deploy file. A daemon that ends by itself is
// started again after a short delay, as the platform does.
#ifndef REVIEW_COMMON_2_FLEET_H_
#define REVIEW_COMMON_2_FLEET_H_

#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "peer.h"

namespace review {

// Set by SIGTERM and SIGINT: the trial ends early and cleans up.
inline std::atomic<bool> g_interrupted{false};

inline void HandleInterrupts() {
  const auto handler = [](int) { g_interrupted = true; };
  signal(SIGTERM, handler);
  signal(SIGINT, handler);
  signal(SIGPIPE, SIG_IGN);
}

// The lines of record.txt, with the time since the start of the trial.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}

  void Write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    out_ << Now() << " ms  " << line << "\n" << std::flush;
  }
  int64_t Now() const { return Millis(Clock::now() - begin_); }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const Clock::time_point begin_ = Clock::now();
};

// One daemon and its restarts.
class Daemon {
 public:
  Daemon(Record* record, const std::string& work_dir, std::string name,
         std::string zone, int store_port, std::string run)
      : record_(record),
        name_(std::move(name)),
        zone_(std::move(zone)),
        run_(std::move(run)),
        settings_(work_dir + "/" + name_ + ".toml"),
        log_(work_dir + "/" + name_ + ".log") {
    WriteSettings(store_port);
  }
  ~Daemon() { StopForGood(); }

  void StartForGood() {
    Launch();
    supervisor_ = std::thread([this] { Supervise(); });
  }

  void StopForGood() {
    stopping_ = true;
    if (pid_ > 0) kill(pid_, SIGTERM);
    if (supervisor_.joinable()) supervisor_.join();
  }

  // Whether the balancer would use the daemon.
  bool IsReady() const {
    return Call(ready_port_, "GET", "/mimosarouter/ready", "") == 200;
  }

  const std::string& name() const { return name_; }
  const std::string& log() const { return log_; }
  int port() const { return port_; }
  int control_port() const { return control_port_; }
  pid_t pid() const { return pid_; }
  int own_ends() const { return own_ends_; }
  // When the process that runs now was started, in the record's time.
  int64_t started_ms() const { return started_ms_; }

 private:
  // Fills in deploy/entry.env as the platform does. The bounds are those of the
  // page of kollappura-bookings.
  void WriteSettings(int store_port) {
    std::ofstream out(settings_);
    out << "MIMOSA_NAME=" << name_ << "\n"
        << "MIMOSA_FAILURE_DOMAIN=" << zone_ << "\n"
        << "MIMOSA_LISTEN=" << AddressOf(port_) << "\n"
        << "MIMOSA_READY_LISTEN=" << AddressOf(ready_port_) << "\n"
        << "MIMOSA_CONTROL_LISTEN=" << AddressOf(control_port_) << "\n"
        << "MIMOSA_PEER_LISTEN=" << AddressOf(peer_port_) << "\n"
        << "MIMOSA_STORE=" << AddressOf(store_port) << "\n"
        << "MIMOSA_GRACE_MS=8000\n"
        << "MIMOSA_RETRY_BUDGET_RATIO=0.2\n"
        << "MIMOSA_RETRY_BUDGET_SLACK=56\n"
        << "MIMOSA_RETRY_BUDGET_WINDOW_S=10\n"
        << "MIMOSA_SETTLE_MS=3000\n"
        << "MIMOSA_CONFIG_APPLY_MS=2000\n"
        << "MIMOSA_DRAIN_MS=2000\n"
        << "MIMOSA_ALLOTMENT_WINDOW_S=8\n"
        << "MIMOSA_LINK_MBPS=1000.0\n"
        << "MIMOSA_REGIONS=kochi=kerala,thrissur=kerala\n"
        << "MIMOSA_EVACUATION_MS=\n"
        << "MIMOSA_MEMORY_MB=110\n";
  }

  void Launch() {
    std::vector<std::string> command;
    std::istringstream words(run_);
    for (std::string word; words >> word;) command.push_back(word);
    // The deploy file names the platform's path of the settings file.
    command.back() = settings_;
    started_ms_ = record_->Now();
    pid_ = Start(command, log_);
    record_->Write(name_ + " started, process " + std::to_string(pid_));
  }

  void Supervise() {
    constexpr int64_t kRestartDelayMs = 500;
    constexpr int64_t kGraceMs = 9000;
    Clock::time_point kill_at = Clock::time_point::max();
    for (;;) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = 0;
        if (stopping_) return;
        ++own_ends_;
        record_->Write(name_ + " ended by itself, " + HowItEnded(status));
        SleepMs(kRestartDelayMs);
        if (stopping_) return;
        Launch();
        continue;
      }
      if (stopping_ && kill_at == Clock::time_point::max())
        kill_at = Clock::now() + std::chrono::milliseconds(kGraceMs);
      if (Clock::now() > kill_at) kill(pid_, SIGKILL);
      SleepMs(5);
    }
  }

  static std::string HowItEnded(int status) {
    return WIFSIGNALED(status)
               ? "signal " + std::to_string(WTERMSIG(status))
               : "exit code " + std::to_string(WEXITSTATUS(status));
  }

  Record* const record_;
  const std::string name_;
  const std::string zone_;
  const std::string run_;
  const std::string settings_;
  const std::string log_;
  const int port_ = FreePort();
  const int ready_port_ = FreePort();
  const int control_port_ = FreePort();
  const int peer_port_ = FreePort();
  std::atomic<pid_t> pid_{0};
  std::atomic<int64_t> started_ms_{0};
  std::atomic<int> own_ends_{0};
  std::atomic<bool> stopping_{false};
  std::thread supervisor_;
};

// Starts the stand-in store. Returns its process id, 0 if it doesn't come up.
inline pid_t StartStore(const std::string& program, const std::string& work_dir,
                        int port) {
  const pid_t pid =
      Start({program, "--listen=" + AddressOf(port)}, work_dir + "/store.log");
  const bool is_up = WaitFor(
      5000, [&] { return Call(port, "GET", "/debug/stats", "") == 200; });
  if (is_up) return pid;
  Stop(pid, 1000);
  return 0;
}

// Returns the command of role `entry` in the deploy file.
inline std::string ReadRunCommand(const std::string& deploy_file) {
  std::ifstream in(deploy_file);
  for (std::string line; std::getline(in, line);) {
    const std::string key = "run = \"";
    if (line.compare(0, key.size(), key) != 0) continue;
    return line.substr(key.size(), line.rfind('"') - key.size());
  }
  return "";
}

}  // namespace review

#endif  // REVIEW_COMMON_2_FLEET_H_
