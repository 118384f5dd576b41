// Small pieces that service and model calls share: which headers of an answer
// go on to the caller, and back pressure between the two connections.
#ifndef ROUTER_FLOW_H_
#define ROUTER_FLOW_H_

#include <cstdint>
#include <memory>
#include <string>

#include "net/http.h"

namespace mimosa {

// The headers of an answer (net/http.h: without connection-level fields)
// without Content-Length and our own fields.
HttpHeaders AnswerHeaders(const HttpHeaders& headers);

// The number in a Content-Length field; -1 if it isn't one.
int64_t ParseLength(const std::string& text);

// Stops reading `from` while more than kHighWater bytes wait to be written to
// `to`, so that a slow caller costs bounded memory. Neither is owned; `from`
// must outlive this object.
class FlowControl {
 public:
  static constexpr size_t kHighWater = 256U << 10;

  FlowControl(HttpExchange* to, HttpCall* from);
  ~FlowControl();
  void AfterWrite();

 private:
  HttpExchange* const to_;
  HttpCall* const from_;
  bool paused_ = false;
  const std::shared_ptr<bool> alive_;  // false once destroyed
};

}  // namespace mimosa

#endif  // ROUTER_FLOW_H_
