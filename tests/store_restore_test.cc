// Tests daemons whose store comes back from an older copy, with separate
// processes: what operators and servers write again is in force everywhere, and
// nothing goes back.
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "tests/client.h"
#include "tests/entry_site.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

constexpr int kDaemons = 3;
// Daemons are in touch so long after the store has come back, and what was
// written to it by then is in force.
constexpr Seconds kContactTime{3};

// Three daemons, two plain servers and their store.
class Site {
 public:
  Site() : store_("standin-platform", {}) {
    REQUIRE(Eventually(
        [&] { return Get(store_.port(), "/debug/stats").status == 200; }));
    WriteConfig(1, "key-one");
    for (const char* id : {"k1", "k2"}) {
      const uint16_t port = FreePort();
      servers_.push_back(std::make_unique<Process>(
          "standins/standin-site-server",
          SiteServerArgs(id, "desk", "", port, store_.port())));
    }
    for (int i = 0; i < kDaemons; ++i) {
      settings_.push_back(std::make_unique<EntrySettingsFile>());
      settings_[i]->Write("entry-" + std::to_string(i),
                          Loopback(store_.port()));
      daemons_.push_back(std::make_unique<Process>("tools/mimosa-entry",
                                                   settings_[i]->args()));
    }
    AwaitStatus("key-one", 200);
  }

  void WriteConfig(int version, const std::string& key) {
    PutRecord(store_.port(), "op/config",
              WriteJson(MakeSiteConfig(version, key, {5000, 900, 300})));
  }
  void Control(const char* name) { Control(name, true); }
  void Control(const char* name, bool value) {
    Json::Value members;
    members[name] = value;
    store_.SetBehavior(members, "/debug/control");
  }
  int64_t revision() const {
    return GetJson(store_.port(), "/debug/stats")["revision"].asInt64();
  }
  int Send(int daemon, const std::string& key) {
    return Call(settings_[daemon]->listen_port(),
                MakeSiteRequest("/book/x", "r" + std::to_string(++serial_), key,
                                "body", 5000))
        .status;
  }
  // Waits until all daemons respond to requests with this key in this way.
  void AwaitStatus(const std::string& key, int status) {
    AwaitStatusUntil(key, status,
                     std::chrono::steady_clock::now() + kDefaultTimeout);
  }
  // The same by the time at which what was written to a restored store must be
  // in force.
  void AwaitInForce(const std::string& key, int status) {
    AwaitStatusUntil(key, status, restored_ + kContactTime);
  }
  // The store comes back from its copy at once, and then up to beyond the
  // revision that it had, before any daemon asks.
  void RestoreBefore(int version, const std::string& key) {
    const int64_t lost = revision();
    Control("outage");
    Control("restore_copy");
    WriteConfig(version, key);
    for (int i = 0; revision() <= lost; ++i)
      PutRecord(store_.port(), "other/" + std::to_string(i), "{}");
    Control("outage", false);
    restored_ = std::chrono::steady_clock::now();
  }
  Json::Value Status(int daemon) const {
    return GetJson(settings_[daemon]->control_port(), "/status");
  }
  Process& daemon(int i) { return *daemons_[i]; }

 private:
  using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Seconds>;

  void AwaitStatusUntil(const std::string& key, int status, TimePoint until) {
    for (int i = 0; i < kDaemons; ++i) {
      INFO("daemon " << i << ", key " << key);
      CHECK(Eventually([&] { return Send(i, key) == status; },
                       until - std::chrono::steady_clock::now()));
    }
  }

  StandIn store_;
  std::vector<std::unique_ptr<Process>> servers_;
  std::vector<std::unique_ptr<EntrySettingsFile>> settings_;
  std::vector<std::unique_ptr<Process>> daemons_;
  TimePoint restored_{};
  int serial_ = 0;
};

// Guards against a configuration that is missed for good, because its revision
// is lower than the one that the daemons watched from.
TEST_CASE("a configuration written to a restored store is in force") {
  Site site;
  site.Control("save_copy");
  site.WriteConfig(2, "key-two");
  site.AwaitStatus("key-two", 200);
  site.RestoreBefore(3, "key-three");
  site.AwaitInForce("key-three", 200);
  site.AwaitInForce("key-two", 401);
}

TEST_CASE("a store that is restored twice, and a daemon that is away") {
  Site site;
  site.Control("save_copy");
  site.WriteConfig(2, "key-two");
  site.AwaitStatus("key-two", 200);
  site.daemon(0).Pause();
  site.RestoreBefore(3, "key-three");
  site.RestoreBefore(4, "key-four");
  site.daemon(1).Restart();
  site.daemon(0).Resume();
  site.AwaitStatus("key-four", 200);
  site.AwaitStatus("key-three", 401);
}

TEST_CASE("a restored store without the last configuration brings none back") {
  Site site;
  site.Control("save_copy");
  site.WriteConfig(2, "key-two");
  site.AwaitStatus("key-two", 200);
  // The copy has version 1 only.
  site.RestoreBefore(1, "key-one");
  REQUIRE(Eventually([&] {
    for (int i = 0; i < kDaemons; ++i)
      if (site.daemon(i).Output().find("store_restored") == std::string::npos)
        return false;
    return true;
  }));
  site.AwaitStatus("key-one", 401);
  site.AwaitStatus("key-two", 200);
  for (int i = 0; i < kDaemons; ++i)
    CHECK(site.Status(i)["configuration_version"].asInt64() == 2);
}

}  // namespace
}  // namespace mimosa::testing
