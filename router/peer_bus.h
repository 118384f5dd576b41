// Remote procedure calls between daemons: JSON-RPC 2.0 over HTTP on the peer
// port.
//
// A call names a method and carries one protobuf message each way. Every daemon
// is both a server and a client. The status of a failed call says whether the
// peer may have seen it; callers must either be idempotent or be able to tell
// whether the call took effect.
#ifndef ROUTER_PEER_BUS_H_
#define ROUTER_PEER_BUS_H_

#include <google/protobuf/message.h>

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "net/http.h"

namespace mimosa {

// Outcome of a call.
enum class PeerStatus {
  kOk,
  kNotSent,  // the peer can't have seen the call
  kNoReply,  // the peer may have acted on it
  kRefused,  // the peer knows no such method, or the params were malformed
};
const char* PeerStatusName(PeerStatus status);

// The server's side of one call. Reply() may be called after the method handler
// has returned, at most once. Destroying this object without a reply ends the
// call with kNoReply at the caller.
class PeerReply {
 public:
  virtual ~PeerReply() = default;
  virtual void Reply(const google::protobuf::Message& result) = 0;
  // Returns true once the caller has disconnected or the reply has been sent.
  virtual bool closed() const = 0;
  // Sets a callback that runs when the caller disconnects.
  virtual void OnCallerDisconnected(std::function<void()> callback) = 0;
};

// The client's side of a call in progress. Destroying it closes the connection,
// by which the peer notices that the caller has disconnected.
class PeerCall {
 public:
  virtual ~PeerCall() = default;
};

class PeerBus {
 public:
  using MethodHandler =
      std::function<void(const google::protobuf::Message& params,
                         std::shared_ptr<PeerReply> reply)>;
  using DoneCallback = std::function<void(PeerStatus)>;

  virtual ~PeerBus() = default;

  // Serves `method` by `handler`. Params are parsed into a new message of the
  // type of `prototype`, which must outlive the bus (T::default_instance()
  // does).
  virtual void RegisterMethod(const std::string& method,
                              const google::protobuf::Message& prototype,
                              MethodHandler handler) = 0;

  // Calls `method` at `to`. With kOk, `*result` holds the reply; it must
  // outlive the call. `done` runs once, from the event loop, unless the call is
  // destroyed before.
  [[nodiscard]] virtual std::unique_ptr<PeerCall> Call(
      const Endpoint& to, const std::string& method,
      const google::protobuf::Message& params,
      google::protobuf::Message* result, Duration timeout,
      DoneCallback done) = 0;

  // Bytes of peer traffic so far in each direction, HTTP headers included.
  virtual uint64_t bytes_sent() const = 0;
  virtual uint64_t bytes_received() const = 0;
};

struct PeerBusOptions {
  Endpoint listen;
  std::string secret;  // shared by the daemons of a deployment
};

// A bus over the HTTP server and client of net/. Each request is a POST of one
// JSON-RPC batch to /rpc. A request without "Authorization: Bearer <secret>"
// gets status 401.
class HttpPeerBus : public PeerBus {
 public:
  // Returns the port that the bus listens on. If the options specify port 0,
  // this is the port that the system chose.
  virtual uint16_t port() const = 0;
};

// Returns nullptr if the bus can't listen on the address. `loop` and `client`
// must outlive the bus.
std::unique_ptr<HttpPeerBus> MakePeerBus(LwsLoop* loop, HttpClient* client,
                                         const PeerBusOptions& options);

}  // namespace mimosa

#endif  // ROUTER_PEER_BUS_H_
