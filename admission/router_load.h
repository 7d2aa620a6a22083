// Whether this router keeps up. Load pattern: many callers hold on to one
// router's address, and its processor cannot carry their streams.
#ifndef ADMISSION_ROUTER_LOAD_H_
#define ADMISSION_ROUTER_LOAD_H_

#include "base/base.h"

namespace papayaplank {

// Judged by how late a periodic timer fires: work that is ready then waits as
// long.
class RouterLoad {
 public:
  auto RecordLateness(Duration lateness, Time now) -> void;

  auto lateness_ms() const -> double { return lateness_ms_; }

  // New streams would make those in progress late.
  auto is_saturated() const -> bool;
  // Callers should be sent to other routers. Holds on for a while, so that
  // they do not come back all at once.
  auto ShouldDivertCallers(Time now) const -> bool;
  // New connections cost more than the streams in progress can spare. A caller
  // that is not let in knows it at once and tries another router.
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
