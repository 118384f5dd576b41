// Builds the responses that the daemon generates itself.
#include "serving/local_responses.h"

#include <array>
#include <cstdio>

namespace mimosa {
namespace {

constexpr Duration kMaxShutdownSpread = std::chrono::milliseconds(300);

}  // namespace

HttpResponse RetryLaterResponse(int status, Duration retry_after) {
  HttpResponse response;
  response.status = status;
  std::array<char, 32> seconds{};
  std::snprintf(seconds.data(), seconds.size(), "%.3f", ToSeconds(retry_after));
  response.headers.Add("Retry-After", seconds.data());
  return response;
}

Duration ShutdownRetryAfter(RandomSource* random) {
  return kShutdownRetryAfter +
         Scaled(kMaxShutdownSpread, random->UniformDouble());
}

HttpResponse EmptyResponse(int status) {
  HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace mimosa
