// Counting of requests and repeats by parts of a window.
#include "decide/retry_budget.h"

#include <algorithm>

namespace mimosa {

int64_t RetryBudget::PartNumber(MonoTime now) const {
  return now.time_since_epoch() / (options_.window / kParts);
}

RetryBudget::Part* RetryBudget::PartAt(const ServiceId& service, MonoTime now) {
  const int64_t number = PartNumber(now);
  Parts& parts = services_[service];
  Part& part = parts[static_cast<size_t>(number) % parts.size()];
  if (part.number != number) {
    part = Part{};
    part.number = number;
  }
  return &part;
}

void RetryBudget::RequestArrived(const ServiceId& service, MonoTime now) {
  PartAt(service, now)->requests += 1;
}

bool RetryBudget::TakeRepeat(const ServiceId& service, MonoTime now) {
  Part* const current = PartAt(service, now);
  const int64_t oldest = current->number - static_cast<int64_t>(kParts);
  double requests = 0;
  double repeats = 0;
  for (const Part& part : services_[service]) {
    if (part.number < oldest) continue;
    repeats += part.repeats;
    if (part.number > oldest) requests += part.requests;
  }
  const double allowed =
      options_.used_share *
      (options_.ratio * requests + options_.slack / std::max(1, members_));
  if (repeats + 1 > allowed) return false;
  current->repeats += 1;
  return true;
}

}  // namespace mimosa
