// A bounded set of label values, so that no label multiplies without limit.
#ifndef METRICS_BOUNDED_LABEL_VALUES_H_
#define METRICS_BOUNDED_LABEL_VALUES_H_

#include <cstddef>
#include <set>
#include <string>

namespace papayaplank {

// Classes and targets that a scrape shows by name.
inline constexpr std::size_t kMaxClassLabels = 32;
inline constexpr std::size_t kMaxTargetLabels = 256;

// The first `limit` names are shown as they are, all later ones as "other".
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
