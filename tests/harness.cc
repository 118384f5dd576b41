// Implements deployments on loopback.
#include "tests/harness.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "base/digest.h"
#include "base/json.h"

namespace mimosa::testing {
namespace {

constexpr char kRouterProgram[] = "tools/mimosa-router";
constexpr char kControlProgram[] = "tools/mimosactl";

std::vector<std::string> AddListenFlag(uint16_t port,
                                       std::vector<std::string> args) {
  args.push_back("--listen=" + Loopback(port));
  return args;
}

// Returns flags for engines that are fast enough for tests, with the requested
// memory and fencing. Flags that the test sets itself replace these.
std::vector<std::string> EngineFlags(const DeploymentOptions& options,
                                     const char* role) {
  std::vector<std::string> flags = options.engine_flags;
  const auto add = [&flags](const std::string& name, const std::string& value) {
    const std::string start = "--" + name + "=";
    for (const std::string& flag : flags)
      if (flag.compare(0, start.size(), start) == 0) return;
    flags.push_back(start + value);
  };
  add("role", role);
  add("pieces", std::to_string(options.pieces));
  add("fencing", options.checks_fencing ? "check" : "ignore");
  add("prefill-us-per-token", "20");
  add("token-us", "4000");
  return flags;
}

std::string NextIp() {
  static int serial = 0;
  return "127.0.0." + std::to_string(10 + serial++ % 200);
}

wire::Customer MakeCustomer(const char* id, const char* key) {
  wire::Customer customer;
  customer.set_id(id);
  customer.set_owner("tests");
  customer.set_rate_tokens_per_second(1000000);
  customer.set_burst_tokens(10000000);
  wire::Key* entry = customer.add_keys();
  entry->set_id(std::string(id) + "-1");
  entry->set_digest(Sha256Hex(key));
  return customer;
}

wire::Route MakeRoute(const char* id, const char* prefix,
                      wire::RequestClass request_class) {
  wire::Route route;
  route.set_id(id);
  route.set_owner("tests");
  route.set_path_prefix(prefix);
  route.set_request_class(request_class);
  route.set_kind(wire::SERVICE);
  route.set_pool("desk");
  route.set_deadline_ms(20000);
  route.add_key_cookies("session_key");
  return route;
}

}  // namespace

Proxy::Proxy(uint16_t target)
    : ip_(NextIp()),
      port_(FreePort()),
      control_port_(FreePort()),
      process_("standins/fault-proxy",
               {"--listen=" + address(), "--target=" + Loopback(target),
                "--control=" + Loopback(control_port_),
                "--seed=" + std::to_string(Seed())}) {
  REQUIRE(Eventually([this] { return !Stats().isNull(); }));
}

void Proxy::SendCommand(const std::string& command) {
  REQUIRE(SendProxyCommand(control_port_, command) == "ok");
}

std::string Proxy::Received() const {
  return SendProxyCommand(control_port_, "received");
}

Json::Value Proxy::Stats() const {
  const auto document = ParseJson(SendProxyCommand(control_port_, "stats"));
  return document ? *document : Json::Value();
}

StandIn::StandIn(const std::string& program, std::vector<std::string> args)
    : port_(FreePort()),
      process_("standins/" + program, AddListenFlag(port_, std::move(args))),
      proxy_(port_) {
  REQUIRE(Eventually([this] { return Get(port_, "/debug/none").complete; }));
}

void StandIn::SetBehavior(const Json::Value& members, const std::string& path) {
  REQUIRE(PostJson(port_, path, members).status == 200);
}

int64_t StandIn::GetCounter(const char* name) const {
  const Json::Value state = GetState();
  return state.isObject() && state[name].isInt64() ? state[name].asInt64() : -1;
}

Router::Router(const RouterOptions& options, uint16_t platform)
    : name_(options.name),
      port_(FreePort()),
      peer_port_(FreePort()),
      operator_port_(FreePort()),
      platform_proxy_(platform),
      process_(kRouterProgram,
               [&] {
                 std::vector<std::string> args = {
                     "--name=" + options.name,
                     "--failure-domain=" + options.failure_domain,
                     "--listen=" + Loopback(port_),
                     "--peer-listen=" + Loopback(peer_port_),
                     "--operator-listen=" + Loopback(operator_port_),
                     "--platform=" + platform_proxy_.address(),
                     std::string("--deployment=") + kDeployment};
                 args.insert(args.end(), options.flags.begin(),
                             options.flags.end());
                 return args;
               }(),
               {{"MIMOSA_PEER_SECRET", kPeerSecret},
                {"MIMOSA_OPERATOR_SECRET", kOperatorSecret}}) {}

bool Router::Ready() const { return Get(port_, "/healthz").status == 200; }

Reply Router::GetOperatorPage(const std::string& target) const {
  Request request;
  request.target = target;
  request.headers = {
      {"Authorization", std::string("Bearer ") + kOperatorSecret}};
  return Call(operator_port_, request);
}

Deployment::Deployment(const DeploymentOptions& options)
    : options_(options), platform_("standin-platform", {}) {
  for (int i = 0; i < options.prefill; ++i)
    prefill_.push_back(std::make_unique<StandIn>(
        "standin-engine", EngineFlags(options, "prefill")));
  for (int i = 0; i < options.decode; ++i)
    decode_.push_back(std::make_unique<StandIn>(
        "standin-engine", EngineFlags(options, "decode")));
  for (int i = 0; i < options.services; ++i)
    services_.push_back(std::make_unique<StandIn>(
        "standin-service",
        std::vector<std::string>{"--name=desk-" + std::to_string(i)}));
  FillCatalogue();
  ApplyCatalogue();
  for (int i = 0; i < options.routers; ++i) AddRouter();
  AwaitReady();
}

bool Deployment::ProgramsBuilt() {
  return Process::Exists(kRouterProgram) && Process::Exists(kControlProgram);
}

Router& Deployment::AddRouter() {
  static constexpr const char* kDomains[] = {"kochi", "thrissur", "kozhikode"};
  RouterOptions options;
  options.name = "r" + std::to_string(routers_.size());
  options.failure_domain = kDomains[routers_.size() % std::size(kDomains)];
  options.flags = options_.router_flags;
  routers_.push_back(std::make_unique<Router>(options, platform_.port()));
  return *routers_.back();
}

void Deployment::AwaitReady() {
  for (const auto& router : routers_) {
    INFO(router->name() << ": " << router->process().Output());
    REQUIRE(Eventually([&] { return router->Ready(); }));
    if (options_.warm_up && options_.services > 0) WarmUp(*router);
  }
}

void Deployment::WarmUp(const Router& router) {
  for (const char* key : {kTrustKey, kPortKey}) {
    REQUIRE(Eventually([&] {
      const Request lookup = ServiceRequest("GET", "/lookup/warm-up", "", key);
      return Call(router.port(), lookup).status == 200;
    }));
  }
}

void Deployment::FillCatalogue() {
  *catalogue_.add_customers() = MakeCustomer("trust", kTrustKey);
  *catalogue_.add_customers() = MakeCustomer("port", kPortKey);
  wire::Route model_route = MakeRoute("letters", "/v1/", wire::PATIENT);
  model_route.set_kind(wire::MODEL);
  model_route.clear_pool();
  model_route.set_model(kModel);
  model_route.set_max_output_tokens(4096);
  *catalogue_.add_routes() = model_route;
  *catalogue_.add_routes() =
      MakeRoute("booking", "/booking/", wire::NEVER_REPEATED);
  *catalogue_.add_routes() = MakeRoute("lookup", "/lookup/", wire::PROMPT);
  wire::Route open = MakeRoute("open", "/open/", wire::PROMPT);
  open.set_open(true);
  *catalogue_.add_routes() = open;
  for (size_t i = 0; i < prefill_.size(); ++i)
    AddBackEnd("prefill-" + std::to_string(i), wire::PREFILL_ENGINE,
               *prefill_[i]);
  for (size_t i = 0; i < decode_.size(); ++i)
    AddBackEnd("decode-" + std::to_string(i), wire::DECODE_ENGINE, *decode_[i]);
  for (size_t i = 0; i < services_.size(); ++i)
    AddBackEnd("desk-" + std::to_string(i), wire::PLAIN_SERVICE, *services_[i]);
}

void Deployment::AddBackEnd(const std::string& id, wire::BackEndRole role,
                            const StandIn& stand_in) {
  wire::BackEnd* back_end = catalogue_.add_back_ends();
  back_end->set_id(id);
  back_end->set_owner("tests");
  back_end->set_role(role);
  back_end->set_address(stand_in.address());
  back_end->set_failure_domain("kochi");
  back_end->set_max_running(32);
  if (role == wire::PLAIN_SERVICE) {
    back_end->set_pool("desk");
    return;
  }
  back_end->set_model(kModel);
  back_end->set_checks_fencing(options_.checks_fencing);
  if (role == wire::DECODE_ENGINE) {
    back_end->set_kv_pieces(options_.pieces);
    back_end->clear_max_running();
  }
}

wire::BackEnd* Deployment::FindBackEnd(const std::string& id) {
  for (wire::BackEnd& back_end : *catalogue_.mutable_back_ends())
    if (back_end.id() == id) return &back_end;
  FAIL("no back end " << id);
  return nullptr;
}

std::string Deployment::RunMimosactl(const std::vector<std::string>& command) {
  std::vector<std::string> args = {"--platform=" + Loopback(platform_.port()),
                                   std::string("--deployment=") + kDeployment};
  args.insert(args.end(), command.begin(), command.end());
  Process control(kControlProgram, args,
                  {{"MIMOSA_OPERATOR_SECRET", kOperatorSecret}});
  const auto code = control.Wait();
  INFO(control.Output());
  REQUIRE(code == 0);
  return control.Output();
}

void Deployment::ApplyCatalogue() {
  const auto path = std::filesystem::temp_directory_path() /
                    ("mimosa-catalogue-" + std::to_string(platform_.port()));
  std::ofstream(path) << ToJson(catalogue_);
  RunMimosactl({"catalogue", "apply", path.string()});
  std::filesystem::remove(path);
}

Request Completion(const std::string& prompt, int64_t max_tokens, bool stream,
                   const std::string& key) {
  Json::Value body;
  body["model"] = kModel;
  body["prompt"] = prompt;
  body["max_tokens"] = Json::Int64(max_tokens);
  body["stream"] = stream;
  Request request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + key}};
  request.body = WriteJson(body);
  return request;
}

Request ServiceRequest(const std::string& method, const std::string& target,
                       const std::string& body, const std::string& key) {
  Request request;
  request.method = method;
  request.target = target;
  if (!key.empty()) request.headers = {{"Authorization", "Bearer " + key}};
  request.body = body;
  return request;
}

std::string CompletionText(const Reply& reply) {
  const Json::Value document = reply.JsonBody();
  if (document.isObject()) return document["choices"][0]["text"].asString();
  std::string text;
  std::istringstream lines(reply.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("data: {", 0) != 0) continue;
    const auto event = ParseJson(line.substr(6));
    if (event) text += (*event)["choices"][0]["text"].asString();
  }
  return text;
}

bool HasEndMarker(const Reply& reply) {
  return reply.body.find("data: [DONE]\n") != std::string::npos;
}

}  // namespace mimosa::testing
