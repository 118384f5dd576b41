// Draws arrival times, request classes and token counts.
#include "tools/mimosa_load_plan.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "base/address.h"

namespace mimosa {
namespace {

// Returns the seconds until the next arrival of a Poisson process.
double DrawInterarrivalTime(double per_second, RandomSource* random) {
  return -std::log(1.0 - random->UniformDouble()) / per_second;
}

// Draws a length log-uniformly from [min, max], because real prompt lengths
// spread over several orders of magnitude.
Tokens DrawLength(int64_t min, int64_t max, RandomSource* random) {
  const double low = std::log(static_cast<double>(std::max<int64_t>(min, 1)));
  const double high = std::log(static_cast<double>(std::max(max, min)));
  return Tokens(
      std::llround(std::exp(low + ((high - low) * random->UniformDouble()))));
}

int DrawClass(const wire::Workload& workload, RandomSource* random) {
  double total_weight = 0;
  for (const auto& c : workload.classes()) total_weight += c.weight();
  double remaining_weight = total_weight * random->UniformDouble();
  for (int i = 0; i < workload.classes_size(); ++i) {
    remaining_weight -= workload.classes(i).weight();
    if (remaining_weight < 0) return i;
  }
  return workload.classes_size() - 1;
}

bool IsModelClass(const wire::WorkloadClass& c) {
  return c.prompt_tokens_max() > 0;
}

PlannedRequest DrawRequest(const wire::Workload& workload, int customer,
                           double at_seconds, RandomSource* random) {
  PlannedRequest request;
  request.send_offset = Duration(std::llround(at_seconds * 1e6));
  request.customer = customer;
  request.request_class = DrawClass(workload, random);
  const wire::WorkloadClass& c = workload.classes(request.request_class);
  if (!IsModelClass(c)) {
    request.cost = Tokens(std::max<int64_t>(c.cost_tokens(), 1));
    return request;
  }
  request.prompt_tokens =
      DrawLength(c.prompt_tokens_min(), c.prompt_tokens_max(), random);
  request.output_tokens =
      DrawLength(c.output_tokens_min(), c.output_tokens_max(), random);
  request.cost = request.prompt_tokens + request.output_tokens;
  return request;
}

// Simulates the customer's token bucket, which starts full, and marks the
// requests that it covers. PATIENT requests over the limit wait for tokens and
// are charged in the end, so they leave a debt that puts later requests over
// the limit too. Other requests over the limit are refused and charged nothing.
void MarkWithinRateLimit(const wire::Workload& workload,
                         const wire::WorkloadCustomer& customer,
                         std::vector<PlannedRequest>* requests) {
  const auto burst = static_cast<double>(customer.burst_tokens());
  const auto rate = static_cast<double>(customer.rate_tokens_per_second());
  double level = burst;
  Duration last_time{};
  for (PlannedRequest& request : *requests) {
    level = std::min(
        burst, level + (rate * ToSeconds(request.send_offset - last_time)));
    last_time = request.send_offset;
    const auto cost = static_cast<double>(request.cost.count());
    request.within_rate_limit = cost <= level;
    const auto& c = workload.classes(request.request_class);
    if (request.within_rate_limit || c.request_class() == wire::PATIENT)
      level -= cost;
  }
}

leaf::error_id MakeError(WorkloadErrorKind kind, const std::string& field) {
  return leaf::new_error(WorkloadError{kind, field});
}

leaf::result<void> CheckClass(const wire::WorkloadClass& c) {
  if (!(c.weight() > 0))
    return MakeError(WorkloadErrorKind::kOutOfRange, "classes.weight");
  if (c.method().empty() || c.target().empty() || c.target()[0] != '/')
    return MakeError(WorkloadErrorKind::kMalformed, "classes.method or target");
  if (c.prompt_tokens_min() < 0 ||
      c.prompt_tokens_max() < c.prompt_tokens_min() ||
      c.output_tokens_max() < c.output_tokens_min())
    return MakeError(WorkloadErrorKind::kOutOfRange, "classes lengths");
  if (IsModelClass(c) && c.output_tokens_min() < 1)
    return MakeError(WorkloadErrorKind::kOutOfRange,
                     "classes.output_tokens_min");
  return {};
}

}  // namespace

leaf::result<void> CheckWorkload(const wire::Workload& workload) {
  if (workload.classes().empty())
    return MakeError(WorkloadErrorKind::kEmpty, "classes");
  if (workload.customers().empty())
    return MakeError(WorkloadErrorKind::kEmpty, "customers");
  for (const auto& c : workload.classes()) BOOST_LEAF_CHECK(CheckClass(c));
  for (const auto& customer : workload.customers())
    if (!(customer.requests_per_second() >= 0) || customer.id().empty())
      return MakeError(WorkloadErrorKind::kOutOfRange, "customers");
  for (const auto& fault : workload.faults())
    if (!fault.address().empty() && !IsConnectableAddress(fault.address()))
      return MakeError(WorkloadErrorKind::kMalformed, "faults.address");
  return {};
}

std::vector<PlannedRequest> PlanRequests(const wire::Workload& workload,
                                         Duration duration, double speed,
                                         RandomSource* random) {
  std::vector<PlannedRequest> requests;
  for (int i = 0; i < workload.customers_size(); ++i) {
    const wire::WorkloadCustomer& customer = workload.customers(i);
    const double rate = customer.requests_per_second() * speed;
    if (!(rate > 0)) continue;
    std::vector<PlannedRequest> customer_requests;
    for (double at = DrawInterarrivalTime(rate, random);
         at < ToSeconds(duration); at += DrawInterarrivalTime(rate, random))
      customer_requests.push_back(DrawRequest(workload, i, at, random));
    MarkWithinRateLimit(workload, customer, &customer_requests);
    requests.insert(requests.end(), customer_requests.begin(),
                    customer_requests.end());
  }
  std::stable_sort(requests.begin(), requests.end(),
                   [](const PlannedRequest& a, const PlannedRequest& b) {
                     return a.send_offset < b.send_offset;
                   });
  return requests;
}

}  // namespace mimosa
