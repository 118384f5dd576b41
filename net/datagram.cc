// Implements DatagramSocket on libwebsockets' raw file role.
#include "net/datagram.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <exception>
#include <utility>

#include "net/raw_socket.h"

namespace mimosa {
namespace {

class RawDatagramSocket : public DatagramSocket, public detail::WsiOwner {
 public:
  RawDatagramSocket(int fd, uint16_t port, ReceiveCallback receive)
      : fd_(fd), port_(port), receive_(std::move(receive)) {}

  bool Adopt(LwsLoop* loop) {
    lws* wsi = detail::AdoptDescriptor(loop, fd_, this);
    set_wsi(wsi);
    return wsi != nullptr;
  }

  bool Send(const Endpoint& to, std::string_view data) override {
    sockaddr_storage storage;
    socklen_t length = 0;
    if (data.size() > kMaxBytes || wsi() == nullptr ||
        !detail::ToSockaddr(to, &storage, &length))
      return false;
    return sendto(fd_, data.data(), data.size(), MSG_NOSIGNAL,
                  reinterpret_cast<sockaddr*>(&storage), length) >= 0;
  }

  uint16_t port() const override { return port_; }

 private:
  int OnEvent(lws_callback_reasons reason, void* /*in*/,
              size_t /*len*/) override {
    if (reason != LWS_CALLBACK_RAW_RX_FILE) return 0;
    std::array<char, kMaxBytes> buffer;  // NOLINT: filled by recvfrom
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    const ssize_t n = recvfrom(fd_, buffer.data(), buffer.size(), 0,
                               reinterpret_cast<sockaddr*>(&storage), &length);
    if (n < 0) return 0;
    // An exception closes the socket of a connection, but this one serves all
    // senders.
    try {
      receive_(detail::FromSockaddr(storage),
               {buffer.data(), static_cast<size_t>(n)});
    } catch (const std::exception& error) {
      lwsl_err("dropped a datagram after an exception: %s\n", error.what());
    }
    return 0;
  }

  const int fd_;  // owned and closed by the wsi
  const uint16_t port_;
  const ReceiveCallback receive_;
};

}  // namespace

std::unique_ptr<DatagramSocket> DatagramSocket::Open(LwsLoop* loop,
                                                     const Endpoint& address,
                                                     ReceiveCallback receive) {
  sockaddr_storage storage;
  socklen_t length = 0;
  if (!detail::ToSockaddr(address, &storage, &length)) return nullptr;
  const int fd =
      socket(storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  if (bind(fd, reinterpret_cast<sockaddr*>(&storage), length) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
    close(fd);
    return nullptr;
  }
  auto datagram_socket = std::make_unique<RawDatagramSocket>(
      fd, detail::FromSockaddr(storage).port, std::move(receive));
  if (!datagram_socket->Adopt(loop)) return nullptr;
  return datagram_socket;
}

}  // namespace mimosa
