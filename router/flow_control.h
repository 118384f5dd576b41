// Helpers shared by service and model calls: which response headers are
// forwarded to the caller, and back pressure between the two connections.
#ifndef ROUTER_FLOW_CONTROL_H_
#define ROUTER_FLOW_CONTROL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "net/http.h"

namespace mimosa {

// Returns the headers of a response (net/http.h: without connection-level
// fields) without Content-Length and without this router's own "Mimosa-"
// fields.
HttpHeaders ForwardedResponseHeaders(const HttpHeaders& headers);

// Parses the value of a Content-Length field. Returns -1 if it isn't a
// non-negative number.
int64_t ParseContentLength(const std::string& text);

// Stops reading from `upstream` when more than kHighWaterBytes wait to be
// written to `downstream`, and continues when they are written. This bounds the
// memory that a slow caller costs. Neither is owned; `upstream` must outlive
// this object.
class FlowControl {
 public:
  static constexpr size_t kHighWaterBytes = 256U << 10;

  FlowControl(HttpExchange* downstream, HttpCall* upstream);
  ~FlowControl();
  void PauseIfBacklogged();

 private:
  HttpExchange* const downstream_;
  HttpCall* const upstream_;
  bool upstream_paused_ = false;
  const std::shared_ptr<bool> alive_;  // false once destroyed
};

}  // namespace mimosa

#endif  // ROUTER_FLOW_CONTROL_H_
