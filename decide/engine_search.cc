// Implements a search as a state machine, which computes one step at a time.
#include "decide/engine_search.h"

#include <algorithm>
#include <cstddef>

namespace mimosa {
namespace {

// Number of engines at which a request waits, one after the other.
constexpr int kMaxWaits = 3;
// Minimum wait offered at an engine. For a smaller gain, a round trip to the
// next engine doesn't pay off.
constexpr Duration kMinMaxWait = std::chrono::milliseconds(20);

}  // namespace

SearchStep EngineSearch::Start(const PlacementQuery& query,
                               const CandidateSource& candidates,
                               RandomSource* random) {
  ranked_ = policy_->Rank(query, candidates, random);
  next_rank_ = 0;
  query_ = query;
  wait_count_ = 0;
  if (ranked_.empty()) return {};
  if (!policy_->reserves()) {
    return {SearchStep::Kind::kUseUnreserved, ranked_.front(), false};
  }
  return NextStep(candidates);
}

SearchStep EngineSearch::OnRefused(const CandidateSource& candidates) {
  return NextStep(candidates);
}

SearchStep EngineSearch::NextStep(const CandidateSource& candidates) {
  if (next_rank_ < ranked_.size()) {
    const size_t rank = next_rank_++;
    const Duration max_wait = MaxWait(rank, candidates);
    return {SearchStep::Kind::kReserve, ranked_[rank], max_wait > Duration(0),
            max_wait};
  }
  if (wait_count_ >= kMaxWaits || ranked_.empty()) return {};
  ++wait_count_;
  const auto best = std::min_element(
      ranked_.begin(), ranked_.end(), [this, &candidates](size_t a, size_t b) {
        return ExpectedTime(a, candidates) < ExpectedTime(b, candidates);
      });
  const size_t engine = *best;
  ranked_.erase(best);
  next_rank_ = ranked_.size();
  return {SearchStep::Kind::kReserve, engine, true};
}

Duration EngineSearch::MaxWait(size_t rank,
                               const CandidateSource& candidates) const {
  if (stage_ == SearchStage::kDecode) return Duration(0);
  if (rank + 1 == ranked_.size()) return Duration::max();
  PlacementCandidate idle = candidates.At(ranked_[rank]);
  idle.queue_wait = Duration(0);
  const Duration gain = ExpectedTime(ranked_[rank + 1], candidates) -
                        policy_->ExpectedTime(query_, idle);
  return std::max(gain, kMinMaxWait);
}

Duration EngineSearch::ExpectedTime(size_t engine,
                                    const CandidateSource& candidates) const {
  return policy_->ExpectedTime(query_, candidates.At(engine));
}

}  // namespace mimosa
