// Tests when a saturated router pauses its listener, in virtual time.
#include <gtest/gtest.h>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
constexpr Duration kTick = milliseconds(100);

// One customer floods a small instance and keeps using its address: a paused
// listener lets the processor recover, a resumed one brings the flood back.
TEST(RouterLoadTest, UnderAFloodTheListenerPausesAndResumesByTurns) {
  RouterLoad load;
  auto now = kStart;
  Duration pause{};
  Duration longest_pause{};
  Duration total_pause{};
  constexpr int kTicks = 600;
  for (int i = 0; i < kTicks; ++i, now += kTick) {
    load.RecordLateness(
        load.is_listener_paused() ? Duration{} : milliseconds(200), now);
    pause = load.is_listener_paused() ? pause + kTick : Duration{};
    longest_pause = std::max(longest_pause, pause);
    if (load.is_listener_paused()) total_pause += kTick;
  }
  EXPECT_GT(total_pause, kTick * kTicks / 4);
  EXPECT_LT(total_pause, kTick * kTicks * 9 / 10);
  EXPECT_LE(longest_pause, seconds(1));
}

// Streams in progress alone may keep the processor busy; callers that know no
// other router must still be served now and then.
TEST(RouterLoadTest, TheListenerNeverStaysPaused) {
  RouterLoad load;
  auto now = kStart;
  int resumptions = 0;
  auto was_paused = false;
  constexpr int kTicks = 100;
  for (int i = 0; i < kTicks; ++i, now += kTick) {
    load.RecordLateness(milliseconds(200), now);
    if (was_paused && !load.is_listener_paused()) ++resumptions;
    was_paused = load.is_listener_paused();
  }
  EXPECT_GE(resumptions, 8);
}

TEST(RouterLoadTest, ASingleLateTickPausesNothing) {
  RouterLoad load;
  load.RecordLateness(milliseconds(120), kStart);
  EXPECT_FALSE(load.is_listener_paused());
  EXPECT_FALSE(load.is_saturated());
}

}  // namespace
}  // namespace papayaplank
