// Conversion of streams' origins to and from the messages that carry them.
#ifndef SERVING_STREAM_ORIGIN_MESSAGES_H_
#define SERVING_STREAM_ORIGIN_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/saturated_cast.h"
#include "decide/stream_origins.h"
#include "wire/usage.pb.h"

namespace mimosa::detail {

// Most origins in one datagram, so that it stays within the size limit.
inline constexpr int kMaxOriginsPerReport = 60;

inline void WriteOrigin(const RequestId& request,
                        const StreamOrigins::Origin& origin, MonoTime now,
                        wire::StreamOrigin* item) {
  item->set_request(request.value());
  item->set_service(origin.service.value());
  item->set_has_unknown_version(!origin.software_version);
  if (origin.software_version)
    item->set_software_version(origin.software_version->value());
  item->set_age_ms(SaturatedCast<uint32_t>(ToMillis(now - origin.began)));
}

inline StreamOrigins::Origin ReadOrigin(const wire::StreamOrigin& item,
                                        MonoTime now) {
  std::optional<SoftwareVersion> version;
  if (!item.has_unknown_version())
    version = SoftwareVersion(item.software_version());
  return {ServiceId(item.service()), std::move(version),
          now - std::chrono::milliseconds(item.age_ms()), /*is_local=*/false};
}

}  // namespace mimosa::detail

#endif  // SERVING_STREAM_ORIGIN_MESSAGES_H_
