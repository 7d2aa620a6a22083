// Fading outcome counts.
#include "admission/target_outcomes.h"

#include <algorithm>
#include <cmath>

namespace papayaplank {
namespace {

// Time constant of the counts.
constexpr double kFadeSeconds = 3;
// Good outcomes assumed beforehand, so that one failure proves little.
constexpr double kPriorOutcomes = 4;
// Failures in a row after which a target rests, and for how long.
constexpr int kFailuresToRest = 3;
constexpr Duration kFailureRest = milliseconds(400);
constexpr int kMaxRestDoublings = 3;

auto FadeFactor(Duration elapsed) -> double {
  return std::exp(-std::chrono::duration<double>(elapsed).count() /
                  kFadeSeconds);
}

}  // namespace

auto TargetOutcomes::Fade(Record& record, Time now) const -> void {
  const auto factor = FadeFactor(now - record.at);
  record.failures *= factor;
  record.outcomes *= factor;
  record.at = now;
}

auto TargetOutcomes::RecordSuccess(const TargetId& target, Time now) -> void {
  auto& record = records_[target];
  Fade(record, now);
  record.outcomes += 1;
  record.failures_in_a_row = 0;
}

auto TargetOutcomes::RecordFailure(const TargetId& target, Time now) -> void {
  auto& record = records_[target];
  Fade(record, now);
  record.outcomes += 1;
  record.failures += 1;
  ++record.failures_in_a_row;
  if (record.failures_in_a_row < kFailuresToRest) return;
  const auto doublings =
      std::min(record.failures_in_a_row - kFailuresToRest, kMaxRestDoublings);
  record.resting_until = now + kFailureRest * (1 << doublings);
}

auto TargetOutcomes::RecordRefusal(const TargetId& target, Duration rest,
                                   Time now) -> void {
  auto& record = records_[target];
  record.resting_until = std::max(record.resting_until, now + rest);
}

auto TargetOutcomes::FailureRate(const TargetId& target, Time now) const
    -> double {
  const auto found = records_.find(target);
  if (found == records_.end()) return 0;
  const auto factor = FadeFactor(now - found->second.at);
  return found->second.failures * factor /
         (found->second.outcomes * factor + kPriorOutcomes);
}

auto TargetOutcomes::IsResting(const TargetId& target, Time now) const -> bool {
  const auto found = records_.find(target);
  return found != records_.end() && now < found->second.resting_until;
}

}  // namespace papayaplank
