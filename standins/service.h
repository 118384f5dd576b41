// Stand-in for a plain service. It responds to any request, and journals each
// execution before the response, so that a test can compare what was executed
// with the responses that callers received.
//
//   X-Echo: body | chunked   the response is the request's body, with a length
//                            or chunked; else a JSON description of the request
//   X-Status: <n>            status of the response
//   POST /debug/behave       sets members of Faults
//   GET  /debug/journal      {"runs": [...]}
//   GET  /debug/received     raw head and body of the requests received
#ifndef STANDINS_SERVICE_H_
#define STANDINS_SERVICE_H_

#include <json/value.h>

#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/http.h"
#include "standins/delayed_tasks.h"
#include "standins/http_json.h"

namespace mimosa::standins {

class Service : public HttpHandler {
 public:
  Service(EventLoop* loop, std::string name);

  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

 private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct Faults {
    Duration run_delay{};  // "delay_ms": delay before the execution
    // "late_ms": delay between execution and response.
    Duration response_delay{};
    // This many next requests are closed without execution.
    int64_t close_before_run = 0;
    // This many next requests are executed but get no response.
    int64_t close_after_run = 0;
    // Responses are aborted after this many bytes; -1: never.
    int64_t close_after_bytes = -1;
    // Responses are chunked and lack their last chunk.
    bool cut_chunked = false;
  };

  void HandleDebug(const ExchangePtr& exchange, const std::string& path);
  void SetFaults(const ExchangePtr& exchange);
  void ExecuteRequest(const ExchangePtr& exchange);
  void SendResponse(const ExchangePtr& exchange, int64_t run);
  void WriteResponse(const ExchangePtr& exchange, HttpResponse response);
  // Records an execution and returns its number, counted from 1.
  int64_t JournalRun(const HttpRequest& request);
  Json::Value DescribeRequest(const HttpRequest& request, int64_t run) const;

  EventLoop* const loop_;
  const std::string name_;
  Faults faults_;
  ReceivedLog received_log_;
  Json::Value runs_{Json::arrayValue};
  DelayedTasks delayed_tasks_;
};

}  // namespace mimosa::standins

#endif  // STANDINS_SERVICE_H_
