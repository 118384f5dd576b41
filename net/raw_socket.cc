// Implements RawSocket and Listener on libwebsockets' raw file role: the
// library polls and owns the descriptors, while this file reads and writes
// them. The library's raw socket role is not used, because it doesn't
// distinguish an orderly close from a reset and delays each write by one poll.
#include "net/raw_socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <exception>
#include <utility>

namespace mimosa::detail {
namespace {

// Maximum size of one write to the kernel. Larger writes need fewer system
// calls; smaller ones show sooner that a slow reader makes progress.
constexpr size_t kMaxWriteBytes = 64U << 10;

// Maximum size of one read from a connection.
constexpr size_t kReadBufferBytes = 64U << 10;

// Written bytes are erased from the front of the write buffer once there are at
// least this many of them and no fewer than unwritten ones, so that moving the
// unwritten bytes costs O(1) per byte.
constexpr size_t kMinCompactionBytes = 256U << 10;

constexpr int kListenBacklog = 1024;

// How long accepting is paused after the process ran out of descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

// Returns whether a wsi without owner must be closed at this event.
bool MustCloseWithoutOwner(lws_callback_reasons reason) {
  return reason == LWS_CALLBACK_RAW_WRITEABLE_FILE ||
         reason == LWS_CALLBACK_RAW_RX_FILE;
}

void EnableSocketOption(int fd, int level, int option) {
  const int on = 1;
  setsockopt(fd, level, option, &on, sizeof(on));
}

}  // namespace

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

lws* AdoptDescriptor(LwsLoop* loop, int fd, WsiOwner* owner) {
  lws_adopt_desc_t info{};
  info.vh = lws_get_vhost_by_name(loop->context(), "default");
  info.type = LWS_ADOPT_RAW_FILE_DESC;
  info.fd.sockfd = fd;
  info.vh_prot_name = kRawProtocolName;
  info.opaque = owner;
  return lws_adopt_descriptor_vhost_via_info(&info);
}

int RawProtocolCallback(lws* wsi, lws_callback_reasons reason, void* /*user*/,
                        void* in, size_t len) {
  auto* owner = static_cast<WsiOwner*>(lws_get_opaque_user_data(wsi));
  if (owner == nullptr) return MustCloseWithoutOwner(reason) ? -1 : 0;
  return owner->Dispatch(reason, in, len);
}

WsiOwner::~WsiOwner() {
  if (wsi_ != nullptr) lws_set_opaque_user_data(wsi_, nullptr);
  if (destroyed_ != nullptr) {
    *destroyed_ = true;  // makes Dispatch() close the wsi
  } else if (wsi_ != nullptr) {
    lws_set_timeout(wsi_, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_SYNC);
  }
}

int WsiOwner::Dispatch(lws_callback_reasons reason, void* in, size_t len) {
  if (reason == LWS_CALLBACK_RAW_CLOSE_FILE) {
    lws_set_opaque_user_data(wsi_, nullptr);
    wsi_ = nullptr;
    OnEvent(reason, in, len);
    return 0;
  }
  bool destroyed = false;
  destroyed_ = &destroyed;
  int result = 0;
  // An exception must not pass through the library's C code, and one message
  // must not end the process.
  try {
    result = OnEvent(reason, in, len);
  } catch (const std::exception& error) {
    lwsl_err("closing a connection after an exception: %s\n", error.what());
    result = -1;
  }
  if (destroyed) return -1;
  destroyed_ = nullptr;
  return result;
}

std::unique_ptr<RawSocket> RawSocket::Adopt(LwsLoop* loop, int fd,
                                            Handler* handler) {
  std::unique_ptr<RawSocket> socket(new RawSocket(loop, fd, handler));
  EnableSocketOption(fd, IPPROTO_TCP, TCP_NODELAY);
  lws* wsi = AdoptDescriptor(loop, fd, socket.get());
  if (wsi == nullptr) return nullptr;
  socket->set_wsi(wsi);
  socket->connected_ = true;
  return socket;
}

std::unique_ptr<RawSocket> RawSocket::Connect(LwsLoop* loop, const Endpoint& to,
                                              Handler* handler) {
  sockaddr_storage storage;
  socklen_t length = 0;
  if (!ToSockaddr(to, &storage, &length)) return nullptr;
  const int fd =
      socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  EnableSocketOption(fd, IPPROTO_TCP, TCP_NODELAY);
  const int error =
      connect(fd, reinterpret_cast<sockaddr*>(&storage), length) != 0 ? errno
                                                                      : 0;
  // A refusal, too, is reported later.
  if (error != 0 && error != EINPROGRESS && error != ECONNREFUSED) {
    close(fd);
    return nullptr;
  }
  std::unique_ptr<RawSocket> socket(new RawSocket(loop, fd, handler));
  socket->refused_ = error == ECONNREFUSED;
  lws* wsi = AdoptDescriptor(loop, fd, socket.get());
  if (wsi == nullptr) return nullptr;
  socket->set_wsi(wsi);
  lws_callback_on_writable(wsi);
  return socket;
}

void RawSocket::Send(std::string_view data) {
  if (wsi() == nullptr || write_failed_) return;
  if (connected_ && write_offset_ == write_buffer_.size()) {
    const size_t written = WriteNow(data);
    data.remove_prefix(written);
  }
  if (data.empty() || write_failed_) return;
  write_buffer_.append(data);
  if (connected_) RequestWritable();
}

size_t RawSocket::undelivered_bytes() const {
  int unacknowledged = 0;
  if (wsi() == nullptr || ioctl(fd_, SIOCOUTQ, &unacknowledged) != 0)
    unacknowledged = 0;
  return unsent_bytes() + static_cast<size_t>(unacknowledged);
}

void RawSocket::Pause(bool pause) {
  if (paused_ == pause) return;
  paused_ = pause;
  if (connected_ && wsi() != nullptr) {
    lws_rx_flow_control(wsi(), pause ? 0 : 1);
  }
}

void RawSocket::ShutdownWrite() {
  if (wsi() != nullptr) shutdown(fd_, SHUT_WR);
}

int RawSocket::OnEvent(lws_callback_reasons reason, void* /*in*/,
                       size_t /*len*/) {
  switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
      return connected_ ? OnReadable() : 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      return connected_ ? OnWritable() : OnConnectCompleted();
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      handler_->OnClosed();
      return 0;
    default:
      return 0;
  }
}

int RawSocket::OnConnectCompleted() {
  int error = 0;
  socklen_t length = sizeof(error);
  if (refused_ || getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
      error != 0) {
    refused_ = refused_ || error == ECONNREFUSED;
    return -1;
  }
  connected_ = true;
  if (paused_) lws_rx_flow_control(wsi(), 0);
  if (write_offset_ < write_buffer_.size()) RequestWritable();
  handler_->OnConnected();
  return 0;
}

int RawSocket::OnReadable() {
  // All sockets share one buffer: the loop has one thread, and handlers don't
  // read from within OnRead().
  static std::array<char, kReadBufferBytes> buffer;
  const ssize_t n = recv(fd_, buffer.data(), buffer.size(), 0);
  if (n > 0) {
    handler_->OnRead({buffer.data(), static_cast<size_t>(n)});
    return 0;
  }
  if (n < 0) return errno == EAGAIN || errno == EINTR ? 0 : -1;
  // The end stays readable; what follows is at most a failure, which poll
  // always reports.
  lws_rx_flow_control(wsi(), 0);
  return handler_->OnEof() ? 0 : -1;
}

int RawSocket::OnWritable() {
  if (write_failed_) return -1;
  if (write_offset_ == write_buffer_.size()) return 0;
  const std::string_view rest =
      std::string_view(write_buffer_).substr(write_offset_);
  write_offset_ += WriteNow(rest);
  if (write_failed_) return -1;
  if (write_offset_ < write_buffer_.size()) {
    if (write_offset_ >= kMinCompactionBytes &&
        write_offset_ >= write_buffer_.size() / 2) {
      write_buffer_.erase(0, write_offset_);
      write_offset_ = 0;
    }
    RequestWritable();
    return 0;
  }
  write_buffer_.clear();
  write_buffer_.shrink_to_fit();
  write_offset_ = 0;
  handler_->OnDrained();
  return 0;
}

// The library clears a pending write request after its callback returns, so a
// request made within the callback would be lost. The request is posted
// instead.
void RawSocket::RequestWritable() {
  loop_->Post([this, alive = std::weak_ptr<char>(alive_)] {
    if (!alive.expired() && wsi() != nullptr) lws_callback_on_writable(wsi());
  });
}

size_t RawSocket::WriteNow(std::string_view data) {
  size_t written = 0;
  while (written < data.size()) {
    const size_t size = std::min(data.size() - written, kMaxWriteBytes);
    const ssize_t n = send(fd_, data.data() + written, size, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) {
      // The next poll reports the broken connection.
      if (errno != EAGAIN) write_failed_ = true;
      break;
    }
    written += static_cast<size_t>(n);
    if (static_cast<size_t>(n) < size) break;
  }
  bytes_written_ += written;
  return written;
}

std::unique_ptr<Listener> Listener::Open(LwsLoop* loop, const Endpoint& address,
                                         AcceptCallback on_accept) {
  sockaddr_storage storage;
  socklen_t length = 0;
  if (!ToSockaddr(address, &storage, &length)) return nullptr;
  const int fd =
      socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  // Lets a restarted process listen while connections of its predecessor are in
  // TIME_WAIT. Two listeners on one port remain impossible.
  EnableSocketOption(fd, SOL_SOCKET, SO_REUSEADDR);
  if (storage.ss_family == AF_INET6)
    EnableSocketOption(fd, IPPROTO_IPV6, IPV6_V6ONLY);
  if (bind(fd, reinterpret_cast<sockaddr*>(&storage), length) != 0 ||
      listen(fd, kListenBacklog) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
    close(fd);
    return nullptr;
  }
  std::unique_ptr<Listener> listener(
      new Listener(loop, fd, std::move(on_accept)));
  listener->port_ = FromSockaddr(storage).port;
  lws* wsi = AdoptDescriptor(loop, fd, listener.get());
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
    // The process is out of descriptors or memory. Without a pause, poll would
    // return immediately again and again.
    lws_rx_flow_control(wsi(), 0);
    retry_timer_ = loop_->After(kAcceptRetryDelay,
                                [this] { lws_rx_flow_control(wsi(), 1); });
    return;
  }
}

int Listener::OnEvent(lws_callback_reasons reason, void* /*in*/,
                      size_t /*len*/) {
  if (reason == LWS_CALLBACK_RAW_RX_FILE) AcceptPending();
  return 0;
}

}  // namespace mimosa::detail
