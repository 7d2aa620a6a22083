// Measures the gaps between successful calls.
#include "routing/store_continuity.h"

namespace papayaplank {
namespace {

// Longest gap in which no row can expire: rows expire after three heartbeats
// of 1.2 s, the last of which may just have been due.
constexpr Duration kMaxSuccessGap = milliseconds(2300);
// Rows of running targets are back two seconds after an outage.
constexpr Duration kRowReturnTime = milliseconds(2300);

}  // namespace

auto StoreContinuity::RecordSuccess(Time now) -> void {
  if (!has_success_ || now - last_success_ > kMaxSuccessGap)
    continuous_since_ = now;
  has_success_ = true;
  is_failing_ = false;
  last_success_ = now;
}

auto StoreContinuity::IsContinuous(Time now) const -> bool {
  return has_success_ && now - last_success_ <= kMaxSuccessGap &&
         now - continuous_since_ >= kRowReturnTime;
}

}  // namespace papayaplank
