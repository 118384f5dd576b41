// Simulates an engine's prefix cache of limited size, and the cache events that
// it publishes with a delay and with losses.
#ifndef STANDINS_PREFIX_CACHE_H_
#define STANDINS_PREFIX_CACHE_H_

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/random.h"

namespace mimosa::standins {

// Prompt bytes per cached block.
inline constexpr size_t kCacheBlockBytes = 1024;

class PrefixCache {
 public:
  // Events become visible after `event_lag`. On average one in
  // `event_loss_one_in` is lost; 0 means none.
  PrefixCache(size_t max_blocks, Duration event_lag, uint64_t event_loss_one_in,
              RandomSource* random);

  // Returns how many leading blocks of `prompt` are cached, and marks them as
  // recently used.
  int64_t MatchLeadingBlocks(std::string_view prompt);
  // Adds the complete blocks of `prompt` and evicts the least recently used
  // blocks beyond the limit.
  void Insert(std::string_view prompt, MonoTime now);
  // Returns the events after `seq` that are visible at `now`, as a JSON array.
  Json::Value EventsAfter(int64_t seq, MonoTime now) const;

 private:
  struct Event {
    int64_t seq = 0;
    MonoTime visible_at{};
    bool added = false;
    std::string digest;
  };

  // Returns a digest for each complete block of `prompt`. It covers the whole
  // prefix up to the end of that block.
  static std::vector<std::string> BlockDigests(std::string_view prompt);
  void RecordEvent(bool added, const std::string& digest, MonoTime now);

  const size_t max_blocks_;
  const Duration event_lag_;
  const uint64_t event_loss_one_in_;
  RandomSource* const random_;
  // Digests of the cached blocks, most recently used first. Insert() leaves at
  // most max_blocks_ entries.
  std::list<std::string> recency_;
  std::unordered_map<std::string, std::list<std::string>::iterator> blocks_;
  int64_t last_seq_ = 0;
  std::deque<Event> events_;  // sorted by seq
};

}  // namespace mimosa::standins

#endif  // STANDINS_PREFIX_CACHE_H_
