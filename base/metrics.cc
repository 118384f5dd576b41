// Metric families, the registry, and the Prometheus text exposition format.
#include "base/metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace mimosa {
namespace {

namespace accumulators = boost::accumulators;

// Returns the shortest text that parses to the same number.
std::string FormatNumber(double value) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof(text), value).ptr;
  return {text, end};
}

// Escapes a label value for the exposition format.
std::string EscapeLabelValue(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') escaped += '\\';
    escaped += c;
  }
  return escaped;
}

// Returns the text of `labels` between the braces of a line. The largest
// scrapes have tens of thousands of lines and are rendered within one callback
// of the event loop, so the text is built once per cell and not once per line.
std::string FormatLabels(const MetricLabels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += ',';
    text += name;
    text += "=\"";
    text += EscapeLabelValue(value);
    text += '"';
  }
  return text;
}

std::string CustomerLabels(const std::string& customer, size_t class_index) {
  return FormatLabels(
      {{"customer", customer}, {"class", detail::ClassLabel(class_index)}});
}

void AppendHead(const std::string& name, const std::string& help,
                const char* type, std::string* out) {
  *out +=
      "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

// Appends one sample line. `more_labels` is empty or has further labels, such
// as the bound of a bucket.
void AppendLine(std::string_view name, std::string_view suffix,
                std::string_view labels, std::string_view more_labels,
                std::string_view value, std::string* out) {
  out->append(name).append(suffix);
  if (!labels.empty() || !more_labels.empty()) {
    out->append("{").append(labels);
    if (!labels.empty() && !more_labels.empty()) out->append(",");
    out->append(more_labels).append("}");
  }
  out->append(" ").append(value).append("\n");
}

// Returns the label of each bucket bound, which all histograms share.
const std::vector<std::string>& BoundLabels() {
  static const std::vector<std::string> labels = [] {
    std::vector<std::string> made;
    made.reserve(kLatencyBuckets.size());
    for (const double bound : kLatencyBuckets)
      made.push_back(FormatLabels({{"le", FormatNumber(bound)}}));
    return made;
  }();
  return labels;
}

// Returns the label of each quantile, which all histograms share.
const std::vector<std::string>& QuantileLabels() {
  static const std::vector<std::string> labels = [] {
    std::vector<std::string> made;
    made.reserve(Histogram::kQuantiles.size());
    for (const double quantile : Histogram::kQuantiles)
      made.push_back(FormatLabels({{"quantile", FormatNumber(quantile)}}));
    return made;
  }();
  return labels;
}

void AppendBuckets(const std::string& name, const std::string& labels,
                   const Histogram& histogram, std::string* out) {
  for (size_t i = 0; i < kLatencyBuckets.size(); ++i)
    AppendLine(name, "_bucket", labels, BoundLabels()[i],
               std::to_string(histogram.cumulative_count(i)), out);
  AppendLine(name, "_bucket", labels, "le=\"+Inf\"",
             std::to_string(histogram.count()), out);
}

void AppendQuantiles(const std::string& name, const std::string& labels,
                     const Histogram& histogram, std::string* out) {
  for (size_t i = 0; i < Histogram::kQuantiles.size(); ++i)
    AppendLine(name, "", labels, QuantileLabels()[i],
               FormatNumber(histogram.quantile(i)), out);
}

void AppendSumAndCount(const std::string& name, const std::string& labels,
                       const Histogram& histogram, std::string* out) {
  AppendLine(name, "_sum", labels, "", FormatNumber(histogram.sum()), out);
  AppendLine(name, "_count", labels, "", std::to_string(histogram.count()),
             out);
}

}  // namespace

// ---- Histogram ----

Histogram::Histogram()
    : accumulator_(accumulators::tag::extended_p_square::probabilities =
                       kQuantiles) {}

void Histogram::Observe(double value) {
  accumulator_(value);
  const auto* const bucket =
      std::lower_bound(kLatencyBuckets.begin(), kLatencyBuckets.end(), value);
  if (bucket != kLatencyBuckets.end())
    ++buckets_[static_cast<size_t>(bucket - kLatencyBuckets.begin())];
}

uint64_t Histogram::count() const { return accumulators::count(accumulator_); }

double Histogram::sum() const { return accumulators::sum(accumulator_); }

double Histogram::max() const {
  return count() == 0 ? 0 : accumulators::max(accumulator_);
}

double Histogram::quantile(size_t index) const {
  // P-square has 2k+3 markers for k quantiles, which that many samples
  // initialize.
  constexpr size_t kMarkers = 2 * kQuantiles.size() + 3;
  if (count() <= kMarkers) return QuantileFromBuckets(kQuantiles[index]);
  return accumulators::extended_p_square(accumulator_)[index];
}

double Histogram::QuantileFromBuckets(double quantile) const {
  const auto rank =
      static_cast<uint64_t>(std::ceil(quantile * static_cast<double>(count())));
  for (size_t i = 0; i < kLatencyBuckets.size(); ++i)
    if (cumulative_count(i) >= rank) return std::min(kLatencyBuckets[i], max());
  return max();
}

uint64_t Histogram::cumulative_count(size_t index) const {
  uint64_t sum = 0;
  for (size_t i = 0; i <= index; ++i) sum += buckets_[i];
  return sum;
}

// ---- Families ----

namespace detail {

const char* ClassLabel(size_t index) {
  static constexpr std::array<const char*, kClassCount> kLabels = {
      "patient", "prompt", "never_repeated"};
  return kLabels[index];
}

// All metrics with one name.
class Family {
 public:
  Family(std::string name, std::string help)
      : name_(std::move(name)), help_(std::move(help)) {}
  virtual ~Family() = default;

  // Appends the family in the exposition format to `*out`. If `customer` isn't
  // empty, the lines of other customers are omitted.
  virtual void Render(MetricsDetail detail, const std::string& customer,
                      std::string* out) const = 0;
  // Frees the rows of all customers that `keep` rejects.
  virtual void RetainCustomers(
      const std::function<bool(const std::string&)>& keep) = 0;

 protected:
  const std::string& name() const { return name_; }
  const std::string& help() const { return help_; }
  static bool IsSelected(const std::string& selected_customer,
                         const std::string& customer) {
    return selected_customer.empty() || selected_customer == customer;
  }

 private:
  std::string name_;
  std::string help_;
};

}  // namespace detail

namespace {

class HistogramFamily : public detail::Family, public CustomerHistograms {
 public:
  HistogramFamily(std::string name, std::string help, size_t max_customers)
      : Family(std::move(name), std::move(help)), table_(max_customers) {}

  void Observe(const CustomerId& customer, wire::RequestClass request_class,
               double value) override {
    Histogram* cell = table_.GetOrCreateCell(customer, request_class);
    if (cell == nullptr) return;
    cell->Observe(value);
    by_class_[static_cast<size_t>(request_class) - 1].Observe(value);
  }

  void RetainCustomers(
      const std::function<bool(const std::string&)>& keep) override {
    table_.RetainCustomers(keep);
  }

  void Render(MetricsDetail detail, const std::string& customer,
              std::string* out) const override {
    RenderByClass(out);
    RenderSummaries(customer, out);
    RenderMaxima(customer, out);
    if (detail == MetricsDetail::kFull) RenderBuckets(customer, out);
  }

 private:
  void RenderByClass(std::string* out) const {
    AppendHead(name(), help(), "histogram", out);
    for (size_t i = 0; i < detail::kClassCount; ++i) {
      const std::string labels =
          FormatLabels({{"class", detail::ClassLabel(i)}});
      AppendBuckets(name(), labels, by_class_[i], out);
      AppendSumAndCount(name(), labels, by_class_[i], out);
    }
  }

  void RenderSummaries(const std::string& selected_customer,
                       std::string* out) const {
    const std::string name = this->name() + "_by_customer";
    AppendHead(name, help(), "summary", out);
    table_.ForEach([&](const std::string& customer, size_t class_index,
                       const Histogram& cell) {
      if (!IsSelected(selected_customer, customer)) return;
      const std::string labels = CustomerLabels(customer, class_index);
      AppendQuantiles(name, labels, cell, out);
      AppendSumAndCount(name, labels, cell, out);
    });
  }

  void RenderMaxima(const std::string& selected_customer,
                    std::string* out) const {
    const std::string name = this->name() + "_by_customer_max";
    AppendHead(name, help(), "gauge", out);
    table_.ForEach([&](const std::string& customer, size_t class_index,
                       const Histogram& cell) {
      if (!IsSelected(selected_customer, customer)) return;
      AppendLine(name, "", CustomerLabels(customer, class_index), "",
                 FormatNumber(cell.max()), out);
    });
  }

  void RenderBuckets(const std::string& selected_customer,
                     std::string* out) const {
    const std::string name = this->name() + "_histogram_by_customer";
    AppendHead(name, help(), "histogram", out);
    table_.ForEach([&](const std::string& customer, size_t class_index,
                       const Histogram& cell) {
      if (!IsSelected(selected_customer, customer)) return;
      const std::string labels = CustomerLabels(customer, class_index);
      AppendBuckets(name, labels, cell, out);
      AppendSumAndCount(name, labels, cell, out);
    });
  }

  detail::CustomerTable<Histogram> table_;
  std::array<Histogram, detail::kClassCount> by_class_;
};

class CounterFamily : public detail::Family, public CustomerCounters {
 public:
  CounterFamily(std::string name, std::string help, std::string label,
                std::vector<std::string> values, size_t max_customers)
      : Family(std::move(name), std::move(help)),
        label_(std::move(label)),
        values_(std::move(values)),
        table_(max_customers) {}

  void Add(const CustomerId& customer, wire::RequestClass request_class,
           size_t value, uint64_t n) override {
    Cell* cell = table_.GetOrCreateCell(customer, request_class);
    if (cell == nullptr || value >= values_.size()) return;
    cell->resize(values_.size());
    (*cell)[value] += n;
  }

  void RetainCustomers(
      const std::function<bool(const std::string&)>& keep) override {
    table_.RetainCustomers(keep);
  }

  void Render(MetricsDetail /*detail*/, const std::string& selected_customer,
              std::string* out) const override {
    AppendHead(name(), help(), "counter", out);
    table_.ForEach([&](const std::string& customer, size_t class_index,
                       const Cell& cell) {
      if (!IsSelected(selected_customer, customer)) return;
      const std::string labels = CustomerLabels(customer, class_index);
      for (size_t i = 0; i < cell.size(); ++i)
        if (cell[i] != 0)
          AppendLine(name(), "", labels, FormatLabels({{label_, values_[i]}}),
                     std::to_string(cell[i]), out);
    });
  }

 private:
  // Counts by index into values_; empty until used.
  using Cell = std::vector<uint64_t>;

  std::string label_;
  std::vector<std::string> values_;
  detail::CustomerTable<Cell> table_;
};

}  // namespace

// Counters and gauges that aren't divided by customer.
class MetricsRegistry::SimpleFamily : public detail::Family {
 public:
  SimpleFamily(std::string name, std::string help, const char* type)
      : Family(std::move(name), std::move(help)), type_(type) {}

  Counter* AddCounter(const MetricLabels& labels) {
    counters_.push_back(std::make_unique<Counter>());
    Counter* counter = counters_.back().get();
    series_.push_back({FormatLabels(labels),
                       [counter] { return std::to_string(counter->value()); }});
    return counter;
  }

  Gauge* AddGauge(const MetricLabels& labels) {
    gauges_.push_back(std::make_unique<Gauge>());
    Gauge* gauge = gauges_.back().get();
    AddFunction(labels, [gauge] { return gauge->value(); });
    return gauge;
  }

  void AddFunction(const MetricLabels& labels, std::function<double()> value) {
    series_.push_back({FormatLabels(labels), [value = std::move(value)] {
                         return FormatNumber(value());
                       }});
  }

  void Render(MetricsDetail /*detail*/, const std::string& /*customer*/,
              std::string* out) const override {
    AppendHead(name(), help(), type_, out);
    for (const Series& series : series_)
      AppendLine(name(), "", series.labels, "", series.value(), out);
  }

  void RetainCustomers(
      const std::function<bool(const std::string&)>& /*keep*/) override {}

 private:
  struct Series {
    std::string labels;
    std::function<std::string()> value;
  };

  const char* type_;
  std::vector<std::unique_ptr<Counter>> counters_;
  std::vector<std::unique_ptr<Gauge>> gauges_;
  std::vector<Series> series_;
};

// ---- Registry ----

MetricsRegistry::MetricsRegistry(size_t max_customers)
    : max_customers_(max_customers) {}

MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::SimpleFamily* MetricsRegistry::GetOrCreateSimpleFamily(
    const std::string& name, const std::string& help, const char* type) {
  SimpleFamily*& family = simple_families_[name];
  if (family == nullptr) {
    auto made = std::make_unique<SimpleFamily>(name, help, type);
    family = made.get();
    families_.push_back(std::move(made));
  }
  return family;
}

Counter* MetricsRegistry::AddCounter(const std::string& name,
                                     const std::string& help,
                                     const MetricLabels& labels) {
  return GetOrCreateSimpleFamily(name, help, "counter")->AddCounter(labels);
}

Gauge* MetricsRegistry::AddGauge(const std::string& name,
                                 const std::string& help,
                                 const MetricLabels& labels) {
  return GetOrCreateSimpleFamily(name, help, "gauge")->AddGauge(labels);
}

void MetricsRegistry::AddGauge(const std::string& name, const std::string& help,
                               const MetricLabels& labels,
                               std::function<double()> value) {
  GetOrCreateSimpleFamily(name, help, "gauge")
      ->AddFunction(labels, std::move(value));
}

CustomerHistograms* MetricsRegistry::AddCustomerHistograms(
    const std::string& name, const std::string& help) {
  auto family = std::make_unique<HistogramFamily>(name, help, max_customers_);
  HistogramFamily* added = family.get();
  families_.push_back(std::move(family));
  return added;
}

CustomerCounters* MetricsRegistry::AddCustomerCounters(
    const std::string& name, const std::string& help, const std::string& label,
    std::vector<std::string> values) {
  auto family = std::make_unique<CounterFamily>(
      name, help, label, std::move(values), max_customers_);
  CounterFamily* added = family.get();
  families_.push_back(std::move(family));
  return added;
}

void MetricsRegistry::RetainCustomers(
    const std::function<bool(const std::string&)>& keep) {
  for (const auto& family : families_) family->RetainCustomers(keep);
}

std::string MetricsRegistry::Render(MetricsDetail detail,
                                    const std::string& customer) const {
  std::string out;
  for (const auto& family : families_) family->Render(detail, customer, &out);
  return out;
}

}  // namespace mimosa
