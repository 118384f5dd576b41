// Counting, expiry and bounds of the evidence.
#include "decide/crash_evidence.h"

#include <algorithm>
#include <iterator>

namespace mimosa {
namespace {

// Returns the time of the last of some crashes, of which there is at least one.
template <typename Crashes>
MonoTime LastCrash(const Crashes& crashes) {
  MonoTime last{};
  for (const auto& [engine, when] : crashes) last = std::max(last, when);
  return last;
}

}  // namespace

void CrashEvidence::RecordSurvived(const CrashSuspectId& suspect, MonoTime when,
                                   MonoTime now) {
  DropExpired(now);
  if (now - when >= options_.cleared_lifetime) return;
  const auto [it, is_new] = cleared_.emplace(suspect, when);
  if (!is_new) {
    if (it->second >= when) return;
    cleared_by_age_.erase({it->second, suspect});
    it->second = when;
  }
  cleared_by_age_.emplace(when, suspect);
  if (cleared_.size() > options_.max_cleared_suspects) {
    cleared_.erase(cleared_by_age_.begin()->second);
    cleared_by_age_.erase(cleared_by_age_.begin());
  }
  // All crashes so far were at most `cleared_lifetime` later.
  crashes_.erase(suspect);
}

void CrashEvidence::RecordCrash(const CrashSuspectId& suspect,
                                const BackEndId& engine, int64_t incarnation,
                                MonoTime now) {
  DropExpired(now);
  if (cleared_.count(suspect) > 0) return;
  if (crashes_.count(suspect) == 0 &&
      crashes_.size() >= options_.max_crash_suspects) {
    crashes_.erase(std::min_element(
        crashes_.begin(), crashes_.end(), [](const auto& a, const auto& b) {
          return LastCrash(a.second) < LastCrash(b.second);
        }));
  }
  auto& crashes = crashes_[suspect];
  for (auto it = crashes.begin(); it != crashes.end();)
    it = now - it->second >= options_.crash_lifetime ? crashes.erase(it)
                                                     : std::next(it);
  // Further crashes would add nothing to the verdict.
  if (crashes.size() < options_.crashes_until_conclusive)
    crashes.emplace(Incarnation(engine, incarnation), now);
}

std::optional<Duration> CrashEvidence::TimeSinceSurvived(
    const CrashSuspectId& suspect, MonoTime now) const {
  const auto it = cleared_.find(suspect);
  if (it == cleared_.end() || now - it->second >= options_.cleared_lifetime)
    return std::nullopt;
  return now - it->second;
}

bool CrashEvidence::IsConclusive(const CrashSuspectId& suspect,
                                 MonoTime now) const {
  return CrashedEngines(suspect, now).size() >=
         options_.crashes_until_conclusive;
}

std::vector<CrashEvidence::Incarnation> CrashEvidence::CrashedEngines(
    const CrashSuspectId& suspect, MonoTime now) const {
  std::vector<Incarnation> engines;
  const auto it = crashes_.find(suspect);
  if (it == crashes_.end()) return engines;
  for (const auto& [engine, when] : it->second)
    if (now - when < options_.crash_lifetime) engines.push_back(engine);
  return engines;
}

void CrashEvidence::DropExpired(MonoTime now) {
  while (!cleared_by_age_.empty() &&
         now - cleared_by_age_.begin()->first >= options_.cleared_lifetime) {
    cleared_.erase(cleared_by_age_.begin()->second);
    cleared_by_age_.erase(cleared_by_age_.begin());
  }
}

}  // namespace mimosa
