// The prefill role of the stand-in engine: prompts in, KV out.
//
// A prompt runs for a time that grows with its uncached tokens. Its result is
// kept until another engine fetches it, and is evicted when nobody does so
// within kv_ttl: then the work was wasted.
#ifndef STANDINS_PREFILL_ROLE_H_
#define STANDINS_PREFILL_ROLE_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/event_loop.h"
#include "standins/delays.h"
#include "standins/engine.h"
#include "standins/prefix_cache.h"

namespace mimosa::standins {

class PrefillRole : public EngineRole {
 public:
  // `options` and `behaviour` outlive this; the latter changes over time.
  PrefillRole(EventLoop* loop, const EngineOptions* options,
              EngineBehaviour* behaviour, PrefixCache* cache);

  bool Handle(const std::string& path, const ExchangePtr& exchange,
              const Json::Value& body) override;
  CancelResult Cancel(const RequestMatcher& matcher) override;
  EngineLoad Load() const override;
  void AddState(Json::Value* state) const override;

 private:
  struct Job {
    std::string request;
    Json::Value attempt;
    std::string prompt;
    int64_t prompt_tokens = 0;
    int64_t cached_tokens = 0;
    int64_t priority = 0;
    ExchangePtr exchange;
    TimerHandle timer;  // empty while waiting or stalled
  };
  struct Result {
    std::string request;
    Json::Value attempt;
    int64_t prompt_tokens = 0;
    bool claimed = false;
    TimerHandle eviction;
  };
  struct Transfer {
    std::string kv;
    ExchangePtr exchange;
    int64_t parts_left = 0;
    Duration per_part{};
    TimerHandle timer;
  };

  void Start(const ExchangePtr& exchange, const Json::Value& body);
  void RunWaiting();
  void Run(uint64_t serial, std::unique_ptr<Job> job);
  void Complete(uint64_t serial);
  void Drop(uint64_t serial);
  // Keeps the result of `job` and returns its id.
  std::string Keep(const Job& job);
  void Evict(const std::string& kv);

  void Export(const ExchangePtr& exchange, const std::string& kv);
  void SendPart(uint64_t serial);
  void EndTransfer(uint64_t serial, bool whole);

  EventLoop* const loop_;
  const EngineOptions* const options_;
  EngineBehaviour* const behaviour_;
  PrefixCache* const cache_;
  Delays delays_;
  uint64_t next_serial_ = 1;
  std::map<uint64_t, std::unique_ptr<Job>> running_;
  // By priority (higher first), then by arrival.
  std::map<std::pair<int64_t, uint64_t>, std::unique_ptr<Job>> waiting_;
  std::map<std::string, Result> results_;  // by kv id
  std::map<uint64_t, Transfer> transfers_;
  MonoTime link_free_{};  // when the link has sent all that it took on
  std::set<std::string> done_requests_;  // to tell a recomputation
  int64_t done_ = 0;
  int64_t done_tokens_ = 0;
  int64_t evicted_ = 0;        // results that nobody fetched
  int64_t recomputed_ = 0;     // prompts computed again for the same request
  int64_t cancelled_ = 0;      // prompts stopped before their end
  int64_t wasted_tokens_ = 0;  // of evicted and recomputed results
};

}  // namespace mimosa::standins

#endif  // STANDINS_PREFILL_ROLE_H_
