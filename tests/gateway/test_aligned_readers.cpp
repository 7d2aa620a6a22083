// Tests that the routers of a fleet still take turns to read the target list
// after an event that all of them, or many, went through together.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <tuple>
#include <vector>

#include "tests/gateway/departure_fleet.h"

namespace papayaplank {
namespace {

// A fleet and the users' bounds at its size: on the time until routers know
// that a target leaves, and on the time after a disturbance from which the
// first one holds.
struct Fleet {
  int routers = 0;
  Duration drain_bound{};
  Duration contact_time{};
  // Targets that drain one after another.
  int drains = 6;
};

const Fleet kFleets[] = {{11, seconds(2), seconds(3)},
                         {24, seconds(2), seconds(3)},
                         {59, seconds(3), seconds(4)},
                         {86, seconds(3), seconds(4)}};
const Fleet kLargeFleet{195, seconds(4), seconds(4), 3};

auto SeedCount() -> int {
  const auto* text = std::getenv("DEPARTURE_SEEDS");
  return text == nullptr ? 1 : std::stoi(text);
}

class AlignedReadersTest
    : public ::testing::TestWithParam<std::tuple<Fleet, int>> {
 protected:
  using Disturbance = std::function<void(DepartureFleet&)>;

  // Drains one target after another once the disturbance is over.
  static auto ExpectTurnsAfter(const Disturbance& disturb) -> void {
    const auto& [size, seed] = GetParam();
    DepartureFleet fleet(size.routers, static_cast<std::uint64_t>(seed));
    fleet.Run(seconds(15) + Scale(seconds(10), fleet.random().Uniform()));
    disturb(fleet);
    const auto ended_at = fleet.now();
    fleet.Run(size.contact_time);
    fleet.TakeLongestReadGap();
    for (int target = 0; target < size.drains; ++target) {
      fleet.Run(Scale(milliseconds(1500), fleet.random().Uniform()));
      fleet.Drain(target);
      fleet.Run(size.drain_bound);
      EXPECT_EQ(fleet.Unaware(target), std::vector<int>{})
          << size.routers << " routers, target " << target << ", "
          << (fleet.now() - ended_at).count() / 1000 << " ms after";
    }
    const auto gap = fleet.TakeLongestReadGap();
    EXPECT_LT(gap.length, size.drain_bound)
        << size.routers << " routers: nobody read the list for "
        << gap.length.count() / 1000 << " ms, from "
        << (gap.since - ended_at).count() / 1000 << " ms after";
  }
  static auto PickSome(DepartureFleet& fleet, double share)
      -> std::vector<int> {
    auto some = fleet.Running();
    std::erase_if(some, [&fleet, share](int) {
      return fleet.random().Uniform() >= share;
    });
    return some;
  }
};

// Survivors brought their reads forward when others were killed, and planned
// the next ones together when these were back: nobody read meanwhile (DRAIN).
TEST_P(AlignedReadersTest, HalfOfTheRoutersAreKilledAndBack) {
  ExpectTurnsAfter([](DepartureFleet& fleet) {
    const auto killed = PickSome(fleet, 0.55);
    for (const auto router : killed) fleet.Kill(router);
    fleet.Run(milliseconds(500));
    for (const auto router : killed) fleet.Start(router);
  });
}

TEST_P(AlignedReadersTest, AllRoutersAreKilledAndBack) {
  ExpectTurnsAfter([](DepartureFleet& fleet) {
    const auto killed = fleet.Running();
    for (const auto router : killed) fleet.Kill(router);
    fleet.Run(milliseconds(500));
    for (const auto router : killed) fleet.Start(router);
  });
}

TEST_P(AlignedReadersTest, RoutersAreRestartedInSeries) {
  ExpectTurnsAfter([](DepartureFleet& fleet) {
    for (const auto router : fleet.Running()) {
      fleet.Kill(router);
      fleet.Run(milliseconds(20));
      fleet.Start(router);
    }
  });
}

// All read together when the store was back, and then waited together.
TEST_P(AlignedReadersTest, TheStoreIsAway) {
  ExpectTurnsAfter([](DepartureFleet& fleet) {
    const auto routers = fleet.Running();
    for (const auto router : routers) fleet.CutFromStore(router);
    fleet.Run(seconds(4));
    for (const auto router : routers) fleet.CutFromStore(router, false);
  });
}

TEST_P(AlignedReadersTest, AllRoutersAreCutOff) {
  ExpectTurnsAfter([](DepartureFleet& fleet) {
    const auto routers = fleet.Running();
    for (const auto router : routers) fleet.Cut(router, true);
    fleet.Run(seconds(5));
    for (const auto router : routers) fleet.Cut(router, false);
  });
}

TEST_P(AlignedReadersTest, RoutersAreFrozen) {
  for (const auto share : {0.5, 1.0}) {
    ExpectTurnsAfter([share](DepartureFleet& fleet) {
      const auto frozen = PickSome(fleet, share);
      for (const auto router : frozen) fleet.Freeze(router);
      fleet.Run(seconds(10));
      for (const auto router : frozen) fleet.Thaw(router);
    });
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, AlignedReadersTest,
                         ::testing::Combine(::testing::ValuesIn(kFleets),
                                            ::testing::Range(1,
                                                             1 + SeedCount())));
INSTANTIATE_TEST_SUITE_P(LargeFleet, AlignedReadersTest,
                         ::testing::Combine(::testing::Values(kLargeFleet),
                                            ::testing::Range(1,
                                                             1 + SeedCount())));

class PausedReadersTest : public AlignedReadersTest {};

// A router that had been frozen went on with a target that had left meanwhile:
// the others no longer told of it, and its own turn came late (DRAIN).
TEST_P(PausedReadersTest, TargetsLeaveWhileRoutersAreFrozen) {
  ExpectTurnsAfter([](DepartureFleet& fleet) {
    const auto frozen = PickSome(fleet, 0.3);
    for (const auto router : frozen) fleet.Freeze(router);
    fleet.Run(seconds(1));
    constexpr int kDrained = DepartureFleet::kTargets - 1;
    fleet.Drain(kDrained);
    fleet.Run(seconds(10));
    for (const auto router : frozen) fleet.Thaw(router);
    fleet.Run(seconds(3));
    EXPECT_EQ(fleet.Unaware(kDrained), std::vector<int>{}) << "frozen ones";
  });
}

INSTANTIATE_TEST_SUITE_P(Fleets, PausedReadersTest,
                         ::testing::Combine(::testing::ValuesIn(kFleets),
                                            ::testing::Range(1,
                                                             1 + SeedCount())));
INSTANTIATE_TEST_SUITE_P(LargeFleet, PausedReadersTest,
                         ::testing::Combine(::testing::Values(kLargeFleet),
                                            ::testing::Range(1,
                                                             2 + SeedCount())));

}  // namespace
}  // namespace papayaplank
