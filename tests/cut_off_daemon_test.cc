// Tests a daemon that loses all backend servers while callers, the store and
// another daemon still reach it. The daemon reaches the servers through fault
// proxies; the other one, with a store of its own that lists the same members,
// reaches them directly.
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/json.h"
#include "base/text.h"
#include "tests/client.h"
#include "tests/entry_site.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

constexpr int kDeadlineMs = 2000;
// A daemon has so long to notice that it is cut off.
constexpr Seconds kSettleTime(3);

struct Server {
  uint16_t port = FreePort();
  std::unique_ptr<Process> process;
  std::unique_ptr<Proxy> proxy;
};

class CutSite {
 public:
  CutSite() {
    for (size_t i = 0; i < 2; ++i) {
      stores_.push_back(std::make_unique<StandIn>("standin-platform",
                                                  std::vector<std::string>()));
      REQUIRE(Eventually([&] {
        return Get(stores_[i]->port(), "/debug/stats").status == 200;
      }));
      const Json::Value config =
          MakeSiteConfig(1, "key-one", {kDeadlineMs, 900, 300});
      REQUIRE(PutRecord(stores_[i]->port(), "op/config", WriteJson(config))
                  .status == 200);
    }
    AddServer("p1", "llm", "prefill");
    AddServer("d1", "llm", "decode");
    AddServer("d2", "llm", "decode");
    AddServer("k1", "desk", "");
    AddServer("k2", "desk", "");
    for (size_t i = 0; i < 2; ++i) StartDaemon(i);
    // Each daemon's store lists the other one.
    CopyRecord("mimosa/members/entry-0", 0, 1, {});
    CopyRecord("mimosa/members/entry-1", 1, 0, {});
    for (size_t i = 0; i < 2; ++i)
      for (const char* target : {"/look/x", "/book/x", "/letter/x"})
        REQUIRE(Eventually([&] { return Send(i, target).status == 200; }));
  }

  Reply Send(size_t daemon, const std::string& target) {
    return Call(settings_[daemon].listen_port(),
                MakeSiteRequest(target, target + std::to_string(++serial_),
                                "key-one", "body", kDeadlineMs));
  }
  // Returns how many of `count` requests in turn are served at a daemon.
  int CountServed(size_t daemon, int count) {
    const char* const targets[] = {"/look/x", "/book/x", "/letter/x"};
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const Reply reply = Send(daemon, targets[i % 3]);
      served += reply.status == 200 && reply.complete ? 1 : 0;
    }
    return served;
  }

  // Sets the mode of the cut daemon's links to all servers.
  void SetLinks(const std::string& mode) {
    for (const auto& [id, server] : servers_)
      server.proxy->SendCommand("mode " + mode);
  }
  // Returns the highest number of runs of any request that may run once.
  int64_t MaxRuns() {
    std::map<std::string, int64_t> runs;
    for (const auto& [id, server] : servers_) {
      const Json::Value journal =
          GetJson(server.port, "/debug/journal")["runs"];
      for (const std::string& request : journal.getMemberNames())
        if (StartsWith(request, "/book/"))
          runs[request] += journal[request].asInt64();
    }
    int64_t most = 0;
    for (const auto& [request, count] : runs) most = std::max(most, count);
    return most;
  }
  // Returns whether a daemon has this line on its metrics page.
  bool HasMetric(size_t daemon, const std::string& line) {
    const Reply reply = Get(settings_[daemon].control_port(), "/metrics");
    return ("\n" + reply.body).find("\n" + line + "\n") != std::string::npos;
  }

 private:
  void AddServer(const std::string& id, const std::string& service,
                 const std::string& stage) {
    Server& server = servers_[id];
    server.process = std::make_unique<Process>(
        "standins/standin-site-server",
        SiteServerArgs(id, service, stage, server.port, stores_[0]->port()));
    server.proxy = std::make_unique<Proxy>(server.port);
    CopyRecord("servers/" + id, 0, 1,
               {Loopback(server.port), server.proxy->address()});
  }

  void StartDaemon(size_t i) {
    const std::string name = "entry-" + std::to_string(i);
    settings_[i].Write(name, Loopback(stores_[i]->port()));
    daemons_.push_back(
        std::make_unique<Process>("tools/mimosa-entry", settings_[i].args()));
    REQUIRE(Eventually([&] {
      return Get(settings_[i].ready_port(), kReadyPath).status == 200;
    }));
  }

  // Copies a record from one store to the other. `replacement` is empty, or a
  // text in its value and what stands there instead.
  void CopyRecord(const std::string& key, size_t from, size_t to,
                  const std::vector<std::string>& replacement) {
    std::string value;
    REQUIRE(Eventually([&] {
      const Json::Value records =
          GetJson(stores_[from]->port(), "/debug/records")["records"];
      for (const Json::Value& record : records)
        if (record["key"].asString() == key) value = record["value"].asString();
      return !value.empty();
    }));
    if (!replacement.empty()) {
      const size_t at = value.find(replacement[0]);
      REQUIRE(at != std::string::npos);
      value.replace(at, replacement[0].size(), replacement[1]);
    }
    REQUIRE(PutRecord(stores_[to]->port(), key, value).status == 200);
  }

  std::vector<std::unique_ptr<StandIn>> stores_;
  std::map<std::string, Server> servers_;
  std::vector<std::unique_ptr<Process>> daemons_;
  EntrySettingsFile settings_[2];
  int serial_ = 0;
};

TEST_CASE("a daemon that is cut off from all servers is helped by another") {
  constexpr int kRequests = 60;
  for (const char* mode : {"cut", "blackhole"}) {
    INFO(mode);
    CutSite site;
    site.SetLinks(mode);
    const auto settled = std::chrono::steady_clock::now() + kSettleTime;
    while (std::chrono::steady_clock::now() < settled) site.CountServed(1, 3);
    CHECK(site.CountServed(0, kRequests) == kRequests);
    CHECK(site.CountServed(1, kRequests) >= kRequests * 2 / 3);
    CHECK(site.MaxRuns() == 1);

    CHECK(site.HasMetric(0, "mimosa_services_unreachable 0"));
    CHECK(site.HasMetric(1, "mimosa_services_unreachable 2"));
    // The daemon notices the end of the cut.
    site.SetLinks("pass");
    CHECK(Eventually(
        [&] { return site.HasMetric(1, "mimosa_services_unreachable 0"); }));
    CHECK(Eventually([&] { return site.CountServed(1, 3) == 3; }));
    CHECK(site.CountServed(1, kRequests) == kRequests);
    CHECK(site.MaxRuns() == 1);
  }
}

}  // namespace
}  // namespace mimosa::testing
