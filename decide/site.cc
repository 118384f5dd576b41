// Lookups in a configuration.
#include "decide/site.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace mimosa {
namespace {

std::string LowerHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

SiteConfig::SiteConfig(int64_t version, std::vector<SiteRoute> routes,
                       std::vector<SiteService> services,
                       std::vector<SiteCustomer> customers, CallerLimits limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      customers_(std::move(customers)),
      limits_(limits) {
  for (const SiteRoute& route : routes_)
    routes_by_host_[LowerHost(route.host)][route.prefix] = &route;
  for (const SiteCustomer& customer : customers_)
    for (const std::string& key : customer.keys)
      customers_by_key_[key] = &customer;
  for (const SiteService& service : services_)
    services_by_id_[service.id] = &service;
}

const SiteRoute* SiteConfig::FindRoute(std::string_view host,
                                       std::string_view path) const {
  const auto routes = routes_by_host_.find(LowerHost(host));
  if (routes == routes_by_host_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  // Prefixes end with a slash, so the candidates are the path cut after each of
  // its slashes, the longest first.
  for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/', slash - 1)) {
    const auto route =
        routes->second.find(std::string(path.substr(0, slash + 1)));
    if (route != routes->second.end()) return route->second;
    if (slash == 0) break;
  }
  return nullptr;
}

const SiteCustomer* SiteConfig::FindCustomerByKey(
    const std::string& key) const {
  const auto it = customers_by_key_.find(key);
  return it == customers_by_key_.end() ? nullptr : it->second;
}

const SiteCustomer* SiteConfig::FindCustomer(const CustomerId& id) const {
  const auto it =
      std::find_if(customers_.begin(), customers_.end(),
                   [&id](const auto& customer) { return customer.id == id; });
  return it == customers_.end() ? nullptr : &*it;
}

const SiteService* SiteConfig::FindService(const ServiceId& id) const {
  const auto it = services_by_id_.find(id);
  return it == services_by_id_.end() ? nullptr : it->second;
}

}  // namespace mimosa
