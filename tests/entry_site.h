// A site of the users' platform as process tests and the soak build it:
// settings of daemons, arguments of servers, the configuration, callers'
// requests.
//
// Routes: /book/ (once) and /look/ (idempotent) to the plain service "desk",
// /letter/ (once) and /note/ (may be resumed) to the engines "llm". The
// customer is "guild".
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

// The ports and the settings file of one daemon; the file goes with it.
class EntrySettingsFile {
 public:
  EntrySettingsFile() = default;
  ~EntrySettingsFile() { std::filesystem::remove(path_); }
  EntrySettingsFile(const EntrySettingsFile&) = delete;
  EntrySettingsFile& operator=(const EntrySettingsFile&) = delete;

  // Writes the file; `store` is an address.
  void Write(const std::string& name, const std::string& store,
             int grace_ms = 8000) const;

  uint16_t listen_port() const { return listen_port_; }
  uint16_t ready_port() const { return ready_port_; }
  uint16_t control_port() const { return control_port_; }
  const std::filesystem::path& path() const { return path_; }
  // Of mimosa-entry.
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

// Of standin-site-server; `stage`: empty for a plain server.
std::vector<std::string> SiteServerArgs(const std::string& id,
                                        const std::string& service,
                                        const std::string& stage, uint16_t port,
                                        uint16_t store);

// The times of all routes.
struct RouteTimeouts {
  int timeout_ms = 0;
  int target_latency_ms = 0;
  int target_gap_ms = 0;
};
Json::Value MakeSiteConfig(int version, const std::string& key,
                           const RouteTimeouts& times);

// Writes a record past the store's rules, as operators and servers do.
Reply PutRecord(uint16_t store, const std::string& key,
                const std::string& value);

// A caller's request; a model request where the route has engines.
Request MakeSiteRequest(const std::string& target, const std::string& id,
                        const std::string& key, const std::string& body,
                        int deadline_ms);

// Events of a stand-in's stream, as text.
std::string StreamEvents(int from, int to);

}  // namespace mimosa::testing

#endif  // TESTS_ENTRY_SITE_H_
