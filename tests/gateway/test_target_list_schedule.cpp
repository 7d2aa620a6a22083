// Tests of the times at which a router reads the list of targets.
#include <gtest/gtest.h>

#include "gateway/target_list_schedule.h"

namespace papayaplank {
namespace {

constexpr Time kStart{seconds(1000)};

auto Readers(std::size_t others) -> ListReaders { return ListReaders{others}; }

TEST(TargetListScheduleTest, ReadersShareTheReads) {
  Random random(1);
  TargetListSchedule schedule;
  for (int i = 0; i < 100; ++i) {
    const auto delay = schedule.PlanRead(Readers(49), random, kStart);
    EXPECT_GE(delay, seconds(5));
    EXPECT_LE(delay, seconds(15));
  }
}

TEST(TargetListScheduleTest, AReadIsNotMovedWhileAllReadersAreThere) {
  Random random(1);
  TargetListSchedule schedule;
  for (int i = 0; i < 100; ++i) {
    const auto delay = schedule.PlanRead(Readers(49), random, kStart);
    for (auto at = Duration{}; at < seconds(16); at += milliseconds(100)) {
      EXPECT_FALSE(schedule.Advance(Readers(49), kStart + at)) << delay.count();
      EXPECT_FALSE(schedule.Advance(Readers(60), kStart + at)) << delay.count();
    }
  }
}

// A planned read waited for up to 45 s after the other readers had gone
// (DRAIN).
TEST(TargetListScheduleTest, APlannedReadComesEarlierWhenReadersAreLost) {
  Random random(1);
  TargetListSchedule schedule;
  for (int i = 0; i < 100; ++i) {
    schedule.PlanRead(Readers(194), random, kStart);
    const auto delay = schedule.Advance(Readers(0), kStart + seconds(2));
    ASSERT_TRUE(delay);
    EXPECT_LE(*delay, milliseconds(400));
    // Moved once; a later look at the same readers changes nothing.
    EXPECT_FALSE(schedule.Advance(Readers(0), kStart + milliseconds(2100)));
  }
}

TEST(TargetListScheduleTest, SurvivorsDoNotReadAllAtOnce) {
  Random random(1);
  Duration earliest = seconds(60);
  Duration latest{};
  for (int i = 0; i < 100; ++i) {
    TargetListSchedule schedule;
    schedule.PlanRead(Readers(194), random, kStart);
    const auto delay = schedule.Advance(Readers(99), kStart + seconds(14));
    if (!delay) continue;
    earliest = std::min(earliest, *delay);
    latest = std::max(latest, *delay);
  }
  EXPECT_GT(latest - earliest, milliseconds(500));
}

TEST(TargetListScheduleTest, AnUninformedRouterReadsTheListItself) {
  Random random(1);
  TargetListSchedule schedule;
  auto readers = Readers(100);
  readers.is_informed = false;
  for (int i = 0; i < 100; ++i) {
    EXPECT_LE(schedule.PlanRead(readers, random, kStart), milliseconds(1200));
  }
}

}  // namespace
}  // namespace papayaplank
