// Counts all requests and measures their durations, by customer and class.
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
  CustomerCounters* const requests_;  // labelled by outcome
  CustomerCounters* const refusals_;  // labelled by refusal reason
  CustomerCounters* const tokens_;    // labelled "prompt" and "output"
  CustomerHistograms* const duration_;
  CustomerHistograms* const first_token_;
  CustomerHistograms* const token_gap_;
  Counter* const unmatched_;  // requests that matched no route
};

}  // namespace mimosa

#endif  // ROUTER_REQUEST_METRICS_H_
