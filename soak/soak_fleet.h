// The fleet of the fault soak: stand-in store, registering backend servers and
// entry daemons as separate processes on loopback, each behind a fault proxy
// towards the daemons.
#ifndef SOAK_SOAK_FLEET_H_
#define SOAK_SOAK_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/entry_site.h"
#include "tests/harness.h"

namespace mimosa::soak {

inline constexpr char kApiKey[] = "key-one";

// A backend server; its journal outlives its kills.
class Server {
 public:
  Server(std::string id, const std::string& service, const std::string& stage,
         uint16_t store);

  void Kill();
  void Start() { process_.Start(); }
  testing::Process& process() { return process_; }
  testing::Proxy& proxy() { return proxy_; }
  const std::string& id() const { return id_; }
  bool is_engine() const { return is_engine_; }
  void SetBehavior(const char* member, const Json::Value& value);
  // What runs, rooms and handles are there now; null if it doesn't answer.
  Json::Value GetJournal() const;
  // Adds what has run since its start to `runs`, by request id.
  void CollectRuns();
  const std::map<std::string, int64_t>& runs() const { return previous_runs_; }
  int64_t foreign() const { return foreign_; }

 private:
  const std::string id_;
  const bool is_engine_;
  const uint16_t port_;
  testing::Proxy proxy_;
  testing::Process process_;
  std::map<std::string, int64_t> previous_runs_;  // of former starts
  std::map<std::string, int64_t> current_runs_;   // of this start
  int64_t foreign_ = 0;
};

class EntryProcess {
 public:
  EntryProcess(const std::string& name, uint16_t store);

  uint16_t port() const { return settings_.listen_port(); }
  bool IsReady() const;
  testing::Process& process() { return process_; }
  testing::Proxy& store_proxy() { return store_proxy_; }

 private:
  // Arguments of the daemon.
  std::vector<std::string> WriteSettings(const std::string& name) const;

  const testing::EntrySettingsFile settings_;
  testing::Proxy store_proxy_;
  testing::Process process_;
};

class Fleet {
 public:
  // Three daemons, two prefill and three decode engines, two plain servers;
  // `scale` times as many.
  explicit Fleet(int scale);

  std::vector<std::unique_ptr<EntryProcess>>& entry_processes() {
    return entry_processes_;
  }
  std::vector<std::unique_ptr<Server>>& servers() { return servers_; }
  testing::StandIn& store() { return store_; }
  // The next version of the configuration, the same in all that callers see.
  void WriteConfig();
  void RemoveRecord(const Server& server);
  // Ends all faults and starts what doesn't run.
  void ClearFaults();
  // Whether each daemon is ready and serves each kind of request.
  bool ServesAllKinds();

 private:
  testing::StandIn store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<EntryProcess>> entry_processes_;
  int config_version_ = 0;
  int probe_count_ = 0;
};

// A caller's request. `kind`: book, look, letter or note.
testing::Request MakeRequest(const std::string& kind, const std::string& id,
                             const std::string& body);

}  // namespace mimosa::soak

#endif  // SOAK_SOAK_FLEET_H_
