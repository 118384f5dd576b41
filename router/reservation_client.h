// Places on engines, as the request path sees them: reserved before any work
// is started, kept by the member that owns the engine's book.
#ifndef ROUTER_RESERVATION_CLIENT_H_
#define ROUTER_RESERVATION_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "net/http.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

struct ReservationRequest {
  RequestId request_id;
  CustomerId customer;
  ModelId model;
  std::string_view prompt;  // for prefix affinity; valid during the call only
  Tokens prompt_tokens;
  Tokens output_tokens;  // the most that may be generated
  wire::RequestClass request_class = wire::REQUEST_CLASS_UNSPECIFIED;
  MonoTime deadline;  // of the whole answer
  MonoTime first_token_deadline = kNever;
  // Engines not to use: they failed this request before.
  std::vector<BackEndId> excluded_engines;
};

enum class ReservationStatus {
  kGranted,
  kNoEngine,  // no engine serves the model
  kOverload,  // the deadline can't be met, or no room for a prompt request
  kOwnerUnreachable  // the books' owners did not answer
};

// A place that was granted. Destroying it gives the place back.
class EngineReservation {
 public:
  virtual ~EngineReservation() = default;
  virtual const BackEndId& prefill_engine() const = 0;
  virtual const Endpoint& prefill_address() const = 0;
  virtual const BackEndId& decode_engine() const = 0;
  virtual const Endpoint& decode_address() const = 0;
  virtual Pieces pieces() const = 0;
  // The prefill engine is free for others: its result was claimed.
  virtual void ReleasePrefillEngine() = 0;
};

struct ReservationResult {
  ReservationStatus status = ReservationStatus::kOwnerUnreachable;
  std::unique_ptr<EngineReservation> reservation;  // if granted
  Duration retry_after{};                          // else
};

// A reservation being waited for; destroying it gives up.
class PendingReservation {
 public:
  virtual ~PendingReservation() = default;
};

class ReservationClient {
 public:
  using DoneCallback = std::function<void(ReservationResult)>;

  virtual ~ReservationClient() = default;

  // Reserves a turn at a prefill engine and decode memory. `done` runs once,
  // from the loop.
  [[nodiscard]] virtual std::unique_ptr<PendingReservation> Reserve(
      const ReservationRequest& request, DoneCallback done) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_RESERVATION_CLIENT_H_
