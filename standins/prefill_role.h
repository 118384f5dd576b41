// Implements the prefill role of the stand-in engine, which processes prompts
// and exports the resulting KV data.
//
// The time to process a prompt is proportional to its uncached tokens. The
// result is kept until another engine fetches it. If none does so within
// kv_ttl, the result is evicted and its tokens count as wasted.
#ifndef STANDINS_PREFILL_ROLE_H_
#define STANDINS_PREFILL_ROLE_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/event_loop.h"
#include "standins/delayed_tasks.h"
#include "standins/engine.h"
#include "standins/prefix_cache.h"

namespace mimosa::standins {

class PrefillRole : public EngineRole {
 public:
  // All pointers must outlive this object. `*faults` may change at any time.
  PrefillRole(EventLoop* loop, const EngineOptions* options,
              EngineFaults* faults, PrefixCache* cache);

  bool HandleRequest(const std::string& path, const ExchangePtr& exchange,
                     const Json::Value& body) override;
  CancelResult CancelMatching(const RequestMatcher& matcher) override;
  EngineLoad CurrentLoad() const override;
  void AddDebugState(Json::Value* state) const override;

 private:
  struct Job {
    std::string request_id;
    Json::Value attempt;
    std::string prompt;
    int64_t prompt_tokens = 0;
    int64_t cached_tokens = 0;
    int64_t priority = 0;
    ExchangePtr exchange;
    TimerHandle timer;  // empty while waiting or stalled
  };
  struct Result {
    std::string request_id;
    Json::Value attempt;
    int64_t prompt_tokens = 0;
    bool claimed = false;
    TimerHandle eviction_timer;
  };
  struct Transfer {
    std::string kv_id;
    ExchangePtr exchange;
    int64_t parts_left = 0;
    Duration time_per_part{};
    TimerHandle timer;
  };

  void QueueJob(const ExchangePtr& exchange, const Json::Value& body);
  void StartWaitingJobs();
  void StartJob(uint64_t serial, std::unique_ptr<Job> job);
  void CompleteJob(uint64_t serial);
  void DropJob(uint64_t serial);
  // Stores the result of `job` and returns its KV id.
  std::string StoreResult(const Job& job);
  void EvictResult(const std::string& kv);

  void ExportKv(const ExchangePtr& exchange, const std::string& kv);
  void SendPart(uint64_t serial);
  void EndTransfer(uint64_t serial, bool complete);

  EventLoop* const loop_;
  const EngineOptions* const options_;
  EngineFaults* const faults_;
  PrefixCache* const cache_;
  DelayedTasks delayed_tasks_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, std::unique_ptr<Job>> running_;
  // Sorted by priority, highest first, then by arrival. The key holds the
  // negated priority and the serial number.
  std::map<std::pair<int64_t, uint64_t>, std::unique_ptr<Job>> waiting_;
  std::map<std::string, Result> results_;  // by KV id
  std::map<uint64_t, Transfer> transfers_;
  // When the link finishes the transfers queued so far.
  MonoTime link_idle_at_{};
  std::set<std::string> completed_requests_;  // to detect recomputations
  int64_t completed_prefills_ = 0;
  int64_t completed_tokens_ = 0;
  int64_t evicted_results_ = 0;  // results that no engine fetched
  // Prompts processed more than once for the same request.
  int64_t recomputed_prefills_ = 0;
  int64_t cancelled_prefills_ = 0;  // prompts stopped before they were finished
  // Prompt tokens of evicted and recomputed results.
  int64_t wasted_tokens_ = 0;
};

}  // namespace mimosa::standins

#endif  // STANDINS_PREFILL_ROLE_H_
