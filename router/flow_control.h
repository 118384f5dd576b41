// Small pieces that service and model calls share: which headers of an answer
// go on to the caller, and back pressure between the two connections.
#ifndef ROUTER_FLOW_CONTROL_H_
#define ROUTER_FLOW_CONTROL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "net/http.h"

namespace mimosa {

// The headers of an answer (net/http.h: without connection-level fields)
// without Content-Length and our own fields.
HttpHeaders ForwardedResponseHeaders(const HttpHeaders& headers);

// The number in a Content-Length field; -1 if it isn't one.
int64_t ParseContentLength(const std::string& text);

// Stops reading `from` while more than kHighWater bytes wait to be written to
// `to`, so that a slow caller costs bounded memory. Neither is owned; `from`
// must outlive this object.
class FlowControl {
 public:
  static constexpr size_t kHighWaterBytes = 256U << 10;

  FlowControl(HttpExchange* to, HttpCall* from);
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
