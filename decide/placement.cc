// The four placement policies.
#include "decide/placement.h"

#include <algorithm>
#include <utility>

namespace mimosa {
namespace {

// Common base of the policies that don't reserve.
class NaivePlacement : public PlacementPolicy {
 public:
  Duration ExpectedTime(
      const PlacementQuery& /*query*/,
      const PlacementCandidate& /*candidate*/) const override {
    return Duration(0);
  }
  bool reserves() const override { return false; }
};

class RandomPlacement : public NaivePlacement {
 public:
  std::vector<size_t> Rank(const PlacementQuery& /*query*/,
                           const CandidateSource& candidates,
                           RandomSource* random) override {
    if (candidates.size() == 0) return {};
    return {random->UniformInt(candidates.size())};
  }
};

class RoundRobinPlacement : public NaivePlacement {
 public:
  std::vector<size_t> Rank(const PlacementQuery& /*query*/,
                           const CandidateSource& candidates,
                           RandomSource* /*random*/) override {
    if (candidates.size() == 0) return {};
    return {next_++ % candidates.size()};
  }

 private:
  size_t next_ = 0;
};

class LeastLoadedPlacement : public NaivePlacement {
 public:
  // Reads all candidates. Ties go to a random engine; otherwise all daemons
  // would choose the same one until the next report.
  std::vector<size_t> Rank(const PlacementQuery& /*query*/,
                           const CandidateSource& candidates,
                           RandomSource* random) override {
    std::vector<size_t> best;
    int64_t best_load = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const PlacementCandidate candidate = candidates.At(i);
      const int64_t load = candidate.running + candidate.waiting;
      if (best.empty() || load < best_load) {
        best.clear();
        best_load = load;
      }
      if (load == best_load) best.push_back(i);
    }
    if (best.empty()) return {};
    return {best[random->UniformInt(best.size())]};
  }
};

class ReservePlacement : public PlacementPolicy {
 public:
  std::vector<size_t> Rank(const PlacementQuery& query,
                           const CandidateSource& candidates,
                           RandomSource* random) override {
    std::vector<Scored> scored;
    for (const size_t index :
         ChooseCandidates(query, candidates.size(), random)) {
      scored.push_back({Score(query, candidates.At(index)), index});
    }
    std::stable_sort(
        scored.begin(), scored.end(),
        [](const Scored& a, const Scored& b) { return a.score < b.score; });
    std::vector<size_t> ranked;
    ranked.reserve(scored.size());
    for (const Scored& s : scored) ranked.push_back(s.index);
    return ranked;
  }
  // Assumes that the queue has shortened by the age of the summary since then.
  Duration ExpectedTime(const PlacementQuery& query,
                        const PlacementCandidate& candidate) const override {
    const Duration queue =
        std::max(candidate.queue_wait - candidate.summary_age, Duration(0));
    const Tokens uncached = query.prompt_tokens - candidate.cached_prefix;
    const Duration prefill =
        query.prefill_per_token * std::max<int64_t>(uncached.count(), 0);
    return queue + prefill + candidate.link_wait;
  }
  bool reserves() const override { return true; }

 private:
  struct Rating {
    Duration time;      // until the request could proceed
    double used_share;  // breaks ties in favor of the emptier engine
    friend bool operator<(const Rating& a, const Rating& b) {
      if (a.time != b.time) return a.time < b.time;
      return a.used_share < b.used_share;
    }
  };
  struct Scored {
    Rating score;
    size_t index;
  };

  static std::vector<size_t> ChooseCandidates(const PlacementQuery& query,
                                              size_t size,
                                              RandomSource* random) {
    std::vector<size_t> chosen;
    const auto add = [&chosen](size_t index) {
      if (std::find(chosen.begin(), chosen.end(), index) == chosen.end()) {
        chosen.push_back(index);
      }
    };
    for (const size_t index : query.preferred) add(index);
    const size_t wanted = std::min(size, chosen.size() + kRandomChoices);
    while (chosen.size() < wanted) add(random->UniformInt(size));
    return chosen;
  }

  Rating Score(const PlacementQuery& query,
               const PlacementCandidate& candidate) const {
    double used_share = 0;
    if (candidate.capacity > Units(0)) {
      used_share = 1 - static_cast<double>(candidate.free.count()) /
                           static_cast<double>(candidate.capacity.count());
    }
    return {ExpectedTime(query, candidate), used_share};
  }
};

}  // namespace

std::optional<PlacementKind> ParsePlacementKind(std::string_view name) {
  if (name == "random") return PlacementKind::kRandom;
  if (name == "round-robin") return PlacementKind::kRoundRobin;
  if (name == "least-loaded") return PlacementKind::kLeastLoaded;
  if (name == "reserve") return PlacementKind::kReserve;
  return std::nullopt;
}

std::unique_ptr<PlacementPolicy> MakePlacementPolicy(PlacementKind kind) {
  switch (kind) {
    case PlacementKind::kRandom:
      return std::make_unique<RandomPlacement>();
    case PlacementKind::kRoundRobin:
      return std::make_unique<RoundRobinPlacement>();
    case PlacementKind::kLeastLoaded:
      return std::make_unique<LeastLoadedPlacement>();
    case PlacementKind::kReserve:
      return std::make_unique<ReservePlacement>();
  }
  return nullptr;
}

}  // namespace mimosa
