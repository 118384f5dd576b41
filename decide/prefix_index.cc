// Hashes of prompt prefixes, and the LRU map from hash to engine.
#include "decide/prefix_index.h"

#include <string>

#include "decide/rendezvous.h"

namespace mimosa {
namespace {

constexpr uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr uint64_t kFnvPrime = 0x100000001b3;
constexpr uint64_t kMixMultiplier = 0x9e3779b97f4a7c15;

uint64_t ExtendHash(uint64_t hash, std::string_view data) {
  for (const char c : data) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

// FNV alone gives short inputs similar high bits.
uint64_t Mix(uint64_t hash) {
  hash = (hash ^ (hash >> 32)) * kMixMultiplier;
  hash = (hash ^ (hash >> 29)) * kMixMultiplier;
  return hash ^ (hash >> 32);
}

}  // namespace

std::vector<uint64_t> PrefixIndex::BlockHashes(std::string_view prompt) const {
  std::vector<uint64_t> blocks;
  blocks.reserve(prompt.size() / block_bytes_);
  uint64_t hash = kFnvOffset;
  for (size_t offset = 0; offset + block_bytes_ <= prompt.size();
       offset += block_bytes_) {
    hash = ExtendHash(hash, prompt.substr(offset, block_bytes_));
    blocks.push_back(Mix(hash));
  }
  return blocks;
}

PrefixIndex::Match PrefixIndex::FindLongestPrefix(
    const std::vector<uint64_t>& blocks) {
  for (size_t known = blocks.size(); known > 0; --known) {
    auto it = by_hash_.find(blocks[known - 1]);
    if (it == by_hash_.end()) continue;
    entries_.splice(entries_.begin(), entries_, it->second);
    return {it->second->second, known * block_bytes_};
  }
  return {};
}

void PrefixIndex::AddBlocks(const std::vector<uint64_t>& blocks,
                            const BackEndId& engine) {
  for (const uint64_t hash : blocks) {
    auto [it, inserted] = by_hash_.try_emplace(hash);
    if (inserted) {
      entries_.emplace_front(hash, engine);
      it->second = entries_.begin();
    } else {
      it->second->second = engine;
      entries_.splice(entries_.begin(), entries_, it->second);
    }
  }
  while (entries_.size() > max_blocks_) {
    by_hash_.erase(entries_.back().first);
    entries_.pop_back();
  }
}

size_t RendezvousChoice(uint64_t key,
                        const std::vector<BackEndId>& candidates) {
  const std::string key_text = std::to_string(key);
  size_t best = 0;
  uint64_t best_weight = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const uint64_t weight = RendezvousWeight(key_text, candidates[i].value());
    if (i == 0 || weight > best_weight) {
      best = i;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace mimosa
