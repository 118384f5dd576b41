// Sets of failure domains and regions.
#include "decide/traffic_boundaries.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace mimosa {

RegionByDomain ParseRegions(std::string_view text,
                            std::vector<std::string>* unreadable) {
  RegionByDomain regions;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    if (item.empty()) continue;
    const size_t equals = item.find('=');
    if (equals == 0 || equals == std::string_view::npos ||
        equals + 1 == item.size() || equals != item.rfind('=')) {
      unreadable->emplace_back(item);
      continue;
    }
    regions[FailureDomain(std::string(item.substr(0, equals)))] =
        Region(std::string(item.substr(equals + 1)));
  }
  return regions;
}

void AllowedRegions::Restrict(const std::vector<Region>& regions) {
  if (regions.empty()) return;
  std::set<Region> both;
  for (const Region& region : regions)
    if (Contains(region)) both.insert(region);
  is_restricted_ = true;
  regions_ = std::move(both);
}

TrafficBoundaries::Change TrafficBoundaries::SetEvacuated(
    const std::set<FailureDomain>& domains, MonoTime now) {
  Change change;
  for (auto it = evacuated_since_.begin(); it != evacuated_since_.end();) {
    if (domains.count(it->first) > 0) {
      ++it;
      continue;
    }
    change.ended.push_back({it->first, now - it->second});
    it = evacuated_since_.erase(it);
  }
  for (const FailureDomain& domain : domains)
    if (evacuated_since_.emplace(domain, now).second)
      change.begun.push_back(domain);
  return change;
}

const Region* TrafficBoundaries::FindRegion(const FailureDomain& domain) const {
  const auto it = regions_.find(domain);
  return it == regions_.end() ? nullptr : &it->second;
}

bool TrafficBoundaries::IsKnown(const AllowedRegions& allowed) const {
  return std::any_of(
      regions_.begin(), regions_.end(),
      [&allowed](const auto& item) { return allowed.Contains(item.second); });
}

bool TrafficBoundaries::IsInside(const FailureDomain& domain,
                                 const AllowedRegions& allowed) const {
  if (!allowed.is_restricted()) return true;
  const Region* const region = FindRegion(domain);
  return region != nullptr && allowed.Contains(*region);
}

bool TrafficBoundaries::MayForward(const FailureDomain& from,
                                   const FailureDomain& to,
                                   const AllowedRegions& allowed) const {
  if (IsInside(to, allowed)) return true;
  const Region* const sender = FindRegion(from);
  const Region* const receiver = FindRegion(to);
  return from == to ||
         (sender != nullptr && receiver != nullptr && *sender == *receiver);
}

}  // namespace mimosa
