// Detection of an event loop that stood still.
#include <gtest/gtest.h>

#include "relay/loop_watch.h"

namespace papayaplank {
namespace {

constexpr Duration kPeriod = milliseconds(100);

TEST(LoopWatchTest, APauseMakesWhatFollowsLate) {
  LoopWatch watch;
  const Time start(seconds(50));
  const auto boot_time = [](Time now) { return now.time_since_epoch(); };
  watch.Start(start, boot_time(start));
  auto now = start + kPeriod;
  watch.RecordTick(now, boot_time(now));
  EXPECT_FALSE(watch.MayBeLate(now, boot_time(now)));
  now += milliseconds(400);
  EXPECT_TRUE(watch.MayBeLate(now, boot_time(now)));
  watch.RecordTick(now, boot_time(now));
  EXPECT_TRUE(watch.MayBeLate(now + kPeriod, boot_time(now + kPeriod)));
  for (int i = 0; i < 10; ++i) {
    now += kPeriod;
    watch.RecordTick(now, boot_time(now));
  }
  EXPECT_FALSE(watch.MayBeLate(now, boot_time(now)));
}

TEST(LoopWatchTest, ASuspendedMachineIsLateAsWell) {
  LoopWatch watch;
  const Time start(seconds(50));
  watch.Start(start, start.time_since_epoch());
  const auto now = start + kPeriod;
  EXPECT_TRUE(watch.MayBeLate(now, now.time_since_epoch() + seconds(2)));
}

}  // namespace
}  // namespace papayaplank
