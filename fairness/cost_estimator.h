// Learned cost of a request per customer and class, for the charge at start.
#ifndef FAIRNESS_COST_ESTIMATOR_H_
#define FAIRNESS_COST_ESTIMATOR_H_

#include <cstddef>
#include <map>
#include <utility>

#include "base/base.h"

namespace papayaplank {

// Moving average of costs. It leans low: too high an estimate charged at the
// start widens the gap more than too low a one, which progress corrects.
class CostEstimator {
 public:
  // Estimate for the next request; `hint` is the class's cost hint.
  auto Estimate(const CustomerId& customer, const ClassId& request_class,
                Cost hint) const -> Cost;

  // Learns from a request that has ended.
  auto Learn(const CustomerId& customer, const ClassId& request_class,
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
