// Limit on the values of a metric label, which bounds the number of time
// series.
#ifndef METRICS_BOUNDED_LABEL_VALUES_H_
#define METRICS_BOUNDED_LABEL_VALUES_H_

#include <cstddef>
#include <set>
#include <string>

namespace papayaplank {

// Maximum numbers of classes and of targets with time series of their own.
inline constexpr std::size_t kMaxClassLabels = 32;
inline constexpr std::size_t kMaxTargetLabels = 256;

// The first `limit` names are label values of their own; all later ones share
// the value "other".
class BoundedLabelValues {
 public:
  explicit BoundedLabelValues(std::size_t limit) : limit_(limit) {}

  auto LabelFor(const std::string& name) -> std::string {
    if (names_.count(name) != 0) return name;
    if (names_.size() >= limit_) return "other";
    names_.insert(name);
    return name;
  }

 private:
  std::size_t limit_;
  std::set<std::string> names_;
};

}  // namespace papayaplank

#endif  // METRICS_BOUNDED_LABEL_VALUES_H_
