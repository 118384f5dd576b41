// Base64 encoding and decoding with the standard alphabet and padding.
#ifndef BASE_BASE64_H_
#define BASE_BASE64_H_

#include <string>

namespace mimosa {

// Returns `bytes` as padded base64.
std::string EncodeBase64(const std::string& bytes);
// Decodes `text` into `*bytes`. Returns false if `text` isn't padded base64;
// `*bytes` is then unspecified.
bool DecodeBase64(const std::string& text, std::string* bytes);

}  // namespace mimosa

#endif  // BASE_BASE64_H_
