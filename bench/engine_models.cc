// Batches, prefix caches and links of the measured engines, in virtual time.
#include "bench/engine_models.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mimosa::bench {
namespace {

// Tokens below which a stream counts as finished: far less than one step.
constexpr double kNoTokens = 1e-6;

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
  running_uncached_ = Uncached(*running_);
  const Duration time = workload_->prefill_base +
                        workload_->prefill_per_token * running_uncached_;
  loop_->After(time, [this, generation = ++generation_] {
    if (generation != generation_) return;
    const Job job = std::move(*running_);
    const int64_t computed = running_uncached_;
    running_.reset();
    RunNext();
    job.done(computed);
  });
}

int64_t PrefillModel::Uncached(const Job& job) {
  const auto it = std::find(cached_.begin(), cached_.end(), job.text);
  const bool hit = it != cached_.end();
  if (hit) cached_.erase(it);
  cached_.push_front(job.text);
  if (cached_.size() > static_cast<size_t>(workload_->cached_texts)) {
    cached_.pop_back();
  }
  return hit ? job.prompt_tokens - workload_->shared_tokens : job.prompt_tokens;
}

bool DecodeModel::Start(int64_t request, Pieces pieces, int64_t tokens,
                        std::function<void()> done) {
  if (down_ || used_ + pieces > workload_->decode_memory) return false;
  Progress();
  used_ += pieces;
  streams_[request] = {pieces, static_cast<double>(tokens), std::move(done)};
  ScheduleNext();
  return true;
}

bool DecodeModel::Cancel(int64_t request) {
  auto it = streams_.find(request);
  if (it == streams_.end()) return false;
  Progress();
  used_ -= it->second.pieces;
  streams_.erase(it);
  ScheduleNext();
  if (on_room) on_room();
  return true;
}

void DecodeModel::Die(const std::function<void(int64_t)>& lost) {
  down_ = true;
  ++generation_;
  used_ = Pieces(0);
  const auto streams = std::move(streams_);
  streams_.clear();
  for (const auto& [request, stream] : streams) lost(request);
}

Duration DecodeModel::StepTime() const {
  return workload_->step_base +
         workload_->step_per_stream * static_cast<int64_t>(streams_.size());
}

void DecodeModel::Progress() {
  const double steps =
      ToSeconds(loop_->now() - progressed_) / ToSeconds(StepTime());
  for (auto& [request, stream] : streams_) stream.left -= steps;
  progressed_ = loop_->now();
}

void DecodeModel::ScheduleNext() {
  ++generation_;
  if (streams_.empty()) return;
  double least = streams_.begin()->second.left;
  for (const auto& [request, stream] : streams_) {
    least = std::min(least, stream.left);
  }
  const double seconds = std::max(least, 0.0) * ToSeconds(StepTime());
  // A microsecond more than computed: rounding must not stop short of the end.
  const Duration time = FromSeconds(seconds) + Duration(1);
  loop_->After(time, [this, generation = generation_] { Finish(generation); });
}

void DecodeModel::Finish(uint64_t generation) {
  if (generation != generation_) return;
  Progress();
  std::vector<std::function<void()>> finished;
  for (auto it = streams_.begin(); it != streams_.end();) {
    if (it->second.left > kNoTokens) {
      ++it;
      continue;
    }
    used_ -= it->second.pieces;
    finished.push_back(std::move(it->second.done));
    it = streams_.erase(it);
  }
  ScheduleNext();
  for (const auto& done : finished) done();
  if (on_room) on_room();
}

}  // namespace mimosa::bench
