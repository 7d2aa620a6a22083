// Measures the gaps between successful calls.
#include "routing/store_continuity.h"

namespace papayaplank {
namespace {

// Longest gap in which no row can expire. Rows expire after three heartbeat
// periods of 1.2 s, and a whole period may have passed when the gap begins.
constexpr Duration kMaxSuccessGap = milliseconds(2300);
// Longer than the two seconds after an outage in which the rows of running
// targets return.
constexpr Duration kRowReturnTime = milliseconds(2300);

}  // namespace

auto StoreContinuity::RecordSuccess(Time now) -> void {
  if (!has_success_ || now - last_success_ > kMaxSuccessGap) {
    continuous_since_ = now;
  }
  has_success_ = true;
  is_failing_ = false;
  last_success_ = now;
}

auto StoreContinuity::IsContinuous(Time now) const -> bool {
  return has_success_ && now - last_success_ <= kMaxSuccessGap &&
         now - continuous_since_ >= kRowReturnTime;
}

}  // namespace papayaplank
