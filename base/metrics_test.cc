// Tests of the metrics and of the format of log lines.
#include "base/metrics.h"

#include <malloc.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "base/json.h"
#include "base/logging.h"
#include "base/random.h"

namespace mimosa {
namespace {

bool ContainsLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

TEST_CASE("counters and gauges are rendered in the exposition format") {
  MetricsRegistry registry;
  registry.AddCounter("calls_total", "calls", {{"peer", "a\"b\\c"}})->Add(3);
  registry.AddCounter("calls_total", "calls", {{"peer", "d"}})->Add();
  registry.AddGauge("level", "level")->Set(2.5);
  registry.AddGauge("open", "open", {}, [] { return 7.0; });
  CHECK(registry.Render() ==
        "# HELP calls_total calls\n# TYPE calls_total counter\n"
        "calls_total{peer=\"a\\\"b\\\\c\"} 3\n"
        "calls_total{peer=\"d\"} 1\n"
        "# HELP level level\n# TYPE level gauge\nlevel 2.5\n"
        "# HELP open open\n# TYPE open gauge\nopen 7\n");
}

TEST_CASE("a histogram returns counts, cumulative buckets and quantiles") {
  Histogram histogram;
  CHECK(histogram.quantile(0) == 0);
  SeededRandom random(1);
  for (int i = 0; i < 20000; ++i) histogram.Observe(random.UniformDouble());
  CHECK(histogram.count() == 20000);
  CHECK(histogram.cumulative_count(kLatencyBuckets.size() - 1) == 20000);
  CHECK(histogram.quantile(0) == Approx(0.5).margin(0.02));
  CHECK(histogram.quantile(1) == Approx(0.95).margin(0.02));
  CHECK(histogram.quantile(2) == Approx(0.99).margin(0.02));
  CHECK(histogram.sum() == Approx(10000).epsilon(0.02));
}

TEST_CASE("quantiles of a few samples are bucket bounds, at most the maximum") {
  Histogram histogram;
  histogram.Observe(0.02);
  histogram.Observe(0.02);
  histogram.Observe(500);
  CHECK(histogram.quantile(0) == Approx(0.03));
  CHECK(histogram.quantile(2) == 500);
  CHECK(histogram.max() == 500);
}

TEST_CASE("families are rendered by customer and class") {
  MetricsRegistry registry;
  CustomerHistograms* latency =
      registry.AddCustomerHistograms("latency_seconds", "latency");
  CustomerCounters* outcomes = registry.AddCustomerCounters(
      "requests_total", "requests", "outcome", {"ran", "refused"});
  latency->Observe(CustomerId("guild"), wire::PATIENT, 0.02);
  latency->Observe(CustomerId("x"), wire::REQUEST_CLASS_UNSPECIFIED, 1);
  outcomes->Add(CustomerId("guild"), wire::PROMPT, 1, 4);
  outcomes->Add(CustomerId("guild"), wire::PROMPT, 9);
  const std::string text = registry.Render(MetricsDetail::kFull);
  CHECK(ContainsLine(
      text, "latency_seconds_bucket{class=\"patient\",le=\"0.03\"} 1"));
  CHECK(ContainsLine(
      text, "latency_seconds_bucket{class=\"patient\",le=\"0.01\"} 0"));
  CHECK(ContainsLine(
      text,
      "latency_seconds_by_customer{customer=\"guild\",class=\"patient\","
      "quantile=\"0.95\"} 0.02"));
  CHECK(ContainsLine(
      text,
      "latency_seconds_histogram_by_customer_count{customer=\"guild\","
      "class=\"patient\"} 1"));
  CHECK(ContainsLine(text,
                     "requests_total{customer=\"guild\",class=\"prompt\","
                     "outcome=\"refused\"} 4"));
  CHECK(text.find("customer=\"x\"") == std::string::npos);
  CHECK(registry.Render(MetricsDetail::kFull, "nobody").find("guild") ==
        std::string::npos);
}

TEST_CASE("customers beyond max_customers share the row other") {
  MetricsRegistry registry(/*max_customers=*/2);
  CustomerCounters* counters =
      registry.AddCustomerCounters("n", "n", "k", {"v"});
  for (const char* customer : {"a", "b", "c", "d", "a"})
    counters->Add(CustomerId(customer), wire::PROMPT, 0);
  const std::string text = registry.Render();
  CHECK(ContainsLine(text, "n{customer=\"a\",class=\"prompt\",k=\"v\"} 2"));
  CHECK(ContainsLine(text, "n{customer=\"other\",class=\"prompt\",k=\"v\"} 2"));
  CHECK(text.find("\"c\"") == std::string::npos);
  registry.RetainCustomers([](const std::string& c) { return c == "a"; });
  counters->Add(CustomerId("c"), wire::PROMPT, 0);
  CHECK(ContainsLine(registry.Render(),
                     "n{customer=\"c\",class=\"prompt\",k=\"v\"} 1"));
}

TEST_CASE(
    "memory and scrape size are bounded at 2,100 customers and 3 classes") {
  const auto allocated_bytes = [] { return mallinfo2().uordblks; };
  const size_t before = allocated_bytes();
  MetricsRegistry registry;
  CustomerHistograms* latency = registry.AddCustomerHistograms("l", "l");
  for (int i = 0; i < 3000; ++i)
    for (const auto request_class :
         {wire::PATIENT, wire::PROMPT, wire::NEVER_REPEATED})
      latency->Observe(CustomerId("customer-" + std::to_string(i)),
                       request_class, 0.1);
  const size_t bytes = allocated_bytes() - before;
  const auto start = std::chrono::steady_clock::now();
  const std::string text = registry.Render();
  const auto elapsed = std::chrono::steady_clock::now() - start;
  WARN("one family at 2,100 customers x 3 classes: "
       << bytes << " bytes held; a scrape is " << text.size() << " bytes in "
       << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()
       << " ms");
  CHECK(bytes < 8'000'000);
  CHECK(text.size() < 5'000'000);
}

TEST_CASE("each log line is one JSON object") {
  const std::string line = detail::FormatLogLine(
      1'700'000'000'123, LogLevel::kWarn, "mimosa-router", "member_ended",
      {{"member", "r1#2\n"}, {"epoch", 7}});
  CHECK(line.find('\n') == std::string::npos);
  const auto parsed = ParseJson(line);
  REQUIRE(parsed);
  CHECK((*parsed)["time"] == "2023-11-14T22:13:20.123Z");
  CHECK((*parsed)["level"] == "warn");
  CHECK((*parsed)["event"] == "member_ended");
  CHECK((*parsed)["member"] == "r1#2\n");
  CHECK((*parsed)["epoch"].asInt() == 7);
}

}  // namespace
}  // namespace mimosa
