// What a site's operators and backend servers say of themselves: routes,
// services, customers and limits under one version, and the list of backend
// servers. Plain data and pure look-ups; whoever speaks a platform's formats
// fills these types (platform/), everything else reads them.
#ifndef DECIDE_SITE_H_
#define DECIDE_SITE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

using ServiceId = StrongId<struct ServiceIdTag>;

// How often a request of a route may run.
enum class RetryPolicy {
  kIdempotent,       // as often as is useful
  kAtMostOnce,       // once at most
  kStream,           // once at most, answered by events
  kResumableStream,  // by events; may go on at another engine
};
constexpr bool IsStream(RetryPolicy rule) {
  return rule == RetryPolicy::kStream || rule == RetryPolicy::kResumableStream;
}

struct TrafficShare {
  ServiceId service;
  double weight = 1;  // relative to the other shares of the route
};

struct SiteRoute {
  RouteId id;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  Duration timeout{};           // a request is answered by then; zero: no limit
  Duration target_latency{};    // to the answer, of streams to the first event
  Duration target_event_gap{};  // between events; zero: not a stream
  // How long callers wait for the first event of a stream; zero: as long as for
  // the whole answer.
  Duration first_event_timeout{};
  int priority = 0;               // 0 is served first
  int max_attempts = 1;           // backend servers that may run one request
  bool allows_anonymous = false;  // needs no key
  std::vector<TrafficShare> traffic_split;  // never empty
};

// What the model engines of a service have in common.
struct EngineSpec {
  int slots = 0;
  Tokens kv_memory;               // tokens that an engine's KV memory holds
  double kv_token_bytes = 0;      // KV memory of one token
  double link_mbps = 0;           // of an engine's link for KV transfers
  Duration kv_handle_lifetime{};  // of a prefill's result that nobody takes
  Duration
      reservation_lifetime{};    // of room set aside at an engine; zero: none
  Duration role_switch_time{};   // time an engine needs to change its role
  bool replicates_runs = false;  // keeps copies of other engines' runs
  int tokens_per_event = 1;      // of a stream
};

struct SiteService {
  ServiceId id;
  std::string health_path;
  int max_connections = 0;           // of one backend server, over all daemons
  std::optional<EngineSpec> engine;  // absent: a plain service
};

struct SiteCustomer {
  CustomerId id;
  std::vector<std::string> keys;
  std::optional<int> priority;  // goes before the route's
  // The allotment, over the whole fleet. A rate of zero is no limit.
  double rate_per_second = 0;
  double burst = 0;
  bool rate_in_tokens = false;  // else both count requests
  double default_tokens = 1;    // of a request that names no token counts
};

struct CallerLimits {
  size_t max_header_bytes = 0;  // zero: the daemon's own limit
  size_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
};

// One accepted configuration. Immutable once built: look-ups return pointers
// into it.
class SiteConfig {
 public:
  SiteConfig(int64_t version, std::vector<SiteRoute> routes,
             std::vector<SiteService> services,
             std::vector<SiteCustomer> customers, CallerLimits limits);
  SiteConfig(const SiteConfig&) = delete;
  SiteConfig& operator=(const SiteConfig&) = delete;

  int64_t version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::vector<SiteCustomer>& customers() const { return customers_; }
  const std::vector<SiteService>& services() const { return services_; }
  const std::vector<SiteRoute>& routes() const { return routes_; }

  // The route of `host` with the longest prefix that begins `path`; nullptr if
  // there is none. `host` may carry a port; case doesn't count.
  const SiteRoute* FindRoute(std::string_view host,
                             std::string_view path) const;
  // nullptr if no customer holds the key.
  const SiteCustomer* FindCustomerByKey(const std::string& key) const;
  const SiteService* FindService(const ServiceId& id) const;

 private:
  const int64_t version_;
  const std::vector<SiteRoute> routes_;
  const std::vector<SiteService> services_;
  const std::vector<SiteCustomer> customers_;
  const CallerLimits limits_;
  // Routes by host (lower case) and prefix.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const SiteRoute*>>
      routes_by_host_;
  std::unordered_map<std::string, const SiteCustomer*> customers_by_key_;
  std::map<ServiceId, const SiteService*> services_by_id_;
};

enum class EngineRole { kNone, kPrefill, kDecode };  // kNone: a plain service
constexpr const char* RoleName(EngineRole role) {
  switch (role) {
    case EngineRole::kNone:
      return "plain";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
  }
  return "?";
}

// A backend server as it registered itself.
struct BackEndEntry {
  BackEndId id;
  ServiceId service;
  std::string ip;
  uint16_t port = 0;
  FailureDomain zone;
  int slots = 1;
  bool draining = false;
  Duration
      warm_up_time{};  // stays slow for so long after the entry was written
  EngineRole role = EngineRole::kNone;
  int64_t incarnation = 0;  // differs between two starts under one id
};

}  // namespace mimosa

#endif  // DECIDE_SITE_H_
