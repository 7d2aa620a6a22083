// Tests that a fleet whose store comes back from an older copy misses no
// change, takes nothing back, and doesn't flood the store.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "tests/gateway/departure_fleet.h"

namespace papayaplank {
namespace {

// Time after which a change must be in force everywhere.
constexpr Duration kChangeBound = seconds(5);
constexpr Duration kSettleTime = seconds(12);
// After a return, until every row is written again and was read.
constexpr Duration kReturnTime = seconds(6);
constexpr Duration kAway = seconds(1);
constexpr Duration kCopyAge = seconds(5);
constexpr int kEvacuated = 1;
// Of the target list, in the time in which an era settles: at its first sight,
// after it has settled, and one of each that may be too early.
constexpr int kReadsPerRouter = 4;
// What the users' store takes of all routers together.
constexpr int kStoreReadsPerSecond = 2000;

// Number of routers, which decides whether hubs are used, and the seed.
using Case = std::tuple<int, int>;

class StoreReturnTest : public testing::TestWithParam<Case> {
 protected:
  StoreReturnTest()
      : fleet_(std::get<0>(GetParam()),
               static_cast<std::uint64_t>(std::get<1>(GetParam()))) {
    fleet_.Run(kSettleTime);
  }

  // All routers that reach the store use what is to be used, and nothing else.
  auto CheckKnowledge() -> void {
    const auto connected = fleet_.Connected();
    for (int target = 0; target < DepartureFleet::kTargets; ++target) {
      const auto users = fleet_.Unaware(target);
      std::vector<int> wrong;
      for (const auto router : connected) {
        const auto is_used =
            std::find(users.begin(), users.end(), router) != users.end();
        if (is_used != fleet_.IsUsable(target)) wrong.push_back(router);
      }
      EXPECT_TRUE(wrong.empty())
          << wrong.size() << " of " << connected.size() << " routers, first "
          << wrong.front() << ", about target " << target
          << (fleet_.IsUsable(target) ? ", usable" : ", not usable");
    }
  }

  DepartureFleet fleet_;
};

// The evacuation was given a version that the routers had seen before the
// return, and was ignored (EVAC).
TEST_P(StoreReturnTest, EvacuationAfterTheReturnIsInForce) {
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Run(kChangeBound);
  fleet_.SetEvacuated(kEvacuated, false);
  fleet_.Run(seconds(2));
  fleet_.ReturnFromCopy(kAway, kCopyAge);
  fleet_.Run(kAway + seconds(1));
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Run(kChangeBound);
  EXPECT_TRUE(fleet_.UsersOf(kEvacuated).empty());
  CheckKnowledge();
}

// What was in force is not taken back by a copy that lacks it.
TEST_P(StoreReturnTest, LostChangesStayInForce) {
  fleet_.Run(seconds(3));
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Remove(2);
  fleet_.Drain(3);
  fleet_.Run(seconds(4));
  EXPECT_TRUE(fleet_.UsersOf(kEvacuated).empty());
  for (const auto away : {milliseconds(50), milliseconds(3000)}) {
    fleet_.ReturnFromCopy(away, kCopyAge);
    for (int i = 0; i < 60; ++i) {
      fleet_.Run(milliseconds(100));
      ASSERT_TRUE(fleet_.UsersOf(kEvacuated).empty()) << i;
      ASSERT_TRUE(fleet_.Unaware(2).empty()) << i;
      ASSERT_TRUE(fleet_.Unaware(3).empty()) << i;
    }
    CheckKnowledge();
  }
}

// A target that joins after the return got no request for as long as versions
// were below the lost ones.
TEST_P(StoreReturnTest, TargetsThatJoinAreUsed) {
  fleet_.Remove(4);
  fleet_.Run(kCopyAge);
  fleet_.Join(4);
  fleet_.Run(seconds(2));
  fleet_.ReturnFromCopy(kAway, kCopyAge);
  fleet_.Run(kAway + seconds(1));
  fleet_.Remove(5);
  fleet_.Run(milliseconds(300));
  fleet_.Join(6);
  fleet_.Run(kChangeBound);
  CheckKnowledge();
}

// The drill again while the first one settles, with routers that start.
TEST_P(StoreReturnTest, TwoReturnsInARow) {
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Run(seconds(3));
  fleet_.ReturnFromCopy(kAway, kCopyAge);
  fleet_.Run(kAway + milliseconds(700));
  fleet_.Kill(0);
  fleet_.Start(0);
  fleet_.ReturnFromCopy(milliseconds(200), seconds(1));
  fleet_.Run(milliseconds(300));
  fleet_.SetEvacuated(kEvacuated, false);
  fleet_.Remove(7);
  fleet_.Run(kReturnTime);
  CheckKnowledge();
}

// Routers that are cut off from the store learn of the era from the others, and
// read the store again once they reach it.
TEST_P(StoreReturnTest, RoutersThatAreCutOff) {
  fleet_.CutFromStore(0);
  fleet_.Cut(1, true);
  fleet_.Run(seconds(3));
  fleet_.ReturnFromCopy(kAway, kCopyAge);
  fleet_.Run(kReturnTime);
  fleet_.SetEvacuated(kEvacuated, true);
  fleet_.Run(kChangeBound);
  const auto users = fleet_.UsersOf(kEvacuated);
  EXPECT_TRUE(std::find(users.begin(), users.end(), 0) == users.end())
      << "it hears the others";
  CheckKnowledge();
  fleet_.CutFromStore(0, false);
  fleet_.Cut(1, false);
  fleet_.Run(kReturnTime);
  CheckKnowledge();
}

class StoreReturnCostTest : public StoreReturnTest {};

// Prints the calls, which docs/MEASUREMENTS.md quotes.
TEST_P(StoreReturnCostTest, ReadsAfterAReturnAreFew) {
  fleet_.TakeCost();
  fleet_.Run(seconds(10));
  const auto usual = fleet_.TakeCost().list_reads;
  fleet_.ReturnFromCopy(kAway, kCopyAge);
  fleet_.Run(kAway);
  fleet_.TakeCost();
  fleet_.Run(seconds(10));
  const auto cost = fleet_.TakeCost();
  const auto routers = static_cast<int>(fleet_.Running().size());
  std::cout << "routers=" << routers << " reads_10_s=" << cost.list_reads
            << " usual_10_s=" << usual << " most_in_1_s=" << cost.most_reads
            << "\n";
  EXPECT_LE(cost.list_reads, usual + kReadsPerRouter * routers);
  EXPECT_LE(cost.most_reads, kStoreReadsPerSecond);
}

// Changes, late answers, returns, routers that are cut off, die and start, in
// any order; after a calm time all know what holds.
TEST_P(StoreReturnTest, RandomHistories) {
  auto& random = fleet_.random();
  const auto routers = std::get<0>(GetParam());
  for (int round = 0; round < 4; ++round) {
    fleet_.SetLoss(0.05);
    fleet_.SetLateAnswers(0.1);
    for (int step = 0; step < 30; ++step) {
      const auto router =
          static_cast<int>(random.Index(static_cast<std::size_t>(routers)));
      const auto target =
          static_cast<int>(random.Index(DepartureFleet::kTargets));
      switch (random.Index(9)) {
        case 0:
          fleet_.ReturnFromCopy(Scale(seconds(2), random.Uniform()),
                                Scale(seconds(6), random.Uniform()));
          fleet_.Run(seconds(2));
          break;
        case 1:
          fleet_.SetEvacuated(static_cast<int>(random.Index(5)),
                              random.Uniform() < 0.5);
          break;
        case 2:
          fleet_.Remove(target);
          break;
        case 3:
        case 4:
          fleet_.Join(target);
          break;
        case 5:
          fleet_.Drain(target);
          break;
        case 6:
          fleet_.CutFromStore(router, random.Uniform() < 0.5);
          break;
        case 7:
          fleet_.Cut(router, random.Uniform() < 0.3);
          break;
        default:
          fleet_.Kill(router);
          fleet_.Start(router);
      }
      fleet_.Run(Scale(seconds(1), random.Uniform()));
    }
    for (const auto index : fleet_.Running()) {
      fleet_.Cut(index, false);
      fleet_.CutFromStore(index, false);
    }
    fleet_.SetLoss(0);
    fleet_.SetLateAnswers(0);
    // Late answers come, and the last return settles.
    fleet_.Run(kSettleTime);
    CheckKnowledge();
  }
}

INSTANTIATE_TEST_SUITE_P(Meshes, StoreReturnTest,
                         testing::Combine(testing::Values(3, 8),
                                          testing::Range(1, 11)));
INSTANTIATE_TEST_SUITE_P(Fleets, StoreReturnCostTest,
                         testing::Combine(testing::Values(3, 59, 86, 195),
                                          testing::Values(1)));
INSTANTIATE_TEST_SUITE_P(Hubs, StoreReturnTest,
                         testing::Combine(testing::Values(59),
                                          testing::Range(1, 3)));

}  // namespace
}  // namespace papayaplank
