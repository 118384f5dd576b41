// Runs mimosa-load against a complete deployment. The report must count what
// was sent, and the scheduled faults must be injected.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "base/json.h"
#include "tests/harness.h"
#include "wire/workload.pb.h"

namespace mimosa::testing {
namespace {

void AddClass(wire::RequestClass request_class, const char* method,
              const char* target, wire::Workload* workload) {
  wire::WorkloadClass* c = workload->add_classes();
  c->set_request_class(request_class);
  c->set_weight(1);
  c->set_method(method);
  c->set_target(target);
  c->set_whole_ms(20000);
}

wire::Workload MakeWorkload() {
  wire::Workload workload;
  workload.set_name("test");
  workload.set_duration_ms(2000);
  workload.set_model(kModel);
  AddClass(wire::PATIENT, "POST", "/v1/completions", &workload);
  workload.mutable_classes(0)->set_prompt_tokens_min(10);
  workload.mutable_classes(0)->set_prompt_tokens_max(100);
  workload.mutable_classes(0)->set_output_tokens_min(2);
  workload.mutable_classes(0)->set_output_tokens_max(10);
  AddClass(wire::PROMPT, "GET", "/lookup/x", &workload);
  AddClass(wire::NEVER_REPEATED, "POST", "/booking/x", &workload);
  for (const char* key : {kTrustKey, kPortKey}) {
    wire::WorkloadCustomer* customer = workload.add_customers();
    customer->set_id(std::string(key) == kTrustKey ? "trust" : "port");
    customer->set_key(key);
    customer->set_requests_per_second(10);
    customer->set_rate_tokens_per_second(1000000);
    customer->set_burst_tokens(1000000);
  }
  return workload;
}

TEST_CASE("a run is reported completely and its faults are injected") {
  if (!Deployment::ProgramsBuilt()) FAIL("a program was not built");
  Deployment deployment{DeploymentOptions()};
  deployment.ApplyCatalogue();
  deployment.AwaitReady();
  const std::filesystem::path directory =
      std::filesystem::temp_directory_path() /
      ("load_test_" + std::to_string(deployment.platform().port()));
  std::filesystem::create_directory(directory);
  wire::Workload workload = MakeWorkload();
  wire::WorkloadFault* fault = workload.add_faults();
  fault->set_at_ms(1);
  fault->set_address(Loopback(deployment.service().port()));
  fault->set_path("/debug/behave");
  fault->set_body(R"({"delay_ms":50})");
  std::ofstream(directory / "workload.json") << ToJson(workload);

  Process load(
      "tools/mimosa-load",
      {"--workload", (directory / "workload.json").string(), "--routers",
       Loopback(deployment.router(0).port()) + "," +
           Loopback(deployment.router(1).port()),
       "--engines", Loopback(deployment.prefill().port()), "--json", "--out",
       directory.string()});
  REQUIRE(load.Wait() == 0);
  wire::LoadReport report;
  INFO(load.Output());
  REQUIRE(FromJson(load.Output(), /*strict=*/true, &report));
  const wire::LoadRow& all = report.rows(0);
  CHECK(all.sent() > 15);  // 40 are expected
  CHECK(all.inside() == all.sent());
  CHECK(all.good() == all.sent());
  CHECK(report.refused_inside() == 0);
  CHECK(report.worst_customer_good_share() == 1);
  CHECK(report.wasted_prefill_tokens() == 0);
  for (const wire::LoadRow& row : report.rows())
    if (row.customer() == "*" && row.request_class() == "PROMPT")
      CHECK(row.whole_p50() >= 0.05);  // the fault's delay
  for (const char* file : {"report.csv", "requests.csv", "plot.gp"})
    CHECK(std::filesystem::file_size(directory / file) > 0);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace mimosa::testing
