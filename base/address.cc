// Checks of addresses by the C library's own parser.
#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace mimosa {
namespace {

// The port at the end of `text` after the last ':', or -1.
int PortOf(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return -1;
  const std::string_view digits = text.substr(colon + 1);
  if (digits.empty() || (digits.size() > 1 && digits[0] == '0')) return -1;
  uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, port);
  return error == std::errc() && stop == end ? port : -1;
}

bool IsIp(std::string_view host) {
  unsigned char parsed[sizeof(in6_addr)];
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  const int family = bracketed ? AF_INET6 : AF_INET;
  if (bracketed) host = host.substr(1, host.size() - 2);
  return inet_pton(family, std::string(host).c_str(), parsed) == 1;
}

}  // namespace

bool IsAddress(std::string_view text) {
  // A zero byte would end the C string early and hide what follows it.
  if (text.find('\0') != std::string_view::npos) return false;
  return PortOf(text) >= 0 && IsIp(text.substr(0, text.rfind(':')));
}

bool IsConnectableAddress(std::string_view text) {
  return IsAddress(text) && PortOf(text) > 0;
}

}  // namespace mimosa
