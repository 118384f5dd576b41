// Addresses of the form "ip:port", numbers only: nothing here resolves names.
#ifndef BASE_ADDRESS_H_
#define BASE_ADDRESS_H_

#include <string_view>

namespace mimosa {

// Whether `text` is "127.0.0.1:80" or "[::1]:80", the port 0..65535 without a
// leading zero.
bool IsAddress(std::string_view text);

// The same, and the port is one that can be connected to.
bool IsConnectableAddress(std::string_view text);

}  // namespace mimosa

#endif  // BASE_ADDRESS_H_
