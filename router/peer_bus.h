// Calls between the daemons: JSON-RPC 2.0 over HTTP on the peers' port.
//
// A call is named by its method and carries one schema message each way. Every
// daemon both serves and calls. A call that fails tells whether the other side
// can have seen it; callers must be idempotent or able to tell.
#ifndef ROUTER_PEER_BUS_H_
#define ROUTER_PEER_BUS_H_

#include <google/protobuf/message.h>

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "net/http.h"

namespace mimosa {

enum class PeerStatus {
  kOk,
  kNotSent,  // the peer can't have seen the call
  kNoReply,  // the peer may have acted on it
  kRefused,  // the peer knows no such method, or the params were malformed
};
const char* PeerStatusName(PeerStatus status);

// The peer's side of one call. Reply() may come later; at most once. Dropping
// it unanswered ends the call with kNoReply at the caller.
class PeerReply {
 public:
  virtual ~PeerReply() = default;
  virtual void Reply(const google::protobuf::Message& result) = 0;
  // True once the caller has gone (or been answered).
  virtual bool closed() const = 0;
  virtual void OnCallerDisconnected(std::function<void()> callback) = 0;
};

// An unanswered call; destroying it closes the connection, which tells the peer
// that the caller has gone.
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

  // Serves `method`: params are parsed into a copy of `prototype` (which must
  // outlive the bus, e.g. T::default_instance()).
  virtual void RegisterMethod(const std::string& method,
                              const google::protobuf::Message& prototype,
                              MethodHandler serve) = 0;

  // Calls `method` at `to`. On kOk, `*result` holds the answer; it must outlive
  // the call. `done` runs once, from the loop, unless the call is destroyed.
  [[nodiscard]] virtual std::unique_ptr<PeerCall> Call(
      const Endpoint& to, const std::string& method,
      const google::protobuf::Message& params,
      google::protobuf::Message* result, Duration timeout,
      DoneCallback done) = 0;

  // Bytes of peer traffic so far, both ways, heads included.
  virtual uint64_t bytes_sent() const = 0;
  virtual uint64_t bytes_received() const = 0;
};

struct PeerBusOptions {
  Endpoint listen;
  std::string secret;  // shared by the daemons of a deployment
};

// The bus over our own HTTP server and client: POST /rpc, one JSON-RPC batch
// each. A request without "Authorization: Bearer <secret>" gets 401.
class HttpPeerBus : public PeerBus {
 public:
  // The port listened on (the one chosen, where the options say 0).
  virtual uint16_t port() const = 0;
};

// Returns nullptr when the address can't be listened on. `loop` and `client`
// must outlive the bus.
std::unique_ptr<HttpPeerBus> MakePeerBus(LwsLoop* loop, HttpClient* client,
                                         const PeerBusOptions& options);

}  // namespace mimosa

#endif  // ROUTER_PEER_BUS_H_
