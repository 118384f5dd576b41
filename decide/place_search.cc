#include "decide/place_search.h"

#include <algorithm>
#include <cstddef>

namespace mimosa {
namespace {

// Engines at which a request waits, one after the other.
constexpr int kMaxWaits = 3;

}  // namespace

SearchStep PlaceSearch::Start(const PlacementQuery& query,
                              const CandidateSource& candidates,
                              RandomSource* random) {
  ranked_ = policy_->Rank(query, candidates, random);
  next_probe_ = 0;
  waits_ = 0;
  if (ranked_.empty()) return {};
  if (!policy_->reserves()) {
    return {SearchStep::Kind::kUse, ranked_.front(), false};
  }
  return Next(candidates);
}

SearchStep PlaceSearch::OnRefused(const CandidateSource& candidates) {
  return Next(candidates);
}

SearchStep PlaceSearch::Next(const CandidateSource& candidates) {
  const bool probes = stage_ == SearchStage::kDecode;
  if (probes && next_probe_ < ranked_.size()) {
    return {SearchStep::Kind::kAsk, ranked_[next_probe_++], false};
  }
  if (waits_ >= kMaxWaits || ranked_.empty()) return {};
  ++waits_;
  auto best = ranked_.begin();
  if (probes) {
    best = std::min_element(
        ranked_.begin(), ranked_.end(), [&candidates](size_t a, size_t b) {
          return candidates.At(a).queue_wait < candidates.At(b).queue_wait;
        });
  }
  const size_t engine = *best;
  ranked_.erase(best);
  return {SearchStep::Kind::kAsk, engine, true};
}

}  // namespace mimosa
