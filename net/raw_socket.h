// TCP connections and listening sockets on the event loop of libwebsockets.
//
// libwebsockets polls the descriptors; its HTTP role is not used (net/README.md
// gives the reasons). A wsi is the library's handle of a polled descriptor.
// Each wsi has exactly one owner, a WsiOwner. An owner may be destroyed from
// within its own callbacks: Dispatch() detects that and tells the library to
// close the wsi.
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

// Name of the only protocol of the loop's context.
inline constexpr char kRawProtocolName[] = "mimosa-raw";
// Callback of that protocol: passes each event on to the owner of its wsi.
int RawProtocolCallback(lws* wsi, lws_callback_reasons reason, void* user,
                        void* in, size_t len);

// Owns one wsi. Destroying the owner closes the wsi; when the library closes
// the wsi, the owner receives LWS_CALLBACK_RAW_CLOSE_FILE.
class WsiOwner {
 public:
  WsiOwner() = default;
  WsiOwner(const WsiOwner&) = delete;
  WsiOwner& operator=(const WsiOwner&) = delete;
  virtual ~WsiOwner();

  // Called by RawProtocolCallback(). The result goes to libwebsockets; -1 makes
  // it close the wsi.
  int Dispatch(lws_callback_reasons reason, void* in, size_t len);

 protected:
  // Handles one event. `this` may be destroyed within the call, if no member is
  // accessed afterwards.
  virtual int OnEvent(lws_callback_reasons reason, void* in, size_t len) = 0;

  lws* wsi() const { return wsi_; }
  lws** wsi_slot() { return &wsi_; }
  void set_wsi(lws* wsi) { wsi_ = wsi; }

 private:
  lws* wsi_ = nullptr;  // nullptr once the library has closed it
  // Points to a flag in the running Dispatch() call, which the destructor sets;
  // nullptr outside of Dispatch().
  bool* destroyed_ = nullptr;
};

// Makes the loop poll `fd` and pass its events to `owner`. Takes ownership of
// `fd`. Returns nullptr and closes `fd` if the library can't add it.
lws* AdoptDescriptor(LwsLoop* loop, int fd, WsiOwner* owner);

// Returns false if the endpoint's address is not a numeric one.
bool ToSockaddr(const Endpoint& endpoint, sockaddr_storage* storage,
                socklen_t* length);
Endpoint FromSockaddr(const sockaddr_storage& storage);

// A TCP connection with buffered writes.
class RawSocket : public WsiOwner {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    // The connection of a socket from Connect() is established.
    virtual void OnConnected() {}
    virtual void OnRead(std::string_view data) = 0;
    // The write buffer has become empty: the kernel has accepted all data.
    virtual void OnDrained() = 0;
    // The peer has closed its end in order. Returns whether to keep the
    // connection; OnClosed() then follows when it is reset or fails. Else
    // OnClosed() follows at once, unless the socket was destroyed.
    virtual bool OnEof() { return false; }
    // The peer has closed the connection, or the connection failed or could not
    // be established. This is the last callback.
    virtual void OnClosed() = 0;
  };

  // Takes ownership of a connected non-blocking socket. Returns nullptr and
  // closes `fd` if the library can't add it.
  static std::unique_ptr<RawSocket> Adopt(LwsLoop* loop, int fd,
                                          Handler* handler);
  // Starts to connect. Returns nullptr if that fails immediately. No callback
  // runs within this call.
  static std::unique_ptr<RawSocket> Connect(LwsLoop* loop, const Endpoint& to,
                                            Handler* handler);

  // Writes as much as the kernel accepts now and buffers the rest.
  void Send(std::string_view data);
  // Number of buffered bytes that the kernel has not accepted yet.
  size_t unsent_bytes() const { return write_buffer_.size() - write_offset_; }
  // Number of bytes that the kernel has accepted so far.
  uint64_t bytes_written() const { return bytes_written_; }
  // Number of bytes that the peer's kernel has not acknowledged.
  size_t undelivered_bytes() const;
  // In OnClosed(): whether the connection was refused.
  bool refused() const { return refused_; }
  // Stops (true) or resumes (false) reading.
  void Pause(bool pause);
  // Sends FIN; reading continues. May be called only when all data is written.
  void ShutdownWrite();

 private:
  RawSocket(LwsLoop* loop, int fd, Handler* handler)
      : loop_(loop), fd_(fd), handler_(handler) {}
  int OnEvent(lws_callback_reasons reason, void* in, size_t len) override;
  int OnConnectCompleted();
  int OnReadable();
  int OnWritable();
  void RequestWritable();
  // Writes as much as the kernel accepts; returns the number of bytes.
  size_t WriteNow(std::string_view data);

  LwsLoop* const loop_;
  const int fd_;  // owned and closed by the wsi
  Handler* const handler_;
  bool connected_ = false;
  bool paused_ = false;
  bool write_failed_ = false;  // a write failed; OnClosed() follows
  bool refused_ = false;       // nothing listens at the peer's address
  std::string write_buffer_;   // [write_offset_, size()) is not written yet
  size_t write_offset_ = 0;    // <= write_buffer_.size()
  uint64_t bytes_written_ = 0;
  // Lets posted callbacks detect that the socket was destroyed.
  const std::shared_ptr<char> alive_ = std::make_shared<char>();
};

// A listening socket. It doesn't set SO_REUSEPORT, so that no other process can
// listen on the same port.
class Listener : public WsiOwner {
 public:
  // Receives each accepted non-blocking socket and takes ownership of it.
  using AcceptCallback = std::function<void(int fd, const Endpoint& client)>;

  // Returns nullptr if the address can't be listened on.
  static std::unique_ptr<Listener> Open(LwsLoop* loop, const Endpoint& address,
                                        AcceptCallback on_accept);
  uint16_t port() const { return port_; }
  // Accepts all connections that the kernel has established.
  void AcceptPending();

 private:
  Listener(LwsLoop* loop, int fd, AcceptCallback on_accept)
      : loop_(loop), fd_(fd), on_accept_(std::move(on_accept)) {}
  int OnEvent(lws_callback_reasons reason, void* in, size_t len) override;

  LwsLoop* const loop_;
  const int fd_;  // owned and closed by the wsi
  const AcceptCallback on_accept_;
  uint16_t port_ = 0;
  TimerHandle retry_timer_;  // set while accepting is paused
};

}  // namespace mimosa::detail

#endif  // NET_RAW_SOCKET_H_
