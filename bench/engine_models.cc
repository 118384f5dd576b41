// Batches and prefix caches of the modelled engines, in virtual time.
#include "bench/engine_models.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mimosa::bench {
namespace {

// A stream with fewer remaining tokens counts as finished; far less than the
// one token of a step.
constexpr double kFinishedTokens = 1e-6;

}  // namespace

void PrefillModel::Submit(Job job) {
  waiting_.push_back(std::move(job));
  if (!running_) RunNext();
}

int64_t PrefillModel::Cancel(int64_t request) {
  if (running_ && running_->request == request) {
    const Duration spent = loop_->now() - running_since_;
    const int64_t computed = std::min<int64_t>(
        running_uncached_, spent / workload_->prefill_per_token);
    running_.reset();
    ++generation_;
    RunNext();
    return computed;
  }
  waiting_.erase(
      std::remove_if(waiting_.begin(), waiting_.end(),
                     [request](const Job& j) { return j.request == request; }),
      waiting_.end());
  return 0;
}

void PrefillModel::RunNext() {
  if (waiting_.empty()) return;
  running_ = std::move(waiting_.front());
  waiting_.pop_front();
  running_since_ = loop_->now();
  running_uncached_ = UpdateCache(*running_);
  const Duration time = workload_->prefill_base +
                        workload_->prefill_per_token * running_uncached_;
  loop_->After(time, [this, generation = ++generation_] {
    if (generation != generation_) return;
    const Job job = std::move(*running_);
    const int64_t computed = running_uncached_;
    running_.reset();
    RunNext();
    job.on_done(computed);
  });
}

int64_t PrefillModel::UpdateCache(const Job& job) {
  const auto it = std::find(cached_prefixes_.begin(), cached_prefixes_.end(),
                            job.shared_prefix);
  const bool hit = it != cached_prefixes_.end();
  if (hit) cached_prefixes_.erase(it);
  cached_prefixes_.push_front(job.shared_prefix);
  if (cached_prefixes_.size() >
      static_cast<size_t>(workload_->cached_prefixes)) {
    cached_prefixes_.pop_back();
  }
  return hit ? job.prompt_tokens - workload_->shared_prefix_tokens
             : job.prompt_tokens;
}

bool DecodeModel::Start(int64_t request, Pieces pieces, int64_t tokens,
                        std::function<void()> done) {
  if (down_ || used_memory_ + pieces > workload_->decode_memory) return false;
  AdvanceStreams();
  used_memory_ += pieces;
  streams_[request] = {pieces, static_cast<double>(tokens), std::move(done)};
  ScheduleNext();
  return true;
}

bool DecodeModel::Cancel(int64_t request) {
  auto it = streams_.find(request);
  if (it == streams_.end()) return false;
  AdvanceStreams();
  used_memory_ -= it->second.pieces;
  streams_.erase(it);
  ScheduleNext();
  if (on_memory_freed) on_memory_freed();
  return true;
}

void DecodeModel::Fail(const std::function<void(int64_t)>& lost) {
  down_ = true;
  ++generation_;
  used_memory_ = Pieces(0);
  const auto streams = std::move(streams_);
  streams_.clear();
  for (const auto& [request, stream] : streams) lost(request);
}

Duration DecodeModel::StepTime() const {
  return workload_->step_base +
         workload_->step_per_stream * static_cast<int64_t>(streams_.size());
}

void DecodeModel::AdvanceStreams() {
  const double steps =
      ToSeconds(loop_->now() - last_advance_at_) / ToSeconds(StepTime());
  for (auto& [request, stream] : streams_) stream.tokens_left -= steps;
  last_advance_at_ = loop_->now();
}

void DecodeModel::ScheduleNext() {
  ++generation_;
  if (streams_.empty()) return;
  double least = streams_.begin()->second.tokens_left;
  for (const auto& [request, stream] : streams_) {
    least = std::min(least, stream.tokens_left);
  }
  const double seconds = std::max(least, 0.0) * ToSeconds(StepTime());
  // One microsecond is added so that rounding doesn't schedule the completion
  // before the stream ends.
  const Duration time = FromSeconds(seconds) + Duration(1);
  loop_->After(time,
               [this, generation = generation_] { FinishStreams(generation); });
}

void DecodeModel::FinishStreams(uint64_t generation) {
  if (generation != generation_) return;
  AdvanceStreams();
  std::vector<std::function<void()>> finished;
  for (auto it = streams_.begin(); it != streams_.end();) {
    if (it->second.tokens_left > kFinishedTokens) {
      ++it;
      continue;
    }
    used_memory_ -= it->second.pieces;
    finished.push_back(std::move(it->second.on_done));
    it = streams_.erase(it);
  }
  ScheduleNext();
  for (const auto& done : finished) done();
  if (on_memory_freed) on_memory_freed();
}

}  // namespace mimosa::bench
