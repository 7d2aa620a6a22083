// Estimated cost of a request per customer and class, which is charged when the
// request starts.
#ifndef FAIRNESS_COST_ESTIMATOR_H_
#define FAIRNESS_COST_ESTIMATOR_H_

#include <cstddef>
#include <map>
#include <utility>

#include "base/base.h"

namespace papayaplank {

// Moving average of costs. Estimates are low on purpose: one that is too low is
// corrected while the request makes progress, but one that is too high widens
// the gap between customers until the request ends.
class CostEstimator {
 public:
  // Estimate for the next request. `hint`, the cost hint of the class, counts
  // less with each sample, and nothing once there are enough.
  auto Estimate(const CustomerId& customer, const ClassId& request_class,
                Cost hint) const -> Cost;

  // Adds the actual cost of a request that has ended.
  auto RecordCost(const CustomerId& customer, const ClassId& request_class,
                  Cost actual) -> void;

 private:
  struct Average {
    double mean = 0;
    int samples = 0;
  };

  // Bounded by `kMaxAverages` in the source; an arbitrary one is dropped.
  std::map<std::pair<CustomerId, ClassId>, Average> averages_;
};

}  // namespace papayaplank

#endif  // FAIRNESS_COST_ESTIMATOR_H_
