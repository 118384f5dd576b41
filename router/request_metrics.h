// Counts and times all requests, by customer and class.
#ifndef ROUTER_REQUEST_METRICS_H_
#define ROUTER_REQUEST_METRICS_H_

#include "base/metrics.h"
#include "router/frontend.h"

namespace mimosa {

class RequestMetrics : public RequestObserver {
 public:
  explicit RequestMetrics(MetricsRegistry* registry);

  void OnRequestEnd(const RequestReport& report) override;

 private:
  CustomerCounters* const requests_;  // by outcome
  CustomerCounters* const refusals_;  // by refusal
  CustomerCounters* const tokens_;    // prompt and output
  CustomerHistograms* const duration_;
  CustomerHistograms* const first_token_;
  CustomerHistograms* const token_gap_;
  Counter* const unmatched_;  // requests without a route
};

}  // namespace mimosa

#endif  // ROUTER_REQUEST_METRICS_H_
