// Standard base64 with padding.
#ifndef BASE_BASE64_H_
#define BASE_BASE64_H_

#include <string>

namespace mimosa {

std::string EncodeBase64(const std::string& bytes);
// False, and `*bytes` unspecified, if `text` is no padded base64.
bool DecodeBase64(const std::string& text, std::string* bytes);

}  // namespace mimosa

#endif  // BASE_BASE64_H_
