// Retries among arrivals, in sliding windows.
#include "tests/retry_count.h"

#include <algorithm>
#include <ctime>
#include <map>

namespace mimosa::testing {
namespace {

// Time between two windows that are compared.
constexpr int64_t kStepMs = 50;

int64_t CountBetween(const std::vector<int64_t>& times, int64_t from,
                     int64_t to) {
  return std::count_if(times.begin(), times.end(),
                       [=](int64_t time) { return time >= from && time < to; });
}

}  // namespace

int64_t NowMs() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return int64_t{ts.tv_sec} * 1000 + ts.tv_nsec / 1'000'000;
}

std::vector<Arrival> ReadArrivals(const Json::Value& journal) {
  std::vector<Arrival> arrivals;
  for (const Json::Value& item : journal["arrivals"])
    arrivals.push_back({item["id"].asString(), item["ms"].asInt64(),
                        item["prefill"].asBool()});
  return arrivals;
}

std::vector<int64_t> FindRetries(const std::vector<Arrival>& arrivals) {
  std::map<std::string, std::vector<Arrival>> by_request;
  for (const Arrival& arrival : arrivals)
    by_request[arrival.request].push_back(arrival);
  std::vector<int64_t> retries;
  for (auto& [request, list] : by_request) {
    std::sort(list.begin(), list.end(),
              [](const Arrival& a, const Arrival& b) { return a.ms < b.ms; });
    const auto prefill = std::find_if(
        list.begin(), list.end(),
        [](const Arrival& arrival) { return arrival.accepted_prefill; });
    if (prefill != list.end()) list.erase(prefill);
    for (size_t i = 1; i < list.size(); ++i) retries.push_back(list[i].ms);
  }
  return retries;
}

std::string FindExcessRetries(const std::vector<int64_t>& requests,
                              const std::vector<Arrival>& arrivals,
                              const RetryBound& bound) {
  const std::vector<int64_t> retries = FindRetries(arrivals);
  if (retries.empty()) return "";
  double worst_excess = 0;
  std::string worst;
  const auto [first, last] =
      std::minmax_element(retries.begin(), retries.end());
  for (int64_t from = *first - bound.window_ms; from <= *last;
       from += kStepMs) {
    int64_t sent = 0;
    for (const int64_t shift :
         {int64_t{0}, bound.window_ms / 2, bound.window_ms})
      sent = std::max(sent, CountBetween(requests, from - shift,
                                         from - shift + bound.window_ms));
    const auto arrived = static_cast<double>(
        CountBetween(retries, from, from + bound.window_ms));
    const double allowed =
        bound.ratio * static_cast<double>(sent) + bound.slack;
    if (arrived - allowed <= worst_excess) continue;
    worst_excess = arrived - allowed;
    worst = std::to_string(static_cast<int64_t>(arrived)) + " retries for " +
            std::to_string(sent) + " requests, allowed " +
            std::to_string(static_cast<int64_t>(allowed));
  }
  return worst;
}

}  // namespace mimosa::testing
