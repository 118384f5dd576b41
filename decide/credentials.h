// Finds the caller's key in a request and takes every key out of it, so that
// none reaches a backend server.
//
// Model: a request presents at most one key, as `Authorization: Bearer <key>`,
// `X-Api-Key: <key>` or in a cookie that its route names. Everything that may
// carry credentials is removed from what goes on. Keys made by mimosactl have a
// recognizable form (kKeyPrefix and hex digits); one of that form, or the
// presented key itself, in any other header removes that header, and in the
// target or the body gets the request refused: neither can be changed without
// changing what the caller asked for.
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
  kAmbiguous,    // two different keys, or a field that must be there once
  kMalformed,    // a scheme other than Bearer, or an empty key
  kKeyInTarget,  // a key in path or query
  kKeyInBody,
};

struct Credentials {
  CredentialError fault = CredentialError::kNone;
  std::string key;       // empty: none was presented
  HeaderFields headers;  // what may go on to a backend server
};

// Splits `headers` into the key and the rest. `key_cookies`: names of cookies
// that may carry a key. `target` is the path and query as received.
Credentials ExtractCredentials(const HeaderFields& headers,
                               std::string_view target, std::string_view body,
                               const std::vector<std::string>& key_cookies);

// True if `text` contains something of a key's form, plain or percent-encoded.
bool ContainsKeyPattern(std::string_view text);

}  // namespace mimosa

#endif  // DECIDE_CREDENTIALS_H_
