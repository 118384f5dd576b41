// Small models of engines for the measuring loop: enough to make memory,
// prefill work, prefix caches and links scarce, and no more.
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

// Computes one prompt at a time, in order of arrival. Keeps the shared texts
// used last; a prompt whose text is there pays for its own words only.
class PrefillModel {
 public:
  struct Job {
    int64_t request;
    int shared_prefix;  // which shared text
    int64_t prompt_tokens;
    std::function<void(int64_t computed)> on_done;  // computed: uncached tokens
  };

  PrefillModel(VirtualLoop* loop, const Workload* workload)
      : loop_(loop), workload_(workload) {}

  void Submit(Job job);
  // Drops a waiting job; one that runs is stopped. Returns the tokens that were
  // computed for nothing.
  int64_t Cancel(int64_t request);
  size_t waiting() const { return waiting_.size(); }
  bool busy() const { return running_.has_value(); }

  MonoTime link_free_at{};  // when its outgoing link is free again

 private:
  void RunNext();
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

// Streams share the batch: each gets a token per step, and a step takes longer
// the more streams there are.
class DecodeModel {
 public:
  struct Stream {
    Pieces pieces;
    double tokens_left;  // tokens
    std::function<void()> on_done;
  };

  DecodeModel(VirtualLoop* loop, const Workload* workload)
      : loop_(loop), workload_(workload) {}

  // False if the memory does not hold it, or the engine is down.
  bool Start(int64_t request, Pieces pieces, int64_t tokens,
             std::function<void()> done);
  bool Cancel(int64_t request);
  // Calls `lost` for each stream that dies with it.
  void Fail(const std::function<void(int64_t)>& lost);
  void Recover() { down_ = false; }

  // Called after memory became free.
  std::function<void()> on_memory_freed;
  Duration StepTime() const;
  size_t running() const { return streams_.size(); }
  bool down() const { return down_; }
  Pieces used_memory() const { return used_memory_; }

  MonoTime link_free_at{};  // when its incoming link is free again

 private:
  void AdvanceStreams();
  void ScheduleNext();
  void FinishStreams(uint64_t generation);

  VirtualLoop* const loop_;
  const Workload* const workload_;
  std::map<int64_t, Stream> streams_;
  Pieces used_memory_;  // sum over streams_
  MonoTime last_advance_at_{};
  uint64_t generation_ = 0;  // of the next completion that is scheduled
  bool down_ = false;
};

}  // namespace mimosa::bench

#endif  // BENCH_ENGINE_MODELS_H_
