// Interface through which the relays record and find the software version that
// began a stream.
#ifndef SERVING_STREAM_ORIGIN_DIRECTORY_H_
#define SERVING_STREAM_ORIGIN_DIRECTORY_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "base/ids.h"
#include "decide/site.h"

namespace mimosa {

// A pending lookup. Destroying it cancels the lookup; no callback follows.
class StreamOriginLookup {
 public:
  virtual ~StreamOriginLookup() = default;
};

class StreamOriginDirectory {
 public:
  using FindCallback =
      std::function<void(std::optional<SoftwareVersion> version)>;

  virtual ~StreamOriginDirectory() = default;

  // Returns the versions at which streams of `service` may begin: those that
  // the fleet's record of versions names.
  virtual const std::set<SoftwareVersion>& StartableVersions(
      const ServiceId& service) const = 0;
  // The response to `request` is about to bring its caller the first event,
  // which an engine of `version` has generated; nullopt if it isn't known which
  // incarnation of the engine has.
  virtual void Record(const RequestId& request, const ServiceId& service,
                      const std::optional<SoftwareVersion>& version) = 0;
  // Finds the version that generated the events of the stream that `request`
  // began; an empty id if the caller named none. Runs `callback` once, from the
  // loop, with nullopt if no version can be shown to be the right one.
  [[nodiscard]] virtual std::unique_ptr<StreamOriginLookup> Find(
      const RequestId& request, const ServiceId& service,
      FindCallback callback) = 0;
};

}  // namespace mimosa

#endif  // SERVING_STREAM_ORIGIN_DIRECTORY_H_
