// Index of the engines that recently computed a prompt prefix, as far as one
// daemon knows from its own placements.
//
// Model: a prompt is split into blocks of equal size, and a block is identified
// by the hash of the prompt up to the block's end. The index maps these hashes
// to the engine that computed the block last, and evicts the least recently
// used ones. An entry is a guess, since the engine may have evicted the prefix
// from its cache. A wrong guess costs one prefill that could have been shorter.
//
// The index uses no clock, no random numbers and no I/O.
#ifndef DECIDE_PREFIX_INDEX_H_
#define DECIDE_PREFIX_INDEX_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace mimosa {

class PrefixIndex {
 public:
  // `block_bytes` must be positive. The index keeps at most `max_blocks`
  // hashes.
  PrefixIndex(size_t block_bytes, size_t max_blocks)
      : block_bytes_(block_bytes), max_blocks_(max_blocks) {}

  // Returns the hashes of the prompt's whole blocks, shortest prefix first.
  std::vector<uint64_t> BlockHashes(std::string_view prompt) const;

  struct Match {
    BackEndId engine;  // empty if no block is known
    size_t bytes = 0;  // length of the known prefix
  };
  // Finds the longest known prefix and marks it as recently used.
  Match FindLongestPrefix(const std::vector<uint64_t>& blocks);
  // Records that `engine` is about to compute all of `blocks`.
  void AddBlocks(const std::vector<uint64_t>& blocks, const BackEndId& engine);

  size_t size() const { return entries_.size(); }

 private:
  using Entry = std::pair<uint64_t, BackEndId>;

  const size_t block_bytes_;
  const size_t max_blocks_;
  std::list<Entry> entries_;  // most recently used first
  std::unordered_map<uint64_t, std::list<Entry>::iterator> by_hash_;
};

// Returns the index of the candidate with the highest rendezvous weight for
// `key`. All daemons compute the same result without communication, so prompts
// with the same beginning go to the same engine. `candidates` must not be
// empty.
size_t RendezvousChoice(uint64_t key, const std::vector<BackEndId>& candidates);

}  // namespace mimosa

#endif  // DECIDE_PREFIX_INDEX_H_
