// The gate of a router whose processor is saturated, in virtual time.
#include <gtest/gtest.h>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
constexpr Duration kTick = milliseconds(100);

// A small instance under a flood of one customer that keeps to its address:
// a closed gate lets the processor recover, an open one brings the flood back.
TEST(RouterLoadTest, UnderAFloodTheGateOpensAndClosesByTurns) {
  RouterLoad load;
  auto now = kStart;
  Duration closed{};
  Duration longest_closed{};
  Duration total_closed{};
  constexpr int kTicks = 600;
  for (int i = 0; i < kTicks; ++i, now += kTick) {
    load.RecordLateness(
        load.is_listener_paused() ? Duration{} : milliseconds(200), now);
    closed = load.is_listener_paused() ? closed + kTick : Duration{};
    longest_closed = std::max(longest_closed, closed);
    if (load.is_listener_paused()) total_closed += kTick;
  }
  EXPECT_GT(total_closed, kTick * kTicks / 4);
  EXPECT_LT(total_closed, kTick * kTicks * 9 / 10);
  EXPECT_LE(longest_closed, seconds(1));
}

// Streams in progress alone may keep the processor busy; callers that know no
// other router are still heard.
TEST(RouterLoadTest, TheGateNeverStaysClosed) {
  RouterLoad load;
  auto now = kStart;
  int openings = 0;
  auto was_closed = false;
  constexpr int kTicks = 100;
  for (int i = 0; i < kTicks; ++i, now += kTick) {
    load.RecordLateness(milliseconds(200), now);
    if (was_closed && !load.is_listener_paused()) ++openings;
    was_closed = load.is_listener_paused();
  }
  EXPECT_GE(openings, 8);
}

TEST(RouterLoadTest, ASingleLateTickClosesNothing) {
  RouterLoad load;
  load.RecordLateness(milliseconds(120), kStart);
  EXPECT_FALSE(load.is_listener_paused());
  EXPECT_FALSE(load.is_saturated());
}

}  // namespace
}  // namespace papayaplank
