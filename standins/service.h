// The stand-in plain service: answers any request and journals each execution
// before it answers, so that a test can compare what ran with what callers were
// told.
//
//   X-Echo: body | chunked   the answer is the request's body, at once or in
//                            chunks; else a JSON description of the request
//   X-Status: <n>            status of the answer
//   POST /debug/behave       any of the members of Behaviour
//   GET  /debug/journal      {"runs": [...]}
//   GET  /debug/received     raw head and body of all requests
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
    Duration run_delay{};            // "delay_ms": before the execution
    Duration response_delay{};       // "late_ms": between execution and answer
    int64_t close_before_run = 0;    // next requests closed without execution
    int64_t close_after_run = 0;     // next requests executed and not answered
    int64_t close_after_bytes = -1;  // answers cut after so many bytes
    bool cut_chunked = false;        // answers lack their last chunk
  };

  void HandleDebug(const ExchangePtr& exchange, const std::string& path);
  void SetFaults(const ExchangePtr& exchange);
  void ExecuteRequest(const ExchangePtr& exchange);
  void SendResponse(const ExchangePtr& exchange, int64_t run);
  void WriteResponse(const ExchangePtr& exchange, HttpResponse response);
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
