// Searches for one engine among the candidates of one role: which engine's
// ledger owner to ask for a reservation next, and whether to wait there.
//
// Model: for decode memory the search first asks the ranked engines for a
// reservation without waiting. If all refuse, it waits at the engine with the
// shortest queue according to the summaries that came with the replies. A
// prefill is short, and an engine with the cached prefix and a short queue can
// beat an idle engine without the prefix. The search therefore lets each ranked
// prefill engine queue the request for as long as that engine remains better
// than the next one. The owner knows its queue and refuses at once if the wait
// would be longer. After a refused wait the search moves on to another engine,
// a few times.
//
// The search only computes steps and takes refusals; the caller does the
// network I/O, or simulates it in virtual time (bench/).
#ifndef DECIDE_ENGINE_SEARCH_H_
#define DECIDE_ENGINE_SEARCH_H_

#include <vector>

#include "base/random.h"
#include "decide/placement.h"

namespace mimosa {

enum class SearchStage { kDecode, kPrefill };

struct SearchStep {
  enum class Kind {
    kReserve,        // reserve at the engine
    kUseUnreserved,  // use the engine without a reservation
    kGiveUp,         // no engine accepted the request
  };
  Kind kind = Kind::kGiveUp;
  size_t engine = 0;  // index into the candidates; unused for kGiveUp
  bool may_wait = false;
  Duration max_wait = Duration::max();  // meaningful if may_wait
};

class EngineSearch {
 public:
  // `policy` must outlive this object.
  EngineSearch(SearchStage stage, PlacementPolicy* policy)
      : stage_(stage), policy_(policy) {}

  // Returns the first step. May be called again when the candidates have
  // changed; the search then starts over.
  SearchStep Start(const PlacementQuery& query,
                   const CandidateSource& candidates, RandomSource* random);
  // Returns the next step, after the engine of the previous step refused.
  SearchStep OnRefused(const CandidateSource& candidates);

 private:
  SearchStep NextStep(const CandidateSource& candidates);
  Duration MaxWait(size_t rank, const CandidateSource& candidates) const;
  Duration ExpectedTime(size_t engine, const CandidateSource& candidates) const;

  const SearchStage stage_;
  PlacementPolicy* const policy_;
  PlacementQuery query_;
  // Indices of the candidates at which the search may still wait.
  std::vector<size_t> ranked_;
  // Index into ranked_ of the next engine in the first pass.
  size_t next_rank_ = 0;
  int wait_count_ = 0;
};

}  // namespace mimosa

#endif  // DECIDE_ENGINE_SEARCH_H_
