// Test support: functions that run the loop until a condition holds, and TCP
// peers that send and receive raw bytes, for tests of what a well-behaved HTTP
// peer wouldn't do.
#ifndef NET_TEST_PEER_H_
#define NET_TEST_PEER_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa {

// Long enough to expire only if the tested code fails.
inline constexpr Duration kTestDeadline = std::chrono::seconds(20);

// Runs `loop` until `condition` holds. Returns false if `deadline` passes
// first.
inline bool RunUntil(LwsLoop* loop, const std::function<bool()>& condition,
                     Duration deadline = kTestDeadline) {
  constexpr Duration kCheckInterval = std::chrono::milliseconds(1);
  const MonoTime end = loop->Now() + deadline;
  TimerHandle timer;
  bool holds = false;
  std::function<void()> check = [&] {
    holds = condition();
    if (holds || loop->Now() >= end) {
      loop->Stop();
    } else {
      timer = loop->After(kCheckInterval, check);
    }
  };
  check();
  if (!holds) loop->Run();
  return holds;
}

// Runs `loop` for `duration`, for checks that something doesn't happen.
inline void RunFor(LwsLoop* loop, Duration duration) {
  RunUntil(
      loop, [] { return false; }, duration);
}

// A TCP connection that sends and receives raw bytes. Never blocks.
class RawPeer {
 public:
  explicit RawPeer(int fd) : fd_(fd) {
    fcntl(fd, F_SETFL, O_NONBLOCK);
    // What is sent in two parts arrives at once, also on a used connection.
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;
  ~RawPeer() { Close(); }

  // Connects to `port` of 127.0.0.1; returns nullptr if that fails. A small
  // `receive_buffer` (bytes) lets the sender's writes stall soon.
  static std::unique_ptr<RawPeer> Connect(uint16_t port,
                                          int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (receive_buffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<RawPeer>(fd);
  }

  // Starts to connect to `port` of 127.0.0.1 without waiting for the
  // connection.
  static std::unique_ptr<RawPeer> ConnectNonBlocking(uint16_t port) {
    auto peer = std::make_unique<RawPeer>(
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // EINPROGRESS is expected here.
    (void)connect(peer->fd_, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address));
    return peer;
  }

  // Returns how many bytes the kernel accepted: fewer than `data` has if the
  // buffers are full.
  size_t Send(std::string_view data) {
    const ssize_t n = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    return n > 0 ? static_cast<size_t>(n) : 0;
  }

  // Returns everything received since the start or the last Clear().
  const std::string& received() {
    std::array<char, 65536> buffer;  // NOLINT
    while (fd_ >= 0 && !closed_) {
      const ssize_t n = recv(fd_, buffer.data(), buffer.size(), 0);
      if (n > 0) {
        received_.append(buffer.data(), static_cast<size_t>(n));
        continue;
      }
      if (n < 0 && errno == EAGAIN) break;
      closed_ = true;
      reset_ = n < 0;
    }
    return received_;
  }
  // Reads and discards up to `max_bytes`. Returns how many arrived.
  size_t ReadSome(size_t max_bytes) {
    std::string buffer(max_bytes, '\0');
    const ssize_t n = recv(fd_, buffer.data(), buffer.size(), 0);
    return n > 0 ? static_cast<size_t>(n) : 0;
  }
  // True once the other end has closed; received() is complete then.
  bool closed() {
    received();
    return closed_;
  }
  // True if the other end closed with a reset.
  bool reset() const { return reset_; }
  // Discards everything received so far.
  void Clear() {
    received();
    received_.clear();
  }
  void ShutdownWrite() { shutdown(fd_, SHUT_WR); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  // Closes the connection with RST.
  void CloseWithReset() {
    const linger reset_on_close{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    Close();
  }

 private:
  int fd_;
  bool closed_ = false;
  bool reset_ = false;
  std::string received_;
};

// A listening socket on a free port of 127.0.0.1.
class RawListener {
 public:
  explicit RawListener(int backlog = 64)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        listen(fd_, backlog) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
      return;  // port() stays 0
    }
    port_ = ntohs(address.sin_port);
  }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener() { Close(); }

  uint16_t port() const { return port_; }
  int fd() const { return fd_; }
  Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  // Returns nullptr if no connection is pending.
  std::unique_ptr<RawPeer> Accept() {
    const int fd = accept(fd_, nullptr, nullptr);
    if (fd < 0) return nullptr;
    return std::make_unique<RawPeer>(fd);
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
  uint16_t port_ = 0;
};

}  // namespace mimosa

#endif  // NET_TEST_PEER_H_
