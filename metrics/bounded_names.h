// A bounded set of label values, so that no label multiplies without limit.
#ifndef METRICS_BOUNDED_NAMES_H_
#define METRICS_BOUNDED_NAMES_H_

#include <cstddef>
#include <set>
#include <string>

namespace papayaplank {

// Classes and targets that a scrape shows by name.
inline constexpr std::size_t kMaxClassesShown = 32;
inline constexpr std::size_t kMaxTargetsShown = 256;

// The first `limit` names are shown as they are, all later ones as "other".
class BoundedNames {
 public:
  explicit BoundedNames(std::size_t limit) : limit_(limit) {}

  auto Shown(const std::string& name) -> std::string {
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

#endif  // METRICS_BOUNDED_NAMES_H_
