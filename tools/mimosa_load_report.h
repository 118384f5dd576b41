// The brief's measures from the ends of a run's requests.
#ifndef TOOLS_MIMOSA_LOAD_REPORT_H_
#define TOOLS_MIMOSA_LOAD_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "tools/mimosa_load_plan.h"
#include "wire/workload.pb.h"

namespace mimosa {

enum class RequestOutcome {
  kComplete,  // a whole answer of status 2xx
  kRefused,   // 429 or 503 that says "not run"
  kFailed,    // anything else
};
const char* RequestOutcomeName(RequestOutcome end);

// How one request ended. Times count from when it was due, so that a late
// sender doesn't make the system look faster.
struct RequestSample {
  PlannedRequest planned;
  RequestOutcome outcome = RequestOutcome::kFailed;
  int status = 0;
  std::optional<Duration> time_to_first_token;
  Duration time_to_last_token{};
  int64_t tokens = 0;
  Duration total_time{};
};

// Prefill work at the engines during the run.
struct PrefillWork {
  int64_t completed_tokens = 0;
  int64_t wasted_tokens = 0;
};

// Whether the answer came whole and within all targets of its class.
bool MeetsTargets(const wire::WorkloadClass& c, const RequestSample& sample);

// `prefill`: none if no engines were asked.
wire::LoadReport MakeReport(const wire::Workload& workload,
                            const std::vector<RequestSample>& samples,
                            Duration duration,
                            const std::optional<PrefillWork>& prefill);

// For people; the rows as CSV; every request as CSV; a gnuplot script that
// plots the rows of report.csv into plot.png.
std::string ReportText(const wire::LoadReport& report);
std::string ReportCsv(const wire::LoadReport& report);
std::string SamplesCsv(const wire::Workload& workload,
                       const std::vector<RequestSample>& samples);
std::string PlotScript(const wire::LoadReport& report);

}  // namespace mimosa

#endif  // TOOLS_MIMOSA_LOAD_REPORT_H_
