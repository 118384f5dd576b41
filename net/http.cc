// Implements Endpoint, HttpHeaders, HasMediaType(), the names of enumerators
// and CallOptionsWithTimeout().
#include "net/http.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <system_error>

namespace mimosa {
namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

// Returns whether `text` is a numeric address of `family`, and sets `*out` to
// its canonical form.
bool CanonicalAddress(int family, const std::string& text, std::string* out) {
  std::array<unsigned char, sizeof(in6_addr)> address{};
  std::array<char, INET6_ADDRSTRLEN> canonical{};
  if (inet_pton(family, text.c_str(), address.data()) != 1) return false;
  inet_ntop(family, address.data(), canonical.data(), canonical.size());
  *out = canonical.data();
  return true;
}

bool ParsePort(std::string_view text, uint16_t* out) {
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, *out);
  return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

}  // namespace

bool Endpoint::Parse(std::string_view text, Endpoint* out) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string_view host = text.substr(0, colon);
  int family = AF_INET;
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  Endpoint parsed;
  if (!CanonicalAddress(family, std::string(host), &parsed.ip) ||
      !ParsePort(text.substr(colon + 1), &parsed.port)) {
    return false;
  }
  *out = std::move(parsed);
  return true;
}

Endpoint ParseEndpointOrDefault(std::string_view text) {
  Endpoint endpoint;
  (void)Endpoint::Parse(text, &endpoint);
  return endpoint;
}

HttpCallOptions CallOptionsWithTimeout(const Endpoint& to, Duration timeout) {
  HttpCallOptions options;
  options.to = to;
  options.connect_timeout = timeout;
  options.head_timeout = timeout;
  options.idle_timeout = timeout;
  options.total_timeout = 2 * timeout;
  return options;
}

std::string Endpoint::ToString() const {
  const bool v6 = ip.find(':') != std::string::npos;
  return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

void HttpHeaders::Set(std::string name, std::string value) {
  Remove(name);
  Add(std::move(name), std::move(value));
}

void HttpHeaders::Remove(std::string_view name) {
  fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                               [name](const Field& field) {
                                 return EqualsIgnoreCase(field.first, name);
                               }),
                fields_.end());
}

const std::string* HttpHeaders::Find(std::string_view name) const {
  for (const Field& field : fields_) {
    if (EqualsIgnoreCase(field.first, name)) return &field.second;
  }
  return nullptr;
}

size_t HttpHeaders::Count(std::string_view name) const {
  return static_cast<size_t>(
      std::count_if(fields_.begin(), fields_.end(), [name](const Field& field) {
        return EqualsIgnoreCase(field.first, name);
      }));
}

bool HasMediaType(const HttpHeaders& headers, std::string_view type) {
  const std::string* field = headers.Find("Content-Type");
  if (field == nullptr) return false;
  std::string_view media_type(*field);
  media_type = media_type.substr(0, media_type.find(';'));
  while (!media_type.empty() && media_type.back() == ' ')
    media_type.remove_suffix(1);
  return EqualsIgnoreCase(media_type, type);
}

const char* HttpFailureName(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kConnect:
      return "connect";
    case HttpFailure::kRefused:
      return "refused";
    case HttpFailure::kNoResponse:
      return "no-answer";
    case HttpFailure::kTruncated:
      return "cut";
    case HttpFailure::kTimeout:
      return "timeout";
    case HttpFailure::kTooLarge:
      return "too-large";
    case HttpFailure::kMalformed:
      return "malformed";
    case HttpFailure::kWithheld:
      return "withheld";
    case HttpFailure::kOtherIncarnation:
      return "other-incarnation";
    case HttpFailure::kUnknownIncarnation:
      return "unknown-incarnation";
  }
  return "unknown";
}

const char* ResponseEndName(ResponseEnd end) {
  switch (end) {
    case ResponseEnd::kFraming:
      return "framing";
    case ResponseEnd::kClose:
      return "close";
  }
  return "unknown";
}

}  // namespace mimosa
