// Validation of addresses of the form "ip:port". The host must be a numeric
// IPv4 or IPv6 address; host names are neither accepted nor resolved.
#ifndef BASE_ADDRESS_H_
#define BASE_ADDRESS_H_

#include <string_view>

namespace mimosa {

// Returns whether `text` is an address such as "127.0.0.1:80" or "[::1]:80"
// with a port of 0..65535 without leading zeros.
bool IsAddress(std::string_view text);

// Returns whether `text` is an address as above whose port can be connected to,
// that is, whose port isn't 0.
bool IsConnectableAddress(std::string_view text);

}  // namespace mimosa

#endif  // BASE_ADDRESS_H_
