// Drawing arrivals, classes and lengths.
#include "tools/mimosa_load_plan.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "base/address.h"

namespace mimosa {
namespace {

// Seconds to the next arrival of a Poisson process.
double ExponentialGap(double per_second, RandomSource* random) {
  return -std::log(1.0 - random->UniformDouble()) / per_second;
}

// Log-uniform within [min, max]: lengths of prompts spread over magnitudes.
Tokens DrawLength(int64_t min, int64_t max, RandomSource* random) {
  const double low = std::log(static_cast<double>(std::max<int64_t>(min, 1)));
  const double high = std::log(static_cast<double>(std::max(max, min)));
  return Tokens(
      std::llround(std::exp(low + ((high - low) * random->UniformDouble()))));
}

int DrawClass(const wire::Workload& workload, RandomSource* random) {
  double sum = 0;
  for (const auto& c : workload.classes()) sum += c.weight();
  double left = sum * random->UniformDouble();
  for (int i = 0; i < workload.classes_size(); ++i) {
    left -= workload.classes(i).weight();
    if (left < 0) return i;
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

// Marks the requests that the customer's own bucket, full at first, would have
// held. Patient requests beyond the rate wait for tokens and are charged in the
// end: they leave a debt that makes later ones come too early as well. Others
// beyond the rate are refused and charge nothing.
void MarkInside(const wire::Workload& workload,
                const wire::WorkloadCustomer& customer,
                std::vector<PlannedRequest>* requests) {
  const auto burst = static_cast<double>(customer.burst_tokens());
  const auto rate = static_cast<double>(customer.rate_tokens_per_second());
  double level = burst;
  Duration last{};
  for (PlannedRequest& request : *requests) {
    level =
        std::min(burst, level + (rate * ToSeconds(request.send_offset - last)));
    last = request.send_offset;
    const auto cost = static_cast<double>(request.cost.count());
    request.within_rate_limit = cost <= level;
    const auto& c = workload.classes(request.request_class);
    if (request.within_rate_limit || c.request_class() == wire::PATIENT)
      level -= cost;
  }
}

leaf::error_id Fail(WorkloadErrorKind kind, const std::string& field) {
  return leaf::new_error(WorkloadError{kind, field});
}

leaf::result<void> CheckClass(const wire::WorkloadClass& c) {
  if (!(c.weight() > 0))
    return Fail(WorkloadErrorKind::kOutOfRange, "classes.weight");
  if (c.method().empty() || c.target().empty() || c.target()[0] != '/')
    return Fail(WorkloadErrorKind::kMalformed, "classes.method or target");
  if (c.prompt_tokens_min() < 0 ||
      c.prompt_tokens_max() < c.prompt_tokens_min() ||
      c.output_tokens_max() < c.output_tokens_min())
    return Fail(WorkloadErrorKind::kOutOfRange, "classes lengths");
  if (IsModelClass(c) && c.output_tokens_min() < 1)
    return Fail(WorkloadErrorKind::kOutOfRange, "classes.output_tokens_min");
  return {};
}

}  // namespace

leaf::result<void> CheckWorkload(const wire::Workload& workload) {
  if (workload.classes().empty())
    return Fail(WorkloadErrorKind::kEmpty, "classes");
  if (workload.customers().empty())
    return Fail(WorkloadErrorKind::kEmpty, "customers");
  for (const auto& c : workload.classes()) BOOST_LEAF_CHECK(CheckClass(c));
  for (const auto& customer : workload.customers())
    if (!(customer.requests_per_second() >= 0) || customer.id().empty())
      return Fail(WorkloadErrorKind::kOutOfRange, "customers");
  for (const auto& fault : workload.faults())
    if (!fault.address().empty() && !IsConnectableAddress(fault.address()))
      return Fail(WorkloadErrorKind::kMalformed, "faults.address");
  return {};
}

std::vector<PlannedRequest> PlanRequests(const wire::Workload& workload,
                                         Duration duration, double speed,
                                         RandomSource* random) {
  std::vector<PlannedRequest> all;
  for (int i = 0; i < workload.customers_size(); ++i) {
    const wire::WorkloadCustomer& customer = workload.customers(i);
    const double rate = customer.requests_per_second() * speed;
    if (!(rate > 0)) continue;
    std::vector<PlannedRequest> mine;
    for (double at = ExponentialGap(rate, random); at < ToSeconds(duration);
         at += ExponentialGap(rate, random))
      mine.push_back(DrawRequest(workload, i, at, random));
    MarkInside(workload, customer, &mine);
    all.insert(all.end(), mine.begin(), mine.end());
  }
  std::stable_sort(all.begin(), all.end(),
                   [](const PlannedRequest& a, const PlannedRequest& b) {
                     return a.send_offset < b.send_offset;
                   });
  return all;
}

}  // namespace mimosa
