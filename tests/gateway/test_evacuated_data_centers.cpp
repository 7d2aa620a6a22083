// Tests that no router uses targets of an evacuated data centre, and that none
// sends callers to routers that have ended.
#include <gtest/gtest.h>

#include "tests/gateway/departure_fleet.h"

namespace papayaplank {
namespace {

// Time after which an evacuation must be in force everywhere, and the same for
// an end of one.
constexpr Duration kEvacuationBound = seconds(5);
// Time after which callers must not be sent to a router that has ended.
constexpr Duration kSteeringBound = seconds(7);
constexpr Duration kSettleTime = seconds(12);
constexpr int kEvacuated = 1;

// Number of routers, which decides whether hubs are used, and the seed.
using Case = std::tuple<int, int>;

class EvacuationFleetTest : public testing::TestWithParam<Case> {
 protected:
  EvacuationFleetTest()
      : fleet_(std::get<0>(GetParam()),
               static_cast<std::uint64_t>(std::get<1>(GetParam()))) {
    fleet_.Run(kSettleTime);
  }
  auto routers() const -> int { return std::get<0>(GetParam()); }
  // Kills the given share of the routers; returns them.
  auto KillShare(double share) -> std::vector<int> {
    std::vector<int> dead;
    for (const auto index : fleet_.Running()) {
      if (fleet_.random().Uniform() >= share) continue;
      fleet_.Kill(index);
      dead.push_back(index);
    }
    return dead;
  }

  DepartureFleet fleet_;
};

TEST_P(EvacuationFleetTest, NoRouterUsesAnEvacuatedDataCenter) {
  EXPECT_EQ(fleet_.UsersOf(kEvacuated).size(), fleet_.Running().size());
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Run(kEvacuationBound);
  EXPECT_TRUE(fleet_.UsersOf(kEvacuated).empty());
  EXPECT_EQ(fleet_.UsersOf(0).size(), fleet_.Running().size());
  fleet_.SetEvacuated(kEvacuated, false);
  fleet_.Run(kEvacuationBound);
  EXPECT_EQ(fleet_.UsersOf(kEvacuated).size(), fleet_.Running().size());
}

// The routers that read the order die right after it, with all hubs.
TEST_P(EvacuationFleetTest, HubsThatDieLoseNoEvacuation) {
  fleet_.SetLoss(0.05);
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Run(milliseconds(300));
  for (const auto hub : fleet_.Hubs()) fleet_.Kill(hub);
  fleet_.Run(kEvacuationBound);
  EXPECT_TRUE(fleet_.UsersOf(kEvacuated).empty());
}

// Most routers don't reach the store; they learn of it from the others.
TEST_P(EvacuationFleetTest, RoutersWithoutTheStoreLearnOfAnEvacuation) {
  for (const auto index : fleet_.Running()) {
    if (index % 3 != 0) fleet_.CutFromStore(index);
  }
  fleet_.Run(seconds(4));
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Run(kEvacuationBound);
  EXPECT_TRUE(fleet_.UsersOf(kEvacuated).empty());
}

// A router that restarts while a data centre is evacuated doesn't use it for
// longer than it takes to hear of that.
TEST_P(EvacuationFleetTest, ARestartForgetsNoEvacuation) {
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Run(kEvacuationBound);
  const auto dead = KillShare(0.4);
  fleet_.Run(seconds(1));
  for (const auto index : dead) fleet_.Start(index);
  fleet_.Run(seconds(1));
  EXPECT_TRUE(fleet_.UsersOf(kEvacuated).empty());
}

TEST_P(EvacuationFleetTest, CallersAreNotSentToRoutersThatHaveEnded) {
  fleet_.SetLoss(0.05);
  const std::vector<int> first = {fleet_.Running().front()};
  fleet_.Kill(first.front());
  fleet_.Run(kSteeringBound);
  EXPECT_TRUE(fleet_.NameAnyOf(first).empty());
  const auto herd = KillShare(0.6);
  fleet_.Run(kSteeringBound);
  EXPECT_TRUE(fleet_.NameAnyOf(herd).empty());
}

INSTANTIATE_TEST_SUITE_P(, EvacuationFleetTest,
                         testing::Combine(testing::Values(8, 60),
                                          testing::Range(1, 6)));

}  // namespace
}  // namespace papayaplank
