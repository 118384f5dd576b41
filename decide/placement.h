// Which engines to try for a request, and in which order.
//
// Model: a request goes to a prefill engine and to a decode engine, chosen one
// after the other by the same policy. A candidate is described by the last
// summary that the daemon heard of its book, which may be old or missing. At
// the fleet's full size there are many candidates, so a policy reads only those
// that it needs through CandidateSource.
//
// Policies:
//  - random and round robin: know nothing;
//  - least loaded: the lowest load by the lagging summaries;
//  - reserve: the best of a few (two at random, and those likely to hold the
//    prompt's prefix) by expected time: queue, prefill of the uncached part and
//    transfer link together. The engine is then reserved at its book's owner
//    before any work is started.
//
// Pure: the random source is injected.
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

// One engine as the placing daemon knows it.
struct PlacementCandidate {
  bool has_summary = false;  // a summary was heard; else the rest is zero
  Units capacity;
  Units free;
  int64_t waiting = 0;
  int64_t running = 0;
  Duration queue_wait{};   // expected wait by the summary
  Duration summary_age{};  // of the summary
  Tokens cached_prefix;    // of the prompt, likely to be in its cache
  Duration link_wait{};    // for a transfer to or from it
};

// The engines that serve a model in one role.
class CandidateSource {
 public:
  virtual ~CandidateSource() = default;
  virtual size_t size() const = 0;
  // Describes engine `index` (< size()).
  virtual PlacementCandidate At(size_t index) const = 0;
};

struct PlacementQuery {
  Tokens prompt_tokens;
  // What computing one prompt token takes; zero when choosing a decode engine.
  Duration prefill_per_token{};
  // Candidates worth a look because they may hold the prompt's prefix.
  std::vector<size_t> preferred;
};

class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Distinct indices into `candidates`, best first; empty only if there is
  // none.
  virtual std::vector<size_t> Rank(const PlacementQuery& query,
                                   const CandidateSource& candidates,
                                   RandomSource* random) = 0;
  // How long it would take until the request could go on from this engine; zero
  // for policies that don't know.
  virtual Duration ExpectedTime(const PlacementQuery& query,
                                const PlacementCandidate& candidate) const = 0;
  // Whether engines are reserved before use; else they are just used.
  virtual bool reserves() const = 0;
};

enum class PlacementKind { kRandom, kRoundRobin, kLeastLoaded, kReserve };

// "random", "round-robin", "least-loaded" or "reserve"; nothing for others.
std::optional<PlacementKind> ParsePlacementKind(std::string_view name);

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(PlacementKind kind);

// Engines that the reserve policy draws at random.
inline constexpr size_t kRandomChoices = 2;

}  // namespace mimosa

#endif  // DECIDE_PLACEMENT_H_
