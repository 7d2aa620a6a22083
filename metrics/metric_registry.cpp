// Histograms, based on Boost.Histogram, and the Prometheus text format.
#include "metrics/metric_registry.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <sstream>
#include <utility>

#include "metrics/bounded_label_values.h"

namespace papayaplank {
namespace {

namespace histogram = boost::histogram;

// Customers with histograms of their own; further ones count as "other".
constexpr std::size_t kMaxCustomerLabels = 64;
constexpr unsigned kBinsPerHistogram = 48;
constexpr double kSmallestSeconds = 0.0001;
constexpr double kLargestSeconds = 1000;
constexpr double kSmallestCost = 0.1;
constexpr double kLargestCost = 100000;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram = decltype(histogram::make_histogram(std::declval<Axis>()));

auto MakeAxis(Measure measure) -> Axis {
  if (measure == Measure::kServiceCost) {
    return Axis(kBinsPerHistogram, kSmallestCost, kLargestCost);
  }
  return Axis(kBinsPerHistogram, kSmallestSeconds, kLargestSeconds);
}

auto MeasureName(Measure measure) -> std::string {
  switch (measure) {
    case Measure::kQueueWait:
      return "papayaplank_queue_wait_seconds";
    case Measure::kFirstByte:
      return "papayaplank_first_byte_seconds";
    case Measure::kChunkGap:
      return "papayaplank_chunk_gap_seconds";
    case Measure::kAnswerTime:
      return "papayaplank_answer_seconds";
    case Measure::kServiceCost:
      return "papayaplank_service_cost_units";
  }
  return "papayaplank_unknown";
}

auto EscapeLabel(const std::string& value) -> std::string {
  std::string escaped;
  for (const auto c : value) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    escaped += c;
  }
  return escaped;
}

auto FormatLabels(const std::vector<MetricLabel>& labels) -> std::string {
  if (labels.empty()) return "";
  std::string text = "{";
  const char* separator = "";
  for (const auto& label : labels) {
    text += separator + label.name + "=\"" + EscapeLabel(label.value) + "\"";
    separator = ",";
  }
  return text + "}";
}

// One bin; the upper edge of the last one is infinite.
struct Bin {
  double upper = 0;
  double count = 0;
};

// All bins in ascending order, including underflow and overflow.
auto ListBins(const Histogram& histogram) -> std::vector<Bin> {
  const auto& axis = histogram.axis(0);
  std::vector<Bin> bins;
  bins.reserve(static_cast<std::size_t>(axis.size()) + 2);
  for (int i = -1; i <= axis.size(); ++i) {
    const double count = histogram.at(i);
    bins.push_back({axis.value(i + 1), count});
  }
  return bins;
}

// Upper edge of the bin in which `fraction` of the `total` observations is
// reached.
auto FindQuantile(const Histogram& histogram, double total, double fraction)
    -> double {
  double cumulative = 0;
  for (const auto& bin : ListBins(histogram)) {
    cumulative += bin.count;
    if (cumulative >= total * fraction) return bin.upper;
  }
  return 0;
}

}  // namespace

struct MetricRegistry::Histograms {
  // Either a target, or a customer and a class.
  struct Key {
    Measure measure;
    CustomerId customer;
    ClassId request_class;
    TargetId target;
    // NOLINTNEXTLINE: false positive on defaulted comparisons.
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    Histogram bins;
    double sum = 0;
  };

  auto Add(const Key& key, double value) -> void;
  static auto Labels(const Key& key) -> std::string;

  std::map<Key, Entry> entries;
  BoundedLabelValues customers{kMaxCustomerLabels};
  BoundedLabelValues classes{kMaxClassLabels};
  BoundedLabelValues targets{kMaxTargetLabels};
};

auto MetricRegistry::Histograms::Add(const Key& key, double value) -> void {
  auto found = entries.find(key);
  if (found == entries.end()) {
    found =
        entries
            .emplace(key,
                     Entry{histogram::make_histogram(MakeAxis(key.measure)), 0})
            .first;
  }
  found->second.bins(value);
  found->second.sum += value;
}

auto MetricRegistry::Histograms::Labels(const Key& key) -> std::string {
  if (!key.target.is_empty()) {
    return "target=\"" + EscapeLabel(key.target.value()) + "\"";
  }
  return "customer=\"" + EscapeLabel(key.customer.value()) + "\",class=\"" +
         EscapeLabel(key.request_class.value()) + "\"";
}

MetricRegistry::MetricRegistry()
    : histograms_(std::make_unique<Histograms>()) {}
MetricRegistry::~MetricRegistry() = default;

auto MetricRegistry::Observe(Measure measure, const CustomerId& customer,
                             const ClassId& request_class, double value)
    -> void {
  const std::lock_guard lock(mutex_);
  auto& histograms = *histograms_;
  const CustomerId customer_label(
      histograms.customers.LabelFor(customer.value()));
  const ClassId class_label(histograms.classes.LabelFor(request_class.value()));
  histograms.Add({measure, customer_label, class_label, {}}, value);
}

auto MetricRegistry::Observe(Measure measure, const TargetId& target,
                             double value) -> void {
  const std::lock_guard lock(mutex_);
  const TargetId target_label(histograms_->targets.LabelFor(target.value()));
  histograms_->Add({measure, {}, {}, target_label}, value);
}

auto MetricRegistry::IncrementCounter(const std::string& name,
                                      const std::vector<MetricLabel>& labels,
                                      std::uint64_t increment) -> void {
  const std::lock_guard lock(mutex_);
  values_[name + FormatLabels(labels)] += static_cast<double>(increment);
}

auto MetricRegistry::SetValue(const std::string& name,
                              const std::vector<MetricLabel>& labels,
                              double value) -> void {
  const std::lock_guard lock(mutex_);
  values_[name + FormatLabels(labels)] = value;
}

auto MetricRegistry::ToPrometheusText() const -> std::string {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  out.precision(12);
  for (const auto& [name, value] : values_) out << name << ' ' << value << '\n';
  for (const auto& [key, entry] : histograms_->entries) {
    const auto name = MeasureName(key.measure);
    const auto labels = Histograms::Labels(key);
    double cumulative = 0;
    const auto bins = ListBins(entry.bins);
    for (const auto& bin : bins) {
      cumulative += bin.count;
      const auto has_upper_edge = &bin != &bins.back();
      if (bin.count == 0 || !has_upper_edge) continue;
      out << name << "_bucket{" << labels << ",le=\"" << bin.upper << "\"} "
          << cumulative << '\n';
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulative
        << '\n'
        << name << "_sum{" << labels << "} " << entry.sum << '\n'
        << name << "_count{" << labels << "} " << cumulative << '\n';
  }
  return out.str();
}

auto MetricRegistry::ComputeQuantiles(Measure measure,
                                      const CustomerId& customer,
                                      const ClassId& request_class) const
    -> Quantiles {
  const std::lock_guard lock(mutex_);
  auto sum = histogram::make_histogram(MakeAxis(measure));
  for (const auto& [key, entry] : histograms_->entries) {
    if (key.measure != measure || !key.target.is_empty()) continue;
    if (!customer.is_empty() && key.customer != customer) continue;
    if (!request_class.is_empty() && key.request_class != request_class) {
      continue;
    }
    sum += entry.bins;
  }
  const double total = histogram::algorithm::sum(sum);
  if (total == 0) return {};
  return {static_cast<std::uint64_t>(total), FindQuantile(sum, total, 0.50),
          FindQuantile(sum, total, 0.95), FindQuantile(sum, total, 0.99)};
}

auto MetricRegistry::ObservedLabels(Measure measure) const
    -> std::vector<std::pair<CustomerId, ClassId>> {
  const std::lock_guard lock(mutex_);
  std::vector<std::pair<CustomerId, ClassId>> result;
  for (const auto& [key, entry] : histograms_->entries) {
    if (key.measure == measure && key.target.is_empty()) {
      result.emplace_back(key.customer, key.request_class);
    }
  }
  return result;
}

}  // namespace papayaplank
