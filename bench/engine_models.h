// Minimal engine models for the simulation in rounds.h. They model only what
// makes memory, prefill work, prefix caches and links scarce.
#ifndef BENCH_ENGINE_MODELS_H_
#define BENCH_ENGINE_MODELS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>

#include "bench/virtual_loop.h"
#include "bench/workload.h"

namespace mimosa::bench {

// A prefill engine. Computes one prompt at a time, in order of arrival, and
// keeps the most recently used shared prefixes in an LRU cache. A prompt with a
// cached prefix costs only its unique tokens.
class PrefillModel {
 public:
  struct Job {
    int64_t request;
    int shared_prefix;  // index of the shared prefix
    int64_t prompt_tokens;
    // `computed` is the number of tokens computed, without cached ones.
    std::function<void(int64_t computed)> on_done;
  };

  PrefillModel(VirtualLoop* loop, const Workload* workload)
      : loop_(loop), workload_(workload) {}

  void Submit(Job job);
  // Removes a waiting job or stops the running one. Returns the number of
  // tokens computed in vain.
  int64_t Cancel(int64_t request);
  size_t waiting() const { return waiting_.size(); }
  bool busy() const { return running_.has_value(); }

  // Time at which the outgoing link becomes free.
  MonoTime link_free_at{};

 private:
  void RunNext();
  // Marks the job's prefix as most recently used and returns the number of
  // tokens to compute.
  int64_t UpdateCache(const Job& job);

  VirtualLoop* const loop_;
  const Workload* const workload_;
  std::deque<Job> waiting_;
  std::optional<Job> running_;
  int64_t running_uncached_ = 0;
  MonoTime running_since_{};
  std::list<int> cached_prefixes_;  // most recently used first
  uint64_t generation_ = 0;
};

// A decode engine. All streams share one batch: each stream gets one token per
// step, and the step time grows with the number of streams.
class DecodeModel {
 public:
  struct Stream {
    Pieces pieces;
    double tokens_left;
    std::function<void()> on_done;
  };

  DecodeModel(VirtualLoop* loop, const Workload* workload)
      : loop_(loop), workload_(workload) {}

  // Returns false if the engine is down or has too little free memory.
  bool Start(int64_t request, Pieces pieces, int64_t tokens,
             std::function<void()> done);
  bool Cancel(int64_t request);
  // Takes the engine down and calls `lost` for each stream that it was running.
  void Fail(const std::function<void(int64_t)>& lost);
  void Recover() { down_ = false; }

  // Called after the engine has freed memory.
  std::function<void()> on_memory_freed;
  Duration StepTime() const;
  size_t running() const { return streams_.size(); }
  bool down() const { return down_; }
  Pieces used_memory() const { return used_memory_; }

  // Time at which the incoming link becomes free.
  MonoTime link_free_at{};

 private:
  void AdvanceStreams();
  void ScheduleNext();
  void FinishStreams(uint64_t generation);

  VirtualLoop* const loop_;
  const Workload* const workload_;
  std::map<int64_t, Stream> streams_;
  Pieces used_memory_;  // sum over streams_
  MonoTime last_advance_at_{};
  uint64_t generation_ = 0;  // invalidates completions scheduled earlier
  bool down_ = false;
};

}  // namespace mimosa::bench

#endif  // BENCH_ENGINE_MODELS_H_
