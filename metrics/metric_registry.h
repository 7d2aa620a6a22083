// Counters, gauges and histograms with bounded label sets.
#ifndef METRICS_METRIC_REGISTRY_H_
#define METRICS_METRIC_REGISTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/base.h"

namespace papayaplank {

// What a histogram measures.
enum class Measure {
  kQueueWait,    // Seconds from arrival to the start of the first attempt.
  kFirstByte,    // Seconds from arrival to the first byte of the answer; for
                 // a target, from the start of the attempt.
  kChunkGap,     // Seconds between two chunks of a stream.
  kAnswerTime,   // Seconds from arrival to the end of the answer.
  kServiceCost,  // Cost units of a request.
};

// Summary of a histogram. A quantile is the upper edge of its bin, in the unit
// of the measure; all members are zero without observations.
struct Quantiles {
  std::uint64_t count = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

// A label of a counter or gauge.
struct MetricLabel {
  std::string name;
  std::string value;
};

// All metrics of a process. Thread-safe; each call holds the mutex briefly.
class MetricRegistry {
 public:
  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry&) = delete;
  auto operator=(const MetricRegistry&) -> MetricRegistry& = delete;

  // Adds an observation in seconds or cost units. Once the label values for
  // customers or classes are used up, new ones count as "other".
  auto Observe(Measure measure, const CustomerId& customer,
               const ClassId& request_class, double value) -> void;
  // The same for one target. Once the label values for targets are used up, new
  // ones count as the target "other".
  auto Observe(Measure measure, const TargetId& target, double value) -> void;

  // Adds to the counter with these labels; a new counter starts at zero.
  auto IncrementCounter(const std::string& name,
                        const std::vector<MetricLabel>& labels,
                        std::uint64_t increment = 1) -> void;

  // Sets a gauge, or a counter whose value is kept elsewhere.
  auto SetValue(const std::string& name, const std::vector<MetricLabel>& labels,
                double value) -> void;

  // All metrics in the Prometheus text format.
  auto ToPrometheusText() const -> std::string;

  // Quantiles for a customer and a class; an empty id stands for all.
  auto ComputeQuantiles(Measure measure, const CustomerId& customer,
                        const ClassId& request_class) const -> Quantiles;

  // Labels of all customers and classes with observations; targets are left
  // out.
  auto ObservedLabels(Measure measure) const
      -> std::vector<std::pair<CustomerId, ClassId>>;

 private:
  struct Histograms;

  mutable std::mutex mutex_;
  // Guarded by `mutex_`, as is the map below.
  std::unique_ptr<Histograms> histograms_;
  // Counters and gauges by name with labels.
  std::map<std::string, double> values_;
};

}  // namespace papayaplank

#endif  // METRICS_METRIC_REGISTRY_H_
