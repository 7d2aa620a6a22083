// Tests that the routers of a large fleet learn in time that a target leaves,
// though most of the others no longer reach the store.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "tests/gateway/departure_fleet.h"

namespace papayaplank {
namespace {

constexpr int kRouters = 195;
constexpr int kReaders = 3;
// The users' bound at this size, from when the store took the news in.
constexpr Duration kDrainBound = seconds(4);

class StoreCutOffTest : public ::testing::TestWithParam<int> {};

// A router that reads rarely finds out only at its next read that it reaches no
// store, and counts as a reader until then (DRAIN).
TEST_P(StoreCutOffTest, TheFewRoutersThatReachTheStoreReadItInTime) {
  DepartureFleet fleet(kRouters, static_cast<std::uint64_t>(GetParam()));
  fleet.Run(seconds(15) + Scale(seconds(10), fleet.random().Uniform()));
  auto readers = fleet.Running();
  while (readers.size() > kReaders) {
    const auto index = fleet.random().Index(readers.size());
    fleet.CutFromStore(readers[index]);
    readers.erase(readers.begin() + static_cast<std::ptrdiff_t>(index));
  }
  for (int target = 0; target < 3; ++target) {
    fleet.Run(Scale(milliseconds(1500), fleet.random().Uniform()));
    fleet.Drain(target);
    fleet.Run(kDrainBound);
    const auto unaware = fleet.Unaware(target);
    for (const auto reader : readers) {
      EXPECT_EQ(std::count(unaware.begin(), unaware.end(), reader), 0)
          << "router " << reader << ", target " << target;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, StoreCutOffTest, ::testing::Values(2, 3, 4));

}  // namespace
}  // namespace papayaplank
