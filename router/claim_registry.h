// Claims on Idempotency-Keys: of all attempts with the same key, only one sends
// its request to a backend server.
//
// The record "<deployment>/claims/<digest of customer, route and key>" is
// created in the platform's store (create-if-absent) before any byte is sent.
// An attempt that finds the record doesn't send; it waits for the outcome of
// the first attempt. States (wire::ClaimRecord): CLAIMED may have run; FINISHED
// holds the response; RELEASED means that the attempt sent nothing, and the
// next attempt may take the record over by compare-and-swap. A claimer that
// crashes leaves the record CLAIMED, and the outcome stays "unknown" because
// nobody can determine it.
//
// Cost: two store writes per request (claim, finish). Records are attached to a
// platform lease that the daemon creates once an hour, so they expire
// kClaimRetention after the last claim made under that lease, or later.
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

// Minimum time for which the outcome of an Idempotency-Key is stored.
inline constexpr Duration kClaimRetention = std::chrono::hours(24);
// Of responses with a larger body only the status is stored.
inline constexpr size_t kMaxStoredResponseBytes = 256U << 10;

struct ClaimKey {
  CustomerId customer;
  RouteId route;
  std::string idempotency_key;
  std::string request_digest;  // digest of method, target and body
};

enum class ClaimStatus {
  kOwned,        // this attempt may send the request
  kUnclaimed,    // Lookup: no attempt with the key has sent
  kFinished,     // `record` holds the first attempt's outcome
  kUnfinished,   // the first attempt had no outcome in time
  kMismatch,     // the key was used with another request
  kUnavailable,  // platform unreachable; nothing was sent
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  wire::ClaimRecord record;  // set for kFinished, and sometimes kUnfinished
};

// A claim that is being acquired or is held. Destroying an owned claim before
// Release or Finish leaves the record CLAIMED: the outcome is unknown.
class Claim {
 public:
  virtual ~Claim() = default;
  // Releases the claim because nothing was sent, so that another attempt may
  // claim the key. Best effort; continues after destruction of this object.
  virtual void Release() = 0;
  // Stores the response. `done` runs once the response is stored or the first
  // write has failed. The caller must be answered only after that, so that a
  // retry doesn't find less than the caller was told.
  virtual void Finish(const HttpResponse& response,
                      std::function<void()> done) = 0;
};

class ClaimRegistry {
 public:
  using DoneCallback = std::function<void(ClaimResult)>;

  virtual ~ClaimRegistry() = default;
  // Acquires the key for `attempt`. If another attempt has it, waits until
  // `deadline` for that attempt's outcome. `done` runs once, from the loop.
  [[nodiscard]] virtual std::unique_ptr<Claim> Acquire(const ClaimKey& key,
                                                       const RequestId& attempt,
                                                       MonoTime deadline,
                                                       DoneCallback done) = 0;
  // Reads the state of the key without claiming it. The status is kUnclaimed,
  // kFinished, kUnfinished, kMismatch or kUnavailable. Costs one platform read.
  [[nodiscard]] virtual std::unique_ptr<Claim> Lookup(const ClaimKey& key,
                                                      DoneCallback done) = 0;
};

// Creates the registry. `fleet` identifies this member, and tells whether the
// member that made an existing claim is still alive: attempts don't wait for
// the outcome of a member that is gone.
std::unique_ptr<ClaimRegistry> MakeClaimRegistry(EventLoop* loop, KvStore* kv,
                                                 std::string deployment,
                                                 const Fleet* fleet);

}  // namespace mimosa

#endif  // ROUTER_CLAIM_REGISTRY_H_
