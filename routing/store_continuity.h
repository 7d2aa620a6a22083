// Whether the store has answered without a break. Rows of living targets lapse
// in a long outage and return shortly after it, so a missing row is a sign of
// a departure only while the store is known to be continuous.
#ifndef ROUTING_STORE_CONTINUITY_H_
#define ROUTING_STORE_CONTINUITY_H_

#include "base/base.h"

namespace papayaplank {

// Judged from the times of successful calls.
class StoreContinuity {
 public:
  // A call was answered well.
  auto RecordSuccess(Time now) -> void;
  // A call failed.
  auto RecordFailure() -> void { is_failing_ = true; }
  // The newest call failed.
  auto is_failing() const -> bool { return is_failing_; }
  // No outage that is long enough for rows to lapse can have ended lately.
  auto IsContinuous(Time now) const -> bool;

 private:
  bool is_failing_ = false;
  bool has_success_ = false;
  Time last_success_{};
  // No gap between successes since then was long enough for rows to lapse.
  Time continuous_since_{};
};

}  // namespace papayaplank

#endif  // ROUTING_STORE_CONTINUITY_H_
