// Policies that choose which engines to try for a request, and in which order.
//
// Model: a request needs a prefill engine and a decode engine, chosen one after
// the other by the same policy. A candidate is described by the last summary of
// its reservation ledger that the daemon received, which may be stale or
// missing. A full-size fleet has many candidates, so a policy reads only those
// it needs through CandidateSource.
//
// Policies:
//  - random and round robin: use no load information;
//  - least loaded: the lowest load according to the delayed summaries;
//  - reserve: compares a few engines (two at random and those likely to have
//    the prompt's prefix cached) by expected time, which is the sum of the
//    queue wait, the prefill of the uncached part and the wait for the transfer
//    link. The engine is then reserved at its ledger's owner before any work
//    starts.
//
// The random source is injected; the policies do no I/O.
#ifndef DECIDE_PLACEMENT_H_
#define DECIDE_PLACEMENT_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/random.h"
#include "decide/request_queue.h"

namespace mimosa {

// One engine as the daemon that places the request knows it.
struct PlacementCandidate {
  // False if no summary was received; the other fields are then zero.
  bool has_summary = false;
  Units capacity;
  Units free;
  int64_t waiting = 0;
  int64_t running = 0;
  Duration queue_wait{};  // expected wait according to the summary
  Duration summary_age{};
  Tokens cached_prefix;  // tokens of the prompt that are likely in its cache
  Duration link_wait{};  // wait for the link of a transfer to or from it
};

// The engines that serve a model in one role.
class CandidateSource {
 public:
  virtual ~CandidateSource() = default;
  virtual size_t size() const = 0;
  // Describes the engine at `index`, which must be less than size().
  virtual PlacementCandidate At(size_t index) const = 0;
};

struct PlacementQuery {
  Tokens prompt_tokens;
  // Time to compute one prompt token; zero when choosing a decode engine.
  Duration prefill_per_token{};
  // Indices of candidates that may have the prompt's prefix cached.
  std::vector<size_t> preferred;
};

class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Returns distinct indices into `candidates`, best first. Empty only if there
  // are no candidates.
  virtual std::vector<size_t> Rank(const PlacementQuery& query,
                                   const CandidateSource& candidates,
                                   RandomSource* random) = 0;
  // Returns the expected time until the request could proceed from this engine.
  // Policies that don't estimate it return zero.
  virtual Duration ExpectedTime(const PlacementQuery& query,
                                const PlacementCandidate& candidate) const = 0;
  // Whether an engine must be reserved before it is used.
  virtual bool reserves() const = 0;
};

enum class PlacementKind { kRandom, kRoundRobin, kLeastLoaded, kReserve };

// Parses "random", "round-robin", "least-loaded" or "reserve"; returns nullopt
// for any other name.
std::optional<PlacementKind> ParsePlacementKind(std::string_view name);

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(PlacementKind kind);

// Number of engines that the reserve policy draws at random.
inline constexpr size_t kRandomChoices = 2;

}  // namespace mimosa

#endif  // DECIDE_PLACEMENT_H_
