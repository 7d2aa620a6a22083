// Exponential moving averages of request costs.
#include "fairness/cost_estimator.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Bounds the number of averages; an arbitrary one is dropped to make room.
constexpr std::size_t kMaxAverages = 4096;
// Samples from which on the hint no longer counts.
constexpr int kSamplesForFullTrust = 8;
constexpr double kSmoothing = 0.1;
// Share of the expected cost that is charged at the start.
constexpr double kInitialChargeShare = 0.8;

}  // namespace

auto CostEstimator::Estimate(const CustomerId& customer,
                             const ClassId& request_class, Cost hint) const
    -> Cost {
  const auto found = averages_.find({customer, request_class});
  if (found == averages_.end()) return Cost{hint.units * kInitialChargeShare};
  const auto& average = found->second;
  const auto trust = std::min(
      1.0, static_cast<double>(average.samples) / kSamplesForFullTrust);
  return Cost{kInitialChargeShare *
              (trust * average.mean + (1 - trust) * hint.units)};
}

auto CostEstimator::RecordCost(const CustomerId& customer,
                               const ClassId& request_class, Cost actual)
    -> void {
  if (averages_.size() >= kMaxAverages &&
      averages_.count({customer, request_class}) == 0) {
    averages_.erase(averages_.begin());
  }
  auto& average = averages_[{customer, request_class}];
  ++average.samples;
  const auto rate = std::max(kSmoothing, 1.0 / average.samples);
  average.mean += rate * (actual.units - average.mean);
}

}  // namespace papayaplank
