// Tests that targets which say that they leave, or ask for a pause, get what
// they ask for from a whole fleet, and that callers are served elsewhere.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "tests/gateway/limit_fleet.h"

namespace papayaplank {
namespace {

constexpr int kAllowedInPause = 2;
// Share of what is served without such targets.
constexpr double kLeastService = 0.95;

auto SeedCount() -> int {
  const auto* text = std::getenv("STATEMENT_SEEDS");
  return text == nullptr ? 2 : std::stoi(text);
}

class IgnoredStatementTest : public ::testing::TestWithParam<int> {
 protected:
  static auto Fleet(int routers, int targets) -> LimitFleetOptions {
    LimitFleetOptions options;
    options.seed = static_cast<std::uint64_t>(GetParam());
    options.routers = routers;
    options.targets = targets;
    options.requests_per_second = targets * 12.0;
    return options;
  }
  // A quarter of the targets leave and a quarter pause half of the time.
  static auto Trouble(LimitFleet& fleet, int targets) -> void {
    for (int i = 0; i < targets / 4; ++i) {
      fleet.SetLeaving(i);
      fleet.SetPause(targets / 4 + i, seconds(2 + i % 3), 0.5);
    }
  }
  static auto ExpectKept(const LimitFleet& fleet) -> void {
    EXPECT_EQ(fleet.late_arrivals(), 0);
    EXPECT_GT(fleet.pause_count(), 0U);
    EXPECT_LE(fleet.MostInPause(), kAllowedInPause);
  }
};

// Requests reached targets that leave or pause (DRAIN, BUDGET).
TEST_P(IgnoredStatementTest, TargetsThatLeaveOrPauseAreSpared) {
  for (const auto routers : {2, 8, 60, 195}) {
    const auto targets = routers > 24 ? 36 : 8;
    const auto options = Fleet(routers, targets);
    LimitFleet calm(options);
    calm.Run(seconds(14));
    const auto usual = calm.TakeService().share();
    LimitFleet fleet(options);
    fleet.Run(seconds(4));
    Trouble(fleet, targets);
    fleet.Run(seconds(10));
    ExpectKept(fleet);
    EXPECT_GE(fleet.TakeService().share(), kLeastService * usual) << routers;
  }
}

TEST_P(IgnoredStatementTest, LimitsRestartsAndLostMessagesBesideThem) {
  auto options = Fleet(60, 36);
  options.message_loss = 0.2;
  options.broken_share = 0.1;
  LimitFleet fleet(options);
  fleet.Run(seconds(4));
  Trouble(fleet, 36);
  for (int i = 18; i < 30; ++i) fleet.SetLimit(i, 6);
  for (int i = 9; i < 12; ++i) fleet.SetLimit(i, 3);
  for (int i = 0; i < 60; i += 2) {
    fleet.KillRouter(i);
    fleet.Run(milliseconds(100));
    fleet.StartRouter(i);
    fleet.Run(milliseconds(100));
  }
  fleet.Run(seconds(4));
  ExpectKept(fleet);
}

// What one router was told, the others know without a request there.
TEST_P(IgnoredStatementTest, OneRouterTellsTheOthersThatATargetLeaves) {
  for (const auto routers : {8, 60}) {
    LimitFleet fleet(Fleet(routers, 8));
    fleet.Run(seconds(4));
    fleet.SetLeaving(0);
    fleet.Run(seconds(2));
    const auto since = fleet.now();
    for (int i = 0; i < routers; i += 3) {
      fleet.KillRouter(i);
      fleet.StartRouter(i);
    }
    // Routers that start are told by the others.
    fleet.Run(seconds(3));
    const auto told = fleet.now();
    fleet.Run(seconds(4));
    EXPECT_EQ(fleet.Arrivals(0, told), 0) << routers;
    EXPECT_LE(fleet.Arrivals(0, since), routers) << routers;
  }
}

TEST_P(IgnoredStatementTest, AllTargetsPauseAndComeBackWithoutAHerd) {
  LimitFleet fleet(Fleet(8, 8));
  fleet.Run(seconds(4));
  for (int i = 0; i < 8; ++i) fleet.SetPause(i, seconds(2), 1);
  fleet.Run(seconds(1));
  fleet.TakeService();
  fleet.Run(milliseconds(500));
  const auto refused = fleet.TakeService();
  EXPECT_EQ(refused.served, 0);
  for (int i = 0; i < 8; ++i) fleet.SetPause(i, seconds(2), 0);
  fleet.Run(seconds(3));
  EXPECT_LE(fleet.MostInPause(), kAllowedInPause);
  fleet.TakeService();
  fleet.Run(seconds(2));
  EXPECT_GE(fleet.TakeService().share(), 0.9);
}

INSTANTIATE_TEST_SUITE_P(Seeds, IgnoredStatementTest,
                         ::testing::Range(1, 1 + SeedCount()));

}  // namespace
}  // namespace papayaplank
