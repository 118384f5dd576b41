// The search for one engine among the candidates of one role: which owner to
// ask next, and whether to wait there.
//
// Model: for decode memory the search asks the ranked engines whether there is
// room at once, and then waits at the one whose queue is shortest by the
// summaries that those answers brought. A prefill turn is short, and an engine
// that has the prefix and a short queue beats an idle one without: there the
// search offers each ranked engine to wait no longer than makes it better than
// the next one. The owner knows its queue and refuses at once if that is too
// short. A refused wait moves on to another engine, a few times.
//
// Pure: steps out, refusals in. The driver keeps the network, the measuring
// loop of bench/ its virtual time.
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
    kGiveUp,         // no engine has taken it
  };
  Kind kind = Kind::kGiveUp;
  size_t engine = 0;  // index into the candidates; not for kGiveUp
  bool may_wait = false;
  Duration max_wait = Duration::max();  // meaningful if may_wait
};

class EngineSearch {
 public:
  // `policy` outlives this.
  EngineSearch(SearchStage stage, PlacementPolicy* policy)
      : stage_(stage), policy_(policy) {}

  // The first step. May be called again when the candidates have changed: the
  // search then starts anew.
  SearchStep Start(const PlacementQuery& query,
                   const CandidateSource& candidates, RandomSource* random);
  // The next step, after the engine of the last one has refused.
  SearchStep OnRefused(const CandidateSource& candidates);

 private:
  SearchStep NextStep(const CandidateSource& candidates);
  Duration MaxWait(size_t rank, const CandidateSource& candidates) const;
  Duration ExpectedTime(size_t engine, const CandidateSource& candidates) const;

  const SearchStage stage_;
  PlacementPolicy* const policy_;
  PlacementQuery query_;
  std::vector<size_t> ranked_;  // engines at which the search may still wait
  size_t next_rank_ = 0;        // index into ranked_, in the first pass
  int wait_count_ = 0;
};

}  // namespace mimosa

#endif  // DECIDE_ENGINE_SEARCH_H_
