// Serves the callers' port: admits each request, passes it to a service or
// model call, and cancels it when its caller disconnects, its key is withdrawn
// or its deadline passes.
//
// The health check is answered first. Other requests are checked in this order:
// route and method; body size; the state of this daemon; credentials; key. A
// request that fails a check was not sent anywhere. The keys of all running
// requests are checked again at each change of the catalogue, so withdrawing a
// key also ends requests on open connections.
#ifndef ROUTER_FRONTEND_H_
#define ROUTER_FRONTEND_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "router/catalogue_view.h"
#include "router/fleet.h"
#include "router/request.h"

namespace mimosa {

// The result of one request, for counters and histograms.
struct RequestReport {
  CustomerId customer;  // empty: open route, or not admitted
  RouteId route;        // empty: no route matched
  wire::RequestClass request_class = wire::REQUEST_CLASS_UNSPECIFIED;
  int status = 0;  // 0: the caller left without a response
  Outcome outcome = Outcome::kNotRun;
  const Refusal* refusal = nullptr;  // valid during the call only
  Duration total_duration{};
  RequestResult result;
};

// Is notified of the end of each request.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnRequestEnd(const RequestReport& report) = 0;
};

struct FrontendOptions {
  // Number of slots of the fleet.
  int slot_count = 64;
  size_t max_body_bytes = 8U << 20;
  // Requests on routes that need a key are refused once neither platform nor
  // peers have been heard from for longer than this, because this daemon might
  // have missed the withdrawal of a key.
  Duration max_silence = std::chrono::seconds(5);
  // Returns whether this daemon's member lease is confirmed by as many
  // witnesses as the fleet allows. Called until the daemon is ready for the
  // first time.
  std::function<bool()> lease_has_required_witnesses = [] { return true; };
  bool strip_keys = true;    // test only: "key-strip"
  bool recheck_keys = true;  // test only: "key-sweep"
};

class Frontend : public HttpHandler {
 public:
  using StartCall = std::function<std::unique_ptr<RunningRequest>(
      RequestContext context, RequestDoneCallback done)>;

  Frontend(EventLoop* loop, const CatalogueView* catalogue, const Fleet* fleet,
           RequestObserver* observer, StartCall start_service_call,
           StartCall start_model_call, const FrontendOptions& options);
  ~Frontend() override;

  // HttpHandler:
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

  // Makes the health check fail from now on. Requests are still served.
  void BeginLeaving() { leaving_ = true; }

  // Cancels running requests whose key doesn't belong to their customer in the
  // current catalogue any more.
  void CancelRequestsWithWithdrawnKeys();

  size_t running_count() const { return running_.size(); }

 private:
  struct RunningEntry;

  void AnswerHealthCheck(HttpExchange* exchange);
  // Returns whether this daemon has everything it needs to serve. Once true, it
  // stays true: a temporary loss later must not make the load balancer remove
  // all daemons.
  bool IsReady();
  // Refuses the request and returns true if this daemon has been out of touch
  // for too long to serve it. Requests on open routes are never refused here.
  bool RefuseIfOutOfTouch(ResponseWriter* writer, bool open) const;
  bool FindRoute(const HttpRequest& request, RequestContext* context) const;
  bool Authenticate(const HttpRequest& request, RequestContext* context) const;
  void StartRequest(uint64_t serial, RequestContext context);
  void CancelRequest(uint64_t serial, CancelReason reason);
  void OnRequestDone(uint64_t serial, const RequestResult& result);
  void ReportRequest(const RequestContext& context,
                     const RequestResult& result);

  EventLoop* const loop_;
  const CatalogueView* const catalogue_;
  const Fleet* const fleet_;
  RequestObserver* const observer_;
  const StartCall start_service_call_;
  const StartCall start_model_call_;
  const FrontendOptions options_;

  uint64_t next_serial_ = 1;
  // Admitted requests by serial. An entry exists until the call has run `done`.
  std::map<uint64_t, std::unique_ptr<RunningEntry>> running_;
  bool leaving_ = false;
  bool was_ready_ = false;
  const std::shared_ptr<bool> alive_;  // false once destroyed
};

}  // namespace mimosa

#endif  // ROUTER_FRONTEND_H_
