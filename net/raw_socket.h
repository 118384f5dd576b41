// Byte streams over libwebsockets' raw sockets, and listening sockets.
//
// libwebsockets polls, reads and writes; its own HTTP role stays out of the way
// (net/README.md says why). Every wsi has exactly one owner here. Owners may be
// destroyed from within their own callbacks: the trampoline notices and tells
// the library to close.
#ifndef NET_RAW_SOCKET_H_
#define NET_RAW_SOCKET_H_

#include <libwebsockets.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa::detail {

// The one protocol of the loop's context.
inline constexpr char kRawProtocolName[] = "mimosa-raw";
int RawProtocolCallback(lws* wsi, lws_callback_reasons reason, void* user,
                        void* in, size_t len);

// Owns one wsi: closing one closes the other.
class WsiOwner {
 public:
  WsiOwner() = default;
  WsiOwner(const WsiOwner&) = delete;
  WsiOwner& operator=(const WsiOwner&) = delete;
  virtual ~WsiOwner();

  // Called by the trampoline; the result is for libwebsockets (-1 closes).
  int Dispatch(lws_callback_reasons reason, void* in, size_t len);

 protected:
  // Handles one event. `this` may be destroyed within, if nothing is touched
  // after that.
  virtual int OnEvent(lws_callback_reasons reason, void* in, size_t len) = 0;

  lws* wsi() const { return wsi_; }
  lws** wsi_slot() { return &wsi_; }
  void set_wsi(lws* wsi) { wsi_ = wsi; }

 private:
  lws* wsi_ = nullptr;  // nullptr once the library has closed it
  // Points into the Dispatch() frame under way, if any.
  bool* destroyed_ = nullptr;
};

// Lets the loop poll `fd` for `owner`. nullptr, and `fd` closed, if the library
// has no room for it.
lws* AdoptDescriptor(LwsLoop* loop, int fd, WsiOwner* owner);

// False if the endpoint's address isn't one in numbers.
bool ToSockaddr(const Endpoint& endpoint, sockaddr_storage* storage,
                socklen_t* length);
Endpoint FromSockaddr(const sockaddr_storage& storage);

class RawSocket : public WsiOwner {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    // A socket from Connect() is ready.
    virtual void OnConnected() {}
    virtual void OnRead(std::string_view data) = 0;
    // The kernel has taken everything that was sent.
    virtual void OnDrained() = 0;
    // The other end closed, the connection broke or couldn't be made. The last
    // callback.
    virtual void OnClosed() = 0;
  };

  // Takes over a connected non-blocking socket; nullptr (and `fd` closed) if
  // the library has no room for it.
  static std::unique_ptr<RawSocket> Adopt(LwsLoop* loop, int fd,
                                          Handler* handler);
  // Starts a connection; nullptr if it fails at once. No callback comes from
  // within this call.
  static std::unique_ptr<RawSocket> Connect(LwsLoop* loop, const Endpoint& to,
                                            Handler* handler);

  // Writes at once what the kernel takes and keeps the rest.
  void Send(std::string_view data);
  // Bytes sent here that the kernel has not taken.
  size_t unsent_bytes() const { return write_buffer_.size() - write_offset_; }
  // Bytes that went to the kernel.
  uint64_t bytes_written() const { return bytes_written_; }
  // In OnClosed(): the other end finished sending, as opposed to a reset or a
  // connection that was never made.
  bool received_eof() const { return received_eof_; }
  void Pause(bool pause);
  // Sends FIN; reading goes on. Only after everything was drained.
  void ShutdownWrite();

 private:
  RawSocket(LwsLoop* loop, int fd, Handler* handler)
      : loop_(loop), fd_(fd), handler_(handler) {}
  int OnEvent(lws_callback_reasons reason, void* in, size_t len) override;
  int OnConnectCompleted();
  int OnReadable();
  int OnWritable();
  void RequestWritable();
  // Writes what the kernel takes; returns how much that was.
  size_t WriteNow(std::string_view data);

  LwsLoop* const loop_;
  const int fd_;  // owned by the wsi
  Handler* const handler_;
  bool connected_ = false;
  bool paused_ = false;
  bool write_failed_ = false;  // a write failed; OnClosed() follows
  bool received_eof_ = false;  // the other end closed without a reset
  std::string write_buffer_;   // [out_begin_, size) waits to be written
  size_t write_offset_ = 0;    // <= out_.size()
  uint64_t bytes_written_ = 0;
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
};

// A listening socket, exclusive to this process: without SO_REUSEPORT.
class Listener : public WsiOwner {
 public:
  // `on_accept` gets each accepted non-blocking socket, to own.
  using AcceptCallback = std::function<void(int fd, const Endpoint& client)>;

  // nullptr when the address can't be listened on.
  static std::unique_ptr<Listener> Open(LwsLoop* loop, const Endpoint& address,
                                        AcceptCallback on_accept);
  uint16_t port() const { return port_; }
  // Accepts all that the kernel has established.
  void AcceptPending();

 private:
  Listener(LwsLoop* loop, int fd, AcceptCallback on_accept)
      : loop_(loop), fd_(fd), on_accept_(std::move(on_accept)) {}
  int OnEvent(lws_callback_reasons reason, void* in, size_t len) override;

  LwsLoop* const loop_;
  const int fd_;  // owned by the wsi
  const AcceptCallback on_accept_;
  uint16_t port_ = 0;
  TimerHandle
      retry_timer_;  // set while accepting is off for want of descriptors
};

}  // namespace mimosa::detail

#endif  // NET_RAW_SOCKET_H_
