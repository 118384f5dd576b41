// Calls the operator ports of routers and parses their metrics.
#include "tools/mimosactl_routers.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <memory>
#include <sstream>

#include "base/json.h"

namespace mimosa {
namespace {

constexpr int kStatusOk = 200;
constexpr Duration kVersionPollInterval = std::chrono::milliseconds(100);
// The member of /status with the catalogue version in force.
constexpr char kVersionMember[] = "catalogue_version";

uint64_t CatalogueVersionOf(const RouterStatus& router) {
  if (!router.responded || !router.status.isObject()) return 0;
  const Json::Value& version = router.status[kVersionMember];
  if (version.isUInt64()) return version.asUInt64();
  // Protobuf's JSON mapping writes 64-bit numbers as strings.
  return version.isString() ? std::strtoull(version.asCString(), nullptr, 10)
                            : 0;
}

double ParseBound(const std::string& text) {
  return text == "+Inf" ? std::numeric_limits<double>::infinity()
                        : std::strtod(text.c_str(), nullptr);
}

void AddBucket(double bound, double count, HistogramBuckets* buckets) {
  const auto at = std::lower_bound(
      buckets->begin(), buckets->end(), bound,
      [](const auto& bucket, double b) { return bucket.first < b; });
  if (at != buckets->end() && at->first == bound)
    at->second += count;
  else
    buckets->insert(at, {bound, count});
}

// Removes `le="..."` from `*labels` and returns its value, or "" if absent.
std::string ExtractBound(std::string* labels) {
  const size_t begin = labels->find("le=\"");
  if (begin == std::string::npos) return "";
  const size_t value = begin + 4;
  const size_t end = labels->find('"', value);
  if (end == std::string::npos) return "";
  std::string bound = labels->substr(value, end - value);
  // Includes the comma before it.
  const size_t from = begin > 0 ? begin - 1 : begin;
  labels->erase(from, end + 1 - from);
  return bound;
}

}  // namespace

void AddHistograms(const std::string& scrape, const std::string& metric,
                   HistogramsByLabels* into) {
  const std::string prefix = metric + "_bucket{";
  std::istringstream lines(scrape);
  for (std::string line; std::getline(lines, line);) {
    const size_t close = line.rfind("} ");
    if (line.rfind(prefix, 0) != 0 || close == std::string::npos) continue;
    std::string labels = line.substr(prefix.size(), close - prefix.size());
    const std::string bound = ExtractBound(&labels);
    if (bound.empty()) continue;
    const double count = std::strtod(line.c_str() + close + 2, nullptr);
    AddBucket(ParseBound(bound), count, &(*into)[labels]);
  }
}

double QuantileOf(const HistogramBuckets& buckets, double quantile) {
  if (buckets.empty() || buckets.back().second == 0) return 0;
  const double rank = std::ceil(quantile * buckets.back().second);
  for (const auto& [bound, count] : buckets)
    if (count >= rank) return bound;
  return buckets.back().first;
}

RouterClient::RouterClient(LwsLoop* loop, HttpClient* client,
                           std::vector<Endpoint> routers,
                           std::string operator_secret, Duration timeout)
    : loop_(loop),
      client_(client),
      routers_(std::move(routers)),
      operator_secret_(std::move(operator_secret)),
      timeout_(timeout) {}

std::vector<HttpResult> RouterClient::FetchFromAll(const std::string& target) {
  std::vector<HttpResult> results(routers_.size());
  std::vector<std::unique_ptr<HttpCall>> calls;
  size_t pending = routers_.size();
  for (size_t i = 0; i < routers_.size(); ++i) {
    HttpCallOptions options;
    options.to = routers_[i];
    options.head_timeout = timeout_;
    options.idle_timeout = timeout_;
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    request.headers.Add("Authorization", "Bearer " + operator_secret_);
    calls.push_back(Fetch(client_, options, std::move(request),
                          [this, i, &results, &pending](HttpResult result) {
                            results[i] = std::move(result);
                            if (--pending == 0) loop_->Stop();
                          }));
  }
  while (pending > 0) loop_->Run();
  return results;
}

std::vector<RouterStatus> RouterClient::FetchStatus() {
  std::vector<RouterStatus> routers;
  routers.reserve(routers_.size());
  const std::vector<HttpResult> results = FetchFromAll("/status");
  for (size_t i = 0; i < results.size(); ++i) {
    RouterStatus router;
    router.address = routers_[i].ToString();
    const HttpResult& result = results[i];
    const auto json = ParseJson(result.response.body);
    if (!result.ok) {
      router.error = HttpFailureName(result.failure);
    } else if (result.response.status != kStatusOk || !json) {
      router.error = "status " + std::to_string(result.response.status);
    } else {
      router.responded = true;
      router.status = *json;
    }
    routers.push_back(std::move(router));
  }
  return routers;
}

std::vector<std::string> RouterClient::FetchMetrics(const std::string& query) {
  std::vector<std::string> scrapes;
  for (HttpResult& result : FetchFromAll("/metrics" + query))
    if (result.ok && result.response.status == kStatusOk)
      scrapes.push_back(std::move(result.response.body));
  return scrapes;
}

bool RouterClient::AwaitVersion(uint64_t version, Duration wait) {
  const MonoTime deadline = loop_->Now() + wait;
  for (;;) {
    const std::vector<RouterStatus> routers = FetchStatus();
    if (std::all_of(routers.begin(), routers.end(),
                    [version](const RouterStatus& router) {
                      return CatalogueVersionOf(router) >= version;
                    }))
      return true;
    if (loop_->Now() >= deadline) return false;
    SleepFor(kVersionPollInterval);
  }
}

void RouterClient::SleepFor(Duration duration) {
  bool elapsed = false;
  const TimerHandle timer = loop_->After(duration, [this, &elapsed] {
    elapsed = true;
    loop_->Stop();
  });
  while (!elapsed) loop_->Run();
}

}  // namespace mimosa
