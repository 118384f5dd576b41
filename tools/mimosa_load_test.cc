// Tests of mimosa-load's request plans and reports.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tools/mimosa_load_plan.h"
#include "tools/mimosa_load_report.h"

namespace mimosa {
namespace {

wire::Workload MakeWorkload() {
  wire::Workload workload;
  workload.set_name("test");
  wire::WorkloadClass* completions = workload.add_classes();
  completions->set_request_class(wire::PATIENT);
  completions->set_weight(1);
  completions->set_method("POST");
  completions->set_target("/v1/completions");
  completions->set_prompt_tokens_min(100);
  completions->set_prompt_tokens_max(1000);
  completions->set_output_tokens_min(10);
  completions->set_output_tokens_max(20);
  completions->set_first_token_ms(1000);
  completions->set_between_tokens_ms(50);
  wire::WorkloadClass* lookups = workload.add_classes();
  lookups->set_request_class(wire::PROMPT);
  lookups->set_weight(3);
  lookups->set_method("GET");
  lookups->set_target("/x");
  lookups->set_whole_ms(200);
  for (const char* id : {"calm", "greedy"}) {
    wire::WorkloadCustomer* customer = workload.add_customers();
    customer->set_id(id);
    customer->set_requests_per_second(10);
    customer->set_rate_tokens_per_second(1000000);
    customer->set_burst_tokens(1000000);
  }
  workload.mutable_customers(1)->set_rate_tokens_per_second(100);
  workload.mutable_customers(1)->set_burst_tokens(1000);
  return workload;
}

TEST_CASE("the same seed gives the same plan, with the requested rates") {
  const wire::Workload workload = MakeWorkload();
  REQUIRE(CheckWorkload(workload));
  SeededRandom a(5);
  SeededRandom b(5);
  const auto plan = PlanRequests(workload, std::chrono::seconds(100), 2, &a);
  const auto again = PlanRequests(workload, std::chrono::seconds(100), 2, &b);
  REQUIRE(plan.size() == again.size());
  // The expected count is 2 customers x 10 per second x speed 2 x 100 s = 4000;
  // the bounds are six standard deviations away.
  CHECK(plan.size() > 3600);
  CHECK(plan.size() < 4400);
  int lookups = 0;
  bool greedy_over_limit = false;
  for (size_t i = 0; i < plan.size(); ++i) {
    CHECK(plan[i].send_offset == again[i].send_offset);
    if (i > 0) CHECK(plan[i - 1].send_offset <= plan[i].send_offset);
    if (plan[i].request_class == 1) ++lookups;
    if (plan[i].customer == 0) CHECK(plan[i].within_rate_limit);
    greedy_over_limit = greedy_over_limit || !plan[i].within_rate_limit;
    if (plan[i].request_class == 0) {
      CHECK(plan[i].prompt_tokens >= Tokens(100));
      CHECK(plan[i].prompt_tokens <= Tokens(1000));
    }
  }
  CHECK(greedy_over_limit);
  CHECK(lookups > static_cast<int>(plan.size()) * 7 / 10);
}

TEST_CASE("CheckWorkload rejects invalid workloads") {
  wire::Workload workload = MakeWorkload();
  workload.mutable_classes(0)->set_weight(0);
  CHECK_FALSE(CheckWorkload(workload));
  workload = MakeWorkload();
  workload.mutable_classes(0)->set_output_tokens_min(0);
  CHECK_FALSE(CheckWorkload(workload));
  CHECK_FALSE(CheckWorkload(wire::Workload()));
}

RequestSample Sample(int customer, bool inside, RequestOutcome outcome,
                     int first_ms, int last_ms, int64_t tokens) {
  RequestSample sample;
  sample.planned.customer = customer;
  sample.planned.prompt_tokens = Tokens(100);
  sample.planned.within_rate_limit = inside;
  sample.outcome = outcome;
  if (outcome != RequestOutcome::kComplete) return sample;
  sample.time_to_first_token = std::chrono::milliseconds(first_ms);
  sample.time_to_last_token = std::chrono::milliseconds(last_ms);
  sample.total_time = sample.time_to_last_token;
  sample.tokens = tokens;
  return sample;
}

TEST_CASE(
    "the report computes goodput, wasted prefill, worst customer and "
    "refusals") {
  const wire::Workload workload = MakeWorkload();
  const std::vector<RequestSample> samples = {
      Sample(0, true, RequestOutcome::kComplete, 500, 900, 11),  // good
      Sample(0, true, RequestOutcome::kComplete, 1500, 1900,
             11),  // first token too late
      // Tokens too slow.
      Sample(0, true, RequestOutcome::kComplete, 500, 1900, 11),
      Sample(0, true, RequestOutcome::kRefused, 0, 0, 0),  // wrongly refused
      Sample(1, false, RequestOutcome::kRefused, 0, 0, 0),
      Sample(1, true, RequestOutcome::kComplete, 100, 100,
             1),  // good, with a single token
      Sample(1, true, RequestOutcome::kFailed, 0, 0, 0)};
  const wire::LoadReport report = MakeReport(
      workload, samples, std::chrono::seconds(2), PrefillWork{1000, 250});
  CHECK(report.goodput_per_second() == 1);
  CHECK(report.refused_inside() == 1);
  CHECK(report.wasted_prefill_share() == 0.25);
  CHECK(report.worst_customer() == "calm");
  CHECK(report.worst_customer_good_share() == 0.25);
  REQUIRE(report.rows_size() == 6);
  CHECK(report.rows(0).customer() == "*");
  CHECK(report.rows(0).sent() == 7);
  CHECK(report.rows(0).refused() == 2);
  CHECK(report.rows(0).failed() == 1);
  CHECK(report.rows(0).first_token_p95() == 1.5);
  CHECK(ReportCsv(report).find("calm,PATIENT,4,4,3,1,1,1,0,33,") !=
        std::string::npos);
}

}  // namespace
}  // namespace mimosa
