// Compares a moving average of timer lateness with limits.
#include "admission/router_load.h"

namespace papayaplank {
namespace {

// Weight of the newest sample; the timer fires ten times a second.
constexpr double kSampleWeight = 0.3;
// Limits of the lateness, as shares of how late an event may reach its caller.
// New streams are refused while half of it is left for the network and for the
// streams in progress. Callers are diverted before, and the listener pauses
// only when the refusals themselves take the processor from these streams.
constexpr double kDivertShare = 0.25;
constexpr double kSaturatedShare = 0.5;
constexpr double kPauseListenerShare = 0.75;
constexpr double kResumeListenerShare = 0.35;
// The listener resumes after this pause even if the load has not fallen, so
// that callers that know no other router are served.
constexpr Duration kLongestPause = milliseconds(800);
// How long callers are diverted; longer than they cache a list of addresses.
constexpr Duration kDivertFor = seconds(4);

auto ToMs(Duration duration) -> double {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

RouterLoad::RouterLoad(Duration max_event_delay)
    : saturated_ms_(kSaturatedShare * ToMs(max_event_delay)),
      divert_ms_(kDivertShare * ToMs(max_event_delay)),
      pause_listener_ms_(kPauseListenerShare * ToMs(max_event_delay)),
      resume_listener_ms_(kResumeListenerShare * ToMs(max_event_delay)) {}

auto RouterLoad::RecordLateness(Duration lateness, Time now) -> void {
  const auto late_ms = ToMs(lateness);
  lateness_ms_ += kSampleWeight * (late_ms - lateness_ms_);
  if (lateness_ms_ > divert_ms_) divert_until_ = now + kDivertFor;
  UpdateListener(now);
}

auto RouterLoad::UpdateListener(Time now) -> void {
  if (!is_listener_paused_) {
    is_listener_paused_ = lateness_ms_ > pause_listener_ms_;
    listener_paused_at_ = now;
    return;
  }
  const auto is_pause_over = now - listener_paused_at_ >= kLongestPause;
  if (lateness_ms_ < resume_listener_ms_ || is_pause_over) {
    is_listener_paused_ = false;
  }
}

auto RouterLoad::is_saturated() const -> bool {
  return lateness_ms_ > saturated_ms_;
}

auto RouterLoad::ShouldDivertCallers(Time now) const -> bool {
  return now < divert_until_;
}

}  // namespace papayaplank
