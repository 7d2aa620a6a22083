// Decaying counts of outcomes, and cooldowns after failures.
#include "admission/target_outcomes.h"

#include <algorithm>
#include <cmath>

namespace papayaplank {
namespace {

// Time constant of the decay.
constexpr double kDecaySeconds = 3;
// Successes assumed at the start, so that one failure has little weight.
constexpr double kPriorOutcomes = 4;
// Failures in a row that start a cooldown, and its length. Each further failure
// doubles it, up to a limit.
constexpr int kFailuresToCoolDown = 3;
constexpr Duration kFailureCooldown = milliseconds(400);
constexpr int kMaxCooldownDoublings = 3;

auto DecayFactor(Duration elapsed) -> double {
  return std::exp(-std::chrono::duration<double>(elapsed).count() /
                  kDecaySeconds);
}

}  // namespace

auto TargetOutcomes::Decay(Record& record, Time now) const -> void {
  const auto factor = DecayFactor(now - record.at);
  record.failures *= factor;
  record.outcomes *= factor;
  record.at = now;
}

auto TargetOutcomes::RecordSuccess(const TargetId& target, Time now) -> void {
  auto& record = records_[target];
  Decay(record, now);
  record.outcomes += 1;
  record.failures_in_a_row = 0;
}

auto TargetOutcomes::RecordFailure(const TargetId& target, Time now) -> void {
  auto& record = records_[target];
  Decay(record, now);
  record.outcomes += 1;
  record.failures += 1;
  ++record.failures_in_a_row;
  if (record.failures_in_a_row < kFailuresToCoolDown) return;
  const auto doublings = std::min(
      record.failures_in_a_row - kFailuresToCoolDown, kMaxCooldownDoublings);
  record.cooldown_until = now + kFailureCooldown * (1 << doublings);
}

auto TargetOutcomes::StartCooldown(const TargetId& target, Duration cooldown,
                                   Time now) -> void {
  auto& record = records_[target];
  record.cooldown_until = std::max(record.cooldown_until, now + cooldown);
}

auto TargetOutcomes::FailureRate(const TargetId& target, Time now) const
    -> double {
  const auto found = records_.find(target);
  if (found == records_.end()) return 0;
  const auto factor = DecayFactor(now - found->second.at);
  return found->second.failures * factor /
         (found->second.outcomes * factor + kPriorOutcomes);
}

auto TargetOutcomes::IsCoolingDown(const TargetId& target, Time now) const
    -> bool {
  const auto found = records_.find(target);
  return found != records_.end() && now < found->second.cooldown_until;
}

}  // namespace papayaplank
