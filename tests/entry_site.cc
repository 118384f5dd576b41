// Settings files, arguments and configuration documents of a test site.
#include "tests/entry_site.h"

#include <fstream>

#include "base/json.h"
#include "base/text.h"

namespace mimosa::testing {
namespace {

Json::Value MakeRoute(const char* prefix, const char* kind, const char* service,
                      int max_attempts, const RouteTimeouts& times) {
  Json::Value route;
  route["name"] = prefix;
  route["host"] = "test";  // the Host header of the tests' client
  route["prefix"] = prefix;
  route["kind"] = kind;
  route["service"] = service;
  route["timeout_ms"] = times.timeout_ms;
  route["target_latency_ms"] = times.target_latency_ms;
  route["target_gap_ms"] = times.target_gap_ms;
  route["max_attempts"] = max_attempts;
  return route;
}

}  // namespace

void EntrySettingsFile::Write(const std::string& name, const std::string& store,
                              int grace_ms, const std::string& more) const {
  std::ofstream(path_) << "# settings of a test\n"
                       << "MIMOSA_NAME=" << name
                       << "\nMIMOSA_FAILURE_DOMAIN=z\n"
                       << "MIMOSA_LISTEN=" << Loopback(listen_port_)
                       << "\nMIMOSA_READY_LISTEN=" << Loopback(ready_port_)
                       << "\nMIMOSA_CONTROL_LISTEN=" << Loopback(control_port_)
                       << "\nMIMOSA_PEER_LISTEN=" << Loopback(peer_port_)
                       << "\nMIMOSA_STORE=" << store
                       << "\nMIMOSA_GRACE_MS=" << grace_ms << "\n"
                       << more;
}

std::vector<std::string> SiteServerArgs(const std::string& id,
                                        const std::string& service,
                                        const std::string& stage, uint16_t port,
                                        uint16_t store,
                                        const std::string& version) {
  std::vector<std::string> args = {"--listen=" + Loopback(port),
                                   "--store=" + Loopback(store), "--id=" + id,
                                   "--service=" + service};
  if (!stage.empty()) args.push_back("--stage=" + stage);
  if (version != "v1") args.push_back("--software-version=" + version);
  return args;
}

Json::Value MakeSiteConfig(int version, const std::string& key,
                           const RouteTimeouts& times) {
  Json::Value config;
  config["version"] = version;
  Json::Value& routes = config["routes"];
  routes.append(MakeRoute("/book/", "non_idempotent", "desk", 1, times));
  routes.append(MakeRoute("/look/", "idempotent", "desk", 2, times));
  routes.append(MakeRoute("/letter/", "streaming", "llm", 1, times));
  routes.append(MakeRoute("/note/", "streaming", "llm", 2, times));
  routes[3]["resumable"] = true;
  Json::Value& llm = config["services"][0];
  llm["name"] = "llm";
  llm["engine"]["slots"] = 48;
  llm["engine"]["kv_tokens"] = 36000;
  llm["engine"]["kv_hold_s"] = 0.5;
  llm["engine"]["hold_ms"] = 2000;
  config["services"][1]["name"] = "desk";
  config["tenants"][0]["name"] = "guild";
  config["tenants"][0]["api_keys"].append(key);
  return config;
}

Reply PutRecord(uint16_t store, const std::string& key,
                const std::string& value) {
  Request request;
  request.method = "PUT";
  request.target = "/debug/record?key=" + key;
  request.body = value;
  return Call(store, request);
}

Request MakeSiteRequest(const std::string& target, const std::string& id,
                        const std::string& key, const std::string& body,
                        int deadline_ms) {
  Request request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  request.headers = {{"Mimosarouter-Request-Id", id},
                     {"Mimosarouter-Deadline-Ms", std::to_string(deadline_ms)},
                     {"X-Api-Key", key}};
  if (StartsWith(target, "/letter/") || StartsWith(target, "/note/"))
    request.headers.emplace_back("Mimosarouter-Token-Counts", "800,200");
  return request;
}

std::string StreamEvents(int from, int to, const std::string& version) {
  const std::string mark = version == "v1" ? "" : " by " + version;
  std::string text;
  for (int id = from; id <= to; ++id) {
    const std::string name = std::to_string(id);
    text.append("id: ").append(name).append("\ndata: event ");
    text.append(name).append(mark).append("\n\n");
  }
  return text;
}

}  // namespace mimosa::testing
