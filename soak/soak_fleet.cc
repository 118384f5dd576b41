// Processes of the soak's fleet.
#include "soak/soak_fleet.h"

#include <catch2/catch.hpp>
#include <utility>

#include "base/json.h"

namespace mimosa::soak {
namespace {

using testing::Call;
using testing::FreePort;
using testing::Get;
using testing::Request;

// Behind its proxy, whose address it registers.
std::vector<std::string> ServerArgs(const std::string& id,
                                    const std::string& service,
                                    const std::string& stage, uint16_t port,
                                    const std::string& address,
                                    uint16_t store) {
  std::vector<std::string> args =
      testing::SiteServerArgs(id, service, stage, port, store);
  args.push_back("--address=" + address);
  return args;
}

}  // namespace

// --- Server -------------------------------------------------------------

Server::Server(std::string id, const std::string& service,
               const std::string& stage, uint16_t store)
    : id_(std::move(id)),
      is_engine_(!stage.empty()),
      port_(FreePort()),
      proxy_(port_),
      process_(
          "standins/standin-site-server",
          ServerArgs(id_, service, stage, port_, proxy_.address(), store)) {}

void Server::Kill() {
  CollectRuns();
  process_.Kill();
  for (const auto& [id, count] : runs_so_far_) runs_[id] += count;
  runs_so_far_.clear();
}

void Server::Behave(const char* member, const Json::Value& value) {
  Json::Value members;
  members[member] = value;
  if (process_.running()) testing::PostJson(port_, "/debug/behave", members);
}

Json::Value Server::Journal() const {
  return testing::GetJson(port_, "/debug/journal");
}

void Server::CollectRuns() {
  const Json::Value journal = Journal();
  if (!journal.isObject()) return;
  foreign_ += journal["foreign"].asInt64();
  for (const std::string& id : journal["runs"].getMemberNames())
    runs_so_far_[id] = journal["runs"][id].asInt64();
}

// --- Entry ----------------------------------------------------------------

Entry::Entry(const std::string& name, uint16_t store)
    : store_path_(store), process_("tools/mimosa-entry", WriteSettings(name)) {}

std::vector<std::string> Entry::WriteSettings(const std::string& name) const {
  settings_.Write(name, store_path_.address());
  return settings_.args();
}

bool Entry::Ready() const {
  return Get(settings_.ready(), testing::kReadyPath).status == 200;
}

// --- Fleet ------------------------------------------------------------------

Fleet::Fleet(int scale) : store_("standin-platform", {}) {
  REQUIRE(testing::Eventually(
      [&] { return Get(store_.port(), "/debug/stats").status == 200; }));
  const auto add = [&](const std::string& name, const char* service,
                       const char* stage, int count) {
    for (int i = 0; i < count * scale; ++i)
      servers_.push_back(std::make_unique<Server>(
          name + std::to_string(i), service, stage, store_.port()));
  };
  add("prefill", "llm", "prefill", 2);
  add("decode", "llm", "decode", 3);
  add("desk", "desk", "", 2);
  WriteConfig();
  for (int i = 0; i < 3 * scale; ++i)
    entries_.push_back(
        std::make_unique<Entry>("entry-" + std::to_string(i), store_.port()));
  REQUIRE(testing::Eventually([this] { return Serves(); }));
}

void Fleet::WriteConfig() {
  const Json::Value config =
      testing::SiteConfig(++version_, kKey, {6000, 600, 200});
  REQUIRE(testing::PutRecord(store_.port(), "op/config", WriteJson(config))
              .status == 200);
}

void Fleet::RemoveRecord(const Server& server) {
  Request request;
  request.method = "DELETE";
  request.target = "/debug/record?key=servers/" + server.id();
  Call(store_.port(), request);
}

void Fleet::Heal() {
  Json::Value calm;
  calm["outage"] = false;
  calm["busy"] = false;
  calm["slow_ms"] = 0;
  store_.Behave(calm, "/debug/control");
  for (auto& server : servers_) {
    server->process().Thaw();
    server->proxy().Do("reset");
    if (!server->process().running()) server->Start();
  }
  for (auto& entry : entries_) {
    entry->process().Thaw();
    entry->store_path().Do("reset");
    if (!entry->process().running()) entry->process().Start();
  }
  for (auto& server : servers_) {
    server->Behave("draining", false);
    server->Behave("abort_runs", 0);
    server->Behave("delay_ms", 0);
  }
}

bool Fleet::Serves() {
  for (const auto& entry : entries_) {
    if (!entry->Ready()) return false;
    for (const char* kind : {"book", "look", "letter", "note"}) {
      const std::string id = "probe-" + std::to_string(++probes_);
      const testing::Reply reply =
          Call(entry->port(), MakeRequest(kind, id, "probe"));
      if (reply.status != 200 || !reply.whole) return false;
    }
  }
  return true;
}

Request MakeRequest(const std::string& kind, const std::string& id,
                    const std::string& body) {
  return testing::SiteRequest("/" + kind + "/" + id, id, kKey, body, 4000);
}

}  // namespace mimosa::soak
