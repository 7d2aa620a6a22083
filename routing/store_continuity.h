// Detects long outages of the store. Rows of running targets expire during a
// long outage and return shortly after it, so a missing row shows that a
// target has left only if the store had no long outage lately.
#ifndef ROUTING_STORE_CONTINUITY_H_
#define ROUTING_STORE_CONTINUITY_H_

#include "base/base.h"

namespace papayaplank {

// Derives outages from the times of successful calls.
class StoreContinuity {
 public:
  // A call succeeded.
  auto RecordSuccess(Time now) -> void;
  // A call failed.
  auto RecordFailure() -> void { is_failing_ = true; }
  // Whether the newest call failed.
  auto is_failing() const -> bool { return is_failing_; }
  // Whether the store surely has no outage now, and had none lately, that is
  // long enough for rows to expire.
  auto IsContinuous(Time now) const -> bool;

 private:
  bool is_failing_ = false;
  bool has_success_ = false;
  Time last_success_{};
  // No gap between successes since then was long enough for rows to expire.
  Time continuous_since_{};
};

}  // namespace papayaplank

#endif  // ROUTING_STORE_CONTINUITY_H_
