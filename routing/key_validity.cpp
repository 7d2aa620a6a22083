// Tracks the time of the newest confirmation.
#include "routing/key_validity.h"

#include <algorithm>

namespace papayaplank {

auto KeyValidity::Confirm(Time as_of) -> void {
  confirmed_at_ = is_confirmed_ ? std::max(confirmed_at_, as_of) : as_of;
  is_confirmed_ = true;
}

auto KeyValidity::IsValid(Time now) const -> bool {
  return is_confirmed_ && now - confirmed_at_ < limit_;
}

auto KeyValidity::Age(Time now) const -> Duration {
  return is_confirmed_ ? now - confirmed_at_ : limit_;
}

}  // namespace papayaplank
