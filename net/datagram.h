// Datagrams between daemons: short messages that may be lost.
#ifndef NET_DATAGRAM_H_
#define NET_DATAGRAM_H_

#include <functional>
#include <memory>
#include <string_view>

#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa {

class DatagramSocket {
 public:
  // What fits into one datagram without being split on common links is less;
  // beyond this nothing is sent.
  static constexpr size_t kMaxBytes = 8U << 10;

  using ReceiveCallback =
      std::function<void(const Endpoint& from, std::string_view)>;

  // nullptr if the address can't be bound.
  static std::unique_ptr<DatagramSocket> Open(LwsLoop* loop,
                                              const Endpoint& address,
                                              ReceiveCallback receive);
  virtual ~DatagramSocket() = default;

  // False if the datagram was too large or the kernel has no room for it.
  virtual bool Send(const Endpoint& to, std::string_view data) = 0;
  virtual uint16_t port() const = 0;
};

}  // namespace mimosa

#endif  // NET_DATAGRAM_H_
