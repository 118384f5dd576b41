// The requests of a run, all drawn beforehand from one seed: the same seed and
// workload give the same requests at the same times, whatever the answers.
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
  Duration send_offset{};  // from the start
  int customer = 0;        // index into the workload
  int request_class = 0;   // index into the workload
  Tokens prompt_tokens;    // 0: a service call
  Tokens output_tokens;
  Tokens cost;  // what the router charges at admission
  bool within_rate_limit =
      false;  // the customer's bucket would have held the cost
};

// What is wrong with a workload.
enum class WorkloadErrorKind { kEmpty, kOutOfRange, kMalformed };
struct WorkloadError {
  WorkloadErrorKind kind;
  std::string field;
};

// Fails with WorkloadFault.
leaf::result<void> CheckWorkload(const wire::Workload& workload);

// Poisson arrivals for each customer over `duration`, sorted by time. `speed`
// multiplies all rates of arrival (not the customers' limits).
std::vector<PlannedRequest> PlanRequests(const wire::Workload& workload,
                                         Duration duration, double speed,
                                         RandomSource* random);

}  // namespace mimosa

#endif  // TOOLS_MIMOSA_LOAD_PLAN_H_
