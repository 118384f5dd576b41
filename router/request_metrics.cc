// Records request reports in counters and histograms.
#include "router/request_metrics.h"

#include <string>
#include <vector>

namespace mimosa {
namespace {

std::vector<std::string> OutcomeLabels() {
  return {OutcomeName(Outcome::kNotRun), OutcomeName(Outcome::kRan),
          OutcomeName(Outcome::kUnknown)};
}

std::vector<std::string> RefusalLabels() {
  std::vector<std::string> labels;
  labels.reserve(kRefusalCount);
  for (int i = 0; i < kRefusalCount; ++i)
    labels.emplace_back(RefusalName(static_cast<Refusal>(i)));
  return labels;
}

}  // namespace

RequestMetrics::RequestMetrics(MetricsRegistry* registry)
    : requests_(registry->AddCustomerCounters("mimosa_requests_total",
                                              "Requests that ended", "outcome",
                                              OutcomeLabels())),
      refusals_(registry->AddCustomerCounters("mimosa_refusals_total",
                                              "Requests that were refused",
                                              "reason", RefusalLabels())),
      tokens_(registry->AddCustomerCounters("mimosa_tokens_total",
                                            "Tokens of whole answers", "kind",
                                            {"prompt", "output"})),
      duration_(registry->AddCustomerHistograms(
          "mimosa_request_seconds", "Time from arrival to the answer's end")),
      first_token_(registry->AddCustomerHistograms(
          "mimosa_first_token_seconds", "Time from arrival to first token")),
      token_gap_(registry->AddCustomerHistograms(
          "mimosa_token_gap_seconds",
          "Longest wait between two tokens of an answer")),
      unmatched_(registry->AddCounter("mimosa_unmatched_requests_total",
                                      "Requests that no route takes")) {}

void RequestMetrics::OnRequestEnd(const RequestReport& report) {
  if (report.route.empty()) {
    unmatched_->Add();
    return;
  }
  const CustomerId& customer = report.customer;
  const wire::RequestClass request_class = report.request_class;
  requests_->Add(customer, request_class, static_cast<size_t>(report.outcome));
  if (report.refusal != nullptr) {
    refusals_->Add(customer, request_class,
                   static_cast<size_t>(*report.refusal));
    return;
  }
  duration_->Observe(customer, request_class, ToSeconds(report.total_duration));
  const RequestResult& result = report.result;
  if (result.first_token_latency)
    first_token_->Observe(customer, request_class,
                          ToSeconds(*result.first_token_latency));
  if (result.max_token_gap)
    token_gap_->Observe(customer, request_class,
                        ToSeconds(*result.max_token_gap));
  const auto add_tokens = [&](size_t kind, Tokens tokens) {
    if (tokens > Tokens(0))
      tokens_->Add(customer, request_class, kind,
                   static_cast<uint64_t>(tokens.count()));
  };
  add_tokens(0, result.prompt_tokens);
  add_tokens(1, result.output_tokens);
}

}  // namespace mimosa
