// An engine's cache of prompt prefixes in limited memory, with the late and
// gappy events that it publishes about it.
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

// Bytes of prompt in one cached block.
inline constexpr size_t kCacheBlockBytes = 1024;

class PrefixCache {
 public:
  // Events become visible after `event_lag`; one in `gap_every` never does.
  PrefixCache(size_t max_blocks, Duration event_lag, uint64_t gap_every,
              RandomSource* random);

  // Leading whole blocks of `prompt` that are cached; marks them as used.
  int64_t MatchLeadingBlocks(std::string_view prompt);
  void Insert(std::string_view prompt, MonoTime now);
  // Events after `seq` that are visible at `now`.
  Json::Value EventsAfter(int64_t seq, MonoTime now) const;

 private:
  struct Event {
    int64_t seq = 0;
    MonoTime visible_at{};
    bool added = false;
    std::string digest;
  };

  static std::vector<std::string> BlockDigests(std::string_view prompt);
  void RecordEvent(bool added, const std::string& digest, MonoTime now);

  const size_t max_blocks_;
  const Duration event_lag_;
  const uint64_t event_loss_one_in_;
  RandomSource* const random_;
  // Most recently used first; at most max_blocks_ entries after Insert.
  std::list<std::string> recency_;
  std::unordered_map<std::string, std::list<std::string>::iterator> blocks_;
  int64_t last_seq_ = 0;
  std::deque<Event> events_;  // by seq
};

}  // namespace mimosa::standins

#endif  // STANDINS_PREFIX_CACHE_H_
