// Builds a site of the users' platform for process tests and the soak test:
// settings of daemons, arguments of servers, the configuration and callers'
// requests.
//
// Routes: /book/ (at most once) and /look/ (idempotent) lead to the plain
// service "desk", /letter/ (at most once) and /note/ (resumable) to the engines
// "llm". The customer is "guild".
#ifndef TESTS_ENTRY_SITE_H_
#define TESTS_ENTRY_SITE_H_

#include <json/value.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "tests/client.h"
#include "tests/processes.h"

namespace mimosa::testing {

inline constexpr char kReadyPath[] = "/mimosarouter/ready";

// The ports and the settings file of one daemon. The destructor removes the
// file.
class EntrySettingsFile {
 public:
  EntrySettingsFile() = default;
  ~EntrySettingsFile() { std::filesystem::remove(path_); }
  EntrySettingsFile(const EntrySettingsFile&) = delete;
  EntrySettingsFile& operator=(const EntrySettingsFile&) = delete;

  // Writes the file. `store` is the address of the store, `more` further
  // lines.
  void Write(const std::string& name, const std::string& store,
             int grace_ms = 8000, const std::string& more = "") const;

  uint16_t listen_port() const { return listen_port_; }
  uint16_t ready_port() const { return ready_port_; }
  uint16_t control_port() const { return control_port_; }
  uint16_t peer_port() const { return peer_port_; }
  const std::filesystem::path& path() const { return path_; }
  // The command-line arguments of mimosa-entry.
  std::vector<std::string> args() const {
    return {"--settings-file", path_.string()};
  }

 private:
  const uint16_t listen_port_ = FreePort();
  const uint16_t ready_port_ = FreePort();
  const uint16_t control_port_ = FreePort();
  const uint16_t peer_port_ = FreePort();
  const std::filesystem::path path_ =
      std::filesystem::temp_directory_path() /
      ("mimosa-entry-settings-" + std::to_string(listen_port_));
};

// Returns command-line arguments of standin-site-server. `stage` is empty for a
// server of a plain service.
std::vector<std::string> SiteServerArgs(const std::string& id,
                                        const std::string& service,
                                        const std::string& stage, uint16_t port,
                                        uint16_t store,
                                        const std::string& version = "v1");

// The timeout and the latency targets of all routes.
struct RouteTimeouts {
  int timeout_ms = 0;
  int target_latency_ms = 0;
  int target_gap_ms = 0;
};
Json::Value MakeSiteConfig(int version, const std::string& key,
                           const RouteTimeouts& times);

// Writes a record without the checks of the store, as operators and servers do.
Reply PutRecord(uint16_t store, const std::string& key,
                const std::string& value);

// Makes a caller's request. It is a model request if the route leads to
// engines.
Request MakeSiteRequest(const std::string& target, const std::string& id,
                        const std::string& key, const std::string& body,
                        int deadline_ms);

// Returns the events `from` to `to` of the stream of a stand-in of the software
// version `version`, as text.
std::string StreamEvents(int from, int to, const std::string& version = "v1");

}  // namespace mimosa::testing

#endif  // TESTS_ENTRY_SITE_H_
