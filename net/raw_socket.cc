// RawSocket and Listener on libwebsockets' raw socket and raw file roles.
#include "net/raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace mimosa::detail {
namespace {

// One write to the kernel. Larger pieces save system calls; smaller ones show
// sooner that a slow reader makes progress.
constexpr size_t kWritePieceBytes = 16U << 10;

// Written bytes are dropped from the front of the queue once they are this many
// and no fewer than what follows, so that moving that costs O(1) a byte.
constexpr size_t kCompactBytes = 256U << 10;

constexpr int kListenBacklog = 1024;

// Pause in accepting when the process has run out of descriptors.
constexpr Duration kAcceptRetry = std::chrono::milliseconds(50);

// Reasons on which a wsi without owner is told to close.
bool ClosesWithoutOwner(lws_callback_reasons reason) {
  return reason == LWS_CALLBACK_RAW_RX ||
         reason == LWS_CALLBACK_RAW_WRITEABLE ||
         reason == LWS_CALLBACK_RAW_CONNECTED ||
         reason == LWS_CALLBACK_RAW_RX_FILE;
}

bool ToSockaddr(const Endpoint& endpoint, sockaddr_storage* storage,
                socklen_t* length) {
  std::memset(storage, 0, sizeof(*storage));
  auto* v4 = reinterpret_cast<sockaddr_in*>(storage);
  if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    *length = sizeof(*v4);
    return true;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(storage);
  if (inet_pton(AF_INET6, endpoint.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(endpoint.port);
    *length = sizeof(*v6);
    return true;
  }
  return false;
}

Endpoint FromSockaddr(const sockaddr_storage& storage) {
  Endpoint endpoint;
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (storage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    endpoint.port = ntohs(v4->sin_port);
  } else if (storage.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
    endpoint.port = ntohs(v6->sin6_port);
  }
  endpoint.ip = text.data();
  return endpoint;
}

void SetOption(int fd, int level, int option) {
  const int on = 1;
  setsockopt(fd, level, option, &on, sizeof(on));
}

lws* AdoptDescriptor(LwsLoop* loop, int fd, int type, WsiOwner* owner) {
  lws_adopt_desc_t info{};
  info.vh = lws_get_vhost_by_name(loop->context(), "default");
  info.type = static_cast<lws_adoption_type>(type);
  info.fd.sockfd = fd;
  info.vh_prot_name = kRawProtocolName;
  info.opaque = owner;
  return lws_adopt_descriptor_vhost_via_info(&info);
}

}  // namespace

int RawProtocolCallback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                        void* in, size_t len) {
  auto* owner = static_cast<WsiOwner*>(lws_get_opaque_user_data(wsi));
  if (owner == nullptr) return ClosesWithoutOwner(reason) ? -1 : 0;
  return owner->Dispatch(reason, in, len);
}

WsiOwner::~WsiOwner() {
  if (wsi_ != nullptr) lws_set_opaque_user_data(wsi_, nullptr);
  if (destroyed_ != nullptr) {
    *destroyed_ = true;  // Dispatch() closes the wsi
  } else if (wsi_ != nullptr) {
    lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  }
}

int WsiOwner::Dispatch(lws_callback_reasons reason, void* in, size_t len) {
  if (reason == LWS_CALLBACK_RAW_CLOSE ||
      reason == LWS_CALLBACK_RAW_CLOSE_FILE ||
      reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR) {
    lws_set_opaque_user_data(wsi_, nullptr);
    wsi_ = nullptr;
    OnEvent(reason, in, len);
    return 0;
  }
  bool destroyed = false;
  destroyed_ = &destroyed;
  const int result = OnEvent(reason, in, len);
  if (destroyed) return -1;
  destroyed_ = nullptr;
  return result;
}

std::unique_ptr<RawSocket> RawSocket::Adopt(LwsLoop* loop, int fd,
                                            Handler* handler) {
  std::unique_ptr<RawSocket> socket(new RawSocket(handler));
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY);
  lws* wsi = AdoptDescriptor(loop, fd, LWS_ADOPT_SOCKET, socket.get());
  if (wsi == nullptr) return nullptr;
  socket->set_wsi(wsi);
  socket->connected_ = true;
  return socket;
}

std::unique_ptr<RawSocket> RawSocket::Connect(LwsLoop* loop, const Endpoint& to,
                                              Handler* handler) {
  std::unique_ptr<RawSocket> socket(new RawSocket(handler));
  lws_client_connect_info info{};
  info.context = loop->context();
  info.vhost = lws_get_vhost_by_name(loop->context(), "default");
  info.address = to.ip.c_str();
  info.host = to.ip.c_str();
  info.port = to.port;
  info.method = "RAW";
  info.local_protocol_name = kRawProtocolName;
  // The owner is named only afterwards, so that an error met within the call
  // comes back as the result and not as a callback.
  lws* wsi = lws_client_connect_via_info(&info);
  if (wsi == nullptr) return nullptr;
  lws_set_opaque_user_data(wsi, static_cast<WsiOwner*>(socket.get()));
  socket->set_wsi(wsi);
  return socket;
}

void RawSocket::Send(std::string_view data) {
  out_.append(data);
  if (connected_ && wsi() != nullptr) lws_callback_on_writable(wsi());
}

void RawSocket::Pause(bool pause) {
  if (paused_ == pause) return;
  paused_ = pause;
  if (connected_ && wsi() != nullptr) {
    lws_rx_flow_control(wsi(), pause ? 0 : 1);
  }
}

void RawSocket::ShutdownWrite() {
  if (wsi() != nullptr) shutdown(lws_get_socket_fd(wsi()), SHUT_WR);
}

int RawSocket::OnEvent(lws_callback_reasons reason, void* in, size_t len) {
  switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
      connected_ = true;
      if (paused_) lws_rx_flow_control(wsi(), 0);
      if (unsent() > 0) lws_callback_on_writable(wsi());
      handler_->OnConnected();
      return 0;
    case LWS_CALLBACK_RAW_RX:
      handler_->OnRead({static_cast<const char*>(in), len});
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
      return OnWritable();
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      handler_->OnClosed();
      return 0;
    default:
      return 0;
  }
}

int RawSocket::OnWritable() {
  const bool had_unsent = unsent() > 0;
  in_flight_ = 0;
  if (out_begin_ < out_.size() && !WritePiece()) return -1;
  if (unsent() > 0) {
    lws_callback_on_writable(wsi());
    return 0;
  }
  out_.clear();
  out_.shrink_to_fit();
  out_begin_ = 0;
  if (had_unsent) handler_->OnDrained();
  return 0;
}

bool RawSocket::WritePiece() {
  // The library wants room of its own before the data.
  std::array<unsigned char, LWS_PRE + kWritePieceBytes> piece;  // NOLINT
  const size_t n = std::min(out_.size() - out_begin_, kWritePieceBytes);
  std::memcpy(piece.data() + LWS_PRE, out_.data() + out_begin_, n);
  offered_ += n;
  out_begin_ += n;
  if (out_begin_ >= kCompactBytes && out_begin_ >= out_.size() / 2) {
    out_.erase(0, out_begin_);
    out_begin_ = 0;
  }
  if (lws_write(wsi(), piece.data() + LWS_PRE, n, LWS_WRITE_RAW) < 0) {
    return false;
  }
  if (lws_partial_buffered(wsi()) != 0) in_flight_ = n;
  return true;
}

std::unique_ptr<Listener> Listener::Open(LwsLoop* loop, const Endpoint& address,
                                         AcceptCallback on_accept) {
  sockaddr_storage storage;
  socklen_t length = 0;
  if (!ToSockaddr(address, &storage, &length)) return nullptr;
  const int fd =
      socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  // Lets a restarted process listen beside its predecessor's TIME_WAIT; two
  // listeners on one port stay impossible.
  SetOption(fd, SOL_SOCKET, SO_REUSEADDR);
  if (storage.ss_family == AF_INET6) SetOption(fd, IPPROTO_IPV6, IPV6_V6ONLY);
  if (bind(fd, reinterpret_cast<sockaddr*>(&storage), length) != 0 ||
      listen(fd, kListenBacklog) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
    close(fd);
    return nullptr;
  }
  std::unique_ptr<Listener> listener(
      new Listener(loop, fd, std::move(on_accept)));
  listener->port_ = FromSockaddr(storage).port;
  lws* wsi = AdoptDescriptor(loop, fd, LWS_ADOPT_RAW_FILE_DESC, listener.get());
  if (wsi == nullptr) return nullptr;
  listener->set_wsi(wsi);
  return listener;
}

void Listener::AcceptPending() {
  for (;;) {
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    const int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&storage), &length,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      on_accept_(fd, FromSockaddr(storage));
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno == EAGAIN) return;
    // Out of descriptors or memory: without a pause, poll would spin.
    lws_rx_flow_control(wsi(), 0);
    retry_ =
        loop_->After(kAcceptRetry, [this] { lws_rx_flow_control(wsi(), 1); });
    return;
  }
}

int Listener::OnEvent(lws_callback_reasons reason, void* /*in*/,
                      size_t /*len*/) {
  if (reason == LWS_CALLBACK_RAW_RX_FILE) AcceptPending();
  return 0;
}

}  // namespace mimosa::detail
