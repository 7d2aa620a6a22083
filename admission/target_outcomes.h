// How reliable each target has been lately. Load pattern: a target that fails
// part of its requests while its health check says that it is well.
#ifndef ADMISSION_TARGET_OUTCOMES_H_
#define ADMISSION_TARGET_OUTCOMES_H_

#include <unordered_map>

#include "base/base.h"

namespace papayaplank {

// Failure rates that fade, so that a target that has recovered is used again.
class TargetOutcomes {
 public:
  auto RecordSuccess(const TargetId& target, Time now) -> void;
  auto RecordFailure(const TargetId& target, Time now) -> void;
  // The target refused or could not be reached: leave it alone for a moment.
  auto RecordRefusal(const TargetId& target, Duration cooldown, Time now)
      -> void;
  auto RemoveTarget(const TargetId& target) -> void { records_.erase(target); }

  // Expected share of failures, 0 to 1.
  auto FailureRate(const TargetId& target, Time now) const -> double;
  auto IsCoolingDown(const TargetId& target, Time now) const -> bool;

 private:
  struct Record {
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
