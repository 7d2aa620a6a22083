// Limits how long keys are accepted without a confirmation by the store.
#ifndef ROUTING_KEY_VALIDITY_H_
#define ROUTING_KEY_VALIDITY_H_

#include "base/base.h"

namespace papayaplank {

// A revoked key must stop working within `revocation_bound` of the store's
// acknowledgement on every router, also on one that receives no updates.
class KeyValidity {
 public:
  // Keys stop being valid `safety_margin` before the bound.
  KeyValidity(Duration revocation_bound, Duration safety_margin)
      : limit_(revocation_bound - safety_margin) {}

  // The configuration was the newest one at `as_of`, the time at which the
  // request of a successful read was sent.
  auto Confirm(Time as_of) -> void;
  // After a pause of the process, no key is valid until the next confirmation.
  auto Invalidate() -> void { is_confirmed_ = false; }

  auto IsValid(Time now) const -> bool;
  // Whether the newest confirmation is at most that old.
  auto IsConfirmedWithin(Duration age, Time now) const -> bool {
    return is_confirmed_ && now - confirmed_at_ <= age;
  }
  // Time since the newest confirmation; the limit if there is none.
  auto Age(Time now) const -> Duration;

 private:
  Duration limit_;
  bool is_confirmed_ = false;
  Time confirmed_at_{};
};

}  // namespace papayaplank

#endif  // ROUTING_KEY_VALIDITY_H_
