// SHA-256 digests, constant-time comparison of secrets, and secure random
// bytes.
#ifndef BASE_DIGEST_H_
#define BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosa {

// Returns the SHA-256 digest of `data` as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view data);

// Returns whether `a` and `b` are equal, in time that depends only on their
// lengths.
bool SecretsEqual(std::string_view a, std::string_view b);

// Returns `bytes` random bytes from OpenSSL's secure random source in
// lower-case hex. Aborts the process if the source fails.
std::string RandomHex(int bytes);
// Returns a seed for SeededRandom from OpenSSL's secure random source.
uint64_t RandomSeed();

}  // namespace mimosa

#endif  // BASE_DIGEST_H_
