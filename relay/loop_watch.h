// Notices that the event loop stood still: the process was paused or suspended,
// or had no processor. What arrived meanwhile is handled late.
#ifndef RELAY_LOOP_WATCH_H_
#define RELAY_LOOP_WATCH_H_

#include "base/base.h"

namespace papayaplank {

// Fed by a periodic timer of the loop; `boot_time` also counts the time for
// which the machine was suspended.
class LoopWatch {
 public:
  auto Start(Time now, Duration boot_time) -> void;
  // The timer has fired.
  auto RecordTick(Time now, Duration boot_time) -> void;
  // Whether what is handled now may have arrived long ago, so that a process
  // that it tells about may have been replaced since.
  auto MayBeLate(Time now, Duration boot_time) -> bool;

 private:
  auto NoteDelay(Time now, Duration boot_time) -> void;

  Time last_tick_{};
  // Boot time minus monotonic time at the last tick.
  Duration boot_offset_{};
  // The last time at which a tick was overdue; nothing before `Start`.
  bool has_delay_ = false;
  Time last_delay_at_{};
};

}  // namespace papayaplank

#endif  // RELAY_LOOP_WATCH_H_
