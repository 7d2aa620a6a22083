// Detects overload of this router's processor. Load pattern: many callers keep
// using the address of one router, and its processor can't handle their
// streams.
#ifndef ADMISSION_ROUTER_LOAD_H_
#define ADMISSION_ROUTER_LOAD_H_

#include "base/base.h"

namespace papayaplank {

// Measures how late a periodic timer fires: ready work waits about as long for
// the processor.
class RouterLoad {
 public:
  // How late the timer fired, every time it fires.
  auto RecordLateness(Duration lateness, Time now) -> void;

  auto lateness_ms() const -> double { return lateness_ms_; }

  // Whether new streams would delay those in progress too much.
  auto is_saturated() const -> bool;
  // Whether callers should be directed to other routers. Stays true for a while
  // after the load has fallen, so that they don't all return at once.
  auto ShouldDivertCallers(Time now) const -> bool;
  // Whether the listener should accept no connections, as new ones would delay
  // the streams in progress. A refused caller notices it at once and tries
  // another router.
  auto is_listener_paused() const -> bool { return is_listener_paused_; }

 private:
  auto UpdateListener(Time now) -> void;

  // Moving average.
  double lateness_ms_ = 0;
  Time divert_until_{};
  bool is_listener_paused_ = false;
  Time listener_paused_at_{};
};

}  // namespace papayaplank

#endif  // ADMISSION_ROUTER_LOAD_H_
