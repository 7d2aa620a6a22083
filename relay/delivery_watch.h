// Notices that the other end of a connection is lost while sent bytes are under
// way. TCP keep-alive covers only connections without such bytes, and the
// system's limit for unacknowledged ones also ends connections whose other end
// is there and reads nothing.
#ifndef RELAY_DELIVERY_WATCH_H_
#define RELAY_DELIVERY_WATCH_H_

#include <optional>

#include "relay/socket_options.h"

namespace papayaplank {

// An end that answers nothing for this long is lost.
inline constexpr Duration kLongestSilence = milliseconds(3000);

// Watches one connection; asked periodically.
class DeliveryWatch {
 public:
  // Whether the other end has answered nothing for `kLongestSilence`, though it
  // was sent bytes or probes again meanwhile.
  auto IsLost(const DeliveryState& state, Time now) -> bool;

 private:
  // Since when repeated bytes or probes have been unanswered.
  std::optional<Time> unanswered_since_;
};

}  // namespace papayaplank

#endif  // RELAY_DELIVERY_WATCH_H_
