// Which engine has lately computed which prompt prefix, as far as one daemon
// knows from what it placed there itself.
//
// Model: a prompt is cut into blocks of equal size; a block is named by the
// hash of everything up to its end. The index maps such names to the engine
// that computed the block last, and forgets the least recently used. It is a
// guess: the engine's cache may have dropped the prefix since. A wrong guess
// costs one prefill that could have been shorter.
//
// Pure: no clock, no random numbers, no I/O.
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
  // `block_bytes` > 0; the index keeps at most `max_blocks` names.
  PrefixIndex(size_t block_bytes, size_t max_blocks)
      : block_bytes_(block_bytes), max_blocks_(max_blocks) {}

  // Hashes of the prompt's whole blocks, shortest prefix first.
  std::vector<uint64_t> BlockHashes(std::string_view prompt) const;

  struct Match {
    BackEndId engine;  // empty: no block is known
    size_t bytes = 0;  // of the prompt, from its start
  };
  // The longest known prefix.
  Match FindLongestPrefix(const std::vector<uint64_t>& blocks);
  // `engine` is about to compute all of `blocks`.
  void AddBlocks(const std::vector<uint64_t>& blocks, const BackEndId& engine);

  size_t size() const { return entries_.size(); }

 private:
  using Entry = std::pair<uint64_t, BackEndId>;

  const size_t block_bytes_;
  const size_t max_blocks_;
  std::list<Entry> entries_;  // most recently used first
  std::unordered_map<uint64_t, std::list<Entry>::iterator> by_hash_;
};

// The candidate (an index into `candidates`) with the highest rendezvous weight
// for `key`: all daemons agree on it without a word, so prompts with the same
// beginning meet at one engine. `candidates` must not be empty.
size_t RendezvousChoice(uint64_t key, const std::vector<BackEndId>& candidates);

}  // namespace mimosa

#endif  // DECIDE_PREFIX_INDEX_H_
