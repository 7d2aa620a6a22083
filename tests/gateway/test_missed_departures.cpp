// Tests that every router learns in time that a target leaves, whatever readers
// of the store and hubs die or are cut off meanwhile.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "tests/gateway/departure_fleet.h"

namespace papayaplank {
namespace {

// The users' bound at the sizes below, from when the store took the news in.
constexpr Duration kDrainBound = seconds(3);

auto SeedCount() -> int {
  const auto* text = std::getenv("DEPARTURE_SEEDS");
  return text == nullptr ? 4 : std::stoi(text);
}

class MissedDepartureTest : public ::testing::TestWithParam<int> {
 protected:
  static auto Seed() -> std::uint64_t {
    return static_cast<std::uint64_t>(GetParam());
  }
  // Kills half of the routers, all hubs among them if `with_hubs`.
  static auto KillHalf(DepartureFleet& fleet, bool with_hubs) -> void {
    const auto hubs = fleet.Hubs();
    for (const auto router : fleet.Running()) {
      const auto is_hub =
          std::find(hubs.begin(), hubs.end(), router) != hubs.end();
      if ((is_hub && with_hubs) || fleet.random().Uniform() < 0.5) {
        fleet.Kill(router);
      }
    }
  }
  // A target leaves within a second of the kill, before or after it.
  static auto ExpectNoneMissed(int routers, bool with_hubs) -> void {
    DepartureFleet fleet(routers, Seed());
    fleet.Run(seconds(12));
    const auto drains_first = fleet.random().Uniform() < 0.5;
    const auto gap = Scale(seconds(1), fleet.random().Uniform());
    if (!drains_first) {
      KillHalf(fleet, with_hubs);
      fleet.Run(gap);
    }
    fleet.Drain(0);
    const auto drained_at = fleet.now();
    if (drains_first) {
      fleet.Run(gap);
      KillHalf(fleet, with_hubs);
    }
    ExpectAware(fleet, 0, drained_at,
                std::to_string(routers) + " routers, all hubs " +
                    (with_hubs ? "killed" : "at risk"));
  }
  static auto ExpectAware(DepartureFleet& fleet, int target, Time drained_at,
                          const std::string& what) -> void {
    fleet.Run(drained_at + kDrainBound - fleet.now());
    EXPECT_EQ(fleet.Unaware(target), std::vector<int>{}) << what;
  }
};

// Routers learnt of a leaving target many seconds late, as who had read of it
// or should have passed it on was killed (DRAIN).
TEST_P(MissedDepartureTest, HalfOfTheFleetIsKilledAsATargetLeaves) {
  ExpectNoneMissed(59, false);
  ExpectNoneMissed(59, true);
}

TEST_P(MissedDepartureTest, HalfOfALargeFleetIsKilledAsATargetLeaves) {
  ExpectNoneMissed(195, GetParam() % 2 == 0);
}

// Killed hubs that are back at once know nothing of a target that is gone, and
// told their members nothing (zlota-spoina-grown).
TEST_P(MissedDepartureTest, HubsRestartAsATargetGoes) {
  DepartureFleet fleet(59, Seed());
  fleet.Run(seconds(12));
  std::vector<int> killed;
  for (const auto hub : fleet.Hubs()) {
    if (fleet.random().Uniform() < 0.7) killed.push_back(hub);
  }
  for (const auto hub : killed) fleet.Kill(hub);
  fleet.Run(milliseconds(10));
  fleet.Remove(0);
  const auto removed_at = fleet.now();
  fleet.Run(milliseconds(500));
  for (const auto hub : killed) fleet.Start(hub);
  ExpectAware(fleet, 0, removed_at, "hubs that restart");
}

// A cut of many routers heals as the target leaves; others are killed then.
TEST_P(MissedDepartureTest, ACutHealsAsATargetLeaves) {
  DepartureFleet fleet(70, Seed());
  fleet.Run(seconds(12));
  std::vector<int> cut;
  for (const auto router : fleet.Running()) {
    if (fleet.random().Uniform() < 0.35) cut.push_back(router);
  }
  for (const auto router : cut) fleet.Cut(router, true);
  fleet.Run(seconds(11));
  for (const auto router : fleet.Running()) {
    if (fleet.random().Uniform() < 0.2) fleet.Kill(router);
  }
  fleet.Run(milliseconds(500));
  fleet.Drain(0);
  const auto drained_at = fleet.now();
  fleet.Run(milliseconds(300));
  for (const auto router : cut) fleet.Cut(router, false);
  // Until 3 s after the cut, nothing binds those that were cut off.
  fleet.Run(drained_at + kDrainBound - fleet.now());
  for (const auto router : fleet.Unaware(0)) {
    EXPECT_NE(std::find(cut.begin(), cut.end(), router), cut.end()) << router;
  }
  fleet.Run(seconds(1));
  EXPECT_EQ(fleet.Unaware(0), std::vector<int>{});
}

// With the watchers, all that know that the store had no outage are lost for
// seconds. Routers that read meanwhile that a row was missing kept the target,
// and didn't believe others that had the news of the same list (review/8).
TEST_P(MissedDepartureTest, WatchersAreKilledAsATargetGoes) {
  for (const auto routers : {59, 70}) {
    DepartureFleet fleet(routers, Seed());
    fleet.Run(seconds(20));
    auto killed = fleet.Watchers();
    for (const auto router : fleet.Running()) {
      const auto is_watcher =
          std::find(killed.begin(), killed.end(), router) != killed.end();
      if (!is_watcher && fleet.random().Uniform() < 0.5) {
        killed.push_back(router);
      }
    }
    for (const auto router : killed) fleet.Kill(router);
    fleet.Run(milliseconds(500));
    for (const auto router : killed) fleet.Start(router);
    fleet.Run(Scale(seconds(1), fleet.random().Uniform()));
    fleet.Remove(0);
    const auto removed_at = fleet.now();
    fleet.Run(kDrainBound);
    // Nothing binds routers within 4 s of their start.
    for (const auto router : fleet.Unaware(0)) {
      EXPECT_NE(std::find(killed.begin(), killed.end(), router), killed.end())
          << "router " << router << " of " << routers;
    }
    fleet.Run(milliseconds(1500));
    EXPECT_EQ(fleet.Unaware(0), std::vector<int>{})
        << routers << " routers, " << (fleet.now() - removed_at).count() / 1000
        << " ms after";
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, MissedDepartureTest,
                         ::testing::Range(1, 1 + SeedCount()));

}  // namespace
}  // namespace papayaplank
