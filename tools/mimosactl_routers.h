// Fetches status and metrics from the routers' operator ports, for mimosactl.
#ifndef TOOLS_MIMOSACTL_ROUTERS_H_
#define TOOLS_MIMOSACTL_ROUTERS_H_

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/event_loop.h"
#include "net/http.h"

namespace mimosa {

struct RouterStatus {
  std::string address;
  bool responded = false;
  std::string error;   // why there is no status, if !responded
  Json::Value status;  // the parsed status page
};

// Holds one histogram as pairs of upper bound (0.1 for le="0.1") and cumulative
// count, sorted by bound. The last bound is infinity (le="+Inf").
using HistogramBuckets = std::vector<std::pair<double, double>>;

// Maps the labels other than "le" to a histogram of one metric.
using HistogramsByLabels = std::map<std::string, HistogramBuckets>;

// Adds the buckets of `metric` (its "_bucket" lines) in a Prometheus scrape to
// `*into`.
void AddHistograms(const std::string& scrape, const std::string& metric,
                   HistogramsByLabels* into);

// Returns the smallest bucket bound that at least a share `quantile` of the
// observations do not exceed: infinity if that is beyond the last finite bound,
// 0 if there are no observations.
double QuantileOf(const HistogramBuckets& buckets, double quantile);

// Queries all routers in parallel. Each call runs the event loop until every
// router has responded or timed out.
class RouterClient {
 public:
  RouterClient(LwsLoop* loop, HttpClient* client, std::vector<Endpoint> routers,
               std::string operator_secret, Duration timeout);

  std::vector<RouterStatus> FetchStatus();
  // Returns the metrics of each router that responded. `query` is appended to
  // the target /metrics.
  std::vector<std::string> FetchMetrics(const std::string& query);
  // Polls until all routers have at least this catalogue version in force.
  // Returns false if that takes longer than `wait`.
  bool AwaitVersion(uint64_t version, Duration wait);

 private:
  std::vector<HttpResult> FetchFromAll(const std::string& target);
  void SleepFor(Duration duration);

  LwsLoop* const loop_;
  HttpClient* const client_;
  const std::vector<Endpoint> routers_;
  const std::string operator_secret_;
  const Duration timeout_;
};

}  // namespace mimosa

#endif  // TOOLS_MIMOSACTL_ROUTERS_H_
