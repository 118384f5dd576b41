// Computes the measures of a load run from the outcomes of its requests:
// goodput within the latency targets, wasted prefill work, the good share of
// the worst-served customer, and refusals within the rate limit.
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
  kComplete,  // a complete response with status 2xx
  kRefused,   // 429 or 503, marked as "not-run"
  kFailed,    // any other response, or none
};
const char* RequestOutcomeName(RequestOutcome outcome);

// Records how one request ended. Times count from when the request was due, not
// from when it was sent, so that a delayed sender doesn't make the system look
// faster.
struct RequestSample {
  PlannedRequest planned;
  RequestOutcome outcome = RequestOutcome::kFailed;
  int status = 0;
  std::optional<Duration> time_to_first_token;
  Duration time_to_last_token{};
  int64_t tokens = 0;
  Duration total_time{};
};

// Prefill work that the engines did during the run, in prompt tokens.
struct PrefillWork {
  int64_t completed_tokens = 0;
  int64_t wasted_tokens = 0;
};

// Returns whether the response was complete and met all latency targets of its
// request class.
bool MeetsTargets(const wire::WorkloadClass& c, const RequestSample& sample);

// Builds the report. `prefill_work` is empty if no engines were queried.
wire::LoadReport MakeReport(const wire::Workload& workload,
                            const std::vector<RequestSample>& samples,
                            Duration duration,
                            const std::optional<PrefillWork>& prefill_work);

// Formats the report as human-readable text.
std::string ReportText(const wire::LoadReport& report);
// Formats the rows of the report as CSV.
std::string ReportCsv(const wire::LoadReport& report);
// Formats every request as a CSV row.
std::string SamplesCsv(const wire::Workload& workload,
                       const std::vector<RequestSample>& samples);
// Returns a gnuplot script that plots report.csv into plot.png.
std::string PlotScript(const wire::LoadReport& report);

}  // namespace mimosa

#endif  // TOOLS_MIMOSA_LOAD_REPORT_H_
