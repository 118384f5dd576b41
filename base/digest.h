// SHA-256 digests and comparisons that take the same time for all inputs.
#ifndef BASE_DIGEST_H_
#define BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosa {

// Lower-case hex SHA-256 of `data`: 64 characters.
std::string Sha256Hex(std::string_view data);

// Whether a and b are equal, in time that depends on their lengths only.
bool SecretsEqual(std::string_view a, std::string_view b);

// `bytes` random bytes from the system's secure source, in lower-case hex.
std::string RandomHex(int bytes);
// A seed for a SeededRandom, from the same source.
uint64_t RandomSeed();

}  // namespace mimosa

#endif  // BASE_DIGEST_H_
