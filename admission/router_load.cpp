// Moving average of timer lateness.
#include "admission/router_load.h"

namespace papayaplank {
namespace {

// Weight of the newest sample; the timer fires ten times a second.
constexpr double kLearnWeight = 0.3;
// Source: an event may reach its caller 120 ms late; half of it is left for
// the network and for the streams in progress.
constexpr double kSaturatedMs = 60;
constexpr double kSpareMs = 30;
// Hysteresis of the gate, below the limit at which streams are refused:
// accepted connections come first.
constexpr double kCloseGateMs = 45;
constexpr double kOpenGateMs = 25;
// The gate opens now and then, so that callers without another router are
// heard.
constexpr Duration kLongestClosed = milliseconds(800);
// How long callers are sent elsewhere; longer than they keep an answer.
constexpr Duration kSpareFor = seconds(4);

}  // namespace

auto RouterLoad::RecordLateness(Duration lateness, Time now) -> void {
  const auto late_ms =
      std::chrono::duration<double, std::milli>(lateness).count();
  lateness_ms_ += kLearnWeight * (late_ms - lateness_ms_);
  if (lateness_ms_ > kSpareMs) spared_until_ = now + kSpareFor;
  UpdateGate(now);
}

auto RouterLoad::UpdateGate(Time now) -> void {
  if (!is_gate_closed_) {
    is_gate_closed_ = lateness_ms_ > kCloseGateMs;
    gate_closed_at_ = now;
    return;
  }
  const auto is_long = now - gate_closed_at_ >= kLongestClosed;
  if (lateness_ms_ < kOpenGateMs || is_long) is_gate_closed_ = false;
}

auto RouterLoad::is_saturated() const -> bool {
  return lateness_ms_ > kSaturatedMs;
}

auto RouterLoad::ShouldBeSpared(Time now) const -> bool {
  return now < spared_until_;
}

}  // namespace papayaplank
