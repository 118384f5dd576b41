// Starts a complete deployment on loopback: the platform, engines, services and
// routers, each as a process. The back ends and the platform are behind fault
// proxies.
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
// Customer keys of the form that mimosactl generates.
inline constexpr char kTrustKey[] =
    "mk_5f0c1e7a9b3d42688e1f0a7c6d5b4e3f2a190817263544ab";
inline constexpr char kPortKey[] =
    "mk_a1b2c3d4e5f60718293a4b5c6d7e8f90a1b2c3d4e5f60718";

// A fault proxy in front of `target`. It has its own IP address (all of
// 127.0.0.0/8 is loopback), so that each back end looks like a VM.
class Proxy {
 public:
  explicit Proxy(uint16_t target);

  const std::string& ip() const { return ip_; }
  uint16_t port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  // Fails the test if the proxy doesn't know the command.
  void SendCommand(const std::string& command);
  // Returns the raw bytes that were sent to the target.
  std::string Received() const;
  Json::Value Stats() const;

 private:
  const std::string ip_;
  const uint16_t port_;
  const uint16_t control_port_;
  Process process_;
};

// A stand-in process that serves HTTP, behind a fault proxy.
class StandIn {
 public:
  StandIn(const std::string& program, std::vector<std::string> args);

  uint16_t port() const { return port_; }  // bypasses the proxy
  std::string address() const { return proxy_.address(); }
  Proxy& proxy() { return proxy_; }
  Process& process() { return process_; }

  // Posts these members to /debug/behave or another path.
  void SetBehavior(const Json::Value& members,
                   const std::string& path = "/debug/behave");
  Json::Value GetState() const { return GetJson(port_, "/debug/state"); }
  int64_t GetCounter(const char* name) const;  // a member of State(), or -1

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

// A router process behind a fault proxy to the platform.
class Router {
 public:
  Router(const RouterOptions& options, uint16_t platform);

  const std::string& name() const { return name_; }
  uint16_t port() const { return port_; }
  uint16_t peer_port() const { return peer_port_; }
  Process& process() { return process_; }
  // The proxy between this router and the platform.
  Proxy& platform_proxy() { return platform_proxy_; }

  bool Ready() const;
  // Sends a GET to the operators' port with the operators' secret.
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
  // KV memory of each engine, in pieces.
  int64_t pieces = 20;
  bool checks_fencing = true;
  // Whether to wait until each router admits each customer, and not only until
  // it reports that it is ready.
  bool warm_up = true;
  std::vector<std::string> engine_flags;
  std::vector<std::string> router_flags;
};

// All processes of a deployment, which end with this object.
class Deployment {
 public:
  explicit Deployment(const DeploymentOptions& options);

  // Returns whether all programs that a deployment needs were built.
  static bool ProgramsBuilt();

  Router& router(size_t i) { return *routers_.at(i); }
  StandIn& platform() { return platform_; }
  StandIn& prefill(size_t i = 0) { return *prefill_.at(i); }
  StandIn& decode(size_t i = 0) { return *decode_.at(i); }
  StandIn& service(size_t i = 0) { return *services_.at(i); }
  size_t routers() const { return routers_.size(); }

  // The catalogue that the next ApplyCatalogue() writes. It has the routes /v1/
  // (model, patient), /booking/ (never repeated), /lookup/ (prompt) and /open/,
  // and the customers "trust" and "port" with one key each.
  wire::Catalogue& catalogue() { return catalogue_; }
  wire::BackEnd* FindBackEnd(const std::string& id);
  // Writes the catalogue with mimosactl. Fails the test if that fails.
  void ApplyCatalogue();
  // Runs mimosactl with this command and returns its output. Fails the test if
  // the command fails.
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

// Make requests as callers send them.
Request Completion(const std::string& prompt, int64_t max_tokens, bool stream,
                   const std::string& key = kTrustKey);
Request ServiceRequest(const std::string& method, const std::string& target,
                       const std::string& body,
                       const std::string& key = kTrustKey);

// Returns the text of a completion reply, streamed or not.
std::string CompletionText(const Reply& reply);
// Returns whether a streamed reply has its end marker.
bool HasEndMarker(const Reply& reply);

}  // namespace mimosa::testing

#endif  // TESTS_HARNESS_H_
