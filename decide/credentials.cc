// Extraction and removal of credentials.
#include "decide/credentials.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace mimosa {
namespace {

// Header fields that exist to carry credentials. They are never forwarded,
// whatever their values are.
constexpr std::array<std::string_view, 7> kCredentialFields = {
    "authorization", "proxy-authorization", "x-api-key",           "api-key",
    "x-auth-token",  "x-access-token",      "x-amz-security-token"};

// Header fields of mimosarouter, which callers must not be able to forge.
constexpr std::string_view kOwnFieldPrefix = "mimosa-";

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

bool IsHex(char c) { return std::isxdigit(static_cast<unsigned char>(c)) != 0; }

int HexValue(char c) {
  return c <= '9' ? c - '0'
                  : (std::tolower(static_cast<unsigned char>(c)) - 'a' + 10);
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && IsHex(text[i + 1]) &&
        IsHex(text[i + 2])) {
      out +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

bool ContainsPlainKeyPattern(std::string_view text) {
  for (size_t at = text.find(kKeyPrefix); at != std::string_view::npos;
       at = text.find(kKeyPrefix, at + 1)) {
    const std::string_view rest = text.substr(at + kKeyPrefix.size());
    const auto digits = static_cast<size_t>(
        std::find_if_not(rest.begin(), rest.end(), IsHex) - rest.begin());
    if (digits >= kKeyHexDigits) return true;
  }
  return false;
}

bool Contains(std::string_view text, std::string_view key) {
  return !key.empty() && text.find(key) != std::string_view::npos;
}

// Collects the keys of a request. Two different keys are ambiguous.
class KeyCollector {
 public:
  void Add(std::string_view key) {
    key = Trim(key);
    if (key.empty()) {
      error_ = CredentialError::kMalformed;
    } else if (key_.empty()) {
      key_ = std::string(key);
    } else if (key_ != key) {
      error_ = CredentialError::kAmbiguous;
    }
  }
  void AddAuthorization(std::string_view value) {
    value = Trim(value);
    constexpr std::string_view kScheme = "bearer ";
    if (Lower(value.substr(0, kScheme.size())) != kScheme) {
      error_ = CredentialError::kMalformed;
      return;
    }
    Add(value.substr(kScheme.size()));
  }
  CredentialError error() const { return error_; }
  const std::string& key() const { return key_; }

 private:
  CredentialError error_ = CredentialError::kNone;
  std::string key_;
};

// Adds the values of the key cookies of a Cookie field to `keys`. Returns the
// field's value without these cookies.
std::string ExtractKeyCookies(std::string_view value,
                              const std::vector<std::string>& key_cookies,
                              KeyCollector* keys) {
  std::string rest;
  while (!value.empty()) {
    const size_t end = std::min(value.find(';'), value.size());
    const std::string_view cookie = Trim(value.substr(0, end));
    value.remove_prefix(std::min(end + 1, value.size()));
    if (cookie.empty()) continue;
    const size_t equals = std::min(cookie.find('='), cookie.size());
    const std::string_view name = cookie.substr(0, equals);
    if (std::find(key_cookies.begin(), key_cookies.end(), name) !=
        key_cookies.end()) {
      keys->Add(cookie.substr(std::min(equals + 1, cookie.size())));
      continue;
    }
    if (!rest.empty()) rest += "; ";
    rest += cookie;
  }
  return rest;
}

bool ContainsAnyKey(std::string_view text, const std::string& key) {
  return ContainsKeyPattern(text) || Contains(text, key) ||
         Contains(PercentDecode(text), key);
}

}  // namespace

bool ContainsKeyPattern(std::string_view text) {
  if (ContainsPlainKeyPattern(text)) return true;
  return text.find('%') != std::string_view::npos &&
         ContainsPlainKeyPattern(PercentDecode(text));
}

Credentials ExtractCredentials(const HeaderFields& headers,
                               std::string_view target, std::string_view body,
                               const std::vector<std::string>& key_cookies) {
  KeyCollector keys;
  HeaderFields rest;
  for (const auto& [name, value] : headers) {
    const std::string lower = Lower(name);
    if (lower == "authorization") {
      keys.AddAuthorization(value);
    } else if (lower == "x-api-key") {
      keys.Add(value);
    } else if (lower == "cookie") {
      std::string cookies = ExtractKeyCookies(value, key_cookies, &keys);
      if (!cookies.empty()) rest.emplace_back(name, std::move(cookies));
    } else if (std::find(kCredentialFields.begin(), kCredentialFields.end(),
                         lower) == kCredentialFields.end() &&
               lower.rfind(kOwnFieldPrefix, 0) != 0) {
      rest.emplace_back(name, value);
    }
  }
  Credentials result;
  result.error = keys.error();
  result.key = keys.key();
  if (result.error != CredentialError::kNone) return result;
  if (ContainsAnyKey(target, result.key)) {
    result.error = CredentialError::kKeyInTarget;
  } else if (ContainsAnyKey(body, result.key)) {
    result.error = CredentialError::kKeyInBody;
  }
  for (auto& field : rest) {
    if (!ContainsAnyKey(field.second, result.key) &&
        !ContainsAnyKey(field.first, result.key))
      result.headers.push_back(std::move(field));
  }
  return result;
}

}  // namespace mimosa
