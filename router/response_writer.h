// The answer to one caller's request: given once, and marked with what became
// of the request.
//
// Every answer carries `Mimosa-Request-Id` and `Mimosa-Outcome`:
//   not-run  no backend server can have seen the request
//   ran      the answer is the backend server's own
//   unknown  the request may have run
// A refusal is a small JSON document {"error":{"type","message",
// "retry_after_ms"}}; refusals that time may cure carry Retry-After. A refusal
// is sent at the moment it is decided.
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
  kOutOfTouch,  // no word from platform or peers for too long
  kLeaving,
  kPlatformDown,
  kIdempotencyKeyReused,  // with another request
  kInProgress,            // the first request under the Idempotency-Key runs
};
inline constexpr int kRefusalCount = static_cast<int>(Refusal::kInProgress) + 1;

int RefusalStatus(Refusal refusal);
const char* RefusalName(Refusal refusal);

class ResponseWriter {
 public:
  ResponseWriter(std::shared_ptr<HttpExchange> exchange, RequestId id);

  // Refuses; does nothing if an answer was begun. `retry_after` zero: none.
  void Refuse(Refusal refusal, Outcome outcome, Duration retry_after = {},
              std::string_view message = {});

  // A whole answer.
  void Respond(HttpResponse response, Outcome outcome);

  // A streamed one; see HttpExchange.
  void StartStream(int status, HttpHeaders headers, Outcome outcome,
                   int64_t content_length = -1);
  void Write(std::string_view data) { exchange_->Write(data); }
  void Finish() { exchange_->Finish(); }
  // Ends a begun answer as broken; an answer that wasn't begun is refused with
  // kBackEndFailed instead.
  void Abort(Outcome outcome);

  HttpExchange& exchange() { return *exchange_; }
  bool begun() const { return begun_; }
  bool over() const { return exchange_->over(); }
  // For counters: what the answer was. Status 0: none was given.
  int status() const { return status_; }
  Outcome outcome() const { return outcome_; }
  // The refusal, or nullptr if the answer wasn't one.
  const Refusal* refusal() const { return refused_ ? &refusal_ : nullptr; }

 private:
  void StartWithOutcome(HttpHeaders* headers, Outcome outcome);

  const std::shared_ptr<HttpExchange> exchange_;
  const RequestId id_;
  // Set by the first of Refuse, Respond and StartStream; later ones do nothing.
  bool begun_ = false;
  int status_ = 0;
  Outcome outcome_ = Outcome::kNotRun;
  bool refused_ = false;
  Refusal refusal_ = Refusal::kUnknownRoute;
};

}  // namespace mimosa

#endif  // ROUTER_RESPONSE_WRITER_H_
