// Counters, gauges and histograms of one process, rendered in the Prometheus
// text exposition format.
//
// The registry owns all metrics and returns pointers that are valid as long as
// the registry. A family by customer and class has at most `max_customers`
// rows; further customers share the row "other", so that memory and the size of
// a scrape are bounded regardless of the catalogue's size. A cell is created
// when it is first used.
//
// A histogram has fixed buckets, which can be summed over the fleet, and
// running estimates of p50, p95 and p99 from Boost.Accumulators (the P-square
// algorithm: constant memory, no stored samples).
#ifndef BASE_METRICS_H_
#define BASE_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "wire/catalogue.pb.h"

namespace mimosa {

// Default maximum number of customers with rows of their own.
inline constexpr size_t kMaxMetricCustomers = 2100;

class Counter {
 public:
  void Add(uint64_t n = 1) { value_ += n; }
  uint64_t value() const { return value_; }

 private:
  uint64_t value_ = 0;
};

class Gauge {
 public:
  void Set(double value) { value_ = value; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

// Upper bounds of the histogram buckets, in seconds: 1 ms to 2 minutes.
inline constexpr std::array<double, 14> kLatencyBuckets = {
    0.001, 0.003, 0.01, 0.03, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 3, 10, 30, 120};

class Histogram {
 public:
  static constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

  Histogram();
  void Observe(double value);

  uint64_t count() const;
  double sum() const;
  double max() const;  // 0 if there are no observations
  // Returns the estimate for kQuantiles[index]. For the first few samples,
  // which P-square needs for initialization, it is the upper bound of the
  // quantile's bucket, but at most max().
  double quantile(size_t index) const;
  // Returns the number of observations <= kLatencyBuckets[index].
  uint64_t cumulative_count(size_t index) const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;

  double QuantileFromBuckets(double quantile) const;

  Accumulator accumulator_;
  std::array<uint32_t, kLatencyBuckets.size()> buckets_{};  // not cumulative
};

namespace detail {

inline constexpr size_t kClassCount = 3;
inline constexpr char kOtherCustomersLabel[] = "other";

const char* ClassLabel(size_t index);

// Cells by customer and request class for a bounded number of customers.
template <typename Cell>
class CustomerTable {
 public:
  explicit CustomerTable(size_t max_customers)
      : max_customers_(max_customers) {}

  // Returns the cell, which is created if necessary; null if `request_class` is
  // not a valid class.
  Cell* GetOrCreateCell(const CustomerId& customer,
                        wire::RequestClass request_class) {
    const auto index = static_cast<size_t>(request_class) - 1;
    if (index >= kClassCount) return nullptr;
    std::unique_ptr<Cell>& cell = GetOrCreateRow(customer)[index];
    if (cell == nullptr) cell = std::make_unique<Cell>();
    return cell.get();
  }

  // Frees the rows of all customers that `keep` rejects, except "other".
  void RetainCustomers(const std::function<bool(const std::string&)>& keep) {
    for (auto it = rows_.begin(); it != rows_.end();)
      it = it->first == kOtherCustomersLabel || keep(it->first)
               ? std::next(it)
               : rows_.erase(it);
  }

  // Calls visit(customer, class index, cell) for all cells.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const auto& [customer, row] : rows_)
      for (size_t i = 0; i < kClassCount; ++i)
        if (row[i] != nullptr) visit(customer, i, *row[i]);
  }

 private:
  using Row = std::array<std::unique_ptr<Cell>, kClassCount>;

  Row& GetOrCreateRow(const CustomerId& customer) {
    const auto it = rows_.find(customer.value());
    if (it != rows_.end()) return it->second;
    // The row "other" doesn't count towards max_customers_.
    if (rows_.size() - rows_.count(kOtherCustomersLabel) >= max_customers_)
      return rows_[kOtherCustomersLabel];
    return rows_[customer.value()];
  }

  size_t max_customers_;
  std::unordered_map<std::string, Row> rows_;
};

class Family;

}  // namespace detail

// A histogram per customer and class, and one per class over all customers.
class CustomerHistograms {
 public:
  virtual ~CustomerHistograms() = default;
  virtual void Observe(const CustomerId& customer,
                       wire::RequestClass request_class, double value) = 0;
};

// A counter per customer, class and value of one further label, which has a few
// fixed values.
class CustomerCounters {
 public:
  virtual ~CustomerCounters() = default;
  // Adds `n` to a counter. `value` is an index into the values passed to
  // AddCustomerCounters(); an index out of range is ignored.
  virtual void Add(const CustomerId& customer, wire::RequestClass request_class,
                   size_t value, uint64_t n = 1) = 0;
};

enum class MetricsDetail {
  kSummary,  // per customer: quantiles, count, sum and maximum
  kFull,     // additionally the buckets per customer
};

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class MetricsRegistry {
 public:
  explicit MetricsRegistry(size_t max_customers = kMaxMetricCustomers);
  ~MetricsRegistry();

  // `name` is the complete name, such as "mimosa_peer_calls_total". Metrics
  // with the same name and different labels form one family, which has the help
  // text of the first one.
  Counter* AddCounter(const std::string& name, const std::string& help,
                      const MetricLabels& labels = {});
  Gauge* AddGauge(const std::string& name, const std::string& help,
                  const MetricLabels& labels = {});
  // Adds a gauge whose value is computed when it is rendered.
  void AddGauge(const std::string& name, const std::string& help,
                const MetricLabels& labels, std::function<double()> value);
  CustomerHistograms* AddCustomerHistograms(const std::string& name,
                                            const std::string& help);
  CustomerCounters* AddCustomerCounters(const std::string& name,
                                        const std::string& help,
                                        const std::string& label,
                                        std::vector<std::string> values);

  // Frees the rows of all customers that `keep` rejects, such as those that are
  // no longer in the catalogue.
  void RetainCustomers(const std::function<bool(const std::string&)>& keep);

  // Returns all metrics in the text exposition format. If `customer` isn't
  // empty, the rows of other customers are omitted.
  std::string Render(MetricsDetail detail = MetricsDetail::kSummary,
                     const std::string& customer = "") const;

 private:
  class SimpleFamily;
  SimpleFamily* GetOrCreateSimpleFamily(const std::string& name,
                                        const std::string& help,
                                        const char* type);

  size_t max_customers_;
  std::vector<std::unique_ptr<detail::Family>> families_;
  std::unordered_map<std::string, SimpleFamily*> simple_families_;
};

}  // namespace mimosa

#endif  // BASE_METRICS_H_
