// Claims on Idempotency-Keys: of all attempts under one key, one writes to a
// backend server.
//
// Model: the record "<deployment>/claims/<digest of customer, route and key>"
// is created in the platform (create-if-absent) before a byte is sent. Whoever
// finds it there doesn't send; it waits for the first attempt's outcome. States
// (wire::ClaimRecord): CLAIMED may have run; FINISHED holds the answer;
// RELEASED means that the attempt sent nothing, and the next one may take the
// record over by compare-and-swap. A claimer that dies leaves CLAIMED behind:
// its outcome stays "unknown", for no one can tell.
//
// Cost: two writes a request (claim, finish). Records hang on a lease that the
// daemon makes once an hour, and so disappear kClaimLifetime after the last
// claim made under it.
#ifndef ROUTER_CLAIM_REGISTRY_H_
#define ROUTER_CLAIM_REGISTRY_H_

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/kv_store.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "router/fleet.h"
#include "wire/fleet.pb.h"

namespace mimosa {

// How long the outcome under an Idempotency-Key is kept, at least.
inline constexpr Duration kClaimRetention = std::chrono::hours(24);
// Answers with more bytes than this are not kept, only their status.
inline constexpr size_t kMaxStoredResponseBytes = 256U << 10;

struct ClaimKey {
  CustomerId customer;
  RouteId route;
  std::string idempotency_key;
  std::string request_digest;  // of method, target and body
};

enum class ClaimStatus {
  kOwned,        // this attempt may send
  kUnclaimed,    // Find: no attempt under the key has been sent
  kFinished,     // `record` holds the outcome of the first attempt
  kUnfinished,   // the first attempt had no outcome by the deadline
  kMismatch,     // the key was used with another request
  kUnavailable,  // the platform can't be asked; nothing was or will be sent
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  wire::ClaimRecord record;  // kFinished, kUnfinished
};

// A claim being made or held. Destroying it while it is owned and not settled
// leaves the record CLAIMED: the outcome is unknown.
class Claim {
 public:
  virtual ~Claim() = default;
  // Nothing was sent: others may claim. Best effort; runs on after destruction.
  virtual void Release() = 0;
  // The answer came; `done` once it is kept or can't be (the caller is answered
  // after that, so that a retry can't find less than the caller was told).
  virtual void Finish(const HttpResponse& response,
                      std::function<void()> done) = 0;
};

class ClaimRegistry {
 public:
  using DoneCallback = std::function<void(ClaimResult)>;

  virtual ~ClaimRegistry() = default;
  // Claims for `attempt`; waits for another attempt's outcome until `deadline`.
  // `done` runs once, from the loop.
  [[nodiscard]] virtual std::unique_ptr<Claim> Acquire(const ClaimKey& key,
                                                       const RequestId& attempt,
                                                       MonoTime deadline,
                                                       DoneCallback done) = 0;
  // Looks without claiming: kFree, kFinished, kUnfinished, kMismatch or
  // kUnavailable. One read of the platform.
  [[nodiscard]] virtual std::unique_ptr<Claim> Lookup(const ClaimKey& key,
                                                      DoneCallback done) = 0;
};

// `fleet` tells who claims, and whether the member that made a claim found in
// the platform still serves: nobody waits for the dead.
std::unique_ptr<ClaimRegistry> MakeClaimRegistry(EventLoop* loop, KvStore* kv,
                                                 std::string deployment,
                                                 const Fleet* fleet);

}  // namespace mimosa

#endif  // ROUTER_CLAIM_REGISTRY_H_
