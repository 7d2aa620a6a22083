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
  auto ShouldBeSpared(Time now) const -> bool;

 private:
  // Moving average.
  double lateness_ms_ = 0;
  Time spared_until_{};
};

}  // namespace papayaplank

#endif  // ADMISSION_ROUTER_LOAD_H_
