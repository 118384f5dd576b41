// Counters, gauges and histograms of one process, shown in the Prometheus text
// exposition format.
//
// Model: a registry owns all metrics; whoever counts holds a pointer that lives
// as long as the registry. Families by customer and class have at most
// `max_customers` rows; the customers beyond share the row "other", so memory
// and the size of a scrape are bounded whatever the catalogue holds. A cell
// exists from its first use.
//
// A histogram has fixed buckets, which can be added up over the fleet, and
// running estimates of p50, p95 and p99 by Boost.Accumulators (the P-square
// method: constant memory, no samples kept).
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

// Customers with rows of their own.
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

// Latencies in seconds from a millisecond to two minutes.
inline constexpr std::array<double, 14> kLatencyBuckets = {
    0.001, 0.003, 0.01, 0.03, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 3, 10, 30, 120};

class Histogram {
 public:
  static constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

  Histogram();
  void Observe(double value);

  uint64_t count() const;
  double sum() const;
  double max() const;  // 0 if empty
  // The estimate for kQuantiles[index]. For the first few samples the upper
  // bound of the bucket that holds it: P-square needs some to begin with.
  double quantile(size_t index) const;
  // Observations <= kLatencyBuckets[index].
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

// Cells by customer and class, with a bounded number of customers.
template <typename Cell>
class CustomerTable {
 public:
  explicit CustomerTable(size_t max_customers)
      : max_customers_(max_customers) {}

  // Null for a class that isn't one.
  Cell* At(const CustomerId& customer, wire::RequestClass request_class) {
    const auto index = static_cast<size_t>(request_class) - 1;
    if (index >= kClassCount) return nullptr;
    std::unique_ptr<Cell>& cell = RowOf(customer)[index];
    if (cell == nullptr) cell = std::make_unique<Cell>();
    return cell.get();
  }

  // Frees the rows of customers that `keep` refuses.
  void Retain(const std::function<bool(const std::string&)>& keep) {
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

  Row& RowOf(const CustomerId& customer) {
    const auto it = rows_.find(customer.value());
    if (it != rows_.end()) return it->second;
    // The row of the others isn't counted.
    if (rows_.size() - rows_.count(kOtherCustomersLabel) >= max_customers_)
      return rows_[kOtherCustomersLabel];
    return rows_[customer.value()];
  }

  size_t max_customers_;
  std::unordered_map<std::string, Row> rows_;
};

class Family;

}  // namespace detail

// A histogram by customer and class, and one by class over all customers.
class CustomerHistograms {
 public:
  virtual ~CustomerHistograms() = default;
  virtual void Observe(const CustomerId& customer,
                       wire::RequestClass request_class, double value) = 0;
};

// A counter by customer, class and one further label of a few fixed values.
class CustomerCounters {
 public:
  virtual ~CustomerCounters() = default;
  // `value`: index into the values given to AddCustomerCounters.
  virtual void Add(const CustomerId& customer, wire::RequestClass request_class,
                   size_t value, uint64_t n = 1) = 0;
};

enum class MetricsDetail {
  kSummary,  // per customer: quantiles, count, sum, maximum
  kFull,     // per customer also the buckets
};

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class MetricsRegistry {
 public:
  explicit MetricsRegistry(size_t max_customers = kMaxMetricCustomers);
  ~MetricsRegistry();

  // Names are whole ("mimosa_peer_calls_total"); metrics of one name and
  // different labels form one family and share the first one's help.
  Counter* AddCounter(const std::string& name, const std::string& help,
                      const MetricLabels& labels = {});
  Gauge* AddGauge(const std::string& name, const std::string& help,
                  const MetricLabels& labels = {});
  // A gauge that is computed when it is shown.
  void AddGauge(const std::string& name, const std::string& help,
                const MetricLabels& labels, std::function<double()> value);
  CustomerHistograms* AddCustomerHistograms(const std::string& name,
                                            const std::string& help);
  CustomerCounters* AddCustomerCounters(const std::string& name,
                                        const std::string& help,
                                        const std::string& label,
                                        std::vector<std::string> values);

  // Frees the rows of customers that left the catalogue.
  void RetainCustomers(const std::function<bool(const std::string&)>& keep);

  // The text exposition format. `customer`: only this one's rows; empty: all.
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
