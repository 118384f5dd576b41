// Responses that the daemon generates itself. A response with Retry-After
// promises that the request has not run; an empty failure response says nothing
// about whether it has run.
#ifndef SERVING_LOCAL_RESPONSES_H_
#define SERVING_LOCAL_RESPONSES_H_

#include "base/clock.h"
#include "base/random.h"
#include "net/http.h"

namespace mimosa {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

// Timeout of a request if neither the caller nor the route sets one.
inline constexpr Duration kDefaultTimeout = std::chrono::seconds(60);

// Retry-After while the daemon shuts down: the caller can reach another daemon
// at once.
inline constexpr Duration kShutdownRetryAfter = std::chrono::milliseconds(50);
// Why a request is refused or ended during a shutdown, for logs.
inline constexpr char kShutdownReason[] = "leaving";

constexpr bool IsSuccess(int status) { return status / 100 == 2; }

// Has a Retry-After header: `retry_after` in seconds with three decimals. Only
// valid for a request that has not run.
HttpResponse RetryLaterResponse(int status, Duration retry_after);
// Returns kShutdownRetryAfter plus a random time, so that callers that are
// refused together don't return together.
Duration ShutdownRetryAfter(RandomSource* random);
// Has no headers and no body.
HttpResponse EmptyResponse(int status);

}  // namespace mimosa

#endif  // SERVING_LOCAL_RESPONSES_H_
