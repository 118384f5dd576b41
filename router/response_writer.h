// Writes the response to one caller's request. The response is started at most
// once and carries the request's outcome.
//
// Every response carries `Mimosa-Request-Id` and `Mimosa-Outcome`:
//   not-run  no backend server can have received the request
//   ran      the response is the backend server's own
//   unknown  the request may have run
// A refusal is a small JSON document
// {"error":{"type","message","retry_after_ms"}}; refusals that may succeed
// after a wait carry Retry-After. A refusal is sent as soon as it is decided.
#ifndef ROUTER_RESPONSE_WRITER_H_
#define ROUTER_RESPONSE_WRITER_H_

#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/ids.h"
#include "net/http.h"

namespace mimosa {

enum class Outcome { kNotRun, kRan, kUnknown };
const char* OutcomeName(Outcome outcome);

enum class Refusal {
  kUnknownRoute,
  kMethodNotAllowed,
  kNoKey,
  kUnknownKey,
  kKeyWithdrawn,
  kAmbiguousCredentials,
  kKeyInRequest,
  kMalformedRequest,
  kTooLarge,
  kRateLimited,
  kChargeAboveBurst,  // can never be granted under the customer's limits
  kOverloaded,
  kNoBackEnd,
  kBackEndFailed,
  kDeadlineExceeded,
  kOutOfTouch,  // no contact with platform or peers for too long
  kLeaving,
  kPlatformDown,
  kIdempotencyKeyReused,  // the key was used with another request
  kInProgress,            // the first request with the key is still running
};
inline constexpr int kRefusalCount = static_cast<int>(Refusal::kInProgress) + 1;

int RefusalStatus(Refusal refusal);
const char* RefusalName(Refusal refusal);

class ResponseWriter {
 public:
  ResponseWriter(std::shared_ptr<HttpExchange> exchange, RequestId id);

  // Sends a refusal. Does nothing if a response was started. A `retry_after` of
  // zero sends no Retry-After header.
  void Refuse(Refusal refusal, Outcome outcome, Duration retry_after = {},
              std::string_view message = {});

  // Sends a complete response. Does nothing if a response was started.
  void Respond(HttpResponse response, Outcome outcome);

  // Starts a streamed response; see HttpExchange. Does nothing if a response
  // was started.
  void StartStream(int status, HttpHeaders headers, Outcome outcome,
                   int64_t content_length = -1);
  void Write(std::string_view data) { exchange_->Write(data); }
  void Finish() { exchange_->Finish(); }
  // Aborts the connection of a started response. If no response was started,
  // sends the refusal kBackEndFailed instead.
  void Abort(Outcome outcome);

  HttpExchange& exchange() { return *exchange_; }
  bool begun() const { return begun_; }
  bool over() const { return exchange_->closed(); }
  // Status, outcome and refusal are read by the request metrics. The status is
  // 0 if no response was sent.
  int status() const { return status_; }
  Outcome outcome() const { return outcome_; }
  // Returns the refusal, or nullptr if the response wasn't one.
  const Refusal* refusal() const { return refused_ ? &refusal_ : nullptr; }

 private:
  void StartWithOutcome(HttpHeaders* headers, Outcome outcome);

  const std::shared_ptr<HttpExchange> exchange_;
  const RequestId id_;
  // The first of Refuse, Respond and StartStream sets this; later calls of them
  // do nothing.
  bool begun_ = false;
  int status_ = 0;
  Outcome outcome_ = Outcome::kNotRun;
  bool refused_ = false;
  Refusal refusal_ = Refusal::kUnknownRoute;
};

}  // namespace mimosa

#endif  // ROUTER_RESPONSE_WRITER_H_
