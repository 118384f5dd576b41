// Runs that go on or may have been executed, by back end.
#include "decide/run_rights.h"

#include <algorithm>

namespace mimosa {
namespace {

// Runs of a resumable stream at one back end.
constexpr int kMaxRunsAtBackEnd = 2;

}  // namespace

RunRight& RunRight::operator=(RunRight&& other) noexcept {
  if (this != &other) {
    Release();
    rights_ = std::move(other.rights_);
    back_end_ = std::move(other.back_end_);
  }
  return *this;
}

void RunRight::Release() {
  if (const auto rights = std::exchange(rights_, nullptr))
    rights->Release(back_end_, /*may_have_run=*/true);
}

void RunRight::ReleaseUnexecuted() {
  if (const auto rights = std::exchange(rights_, nullptr))
    rights->Release(back_end_, /*may_have_run=*/false);
}

RunRights::RunRights(RetryPolicy policy, int max_attempts)
    : policy_(policy), max_attempts_(std::max(max_attempts, 1)) {}

std::shared_ptr<RunRights> RunRights::Create(RetryPolicy policy,
                                             int max_attempts) {
  return std::shared_ptr<RunRights>(new RunRights(policy, max_attempts));
}

std::optional<RunRight> RunRights::Acquire(const BackEndId& back_end) {
  if (!MayRunAt(back_end)) return std::nullopt;
  ++active_;
  ++runs_[back_end];
  return RunRight(shared_from_this(), back_end);
}

bool RunRights::MayRunAt(const BackEndId& back_end) const {
  const auto it = runs_.find(back_end);
  switch (policy_) {
    case RetryPolicy::kIdempotent:
      return it != runs_.end() || MayRunElsewhere();
    case RetryPolicy::kAtMostOnce:
    case RetryPolicy::kStream:
      return runs_.empty();
    case RetryPolicy::kResumableStream:
      return active_ == 0 &&
             (it == runs_.end() ? MayRunElsewhere()
                                : BackEndsToReturnTo().count(back_end) > 0);
  }
  return false;
}

bool RunRights::HasEndedRun() const {
  int count = 0;
  for (const auto& [back_end, runs] : runs_) count += runs;
  return count > active_;
}

bool RunRights::MayRunElsewhere(int planned) const {
  const int back_ends = static_cast<int>(runs_.size()) + planned;
  const bool may_repeat = policy_ == RetryPolicy::kIdempotent ||
                          policy_ == RetryPolicy::kResumableStream;
  return back_ends < (may_repeat ? max_attempts_ : 1);
}

std::set<BackEndId> RunRights::BackEndsToReturnTo() const {
  std::set<BackEndId> back_ends;
  if (policy_ != RetryPolicy::kResumableStream || max_attempts_ == 1)
    return back_ends;
  for (const auto& [back_end, runs] : runs_)
    if (runs < kMaxRunsAtBackEnd) back_ends.insert(back_end);
  return back_ends;
}

void RunRights::Release(const BackEndId& back_end, bool may_have_run) {
  --active_;
  if (may_have_run) return;
  const auto it = runs_.find(back_end);
  if (--it->second == 0) runs_.erase(it);
}

}  // namespace mimosa
