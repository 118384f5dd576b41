// Answers of the daemon's own: refusals, which are true only of requests that
// have not run, and failures, which say nothing about that.
#ifndef SERVING_LOCAL_RESPONSES_H_
#define SERVING_LOCAL_RESPONSES_H_

#include "base/clock.h"
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

constexpr bool IsSuccess(int status) { return status / 100 == 2; }

// `retry_after` is written in seconds with three decimals.
HttpResponse RetryLaterResponse(int status, Duration retry_after);
HttpResponse EmptyResponse(int status);

}  // namespace mimosa

#endif  // SERVING_LOCAL_RESPONSES_H_
