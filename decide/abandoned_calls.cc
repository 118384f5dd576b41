// Expiry of abandoned calls and the ends of their engines.
#include "decide/abandoned_calls.h"

#include <utility>

namespace mimosa {

void AbandonedCalls::Add(AbandonedCall call, MonoTime now) {
  calls_.push_back({std::move(call), now});
  if (calls_.size() > options_.max_calls) calls_.pop_front();
}

std::vector<AbandonedCall> AbandonedCalls::TakeEnded(const BackEndList& list,
                                                     MonoTime now) {
  std::vector<AbandonedCall> ended;
  std::deque<Entry> kept;
  for (Entry& entry : calls_) {
    if (now - entry.at >= options_.lifetime) continue;
    const BackEndEntry& engine = entry.call.engine;
    const auto listed = list.entries().find(engine.id);
    const bool is_listed =
        listed != list.entries().end() &&
        listed->second.entry.incarnation == engine.incarnation;
    if (!is_listed) {
      ended.push_back(std::move(entry.call));
    } else if (!listed->second.entry.draining) {
      kept.push_back(std::move(entry));
    }
  }
  calls_ = std::move(kept);
  return ended;
}

}  // namespace mimosa
