// UDP datagrams between daemons: short messages without delivery guarantee.
#ifndef NET_DATAGRAM_H_
#define NET_DATAGRAM_H_

#include <functional>
#include <memory>
#include <string_view>

#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa {

// A bound UDP socket on the event loop. Destroying it closes the socket.
class DatagramSocket {
 public:
  // Maximum payload of a datagram; Send() refuses larger ones. It exceeds the
  // MTU of common links, so that large datagrams are sent as IP fragments.
  static constexpr size_t kMaxBytes = 8U << 10;

  using ReceiveCallback =
      std::function<void(const Endpoint& from, std::string_view)>;

  // Binds a socket to `address`; port 0 picks a free port. Calls `receive` on
  // the loop for each datagram. Returns nullptr if the address can't be bound.
  static std::unique_ptr<DatagramSocket> Open(LwsLoop* loop,
                                              const Endpoint& address,
                                              ReceiveCallback receive);
  virtual ~DatagramSocket() = default;

  // Sends `data` as one datagram. Returns false if it is larger than kMaxBytes
  // or the kernel can't accept it, for instance when its send buffer is full.
  virtual bool Send(const Endpoint& to, std::string_view data) = 0;
  // The port that the socket is bound to.
  virtual uint16_t port() const = 0;
};

}  // namespace mimosa

#endif  // NET_DATAGRAM_H_
