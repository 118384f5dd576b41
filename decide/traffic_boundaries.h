// Where work may go: the failure domains that operators have evacuated, and the
// regions that a request, its repeats and its KV memory must stay in.
//
// Model: the settings state the region of each failure domain, and a route and
// a customer may each name allowed regions; where both do, both bind. An
// evacuated failure domain gets nothing new from the moment at which this
// daemon knows of the evacuation until it knows of its end; what runs there
// goes on. A failure domain without a known region lies in no allowed region,
// since sending too little can be mended and sending data abroad can't.
// Evacuations may name failure domains that the settings don't: their back ends
// are evacuated all the same.
//
// Load pattern covered: a failure domain is evacuated and taken back during
// usual traffic, several in turn or all at once, while another one is lost; a
// region is cut off while most requests must stay in their regions.
#ifndef DECIDE_TRAFFIC_BOUNDARIES_H_
#define DECIDE_TRAFFIC_BOUNDARIES_H_

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace mimosa {

using RegionByDomain = std::map<FailureDomain, Region>;

// Parses "domain=region,domain=region". Items without exactly one "=" between
// two names are skipped and added to `*unreadable`.
RegionByDomain ParseRegions(std::string_view text,
                            std::vector<std::string>* unreadable);

// The regions of one request. By default, it may go anywhere.
class AllowedRegions {
 public:
  AllowedRegions() = default;

  // Leaves only the regions of `regions`; an empty list restricts nothing.
  void Restrict(const std::vector<Region>& regions);

  bool is_restricted() const { return is_restricted_; }
  // Whether no region at all is allowed.
  bool is_empty() const { return is_restricted_ && regions_.empty(); }
  bool Contains(const Region& region) const {
    return !is_restricted_ || regions_.count(region) > 0;
  }

 private:
  bool is_restricted_ = false;
  std::set<Region> regions_;  // Meaningful if is_restricted_.
};

class TrafficBoundaries {
 public:
  explicit TrafficBoundaries(RegionByDomain regions = {})
      : regions_(std::move(regions)) {}

  // What has changed by SetEvacuated().
  struct Change {
    struct Ended {
      FailureDomain domain;
      Duration lasted{};  // As known here.
    };
    std::vector<FailureDomain> begun;
    std::vector<Ended> ended;
  };
  // Replaces the set of evacuated failure domains.
  Change SetEvacuated(const std::set<FailureDomain>& domains, MonoTime now);

  bool IsEvacuated(const FailureDomain& domain) const {
    return evacuated_since_.count(domain) > 0;
  }
  size_t evacuated_count() const { return evacuated_since_.size(); }

  // Returns nullptr if the region isn't known.
  const Region* FindRegion(const FailureDomain& domain) const;
  // Returns whether a known failure domain lies in one of the regions.
  bool IsKnown(const AllowedRegions& allowed) const;
  // Returns whether back ends of `domain` lie in the regions, evacuated or not.
  bool IsInside(const FailureDomain& domain,
                const AllowedRegions& allowed) const;
  // Returns whether a daemon in `from` may pass the request to one in `to`:
  // inside the allowed regions or the region of the sender.
  bool MayForward(const FailureDomain& from, const FailureDomain& to,
                  const AllowedRegions& allowed) const;

 private:
  const RegionByDomain regions_;
  std::map<FailureDomain, MonoTime> evacuated_since_;
};

}  // namespace mimosa

#endif  // DECIDE_TRAFFIC_BOUNDARIES_H_
