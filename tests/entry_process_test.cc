// The whole path of the entry daemon through separate processes: callers,
// daemons, registering backend servers and the stand-in store, with losses of
// each.
#include <signal.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "tests/client.h"
#include "tests/entry_site.h"
#include "tests/harness.h"

namespace mimosa::testing {
namespace {

struct Entry {
  EntrySettingsFile settings;
  std::unique_ptr<Process> process;
};

struct Server {
  uint16_t port = FreePort();
  std::unique_ptr<Process> process;
};

// Two daemons, a prefill engine, two decode engines and two desks.
class Site {
 public:
  Site() : store_("standin-platform", {}) {
    REQUIRE(Eventually(
        [&] { return Get(store_.port(), "/debug/stats").status == 200; }));
    AddServer("p1", "llm", "prefill");
    AddServer("d1", "llm", "decode");
    AddServer("d2", "llm", "decode");
    AddServer("k1", "desk", "");
    AddServer("k2", "desk", "");
    WriteConfig(1, "key-one");
    for (int i = 0; i < 2; ++i) AddEntry("entry-" + std::to_string(i));
    for (size_t i = 0; i < entries_.size(); ++i) AwaitServing(i);
  }

  void AddServer(const std::string& id, const std::string& service,
                 const std::string& stage) {
    Server server;
    server.process = std::make_unique<Process>(
        "standins/standin-site-server",
        SiteServerArgs(id, service, stage, server.port, store_.port()));
    servers_[id] = std::move(server);
  }

  void AddEntry(const std::string& name) {
    auto entry = std::make_unique<Entry>();
    WriteSettings(*entry, name, 8000);
    entry->process =
        std::make_unique<Process>("tools/mimosa-entry", entry->settings.args());
    entries_.push_back(std::move(entry));
  }

  void WriteSettings(const Entry& entry, const std::string& name,
                     int grace_ms) const {
    entry.settings.Write(name, Loopback(store_.port()), grace_ms);
  }

  // The customer "guild" holds `key`; both desks' and letters' routes.
  void WriteConfig(int version, const std::string& key) {
    const Json::Value config = MakeSiteConfig(version, key, {10000, 900, 300});
    REQUIRE(PutRecord(store_.port(), "op/config", WriteJson(config)).status ==
            200);
  }

  Request Make(const std::string& target, const std::string& key = "key-one") {
    return MakeSiteRequest(target, "request-" + std::to_string(++serial_), key,
                           "body", 9000);
  }
  Reply Ask(size_t entry, const std::string& target,
            const std::string& key = "key-one") {
    return Call(entries_[entry]->settings.listen_port(), Make(target, key));
  }

  void AwaitServing(size_t i) {
    REQUIRE(Eventually([&] {
      return Get(entries_[i]->settings.ready_port(), kReadyPath).status == 200;
    }));
    int booking = 0;
    int letter = 0;
    const bool serving = Eventually(
        [&] {
          booking = Ask(i, "/book/x").status;
          letter = Ask(i, "/letter/x").status;
          return booking == 200 && letter == 200;
        },
        Seconds(10));
    INFO("booking " << booking << ", letter " << letter);
    REQUIRE(serving);
  }

  void Behave(const std::string& server, const Json::Value& members) {
    Request request;
    request.method = "POST";
    request.target = "/debug/behave";
    request.body = WriteJson(members);
    REQUIRE(Call(servers_[server].port, request).status == 200);
  }
  Json::Value Journal(const std::string& server) {
    return GetJson(servers_[server].port, "/debug/journal");
  }
  // The most often that any request ran, over all servers.
  int64_t MostRuns() {
    std::map<std::string, int64_t> runs;
    for (const auto& [id, server] : servers_) {
      if (!server.process->running()) continue;
      const Json::Value journal = Journal(id)["runs"];
      for (const std::string& request : journal.getMemberNames())
        runs[request] += journal[request].asInt64();
    }
    int64_t most = 0;
    for (const auto& [request, count] : runs) most = std::max(most, count);
    return most;
  }

  Entry& entry(size_t i) { return *entries_[i]; }
  Server& server(const std::string& id) { return servers_[id]; }
  StandIn& store() { return store_; }

 private:
  StandIn store_;
  std::map<std::string, Server> servers_;
  std::vector<std::unique_ptr<Entry>> entries_;
  int serial_ = 0;
};

Json::Value Member(const char* name, const Json::Value& value) {
  Json::Value members;
  members[name] = value;
  return members;
}

TEST_CASE("letters and bookings through each daemon, without a trace of keys") {
  Site site;
  for (size_t i = 0; i < 2; ++i) {
    const Reply letter = site.Ask(i, "/letter/1");
    CHECK(letter.complete);
    CHECK(letter.status == 200);
    CHECK(letter.body == StreamEvents(1, 5));
    const Reply booking = site.Ask(i, "/book/anvil");
    CHECK(booking.body == "/book/anvil body for guild");
    CHECK(booking.Header("Mimosarouter-Response-Seal").rfind("seal-of-k", 0) ==
          0);
    CHECK(site.Ask(i, "/book/anvil", "stolen").status == 401);
    CHECK(site.Ask(i, "/nowhere/").status == 404);
  }
  for (const char* id : {"p1", "d1", "d2", "k1", "k2"})
    CHECK(site.Journal(id)["foreign"].asInt() == 0);
  CHECK(site.MostRuns() == 1);
  CHECK(Eventually([&] {
    return site.Journal("d1")["used"].asInt64() == 0 &&
           site.Journal("d2")["used"].asInt64() == 0 &&
           site.Journal("p1")["handles"].asInt64() == 0;
  }));
}

TEST_CASE("a stream whose engine breaks goes on elsewhere without a gap") {
  Site site;
  for (const char* id : {"d1", "d2"}) site.Behave(id, Member("abort_runs", 1));
  // Each engine breaks one run: after these all are whole.
  const Reply first = site.Ask(0, "/note/1");
  CHECK((first.complete ? first.body == StreamEvents(1, 5) : true));
  for (const char* id : {"d1", "d2"}) site.Behave(id, Member("abort_runs", 0));
  site.Behave("d1", Member("abort_runs", 1));
  site.Behave("d2", Member("abort_runs", 0));
  for (int i = 0; i < 4; ++i) {
    const Reply reply = site.Ask(0, "/note/1");
    CHECK(reply.complete);
    CHECK(reply.body == StreamEvents(1, 5));
  }
}

TEST_CASE("a withdrawn key and a new one are in force on all daemons") {
  Site site;
  site.WriteConfig(2, "key-two");
  for (size_t i = 0; i < 2; ++i) {
    CHECK(Eventually(
        [&] { return site.Ask(i, "/book/x", "key-two").status == 200; }));
    CHECK(site.Ask(i, "/book/x", "key-one").status == 401);
  }
  // An older version changes nothing.
  site.WriteConfig(1, "key-one");
  site.WriteConfig(3, "key-three");
  CHECK(Eventually(
      [&] { return site.Ask(0, "/book/x", "key-three").status == 200; }));
}

TEST_CASE("an unreadable configuration leaves the one in force") {
  Site site;
  const uint16_t store = site.store().port();
  REQUIRE(PutRecord(store, "op/config", "{\"version\":").status == 200);
  REQUIRE(PutRecord(store, "servers/foreign", "\x01\x02").status == 200);
  site.WriteConfig(4, "key-four");  // behind both in the daemons' watches
  CHECK(Eventually(
      [&] { return site.Ask(0, "/book/x", "key-four").status == 200; }));
  CHECK(site.Ask(0, "/letter/1", "key-four").body == StreamEvents(1, 5));
}

TEST_CASE("a draining server gets nothing new, and everything still works") {
  Site site;
  site.Behave("k1", Member("draining", true));
  CHECK(Eventually([&] {
    const int64_t before = site.Journal("k1")["runs"].size();
    for (int i = 0; i < 10; ++i)
      if (site.Ask(0, "/book/x").status != 200) return false;
    return int64_t(site.Journal("k1")["runs"].size()) == before;
  }));
}

TEST_CASE("without the store the daemons serve on and stay ready") {
  Site site;
  site.store().SetBehavior(Member("outage", true), "/debug/control");
  for (int i = 0; i < 10; ++i) {
    CHECK(site.Ask(i % 2, "/book/x").status == 200);
    CHECK(site.Ask(i % 2, "/letter/1").complete);
    CHECK(Get(site.entry(i % 2).settings.ready_port(), kReadyPath).status ==
          200);
  }
  site.store().SetBehavior(Member("outage", false), "/debug/control");
  site.WriteConfig(2, "key-two");
  CHECK(Eventually(
      [&] { return site.Ask(0, "/book/x", "key-two").status == 200; }));
}

TEST_CASE("SIGHUP reloads settings and ends nothing") {
  Site site;
  site.WriteSettings(site.entry(0), "entry-0", 5000);
  for (int i = 0; i < 3; ++i) {
    site.entry(0).process->Signal(SIGHUP);
    CHECK(site.Ask(0, "/book/x").status == 200);
  }
  // A faulty file is refused as a whole.
  std::ofstream(site.entry(0).settings.path()) << "MIMOSA_GRACE_MS=soon\n";
  site.entry(0).process->Signal(SIGHUP);
  CHECK(site.Ask(0, "/book/x").status == 200);
  CHECK(site.entry(0).process->running());
}

TEST_CASE("SIGTERM: the balancer is told, streams end whole, exit code 0") {
  Site site;
  for (const char* id : {"d1", "d2"}) {
    site.Behave(id, Member("events", 40));
    site.Behave(id, Member("gap_ms", 40));
  }
  Connection caller(site.entry(0).settings.listen_port());
  REQUIRE(caller.Send(site.Make("/letter/long")));
  REQUIRE(!caller.ReadAtLeast(10).body.empty());
  site.entry(0).process->Terminate();
  CHECK(Eventually([&] {
    return Get(site.entry(0).settings.ready_port(), kReadyPath).status == 503;
  }));
  CHECK(site.Ask(0, "/book/x").status == 200);  // not yet out of rotation
  const Reply reply = caller.ReadReply();
  CHECK(reply.complete);
  CHECK(site.entry(0).process->Wait() == 0);
  CHECK(site.MostRuns() == 1);
}

TEST_CASE("a killed daemon's callers go on elsewhere, and it comes back") {
  Site site;
  site.entry(0).process->Kill();
  CHECK(site.Ask(1, "/letter/1").complete);
  site.entry(0).process->Start();
  site.AwaitServing(0);
  CHECK(site.MostRuns() == 1);
}

TEST_CASE("a server that is killed costs nothing that may be repeated") {
  Site site;
  site.server("k1").process->Kill();
  for (int i = 0; i < 20; ++i) CHECK(site.Ask(0, "/look/x").status == 200);
  site.server("p1").process->Kill();
  for (int i = 0; i < 3; ++i) CHECK(site.Ask(0, "/letter/1").complete);
}

TEST_CASE("status and metrics say what a daemon believes") {
  Site site;
  const Json::Value status =
      GetJson(site.entry(0).settings.control_port(), "/status");
  CHECK(status["ready"].asBool());
  CHECK(status["configuration_version"].asInt() == 1);
  CHECK(status["back_ends"].size() == 5);
  CHECK(status["members"].asInt() >= 1);
  const Reply metrics = Get(site.entry(0).settings.control_port(), "/metrics");
  CHECK(metrics.body.find("mimosa_answers{status=\"200\"}") !=
        std::string::npos);
}

}  // namespace
}  // namespace mimosa::testing
