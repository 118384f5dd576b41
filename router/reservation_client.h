// Interface by which the request path reserves capacity on engines. Capacity is
// reserved before any work starts; the member that owns an engine's reservation
// ledger keeps track of it.
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

// What to reserve, for one request to a model.
struct ReservationRequest {
  RequestId request_id;
  CustomerId customer;
  ModelId model;
  std::string_view prompt;  // for prefix affinity; valid during the call only
  Tokens prompt_tokens;
  Tokens output_tokens;  // the maximum that may be generated
  wire::RequestClass request_class = wire::REQUEST_CLASS_UNSPECIFIED;
  MonoTime deadline;  // of the complete response
  MonoTime first_token_deadline = kNever;
  // Engines not to use, because they failed this request before.
  std::vector<BackEndId> excluded_engines;
};

enum class ReservationStatus {
  kGranted,
  kNoEngine,  // no engine serves the model
  kOverload,  // the deadline can't be met, or no capacity for a prompt request
  kOwnerUnreachable  // the owners of the ledgers did not reply
};

// A granted reservation of a turn at a prefill engine and of KV cache memory at
// a decode engine. Destroying it releases the reservation.
class EngineReservation {
 public:
  virtual ~EngineReservation() = default;
  virtual const BackEndId& prefill_engine() const = 0;
  virtual const Endpoint& prefill_address() const = 0;
  virtual const BackEndId& decode_engine() const = 0;
  virtual const Endpoint& decode_address() const = 0;
  // Reserved KV cache memory of the decode engine.
  virtual Pieces pieces() const = 0;
  // Releases the prefill engine, because its result was claimed.
  virtual void ReleasePrefillEngine() = 0;
};

struct ReservationResult {
  ReservationStatus status = ReservationStatus::kOwnerUnreachable;
  std::unique_ptr<EngineReservation> reservation;  // null unless granted
  Duration retry_after{};                          // meaningful unless granted
};

// A reservation that is waiting for capacity. Destroying it cancels the
// reservation.
class PendingReservation {
 public:
  virtual ~PendingReservation() = default;
};

class ReservationClient {
 public:
  using DoneCallback = std::function<void(ReservationResult)>;

  virtual ~ReservationClient() = default;

  // Reserves a turn at a prefill engine and memory at a decode engine. `done`
  // runs once, from the event loop.
  [[nodiscard]] virtual std::unique_ptr<PendingReservation> Reserve(
      const ReservationRequest& request, DoneCallback done) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_RESERVATION_CLIENT_H_
