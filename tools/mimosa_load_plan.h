// Plans all requests of a load run before it starts, from one random seed. The
// same seed and workload give the same requests at the same times, whatever
// responses they get.
#ifndef TOOLS_MIMOSA_LOAD_PLAN_H_
#define TOOLS_MIMOSA_LOAD_PLAN_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/errors.h"
#include "base/ids.h"
#include "base/random.h"
#include "wire/workload.pb.h"

namespace mimosa {

struct PlannedRequest {
  Duration send_offset{};  // time since the start of the run
  int customer = 0;        // index into Workload.customers
  int request_class = 0;   // index into Workload.classes
  Tokens prompt_tokens;    // 0 for a call to a plain service
  Tokens output_tokens;
  Tokens cost;  // tokens that the router charges at admission
  // Whether the customer's own token bucket, which starts full, would cover the
  // cost at this time.
  bool within_rate_limit = false;
};

// Describes an invalid field of a workload.
enum class WorkloadErrorKind { kEmpty, kOutOfRange, kMalformed };
struct WorkloadError {
  WorkloadErrorKind kind;
  std::string field;
};

// Fails with WorkloadError if a field is empty, malformed or out of range.
leaf::result<void> CheckWorkload(const wire::Workload& workload);

// Draws Poisson arrivals for each customer over `duration` and returns them
// sorted by time. `speed` multiplies the customers' arrival rates but not their
// rate limits.
std::vector<PlannedRequest> PlanRequests(const wire::Workload& workload,
                                         Duration duration, double speed,
                                         RandomSource* random);

}  // namespace mimosa

#endif  // TOOLS_MIMOSA_LOAD_PLAN_H_
