// Fleet of the fault soak test: a stand-in store, backend servers that register
// themselves, and entry daemons, all separate processes on loopback. Daemons
// reach the store and the servers through fault proxies.
#ifndef SOAK_SOAK_FLEET_H_
#define SOAK_SOAK_FLEET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/entry_site.h"
#include "tests/harness.h"
#include "tests/retry_count.h"
#include "tests/run_spans.h"

namespace mimosa::soak {

using Clock = std::chrono::steady_clock;

// Time from SIGTERM to SIGKILL of a daemon.
inline constexpr std::chrono::milliseconds kGraceTime{5000};
// Time limit that callers give the daemon, beyond their longest streams.
inline constexpr std::chrono::milliseconds kCallerTimeLimit{12000};

inline constexpr char kApiKey[] = "key-one";
// The part of some callers' prompts that crashes engines, once told to.
inline constexpr char kCrashingPart[] = "bad";
// Path of a request that may crash plain servers.
inline constexpr char kCrashingTarget[] = "/look/crash";

// A backend server process behind a fault proxy. The run counts from its
// journal are kept across kills.
class Server {
 public:
  Server(std::string id, const std::string& service, const std::string& stage,
         uint16_t store_port, std::string version);

  // Collects the journal, then kills the process, also a paused one.
  void Kill();
  // Starts a process that is down.
  void Start() { StartProcess({}); }
  // Starts the process if it is down, and waits until it sends without framing.
  void StartUnframed();
  // Starts the process, if it is down, at the other one of two software
  // versions, which later starts keep. It first registers after `delay`, and
  // `behavior` holds from its start on.
  void StartAtOtherVersion(std::chrono::milliseconds delay,
                           Json::Value behavior);
  testing::Process& process() { return *process_; }
  testing::Proxy& proxy() { return proxy_; }
  const std::string& id() const { return id_; }
  bool is_engine() const { return !stage_.empty(); }
  void SetBehavior(const char* member, const Json::Value& value);
  // Returns the stand-in's journal: runs by request id, and the open
  // reservations and KV handles. Returns null if the server doesn't respond.
  Json::Value GetJournal() const;
  // Reads the number of runs of each request, the arrivals and the runs of
  // streams since the last start from the journal.
  void CollectRuns();
  // Number of runs by request id, over all starts that a Kill() has ended.
  const std::map<std::string, int64_t>& runs() const { return previous_runs_; }
  // What has reached the server, over the same starts.
  const std::vector<testing::Arrival>& arrivals() const {
    return previous_arrivals_;
  }
  // When streams ran, over the same starts.
  const std::vector<testing::RunSpan>& spans() const { return previous_spans_; }
  // Number of requests that carried a caller's API key; the daemon must remove
  // it.
  int64_t requests_with_api_key() const { return requests_with_api_key_; }

 private:
  // Starts a process at the present version, with more arguments.
  void StartProcess(const std::vector<std::string>& more_args);

  const std::string id_;
  const std::string service_;
  const std::string stage_;
  const uint16_t store_port_;
  const uint16_t port_;
  std::string version_;
  testing::Proxy proxy_;
  std::unique_ptr<testing::Process> process_;
  std::map<std::string, int64_t> previous_runs_;  // of earlier starts
  std::map<std::string, int64_t> current_runs_;   // since the last start
  std::vector<testing::Arrival> previous_arrivals_;
  std::vector<testing::Arrival> current_arrivals_;
  std::vector<testing::RunSpan> previous_spans_;
  std::vector<testing::RunSpan> current_spans_;
  int64_t requests_with_api_key_ = 0;
};

// An entry daemon process and its supervisor. It reaches the store through a
// fault proxy.
class EntryProcess {
 public:
  EntryProcess(const std::string& name, uint16_t store_port);

  uint16_t port() const { return settings_.listen_port(); }
  bool IsReady() const;
  // Whether the daemon may use its whole share of the retry budget.
  bool HasRetryShare() const;
  bool running() const { return process_.running(); }
  testing::Proxy& store_proxy() { return store_proxy_; }

  // Sends SIGTERM, again if the daemon is already leaving. Once it has ended,
  // Supervise() starts it again.
  void Stop();
  // The same, and sends SIGTERM once more, `delay` after the new start.
  void StopAgainAfterStart(std::chrono::milliseconds delay);
  void Reload();
  void Kill();
  void Pause();
  void Resume();
  void StartIfDown();
  // Restarts a daemon that a stop has ended. Kills it first if it outlasts the
  // grace time. Must be called often.
  void Supervise();
  bool stopping() const { return stopping_ || stops_after_start_; }
  // Waits for the exit and returns the exit code.
  int Wait() { return process_.Wait().value_or(0); }

  // Times of the first SIGTERM of each stop.
  const std::vector<Clock::time_point>& stops() const { return stops_; }
  // Descriptions of stops that didn't end with code 0 within the grace time.
  const std::vector<std::string>& failed_stops() const { return failed_stops_; }
  std::string Output() const { return process_.Output(); }

 private:
  // Writes the daemon's settings file and returns its command line arguments.
  std::vector<std::string> WriteSettings(const std::string& name) const;
  void Start();
  // Sends the signal, once the program is loaded: before, no program can
  // handle one.
  void Signal(int number);

  const testing::EntrySettingsFile settings_;
  testing::Proxy store_proxy_;
  testing::Process process_;
  bool stopping_ = false;
  bool paused_ = false;
  // Whether it was paused during the present stop, and so may outlast it.
  bool may_outlast_ = false;
  bool stops_after_start_ = false;
  std::chrono::milliseconds stop_delay_{};  // after the next start
  Clock::time_point started_;
  std::vector<Clock::time_point> stops_;
  std::vector<std::string> failed_stops_;
};

class Fleet {
 public:
  // Starts 3 * `scale` daemons, 2 * `scale` prefill engines, 3 * `scale` decode
  // engines and 2 * `scale` plain servers, and waits until all serve requests.
  // With `mixed_versions`, every other server has the software version "v2".
  Fleet(int scale, bool mixed_versions);

  std::vector<std::unique_ptr<EntryProcess>>& entry_processes() {
    return entry_processes_;
  }
  const std::vector<std::unique_ptr<EntryProcess>>& entry_processes() const {
    return entry_processes_;
  }
  std::vector<std::unique_ptr<Server>>& servers() { return servers_; }
  const std::vector<std::unique_ptr<Server>>& servers() const {
    return servers_;
  }
  testing::StandIn& store() { return store_; }
  // Writes the next version of the configuration, which behaves the same for
  // callers.
  void WriteConfig();
  void RemoveRecord(const Server& server);
  // Ends all faults and restarts every process that is down.
  void ClearFaults();
  // Waits until the daemons may retry as much as in steady state. They retry
  // little after their start.
  void AwaitRetryShares() const;
  // Returns whether each daemon is ready and serves each kind of request.
  bool ServesAllKinds();

 private:
  testing::StandIn store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<EntryProcess>> entry_processes_;
  int config_version_ = 0;
  int probe_count_ = 0;
};

// Time between two events of a stream.
inline constexpr std::chrono::milliseconds kEventInterval{50};

// Returns a caller's request of kind "book", "look", "letter" or "note".
testing::Request MakeRequest(const std::string& kind, const std::string& id,
                             const std::string& body);

}  // namespace mimosa::soak

#endif  // SOAK_SOAK_FLEET_H_
