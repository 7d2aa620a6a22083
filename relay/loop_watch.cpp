// Delays of the loop's timer.
#include "relay/loop_watch.h"

#include <algorithm>

namespace papayaplank {
namespace {

// A process that has ended takes longer than this to start again.
constexpr Duration kLeastRestartTime = milliseconds(250);
// Time in which a loop that stood still handles what had arrived.
constexpr Duration kCatchUpTime = milliseconds(500);

}  // namespace

auto LoopWatch::Start(Time now, Duration boot_time) -> void {
  last_tick_ = now;
  boot_offset_ = boot_time - now.time_since_epoch();
}

auto LoopWatch::RecordTick(Time now, Duration boot_time) -> void {
  NoteDelay(now, boot_time);
  Start(now, boot_time);
}

auto LoopWatch::MayBeLate(Time now, Duration boot_time) -> bool {
  NoteDelay(now, boot_time);
  return has_delay_ && now - last_delay_at_ < kCatchUpTime;
}

auto LoopWatch::NoteDelay(Time now, Duration boot_time) -> void {
  const auto suspended = boot_time - now.time_since_epoch() - boot_offset_;
  if (std::max(suspended, now - last_tick_) < kLeastRestartTime) return;
  has_delay_ = true;
  last_delay_at_ = now;
}

}  // namespace papayaplank
