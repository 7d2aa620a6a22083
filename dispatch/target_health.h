// Health of targets, judged by the attempts of this router.
#ifndef DISPATCH_TARGET_HEALTH_H_
#define DISPATCH_TARGET_HEALTH_H_

#include <map>

#include "dispatch/attempt.h"

namespace papayaplank {

// Ejects a target after repeated failures, and probes it with one request after
// a delay that doubles with each failed probe. A target that refused a request
// or could not be reached gets a short cooldown.
class TargetHealth {
 public:
  // Whether a request may be sent there now.
  auto IsUsable(const TargetId& target, Time now) const -> bool;

  // Records that an attempt starts; the first after an ejection is the probe.
  auto RecordStart(const TargetId& target, Time now) -> void;

  // Records how an attempt ended. `status` is the HTTP status, or 0 if none
  // arrived.
  auto RecordEnd(const TargetId& target, AttemptResult result, int status,
                 Time now) -> void;

  // Whether the target is ejected, even if a probe is due or in progress.
  auto IsEjected(const TargetId& target) const -> bool;

  // Removes the record of a target that has left.
  auto RemoveTarget(const TargetId& target) -> void;

 private:
  struct Record {
    // Failures and ejections since the last successful answer.
    int failures = 0;
    int ejections = 0;
    // No requests are sent before this time.
    Time cooldown_until{};
    // No requests are sent before this time, and then one probe at a time.
    Time ejected_until{};
    bool is_probing = false;
  };

  std::map<TargetId, Record> records_;
};

}  // namespace papayaplank

#endif  // DISPATCH_TARGET_HEALTH_H_
