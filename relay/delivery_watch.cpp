// Measures how long the other end has been silent.
#include "relay/delivery_watch.h"

namespace papayaplank {

auto DeliveryWatch::IsLost(const DeliveryState& state, Time now) -> bool {
  const auto last_answer = now - state.since_answer;
  if (!state.is_unanswered ||
      (unanswered_since_ && last_answer > *unanswered_since_)) {
    unanswered_since_.reset();
  }
  if (!state.is_unanswered) return false;
  if (!unanswered_since_) unanswered_since_ = now;
  return now - *unanswered_since_ >= kLongestSilence;
}

}  // namespace papayaplank
