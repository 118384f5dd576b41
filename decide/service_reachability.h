// Judges from the outcomes of calls whether this daemon reaches the back ends
// of each service.
//
// Model: each sign of life of a back end, such as the head or a part of a
// response, is a contact. A call that ends without one is a miss. A service
// becomes unreachable when calls to several of its back ends, or to all if it
// has few, have missed and for a while none of its back ends was contacted. One
// back end that crashes, is silent for a second or fails its calls doesn't make
// it unreachable, since the others go on to respond. A back end that was listed
// after the misses may be reached, so the daemon tries it. The first contact
// makes the service reachable again.
//
// Whether the back ends or the links of this daemon have failed can't be told
// from its own calls: other daemons have to be asked (decide/helper_choice.h).
//
// Load pattern covered: some daemons, up to all of a failure domain, lose their
// links to all back ends for seconds. Calls hang, are reset, or can't connect,
// while callers go on to send requests at the usual rate.
#ifndef DECIDE_SERVICE_REACHABILITY_H_
#define DECIDE_SERVICE_REACHABILITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/back_end_list.h"
#include "decide/site.h"
#include "decide/traffic_boundaries.h"

namespace mimosa {

class ServiceReachability {
 public:
  struct Options {
    // Back ends whose calls have to miss, unless the service has fewer.
    size_t min_back_ends = 3;
    // Calls that have to miss.
    int min_misses = 3;
    // Time without a contact.
    Duration min_silence = std::chrono::milliseconds(500);
  };

  // Evacuated back ends say nothing about those that may be called, and are not
  // called. `boundaries` may be null: there are none.
  ServiceReachability(const BackEndList* list, const Options& options,
                      const TrafficBoundaries* boundaries = nullptr)
      : list_(list), options_(options), boundaries_(boundaries) {}

  void RecordContact(const BackEndEntry& back_end, MonoTime now);
  // A call to the back end ended without any sign of it.
  void RecordMiss(const BackEndEntry& back_end, MonoTime now);

  bool IsUnreachable(const ServiceId& service, MonoTime now) const;
  // Returns how long ago a back end of the service was last contacted; absent
  // if none ever was.
  std::optional<Duration> TimeSinceContact(const ServiceId& service,
                                           MonoTime now) const;
  // Returns the back ends of the service, but those that are about to
  // terminate, by the time of their last miss: those without one first.
  std::vector<BackEndEntry> BackEndsToProbe(const ServiceId& service) const;

 private:
  // Misses of a back end since the last contact with its service.
  struct Misses {
    int64_t incarnation = 0;
    MonoTime last{};
  };
  struct ServiceState {
    std::optional<MonoTime> last_contact;
    int misses = 0;         // Since the last contact.
    MonoTime first_miss{};  // If there are any.
    // The incarnations that were listed then.
    std::map<BackEndId, int64_t> known;
    std::map<BackEndId, Misses> missed;
  };

  // Whether calls to the back end show whether the service is reached.
  bool Counts(const BackEndEntry& entry, const ServiceId& service) const {
    return entry.service == service && !entry.draining &&
           (boundaries_ == nullptr || !boundaries_->IsEvacuated(entry.zone));
  }

  const BackEndList* const list_;
  const Options options_;
  const TrafficBoundaries* const boundaries_;  // May be null.
  std::map<ServiceId, ServiceState> services_;
};

}  // namespace mimosa

#endif  // DECIDE_SERVICE_REACHABILITY_H_
