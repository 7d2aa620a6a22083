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
// How long callers are sent elsewhere; longer than they keep an answer.
constexpr Duration kSpareFor = seconds(4);

}  // namespace

auto RouterLoad::RecordLateness(Duration lateness, Time now) -> void {
  const auto late_ms =
      std::chrono::duration<double, std::milli>(lateness).count();
  lateness_ms_ += kLearnWeight * (late_ms - lateness_ms_);
  if (lateness_ms_ > kSpareMs) spared_until_ = now + kSpareFor;
}

auto RouterLoad::is_saturated() const -> bool {
  return lateness_ms_ > kSaturatedMs;
}

auto RouterLoad::ShouldBeSpared(Time now) const -> bool {
  return now < spared_until_;
}

}  // namespace papayaplank
