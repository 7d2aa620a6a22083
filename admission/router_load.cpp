// Compares a moving average of timer lateness with limits.
#include "admission/router_load.h"

namespace papayaplank {
namespace {

// Weight of the newest sample; the timer fires ten times a second.
constexpr double kSampleWeight = 0.3;
// An event may reach its caller 120 ms late; half of that is left for the
// network and for the streams in progress.
constexpr double kSaturatedMs = 60;
// Lower, so that callers are diverted before streams are refused.
constexpr double kDivertMs = 30;
// Hysteresis of the listener, below the limit at which streams are refused:
// accepted connections have priority over new ones.
constexpr double kPauseListenerMs = 45;
constexpr double kResumeListenerMs = 25;
// The listener resumes after this pause even if the load has not fallen, so
// that callers that know no other router are served.
constexpr Duration kLongestPause = milliseconds(800);
// How long callers are diverted; longer than they cache a list of addresses.
constexpr Duration kDivertFor = seconds(4);

}  // namespace

auto RouterLoad::RecordLateness(Duration lateness, Time now) -> void {
  const auto late_ms =
      std::chrono::duration<double, std::milli>(lateness).count();
  lateness_ms_ += kSampleWeight * (late_ms - lateness_ms_);
  if (lateness_ms_ > kDivertMs) divert_until_ = now + kDivertFor;
  UpdateListener(now);
}

auto RouterLoad::UpdateListener(Time now) -> void {
  if (!is_listener_paused_) {
    is_listener_paused_ = lateness_ms_ > kPauseListenerMs;
    listener_paused_at_ = now;
    return;
  }
  const auto is_pause_over = now - listener_paused_at_ >= kLongestPause;
  if (lateness_ms_ < kResumeListenerMs || is_pause_over) {
    is_listener_paused_ = false;
  }
}

auto RouterLoad::is_saturated() const -> bool {
  return lateness_ms_ > kSaturatedMs;
}

auto RouterLoad::ShouldDivertCallers(Time now) const -> bool {
  return now < divert_until_;
}

}  // namespace papayaplank
