// Aggregates request samples by customer and request class, computes the four
// measures of the run, and formats the report.
#include "tools/mimosa_load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <sstream>
#include <utility>

namespace mimosa {
namespace {

constexpr char kAll[] = "*";

// Accumulates the samples of one report row.
struct RowSamples {
  wire::LoadRow row;
  std::vector<double> time_to_first_token;
  std::vector<double> token_gap;
  std::vector<double> total_time;
};

// Returns the smallest value that at least a share `quantile` of the values do
// not exceed (nearest rank); 0 if there are no values. Sorts `*values`.
double Quantile(std::vector<double>* values, double quantile) {
  if (values->empty()) return 0;
  std::sort(values->begin(), values->end());
  const double rank = std::ceil(quantile * static_cast<double>(values->size()));
  const auto index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return (*values)[std::min(index, values->size() - 1)];
}

// Returns the mean time between the tokens of a response, in seconds.
std::optional<double> MeanTokenGap(const RequestSample& sample) {
  if (!sample.time_to_first_token || sample.tokens < 2) return std::nullopt;
  return ToSeconds(sample.time_to_last_token - *sample.time_to_first_token) /
         static_cast<double>(sample.tokens - 1);
}

void AddSample(const wire::WorkloadClass& c, const RequestSample& sample,
               RowSamples* samples) {
  wire::LoadRow& row = samples->row;
  row.set_sent(row.sent() + 1);
  if (sample.planned.within_rate_limit) row.set_inside(row.inside() + 1);
  switch (sample.outcome) {
    case RequestOutcome::kRefused:
      row.set_refused(row.refused() + 1);
      if (sample.planned.within_rate_limit)
        row.set_refused_inside(row.refused_inside() + 1);
      return;
    case RequestOutcome::kFailed:
      row.set_failed(row.failed() + 1);
      return;
    case RequestOutcome::kComplete:
      break;
  }
  row.set_whole(row.whole() + 1);
  row.set_output_tokens(row.output_tokens() + sample.tokens);
  if (MeetsTargets(c, sample)) row.set_good(row.good() + 1);
  samples->total_time.push_back(ToSeconds(sample.total_time));
  if (sample.time_to_first_token)
    samples->time_to_first_token.push_back(
        ToSeconds(*sample.time_to_first_token));
  if (const auto gap = MeanTokenGap(sample)) samples->token_gap.push_back(*gap);
}

void FillRow(double seconds, RowSamples* samples) {
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.95;
  wire::LoadRow& row = samples->row;
  row.set_goodput_per_second(static_cast<double>(row.good()) / seconds);
  row.set_first_token_p50(Quantile(&samples->time_to_first_token, kMedian));
  row.set_first_token_p95(Quantile(&samples->time_to_first_token, kTail));
  row.set_token_gap_p50(Quantile(&samples->token_gap, kMedian));
  row.set_token_gap_p95(Quantile(&samples->token_gap, kTail));
  row.set_whole_p50(Quantile(&samples->total_time, kMedian));
  row.set_whole_p95(Quantile(&samples->total_time, kTail));
}

// Counts a customer's requests within its rate limit and how many of them met
// their targets. Requests beyond the limit are left out, so that good ones
// among them can't make up for failures within the limit.
struct CustomerCounts {
  int64_t within_limit = 0;
  int64_t good_within_limit = 0;
};

void FindWorstCustomer(const wire::Workload& workload,
                       const std::vector<RequestSample>& samples,
                       wire::LoadReport* report) {
  std::map<int, CustomerCounts> counts_by_customer;
  for (const RequestSample& sample : samples) {
    if (!sample.planned.within_rate_limit) continue;
    CustomerCounts& counts = counts_by_customer[sample.planned.customer];
    ++counts.within_limit;
    if (MeetsTargets(workload.classes(sample.planned.request_class), sample))
      ++counts.good_within_limit;
  }
  report->set_worst_customer_good_share(1);
  for (const auto& [customer, counts] : counts_by_customer) {
    const double share = static_cast<double>(counts.good_within_limit) /
                         static_cast<double>(counts.within_limit);
    if (share > report->worst_customer_good_share()) continue;
    report->set_worst_customer_good_share(share);
    report->set_worst_customer(workload.customers(customer).id());
  }
}

std::string Format(const char* format, double value) {
  char text[48];
  (void)std::snprintf(text, sizeof(text), format, value);
  return text;
}

}  // namespace

const char* RequestOutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kComplete:
      return "whole";
    case RequestOutcome::kRefused:
      return "refused";
    case RequestOutcome::kFailed:
      return "failed";
  }
  return "?";
}

bool MeetsTargets(const wire::WorkloadClass& c, const RequestSample& sample) {
  if (sample.outcome != RequestOutcome::kComplete) return false;
  const auto meets_target = [](int64_t target_ms, double seconds) {
    constexpr double kMillisPerSecond = 1000;
    return target_ms == 0 ||
           seconds * kMillisPerSecond <= static_cast<double>(target_ms);
  };
  if (!meets_target(c.whole_ms(), ToSeconds(sample.total_time))) return false;
  if (sample.planned.prompt_tokens == Tokens(0)) return true;
  if (!sample.time_to_first_token ||
      !meets_target(c.first_token_ms(), ToSeconds(*sample.time_to_first_token)))
    return false;
  return meets_target(c.between_tokens_ms(), MeanTokenGap(sample).value_or(0));
}

wire::LoadReport MakeReport(const wire::Workload& workload,
                            const std::vector<RequestSample>& samples,
                            Duration duration,
                            const std::optional<PrefillWork>& prefill_work) {
  // Sorted by customer and class; "*" (all) sorts before the names.
  std::map<std::pair<std::string, std::string>, RowSamples> rows;
  for (const RequestSample& sample : samples) {
    const auto& c = workload.classes(sample.planned.request_class);
    const std::string& customer =
        workload.customers(sample.planned.customer).id();
    const std::string& class_name = wire::RequestClass_Name(c.request_class());
    for (const std::string& row : {std::string(kAll), customer})
      for (const std::string& column : {std::string(kAll), class_name})
        AddSample(c, sample, &rows[{row, column}]);
  }
  wire::LoadReport report;
  report.set_workload(workload.name());
  report.set_seconds(ToSeconds(duration));
  for (auto& [names, row] : rows) {
    row.row.set_customer(names.first);
    row.row.set_request_class(names.second);
    FillRow(report.seconds(), &row);
    *report.add_rows() = row.row;
  }
  const wire::LoadRow& total = rows[{kAll, kAll}].row;
  report.set_goodput_per_second(total.goodput_per_second());
  report.set_refused_inside(total.refused_inside());
  FindWorstCustomer(workload, samples, &report);
  report.set_wasted_prefill_tokens(prefill_work ? prefill_work->wasted_tokens
                                                : -1);
  if (prefill_work && prefill_work->completed_tokens > 0)
    report.set_wasted_prefill_share(
        static_cast<double>(prefill_work->wasted_tokens) /
        static_cast<double>(prefill_work->completed_tokens));
  return report;
}

std::string ReportText(const wire::LoadReport& report) {
  std::ostringstream out;
  out << "workload " << report.workload() << ", seed " << report.seed() << ", "
      << Format("%.1f", report.seconds()) << " s\n"
      << "goodput within all targets: "
      << Format("%.2f", report.goodput_per_second()) << " requests/s\n"
      << "wasted prefill: ";
  if (report.wasted_prefill_tokens() < 0)
    out << "not measured\n";
  else
    out << report.wasted_prefill_tokens() << " tokens ("
        << Format("%.2f", report.wasted_prefill_share() * 100) << " %)\n";
  out << "worst-served customer: " << report.worst_customer() << " ("
      << Format("%.1f", report.worst_customer_good_share() * 100)
      << " % good of those within its rate limit)\n"
      << "refused although within the rate limit: " << report.refused_inside()
      << "\nlongest delay in sending a request: "
      << Format("%.1f", report.latest_send_ms()) << " ms\n\n";
  out << "customer                 class           sent inside  good  ref."
         " ref.in fail  first p95  gap p95 whole p95\n";
  for (const wire::LoadRow& row : report.rows()) {
    char line[192];
    (void)std::snprintf(
        line, sizeof(line),
        "%-24s %-14s %5lld %6lld %5lld %5lld %6lld %4lld %8.3f s %6.1f ms"
        " %7.3f s\n",
        row.customer().c_str(), row.request_class().c_str(),
        static_cast<long long>(row.sent()),
        static_cast<long long>(row.inside()),
        static_cast<long long>(row.good()),
        static_cast<long long>(row.refused()),
        static_cast<long long>(row.refused_inside()),
        static_cast<long long>(row.failed()), row.first_token_p95(),
        row.token_gap_p95() * 1000, row.whole_p95());
    out << line;
  }
  return out.str();
}

std::string ReportCsv(const wire::LoadReport& report) {
  std::ostringstream out;
  out << "customer,class,sent,inside,whole,good,refused,refused_inside,failed,"
         "output_tokens,goodput_per_second,first_token_p50,first_token_p95,"
         "token_gap_p50,token_gap_p95,whole_p50,whole_p95\n";
  for (const wire::LoadRow& row : report.rows())
    out << row.customer() << "," << row.request_class() << "," << row.sent()
        << "," << row.inside() << "," << row.whole() << "," << row.good() << ","
        << row.refused() << "," << row.refused_inside() << "," << row.failed()
        << "," << row.output_tokens() << "," << row.goodput_per_second() << ","
        << row.first_token_p50() << "," << row.first_token_p95() << ","
        << row.token_gap_p50() << "," << row.token_gap_p95() << ","
        << row.whole_p50() << "," << row.whole_p95() << "\n";
  return out.str();
}

std::string SamplesCsv(const wire::Workload& workload,
                       const std::vector<RequestSample>& samples) {
  std::ostringstream out;
  out << "at_s,customer,class,prompt_tokens,max_tokens,inside,end,status,"
         "first_token_s,tokens,whole_s\n";
  for (const RequestSample& sample : samples) {
    const PlannedRequest& planned = sample.planned;
    const auto& c = workload.classes(planned.request_class);
    out << ToSeconds(planned.send_offset) << ","
        << workload.customers(planned.customer).id() << ","
        << wire::RequestClass_Name(c.request_class()) << ","
        << planned.prompt_tokens << "," << planned.output_tokens << ","
        << (planned.within_rate_limit ? 1 : 0) << ","
        << RequestOutcomeName(sample.outcome) << "," << sample.status << ",";
    if (sample.time_to_first_token)
      out << ToSeconds(*sample.time_to_first_token);
    out << "," << sample.tokens << "," << ToSeconds(sample.total_time) << "\n";
  }
  return out.str();
}

std::string PlotScript(const wire::LoadReport& report) {
  std::ostringstream out;
  out << "# gnuplot plot.gp, in the directory of the report\n"
         "set terminal pngcairo size 1100,500\n"
         "set output 'plot.png'\n"
         "set datafile separator ','\n"
         "set style data histograms\n"
         "set style histogram clustered\n"
         "set style fill solid 0.8\n"
         "set xtics rotate by -25\n"
         "set key outside\nset ylabel 'requests'\n"
         "set title 'workload "
      << report.workload() << ", seed " << report.seed()
      << ": by customer'\n"
         "plot '< grep -E \"^[^*,]+,[*],\" report.csv' using 4:xtic(1) title "
         "'within rate limit', '' using 6 title 'good', '' using 8 title "
         "'refused within rate limit', '' using 9 title 'failed'\n";
  return out.str();
}

}  // namespace mimosa
