// What mimosactl asks the routers' operators' ports: status and metrics.
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
  std::string error;   // if not answered
  Json::Value status;  // what it said
};

// Cumulative counts of one histogram by upper bound ("0.1", "+Inf"), in order
// of the bounds.
using HistogramBuckets = std::vector<std::pair<double, double>>;

// Histograms of one metric by their labels other than "le", added up.
using HistogramsByLabels = std::map<std::string, HistogramBuckets>;

// Adds the buckets of `metric` ("x_bucket" lines) in a scrape to `*into`.
void AddHistograms(const std::string& scrape, const std::string& metric,
                   HistogramsByLabels* into);

// The bound below which `quantile` of the observations lie; +Inf if beyond the
// last bound, 0 if there are none.
double QuantileOf(const HistogramBuckets& buckets, double quantile);

// Asks several routers at once and waits for all.
class RouterClient {
 public:
  RouterClient(LwsLoop* loop, HttpClient* client, std::vector<Endpoint> routers,
               std::string operator_secret, Duration timeout);

  std::vector<RouterStatus> FetchStatus();
  // The metrics of each router that answered.
  std::vector<std::string> FetchMetrics(const std::string& query);
  // Whether all routers have at least this version in force by then.
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
