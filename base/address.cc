// Address validation with inet_pton().
#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace mimosa {
namespace {

// Returns the port after the last ':' of `text`, or -1 if it is malformed.
int ParsePort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return -1;
  const std::string_view digits = text.substr(colon + 1);
  if (digits.empty() || (digits.size() > 1 && digits[0] == '0')) return -1;
  uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto [parsed_end, error] = std::from_chars(digits.data(), end, port);
  return error == std::errc() && parsed_end == end ? port : -1;
}

bool IsIpAddress(std::string_view host) {
  unsigned char parsed[sizeof(in6_addr)];
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  const int family = bracketed ? AF_INET6 : AF_INET;
  if (bracketed) host = host.substr(1, host.size() - 2);
  return inet_pton(family, std::string(host).c_str(), parsed) == 1;
}

}  // namespace

bool IsAddress(std::string_view text) {
  // inet_pton() takes a C string: a zero byte would hide the text after it.
  if (text.find('\0') != std::string_view::npos) return false;
  return ParsePort(text) >= 0 && IsIpAddress(text.substr(0, text.rfind(':')));
}

bool IsConnectableAddress(std::string_view text) {
  return IsAddress(text) && ParsePort(text) > 0;
}

}  // namespace mimosa
