// A whole deployment on loopback: platform, engines, services and routers, each
// a process, the back ends and the platform behind fault proxies.
#ifndef TESTS_HARNESS_H_
#define TESTS_HARNESS_H_

#include <json/value.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/client.h"
#include "tests/processes.h"
#include "wire/catalogue.pb.h"

namespace mimosa::testing {

inline constexpr char kDeployment[] = "mimosa";
inline constexpr char kPeerSecret[] = "peer-secret-of-the-tests";
inline constexpr char kOperatorSecret[] = "operator-secret-of-the-tests";
inline constexpr char kModel[] = "letters";
// Of the form that mimosactl gives keys.
inline constexpr char kTrustKey[] =
    "mk_5f0c1e7a9b3d42688e1f0a7c6d5b4e3f2a190817263544ab";
inline constexpr char kPortKey[] =
    "mk_a1b2c3d4e5f60718293a4b5c6d7e8f90a1b2c3d4e5f60718";

// A fault proxy in front of `target`, at an IP number of its own (all of
// 127.0.0.0/8 is loopback), so that each back end looks like a VM.
class Proxy {
 public:
  explicit Proxy(uint16_t target);

  const std::string& ip() const { return ip_; }
  uint16_t port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  // Fails the test if the proxy doesn't know the command.
  void SendCommand(const std::string& command);
  // Raw bytes that went to the target.
  std::string Received() const;
  Json::Value Stats() const;

 private:
  const std::string ip_;
  const uint16_t port_;
  const uint16_t control_;
  Process process_;
};

// A stand-in that listens for HTTP, behind a proxy.
class StandIn {
 public:
  StandIn(const std::string& program, std::vector<std::string> args);

  uint16_t port() const { return port_; }  // without the proxy
  std::string address() const { return proxy_.address(); }
  Proxy& proxy() { return proxy_; }
  Process& process() { return process_; }

  // POST /debug/behave (or another path) with these members.
  void SetBehavior(const Json::Value& members,
                   const std::string& path = "/debug/behave");
  Json::Value State() const { return GetJson(port_, "/debug/state"); }
  int64_t GetCounter(const char* name) const;  // member of State(); -1: none

 private:
  const uint16_t port_;
  Process process_;
  Proxy proxy_;
};

struct RouterOptions {
  std::string name;
  std::string failure_domain;
  std::vector<std::string> flags;
};

class Router {
 public:
  Router(const RouterOptions& options, uint16_t platform);

  const std::string& name() const { return name_; }
  uint16_t port() const { return port_; }
  uint16_t peer_port() const { return peer_port_; }
  Process& process() { return process_; }
  // Its own way to the platform.
  Proxy& platform_proxy() { return platform_proxy_; }

  bool Ready() const;
  // GET on the operators' port with the operators' secret.
  Reply GetOperatorPage(const std::string& target) const;

 private:
  const std::string name_;
  const uint16_t port_;
  const uint16_t peer_port_;
  const uint16_t operator_port_;
  Proxy platform_proxy_;
  Process process_;
};

struct DeploymentOptions {
  int routers = 2;
  int prefill = 1;
  int decode = 1;
  int services = 1;
  int64_t pieces = 20;
  bool checks_fencing = true;
  // Whether to wait until each router admits each customer, not only until it
  // says that it is ready.
  bool warm_up = true;
  std::vector<std::string> engine_flags;
  std::vector<std::string> router_flags;
};

class Deployment {
 public:
  explicit Deployment(const DeploymentOptions& options);

  // Whether all programs that it needs were built.
  static bool ProgramsBuilt();

  Router& router(size_t i) { return *routers_.at(i); }
  StandIn& platform() { return platform_; }
  StandIn& prefill(size_t i = 0) { return *prefill_.at(i); }
  StandIn& decode(size_t i = 0) { return *decode_.at(i); }
  StandIn& service(size_t i = 0) { return *services_.at(i); }
  size_t routers() const { return routers_.size(); }

  // The catalogue that the next Apply() writes: routes /v1/ (model, patient),
  // /booking/ (never repeated), /lookup/ (prompt) and /open/; the customers
  // "trust" and "port" with one key each.
  wire::Catalogue& catalogue() { return catalogue_; }
  wire::BackEnd* FindBackEnd(const std::string& id);
  // Writes it with mimosactl. Fails the test if that fails.
  void ApplyCatalogue();
  // Runs mimosactl with this command; its output. Fails the test if it fails.
  std::string RunMimosactl(const std::vector<std::string>& command);
  void AwaitReady();
  Router& AddRouter();

 private:
  void FillCatalogue();
  static void WarmUp(const Router& router);
  void AddBackEnd(const std::string& id, wire::BackEndRole role,
                  const StandIn& stand_in);

  const DeploymentOptions options_;
  StandIn platform_;
  std::vector<std::unique_ptr<StandIn>> prefill_;
  std::vector<std::unique_ptr<StandIn>> decode_;
  std::vector<std::unique_ptr<StandIn>> services_;
  std::vector<std::unique_ptr<Router>> routers_;
  wire::Catalogue catalogue_;
};

// Requests as callers make them.
Request Completion(const std::string& prompt, int64_t max_tokens, bool stream,
                   const std::string& key = kTrustKey);
Request ServiceRequest(const std::string& method, const std::string& target,
                       const std::string& body,
                       const std::string& key = kTrustKey);

// The text of a completion answer, streamed or not.
std::string CompletionText(const Reply& reply);
// Whether a streamed answer has its end marker.
bool HasEndMarker(const Reply& reply);

}  // namespace mimosa::testing

#endif  // TESTS_HARNESS_H_
