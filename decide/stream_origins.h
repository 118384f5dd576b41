// Remembers which software version began each stream that its caller may take
// up again.
//
// Model: an origin is recorded when the first event of a stream is forwarded
// and is kept for as long as a caller may take the stream up. The first record
// of a stream wins: a stream has one origin, so a later record is a mistake or
// a replay.
//
// Load pattern covered: daemons that are killed while the engines of a service
// are replaced by others of a new version, so that the callers of all their
// streams take them up at other daemons at once.
#ifndef DECIDE_STREAM_ORIGINS_H_
#define DECIDE_STREAM_ORIGINS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

class StreamOrigins {
 public:
  // Streams of requests with a longer id are not recorded.
  static constexpr size_t kMaxIdBytes = 256;
  // Beyond this number the oldest origins are dropped.
  static constexpr size_t kMaxOrigins = 20000;

  struct Origin {
    ServiceId service;
    // Absent if it isn't known which incarnation of its engine began the
    // stream.
    std::optional<SoftwareVersion> software_version;
    MonoTime began{};       // Time of the first event.
    bool is_local = false;  // The stream began at this daemon.
  };

  // Sets how long origins are kept: the longest time after its first event at
  // which a stream can be taken up.
  void SetLifetime(Duration lifetime) { lifetime_ = lifetime; }
  Duration lifetime() const { return lifetime_; }

  // Records the origin of the stream that `request` began, unless one is known.
  void Record(const RequestId& request, Origin origin, MonoTime now);
  // Returns the origin of the stream that `request` began, or nullopt if it is
  // unknown.
  std::optional<Origin> Find(const RequestId& request, MonoTime now);
  // Returns the streams of `service` that began at this daemon.
  std::vector<std::pair<RequestId, Origin>> LocalOrigins(
      const ServiceId& service, MonoTime now);

  size_t size() const { return origins_.size(); }

 private:
  void RemoveExpired(MonoTime now);
  void RemoveOldest();

  Duration lifetime_ = std::chrono::seconds(60);
  std::map<RequestId, Origin> origins_;
  // The keys of origins_ in the order of their age, oldest first.
  std::set<std::pair<MonoTime, RequestId>> by_age_;
};

}  // namespace mimosa

#endif  // DECIDE_STREAM_ORIGINS_H_
