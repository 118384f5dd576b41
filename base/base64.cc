// Base64 with OpenSSL's EVP functions.
#include "base/base64.h"

#include <openssl/evp.h>

namespace mimosa {

std::string EncodeBase64(const std::string& bytes) {
  constexpr size_t kGroupBytes = 3;
  constexpr size_t kGroupChars = 4;
  std::string text(
      (bytes.size() + kGroupBytes - 1) / kGroupBytes * kGroupChars + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

bool DecodeBase64(const std::string& text, std::string* bytes) {
  bytes->assign(text.size(), '\0');
  if (text.empty()) return true;
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes->data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) return false;
  // EVP_DecodeBlock() counts the padding as decoded bytes.
  size_t padding = 0;
  while (padding < 2 && text[text.size() - 1 - padding] == '=') ++padding;
  bytes->resize(static_cast<size_t>(length) - padding);
  return true;
}

}  // namespace mimosa
