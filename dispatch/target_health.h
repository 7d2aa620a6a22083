// Health of targets from the outcomes that this router sees.
#ifndef DISPATCH_TARGET_HEALTH_H_
#define DISPATCH_TARGET_HEALTH_H_

#include <map>

#include "dispatch/attempt.h"

namespace papayaplank {

// Ejects a target after repeated failures and probes it with one request
// after a delay that doubles with each failed probe. A target that refused a
// request or could not be reached is left alone for a moment.
class TargetHealth {
 public:
  // Whether a request may be sent there now.
  auto IsUsable(const TargetId& target, Time now) const -> bool;

  // Records that a request starts; the first after an ejection is the probe.
  auto RecordStart(const TargetId& target, Time now) -> void;

  // Records how a request ended.
  auto RecordEnd(const TargetId& target, AttemptResult result, int status,
                 Time now) -> void;

  // Whether the target is ejected, whatever its probes.
  auto IsEjected(const TargetId& target) const -> bool;

  // Forgets a target that has left.
  auto Forget(const TargetId& target) -> void;

 private:
  struct Record {
    int failures = 0;
    int ejections = 0;
    // Until then nothing is sent.
    Time resting_until{};
    // Until then nothing is sent; afterwards one probe at a time.
    Time ejected_until{};
    bool is_probing = false;
  };

  std::map<TargetId, Record> records_;
};

}  // namespace papayaplank

#endif  // DISPATCH_TARGET_HEALTH_H_
