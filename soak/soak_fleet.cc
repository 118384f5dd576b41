// Processes of the soak's fleet.
#include "soak/soak_fleet.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <utility>

#include "base/json.h"

namespace mimosa::soak {
namespace {

using testing::Call;
using testing::FreePort;
using testing::Get;
using testing::Loopback;
using testing::Request;

std::vector<std::string> ServerArgs(const std::string& id,
                                    const std::string& service,
                                    const std::string& stage, uint16_t port,
                                    const std::string& address,
                                    uint16_t store) {
  std::vector<std::string> args = {
      "--listen=" + Loopback(port), "--address=" + address,
      "--store=" + Loopback(store), "--id=" + id, "--service=" + service};
  if (!stage.empty()) args.push_back("--stage=" + stage);
  return args;
}

Json::Value Route(const char* prefix, const char* kind, const char* service,
                  int attempts) {
  Json::Value route;
  route["name"] = prefix;
  route["host"] = kHost;
  route["prefix"] = prefix;
  route["kind"] = kind;
  route["service"] = service;
  route["timeout_ms"] = 6000;
  route["target_latency_ms"] = 600;
  route["target_gap_ms"] = 200;
  route["max_attempts"] = attempts;
  return route;
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
    : port_(FreePort()),
      ready_(FreePort()),
      store_path_(store),
      settings_(std::filesystem::temp_directory_path() /
                ("mimosa-soak-settings-" + std::to_string(port_))),
      process_("tools/mimosa-entry", {"--settings-file", WriteSettings(name)}) {
}

Entry::~Entry() { std::filesystem::remove(settings_); }

std::string Entry::WriteSettings(const std::string& name) {
  std::ofstream(settings_) << "MIMOSA_NAME=" << name
                           << "\nMIMOSA_FAILURE_DOMAIN=z\nMIMOSA_LISTEN="
                           << Loopback(port_)
                           << "\nMIMOSA_READY_LISTEN=" << Loopback(ready_)
                           << "\nMIMOSA_CONTROL_LISTEN=" << Loopback(FreePort())
                           << "\nMIMOSA_PEER_LISTEN=" << Loopback(FreePort())
                           << "\nMIMOSA_STORE=" << store_path_.address()
                           << "\nMIMOSA_GRACE_MS=8000\n";
  return settings_;
}

bool Entry::Ready() const {
  return Get(ready_, "/mimosarouter/ready").status == 200;
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
  Json::Value config;
  config["version"] = ++version_;
  config["routes"].append(Route("/book/", "non_idempotent", "desk", 1));
  config["routes"].append(Route("/look/", "idempotent", "desk", 2));
  config["routes"].append(Route("/letter/", "streaming", "llm", 1));
  config["routes"].append(Route("/note/", "streaming", "llm", 2));
  config["routes"][3]["resumable"] = true;
  config["services"][0]["name"] = "llm";
  Json::Value& engine = config["services"][0]["engine"];
  engine["slots"] = 48;
  engine["kv_tokens"] = 36000;
  engine["kv_hold_s"] = 0.5;
  engine["hold_ms"] = 2000;
  config["services"][1]["name"] = "desk";
  config["tenants"][0]["name"] = "guild";
  config["tenants"][0]["api_keys"].append(kKey);
  Request request;
  request.method = "PUT";
  request.target = "/debug/record?key=op/config";
  request.body = WriteJson(config);
  REQUIRE(Call(store_.port(), request).status == 200);
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
  Request request;
  request.method = "POST";
  request.target = "/" + kind + "/" + id;
  request.body = body;
  request.headers = {{"Mimosarouter-Request-Id", id},
                     {"Mimosarouter-Deadline-Ms", "4000"},
                     {"X-Api-Key", kKey}};
  if (kind == "letter" || kind == "note")
    request.headers.emplace_back("Mimosarouter-Token-Counts", "800,200");
  return request;
}

}  // namespace mimosa::soak
