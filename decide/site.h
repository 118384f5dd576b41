// The configuration of a site (routes, services, customers and limits under one
// version) and the registration of its backend servers. These are plain data
// and lookups without side effects. The code for a platform's formats fills
// these types (platform/); all other code reads them.
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
// Version of a backend server's software, not of the weights that it serves.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
// Version of the weights that an engine serves. It may change while the engine
// runs, also within a stream.
using WeightVersion = Quantity<struct WeightVersionTag>;

// Whether a request of a route may run more than once.
enum class RetryPolicy {
  kIdempotent,       // May be retried and hedged freely.
  kAtMostOnce,       // Runs at most once.
  kStream,           // Runs at most once; the response is an event stream.
  kResumableStream,  // Event stream that another engine may resume.
};
constexpr bool IsStream(RetryPolicy policy) {
  return policy == RetryPolicy::kStream ||
         policy == RetryPolicy::kResumableStream;
}

struct TrafficShare {
  ServiceId service;
  double weight = 1;  // Relative to the other shares of the route.
};

struct SiteRoute {
  RouteId id;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  Duration timeout{};  // Time limit for the response; zero: no limit.
  // Time to the response, of a stream to the first event.
  Duration target_latency{};
  Duration target_event_gap{};  // Time between events; zero: not a stream.
  // How long callers wait for the first event of a stream. Zero: as long as for
  // the whole response.
  Duration first_event_timeout{};
  int priority = 0;  // 0 is served first.
  // Maximum number of backend servers that may run one request.
  int max_attempts = 1;
  bool allows_anonymous = false;  // Requests need no key.
  // The regions that requests must stay in; empty: anywhere.
  std::vector<Region> allowed_regions;
  std::vector<TrafficShare> traffic_split;  // Never empty.
};

// Properties that all model engines of a service share.
struct EngineSpec {
  int slots = 0;
  Tokens kv_memory;           // Tokens that the KV memory of an engine holds.
  double kv_token_bytes = 0;  // KV memory of one token.
  double link_mbps = 0;       // Bandwidth of an engine's link for KV transfers.
  // Lifetime of a prefill's result that no decode engine fetches.
  Duration kv_handle_lifetime{};
  // Lifetime of a reservation at an engine; zero: no reservations.
  Duration reservation_lifetime{};
  Duration role_switch_time{};  // Time that an engine needs to change its role.
  bool replicates_runs = false;  // Engines keep copies of other engines' runs.
  int tokens_per_event = 1;      // Tokens in one event of a stream.
};

struct SiteService {
  ServiceId id;
  std::string health_path;
  int max_connections = 0;           // Of one backend server, over all daemons.
  std::optional<EngineSpec> engine;  // Absent for a plain service.
  // A backend server warms up for this long after its start, and then takes
  // `warm_up_rate` requests a second from all daemons together; absent: as many
  // as ever.
  Duration warm_up_time{};
  std::optional<double> warm_up_rate;
};

struct SiteCustomer {
  CustomerId id;
  std::vector<std::string> keys;
  std::optional<int> priority;  // Overrides the route's priority.
  // The regions that its requests must stay in, besides those of the route;
  // empty: anywhere.
  std::vector<Region> allowed_regions;
  // The allotment, enforced over the whole fleet. A rate of zero means no
  // limit.
  double rate_per_second = 0;
  double burst = 0;
  // Rate and burst count tokens; otherwise requests.
  bool rate_in_tokens = false;
  double default_tokens = 1;  // Cost of a request without token counts.
};

struct CallerLimits {
  size_t max_header_bytes = 0;  // Zero: the daemon's own limit.
  size_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
};

// One accepted configuration. Immutable once built; lookups return pointers
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

  // Returns the route of `host` with the longest prefix that `path` begins
  // with, or nullptr. `host` may include a port, and its case is ignored.
  const SiteRoute* FindRoute(std::string_view host,
                             std::string_view path) const;
  // Returns nullptr if no customer has the key.
  const SiteCustomer* FindCustomerByKey(const std::string& key) const;
  // Returns nullptr if there is no such customer.
  const SiteCustomer* FindCustomer(const CustomerId& id) const;
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

enum class EngineRole { kNone, kPrefill, kDecode };  // kNone: a plain service.
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
  // The server stays slow for this long after the entry was written.
  Duration warm_up_time{};
  bool has_invalid_warm_up_time = false;  // It states one that can't be read.
  EngineRole role = EngineRole::kNone;
  int64_t incarnation = 0;           // Differs between two starts under one id.
  SoftwareVersion software_version;  // Empty if the server states none.
};

}  // namespace mimosa

#endif  // DECIDE_SITE_H_
