// Extracts the caller's key from a request and removes all keys from it, so
// that none reaches a backend server.
//
// Model: a request presents at most one key, as `Authorization: Bearer <key>`,
// as `X-Api-Key: <key>` or in a cookie that its route names. All header fields
// that can carry credentials are removed from what is forwarded. Keys made by
// mimosactl have a recognizable form (kKeyPrefix and hex digits). Any other
// header that contains text of that form, or the presented key itself, is
// removed as well. If the target or the body contains a key, the request is
// refused, because neither can be changed without changing what the caller
// asked for.
#ifndef DECIDE_CREDENTIALS_H_
#define DECIDE_CREDENTIALS_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosa {

inline constexpr std::string_view kKeyPrefix = "mk_";
inline constexpr size_t kKeyHexDigits = 48;

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

enum class CredentialError {
  kNone,
  kAmbiguous,    // Two different keys, or a repeated field that must be unique.
  kMalformed,    // A scheme other than Bearer, or an empty key.
  kKeyInTarget,  // A key in the path or the query.
  kKeyInBody,
};

struct Credentials {
  CredentialError error = CredentialError::kNone;
  std::string key;       // Empty if no key was presented.
  HeaderFields headers;  // Headers that may be forwarded to a backend server.
};

// Splits `headers` into the key and the headers to forward. `key_cookies` are
// the names of cookies that may carry a key. `target` is the path and query as
// received.
Credentials ExtractCredentials(const HeaderFields& headers,
                               std::string_view target, std::string_view body,
                               const std::vector<std::string>& key_cookies);

// Returns true if `text` contains text of a key's form, plain or
// percent-encoded.
bool ContainsKeyPattern(std::string_view text);

}  // namespace mimosa

#endif  // DECIDE_CREDENTIALS_H_
