// Additive increase and multiplicative decrease of a target's limit.
#include "capacity/adaptive_limit.h"

#include <algorithm>

namespace papayaplank {
namespace {

// Least time between two changes of the limit.
constexpr Duration kWindow = seconds(1);
// Observations that a window needs before the limit changes.
constexpr int kMinimumObservations = 20;
constexpr double kDecreaseFactor = 0.9;

}  // namespace

AdaptiveLimit::AdaptiveLimit(int start, LatencyObjective objective)
    : objective_(objective),
      maximum_(std::max(1, start) * 2),
      limit_(std::max(1, start)) {}

auto AdaptiveLimit::Observe(LatencySample sample) -> void {
  window_.observations += sample.observations;
  window_.misses += sample.misses;
}

auto AdaptiveLimit::Tick(bool is_saturated, Time now) -> void {
  if (now < next_change_) return;
  if (window_.observations < kMinimumObservations) return;
  next_change_ = now + kWindow;
  const auto share = static_cast<double>(window_.misses) / window_.observations;
  window_ = {};
  if (share > objective_.miss_share) {
    limit_ = std::max(1, static_cast<int>(limit_ * kDecreaseFactor));
    return;
  }
  // Raising it only below half of the allowed misses keeps the limit from
  // oscillating around the objective.
  const auto has_reserve = share < objective_.miss_share / 2;
  if (is_saturated && has_reserve) limit_ = std::min(maximum_, limit_ + 1);
}

}  // namespace papayaplank
