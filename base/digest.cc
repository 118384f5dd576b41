// SHA-256, constant-time comparison and secure random bytes with OpenSSL.
#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <cstdlib>
#include <vector>

namespace mimosa {
namespace {

std::string Hex(const unsigned char* data, size_t size) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * size);
  for (size_t i = 0; i < size; ++i) {
    hex += kDigits[data[i] >> 4];
    hex += kDigits[data[i] & 15];
  }
  return hex;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest);
  return Hex(digest, sizeof(digest));
}

bool SecretsEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomHex(int bytes) {
  std::vector<unsigned char> buffer(static_cast<size_t>(bytes));
  // Ids and keys made without secure random bytes couldn't be trusted.
  if (RAND_bytes(buffer.data(), bytes) != 1) std::abort();
  return Hex(buffer.data(), buffer.size());
}

uint64_t RandomSeed() { return std::stoull(RandomHex(8), nullptr, 16); }

}  // namespace mimosa
