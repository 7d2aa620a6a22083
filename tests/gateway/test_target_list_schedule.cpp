// Tests of the times at which a router reads the list of targets.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "gateway/target_list_schedule.h"

namespace papayaplank {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr Duration kTick = milliseconds(10);

auto Readers(std::size_t others) -> ListReaders { return ListReaders{others}; }

// Ticks of one schedule; the list is read whenever it says so.
struct Reader {
  TargetListSchedule schedule;
  Time now = kStart;

  auto Run(Duration time, const ListReaders& readers, Random& random)
      -> std::vector<ListReadDemand> {
    std::vector<ListReadDemand> demands;
    for (const auto end = now + time; now < end; now += kTick) {
      const auto demand = schedule.Tick(readers, random, now);
      if (demand) demands.push_back(*demand);
      if (demand) due.push_back(now + demand->delay);
    }
    return demands;
  }
  // When the list was to be read.
  std::vector<Time> due;
};

TEST(TargetListScheduleTest, ReadersShareTheReads) {
  Random random(1);
  Reader reader;
  reader.Run(seconds(1000), Readers(49), random);
  ASSERT_GE(reader.due.size(), 90U);
  for (std::size_t i = 1; i < reader.due.size(); ++i) {
    EXPECT_GE(reader.due[i] - reader.due[i - 1], seconds(5) - kTick);
    EXPECT_LE(reader.due[i] - reader.due[i - 1], seconds(15) + kTick);
  }
}

TEST(TargetListScheduleTest, AReadIsNotMovedWhileAllReadersAreThere) {
  Random random(1);
  for (int i = 0; i < 20; ++i) {
    Reader reader;
    for (const auto others : {49U, 60U}) {
      for (const auto& demand :
           reader.Run(seconds(16), Readers(others), random)) {
        EXPECT_EQ(demand.reason, ListReadReason::kTurn);
        EXPECT_EQ(demand.delay, Duration{});
      }
    }
  }
}

// A planned read waited for up to 45 s after the other readers had gone
// (DRAIN).
TEST(TargetListScheduleTest, AReadComesEarlierWhenReadersAreLost) {
  Random random(1);
  for (int i = 0; i < 100; ++i) {
    Reader reader;
    reader.Run(seconds(2), Readers(194), random);
    const auto demand = reader.schedule.Tick(Readers(0), random, reader.now);
    if (!reader.due.empty()) continue;  // It had its turn lately.
    ASSERT_TRUE(demand);
    EXPECT_LE(demand->delay, milliseconds(400));
    // Once; a later look at the same readers changes nothing.
    const auto later = reader.schedule.Tick(Readers(0), random,
                                            reader.now + milliseconds(100));
    EXPECT_TRUE(!later || later->reason == ListReadReason::kTurn);
  }
}

TEST(TargetListScheduleTest, SurvivorsDoNotReadAllAtOnce) {
  Random random(1);
  Duration earliest = seconds(60);
  Duration latest{};
  for (int i = 0; i < 100; ++i) {
    Reader reader;
    reader.Run(seconds(14), Readers(194), random);
    const auto demand = reader.schedule.Tick(Readers(19), random, reader.now);
    if (!demand || demand->reason == ListReadReason::kTurn) continue;
    earliest = std::min(earliest, demand->delay);
    latest = std::max(latest, demand->delay);
  }
  EXPECT_GT(latest - earliest, milliseconds(500));
}

// Reads besides the turns moved them, so that routers which had lost the same
// readers went on reading together (DRAIN, review/8).
TEST(TargetListScheduleTest, ALossOfReadersMovesNoTurns) {
  constexpr int kRouters = 59;
  std::vector<Time> due;
  for (int i = 0; i < kRouters; ++i) {
    Random random(static_cast<std::uint64_t>(i));
    Reader reader;
    reader.Run(seconds(20), Readers(kRouters - 1), random);
    reader.Run(seconds(2), Readers(0), random);
    reader.Run(seconds(20), Readers(kRouters - 1), random);
    due.insert(due.end(), reader.due.begin(), reader.due.end());
  }
  std::sort(due.begin(), due.end());
  for (std::size_t i = 1; i < due.size(); ++i) {
    EXPECT_LT(due[i] - due[i - 1], milliseconds(2000))
        << (due[i] - kStart).count() / 1000 << " ms after the start";
  }
}

// Targets that were missing in a list were kept until this router's own turn.
TEST(TargetListScheduleTest, MissingTargetsAreLookedForOnceRowsCantReturn) {
  Random random(1);
  TargetListSchedule schedule;
  auto readers = Readers(194);
  readers.has_missing_targets = true;
  readers.is_store_recovering = true;
  const auto waiting = schedule.Tick(readers, random, kStart);
  EXPECT_FALSE(waiting);
  readers.is_store_recovering = false;
  for (int read = 0; read < 2; ++read) {
    const auto demand = schedule.Tick(readers, random, kStart);
    ASSERT_TRUE(demand);
    EXPECT_EQ(demand->reason, ListReadReason::kMissingTargets);
    EXPECT_LE(demand->delay, milliseconds(800));
    EXPECT_FALSE(schedule.Tick(readers, random, kStart));
    schedule.RecordRead(kStart);
  }
}

TEST(TargetListScheduleTest, AnUninformedRouterReadsTheListItself) {
  Random random(1);
  auto readers = Readers(100);
  readers.is_informed = false;
  Reader reader;
  reader.Run(seconds(100), readers, random);
  ASSERT_GE(reader.due.size(), 100U);
  for (std::size_t i = 1; i < reader.due.size(); ++i) {
    EXPECT_LE(reader.due[i] - reader.due[i - 1], milliseconds(1200) + kTick);
  }
}

}  // namespace
}  // namespace papayaplank
