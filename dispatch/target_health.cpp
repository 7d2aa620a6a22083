// Cooldown, ejection and probing of targets.
#include "dispatch/target_health.h"

#include <algorithm>

namespace papayaplank {
namespace {

constexpr int kFailuresToEject = 3;
constexpr int kMaxDoublings = 5;
constexpr int kFirstServerError = 500;
constexpr Duration kCooldown = milliseconds(250);
constexpr Duration kFirstEjection = milliseconds(500);

auto IsFailure(AttemptResult result, int status) -> bool {
  switch (result) {
    case AttemptResult::kComplete:
      return status >= kFirstServerError;
    case AttemptResult::kRefused:
    case AttemptResult::kCancelled:
      return false;
    case AttemptResult::kNotReached:
    case AttemptResult::kBroken:
    case AttemptResult::kSilent:
    case AttemptResult::kCrossed:
      return true;
  }
  return true;
}

}  // namespace

auto TargetHealth::IsUsable(const TargetId& target, Time now) const -> bool {
  const auto found = records_.find(target);
  if (found == records_.end()) return true;
  const auto& record = found->second;
  if (now < record.cooldown_until) return false;
  if (record.failures < kFailuresToEject) return true;
  return now >= record.ejected_until && !record.is_probing;
}

auto TargetHealth::IsEjected(const TargetId& target) const -> bool {
  const auto found = records_.find(target);
  if (found == records_.end()) return false;
  return found->second.failures >= kFailuresToEject;
}

auto TargetHealth::RecordStart(const TargetId& target, Time now) -> void {
  const auto found = records_.find(target);
  if (found == records_.end()) return;
  auto& record = found->second;
  if (record.failures < kFailuresToEject) return;
  record.is_probing = now >= record.ejected_until;
}

auto TargetHealth::RecordEnd(const TargetId& target, AttemptResult result,
                             int status, Time now) -> void {
  auto& record = records_[target];
  record.is_probing = false;
  const auto needs_cooldown =
      result == AttemptResult::kRefused || result == AttemptResult::kNotReached;
  if (needs_cooldown) record.cooldown_until = now + kCooldown;
  if (!IsFailure(result, status)) {
    const auto has_recovered = result == AttemptResult::kComplete;
    if (has_recovered) records_.erase(target);
    return;
  }
  ++record.failures;
  if (record.failures < kFailuresToEject) return;
  const auto doublings = std::min(record.ejections, kMaxDoublings);
  record.ejected_until = now + kFirstEjection * (1 << doublings);
  ++record.ejections;
}

auto TargetHealth::RemoveTarget(const TargetId& target) -> void {
  records_.erase(target);
}

}  // namespace papayaplank
