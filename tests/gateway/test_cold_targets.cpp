// Tests that cold targets get no more requests from the whole fleet than they
// tolerate, and that they are used. A target that gets more crashes.
#include <gtest/gtest.h>

#include "tests/gateway/limit_fleet.h"

namespace papayaplank {
namespace {

constexpr double kTolerated = 15;
// 1.5 times what a cold target tolerates, and 5.
constexpr int kAllowedInASecond = 27;
// Share of what a cold target tolerates that it gets while work waits.
constexpr double kLeastUse = 0.5;

class ColdTargetsTest : public testing::TestWithParam<int> {
 protected:
  // Each target gets nearly three times what it tolerates while it is cold.
  static auto Options(int routers) -> LimitFleetOptions {
    LimitFleetOptions options;
    options.routers = routers;
    options.targets = 12;
    options.requests_per_second = 40 * 12;
    options.cold_per_second = kTolerated;
    options.seed = static_cast<std::uint64_t>(GetParam());
    return options;
  }
  static auto ExpectBound(const LimitFleet& fleet) -> void {
    EXPECT_LE(fleet.WorstColdSecond(), kAllowedInASecond);
  }
};

// A third of the targets crash and return under the same ids.
auto CrashAndReturn(LimitFleet& fleet, Duration down) -> void {
  for (int i = 0; i < 4; ++i) fleet.Crash(i * 3);
  fleet.Run(down);
  for (int i = 0; i < 4; ++i) fleet.Restart(i * 3);
  fleet.Run(seconds(6));
}

TEST_P(ColdTargetsTest, CrashedTargetsOfASmallFleetReturn) {
  LimitFleet fleet(Options(8));
  fleet.Run(seconds(5));
  CrashAndReturn(fleet, seconds(2));
  ExpectBound(fleet);
  EXPECT_GE(fleet.ColdUse(), kLeastUse * kTolerated);
}

TEST_P(ColdTargetsTest, CrashedTargetsOfALargeFleetReturn) {
  LimitFleet fleet(Options(60));
  fleet.Run(seconds(8));
  CrashAndReturn(fleet, seconds(2));
  ExpectBound(fleet);
  EXPECT_GE(fleet.ColdUse(), kLeastUse * kTolerated);
}

TEST_P(ColdTargetsTest, ADataCenterIsTakenBack) {
  for (const auto routers : {8, 60}) {
    LimitFleet fleet(Options(routers));
    fleet.Run(seconds(8));
    fleet.SetEvacuated(1, true);
    fleet.Run(seconds(8));
    fleet.SetEvacuated(1, false);
    fleet.Run(seconds(6));
    ExpectBound(fleet);
    EXPECT_GE(fleet.ColdUse(), kLeastUse * kTolerated) << routers;
  }
}

// Owners of targets die, are cut off, freeze and restart in random order while
// targets crash and return, and messages get lost.
TEST_P(ColdTargetsTest, MovesOfOwnershipKeepTheBound) {
  auto options = Options(20);
  options.message_loss = 0.1;
  LimitFleet fleet(options);
  Random random(options.seed);
  fleet.Run(seconds(6));
  for (int step = 0; step < 30; ++step) {
    const auto router = static_cast<int>(random.Index(20));
    switch (random.Index(5)) {
      case 0:
        fleet.KillRouter(router);
        fleet.Run(milliseconds(100));
        fleet.StartRouter(router);
        break;
      case 1:
        fleet.CutRouter(router, random.Uniform() < 0.5);
        break;
      case 2: {
        const auto target = static_cast<int>(random.Index(12));
        fleet.Crash(target);
        fleet.Run(seconds(2));
        fleet.Restart(target);
        break;
      }
      case 3:
        fleet.FreezeRouter(router);
        fleet.Run(milliseconds(700));
        fleet.WakeRouter(router);
        break;
      default:
        break;
    }
    fleet.Run(Scale(seconds(1), random.Uniform()));
  }
  ExpectBound(fleet);
}

// Half of the routers are cut off from the others, while targets return.
TEST_P(ColdTargetsTest, BothSidesOfAPartitionKeepTheBound) {
  LimitFleet fleet(Options(20));
  fleet.Run(seconds(6));
  for (int i = 0; i < 20; ++i) {
    if (i % 5 < 2) fleet.CutRouter(i, true);
  }
  fleet.Run(seconds(3));
  CrashAndReturn(fleet, seconds(2));
  ExpectBound(fleet);
}

// The routers that own the targets restart, one after the other, while these
// are cold: they know nothing of it.
TEST_P(ColdTargetsTest, OwnersThatRestartKeepTheBound) {
  LimitFleet fleet(Options(8));
  fleet.Run(seconds(6));
  for (int i = 0; i < 4; ++i) fleet.Crash(i * 3);
  fleet.Run(seconds(2));
  for (int i = 0; i < 4; ++i) fleet.Restart(i * 3);
  for (int i = 0; i < 8; ++i) {
    fleet.KillRouter(i);
    fleet.StartRouter(i);
    fleet.Run(milliseconds(300));
  }
  fleet.Run(seconds(4));
  ExpectBound(fleet);
}

INSTANTIATE_TEST_SUITE_P(, ColdTargetsTest, testing::Range(1, 5));

}  // namespace
}  // namespace papayaplank
