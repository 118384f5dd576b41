// Implements an LRU cache of prompt prefixes.
#include "standins/prefix_cache.h"

#include "base/digest.h"

namespace mimosa::standins {
namespace {

constexpr size_t kDigestChars = 16;
constexpr size_t kMaxEvents = 10000;

}  // namespace

PrefixCache::PrefixCache(size_t max_blocks, Duration event_lag,
                         uint64_t event_loss_one_in, RandomSource* random)
    : max_blocks_(max_blocks),
      event_lag_(event_lag),
      event_loss_one_in_(event_loss_one_in),
      random_(random) {}

int64_t PrefixCache::MatchLeadingBlocks(std::string_view prompt) {
  int64_t matched = 0;
  for (const std::string& digest : BlockDigests(prompt)) {
    const auto it = blocks_.find(digest);
    if (it == blocks_.end()) break;
    recency_.splice(recency_.begin(), recency_, it->second);
    ++matched;
  }
  return matched;
}

void PrefixCache::Insert(std::string_view prompt, MonoTime now) {
  for (const std::string& digest : BlockDigests(prompt)) {
    if (blocks_.count(digest) > 0) continue;
    recency_.push_front(digest);
    blocks_[digest] = recency_.begin();
    RecordEvent(/*added=*/true, digest, now);
  }
  while (recency_.size() > max_blocks_) {
    RecordEvent(/*added=*/false, recency_.back(), now);
    blocks_.erase(recency_.back());
    recency_.pop_back();
  }
}

Json::Value PrefixCache::EventsAfter(int64_t seq, MonoTime now) const {
  Json::Value out(Json::arrayValue);
  for (const Event& event : events_) {
    if (event.seq <= seq || event.visible_at > now) continue;
    Json::Value value;
    value["seq"] = Json::Int64(event.seq);
    value["op"] = event.added ? "add" : "remove";
    value["digest"] = event.digest;
    out.append(std::move(value));
  }
  return out;
}

std::vector<std::string> PrefixCache::BlockDigests(std::string_view prompt) {
  std::vector<std::string> out;
  for (size_t end = kCacheBlockBytes; end <= prompt.size();
       end += kCacheBlockBytes)
    out.push_back(Sha256Hex(prompt.substr(0, end)).substr(0, kDigestChars));
  return out;
}

void PrefixCache::RecordEvent(bool added, const std::string& digest,
                              MonoTime now) {
  ++last_seq_;
  if (event_loss_one_in_ > 0 && random_->UniformInt(event_loss_one_in_) == 0)
    return;
  events_.push_back(Event{last_seq_, now + event_lag_, added, digest});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

}  // namespace mimosa::standins
