// Tracks how reliable each target has been lately. Load pattern: a target that
// fails part of its requests while its health check reports no fault.
#ifndef ADMISSION_TARGET_OUTCOMES_H_
#define ADMISSION_TARGET_OUTCOMES_H_

#include <unordered_map>

#include "base/base.h"

namespace papayaplank {

// Failure rates that decay, so that a recovered target is used again.
class TargetOutcomes {
 public:
  auto RecordSuccess(const TargetId& target, Time now) -> void;
  auto RecordFailure(const TargetId& target, Time now) -> void;
  // The target refused a request or was not reached: it cools down for at least
  // `cooldown`.
  auto StartCooldown(const TargetId& target, Duration cooldown, Time now)
      -> void;
  // The target left or restarted.
  auto RemoveTarget(const TargetId& target) -> void { records_.erase(target); }

  // Expected share of failures, 0 to 1.
  auto FailureRate(const TargetId& target, Time now) const -> double;
  // Whether the target should get requests only if there is no better one.
  auto IsCoolingDown(const TargetId& target, Time now) const -> bool;

 private:
  struct Record {
    // Decayed counts up to `at`.
    double failures = 0;
    double outcomes = 0;
    Time at{};
    int failures_in_a_row = 0;
    Time cooldown_until{};
  };

  auto Decay(Record& record, Time now) const -> void;

  std::unordered_map<TargetId, Record> records_;
};

}  // namespace papayaplank

#endif  // ADMISSION_TARGET_OUTCOMES_H_
