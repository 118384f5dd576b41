// The callers' port: admits each request, hands it to a service or model call,
// and ends it when its caller, its key or its time is gone.
//
// Admission, in this order: health check; this daemon's own state; route and
// method; body size; credentials; key. A request that fails any of these was
// not sent anywhere. The keys of all running requests are looked up again at
// each change of the catalogue: withdrawal reaches open connections.
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

// What the front reports about each request, for counters and histograms.
struct RequestReport {
  CustomerId customer;  // empty: open route, or not admitted
  RouteId route;        // empty: none was found
  wire::RequestClass request_class = wire::REQUEST_CLASS_UNSPECIFIED;
  int status = 0;  // 0: the caller went away before an answer
  Outcome outcome = Outcome::kNotRun;
  const Refusal* refusal = nullptr;  // valid during the call only
  Duration total{};
  RequestResult result;
};

class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnRequestEnd(const RequestReport& report) = 0;
};

struct FrontendOptions {
  int slot_count = 64;  // the fleet's
  size_t max_body_bytes = 8U << 20;
  // Without word from platform and peers for so long, keyed requests are
  // refused: this daemon would not hear of a withdrawn key.
  Duration max_silence = std::chrono::seconds(5);
  // Whether this daemon's term is backed as well as the fleet allows; asked for
  // the first readiness.
  std::function<bool()> lease_has_required_witnesses = [] { return true; };
  bool strip_keys = true;    // test only: "key-strip"
  bool recheck_keys = true;  // test only: "key-sweep"
};

class Frontend : public HttpHandler {
 public:
  using StartCall = std::function<std::unique_ptr<RunningRequest>(
      RequestContext context, RequestDoneCallback done)>;

  Frontend(EventLoop* loop, const CatalogueView* catalogue, const Fleet* fleet,
           RequestObserver* observer, StartCall start_service,
           StartCall start_model, const FrontendOptions& options);
  ~Frontend() override;

  // HttpHandler:
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override;

  // From now on the health check fails; requests are still served.
  void BeginLeaving() { leaving_ = true; }

  // Ends running requests whose key the current catalogue doesn't give to
  // their customer any more.
  void CancelRequestsWithWithdrawnKeys();

  size_t running_count() const { return running_.size(); }

 private:
  struct RunningEntry;

  void AnswerHealthCheck(HttpExchange* exchange);
  // Whether this daemon has all it needs to serve. Asked until it first holds:
  // what is lost later for a while must not take all daemons from the balancer.
  bool IsReady();
  // The reason why this daemon admits no request now, or none.
  bool RefuseIfOutOfTouch(ResponseWriter* answer, bool open) const;
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
  // Entries live from admission until their call's `done`.
  std::map<uint64_t, std::unique_ptr<RunningEntry>> running_;
  bool leaving_ = false;
  bool was_ready_ = false;
  const std::shared_ptr<bool> alive_;  // false once destroyed
};

}  // namespace mimosa

#endif  // ROUTER_FRONTEND_H_
