// The hash function of rendezvous hashing.
#include "decide/rendezvous.h"

namespace mimosa {

uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  uint64_t hash = 14695981039346656037ULL;  // FNV-1a.
  const auto mix = [&hash](std::string_view text) {
    for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
    hash = (hash ^ 0xff) * 1099511628211ULL;  // Terminates the text.
  };
  mix(key);
  mix(node);
  // The last bytes have hardly affected the high bits, so mix the bits again.
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

}  // namespace mimosa
