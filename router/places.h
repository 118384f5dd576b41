// Places on engines, as the request path sees them: reserved before any work
// is started, kept by the member that owns the engine's book.
#ifndef ROUTER_PLACES_H_
#define ROUTER_PLACES_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "net/http.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

struct PlaceRequest {
  RequestId request;
  CustomerId customer;
  ModelId model;
  std::string_view prompt;  // for prefix affinity; valid during the call only
  Tokens prompt_tokens;
  Tokens output_tokens;  // the most that may be generated
  wire::RequestClass request_class = wire::REQUEST_CLASS_UNSPECIFIED;
  MonoTime deadline;  // of the whole answer
  MonoTime first_token_deadline = kNever;
  // Engines not to use: they failed this request before.
  std::vector<BackEndId> avoid;
};

enum class PlaceStatus {
  kGranted,
  kNoEngine,   // no engine serves the model
  kOverload,   // the deadline can't be met, or no room for a prompt request
  kNotReached  // the books' owners did not answer
};

// A place that was granted. Destroying it gives the place back.
class Place {
 public:
  virtual ~Place() = default;
  virtual const BackEndId& prefill_engine() const = 0;
  virtual const Endpoint& prefill_address() const = 0;
  virtual const BackEndId& decode_engine() const = 0;
  virtual const Endpoint& decode_address() const = 0;
  virtual Pieces pieces() const = 0;
  // The prefill engine is free for others: its result was claimed.
  virtual void PrefillDone() = 0;
};

struct PlaceResult {
  PlaceStatus status = PlaceStatus::kNotReached;
  std::unique_ptr<Place> place;  // if granted
  Duration retry_after{};        // else
};

// A reservation being waited for; destroying it gives up.
class PendingPlace {
 public:
  virtual ~PendingPlace() = default;
};

class Places {
 public:
  using Done = std::function<void(PlaceResult)>;

  virtual ~Places() = default;

  // Reserves a turn at a prefill engine and decode memory. `done` runs once,
  // from the loop.
  [[nodiscard]] virtual std::unique_ptr<PendingPlace> Reserve(
      const PlaceRequest& request, Done done) = 0;
};

}  // namespace mimosa

#endif  // ROUTER_PLACES_H_
