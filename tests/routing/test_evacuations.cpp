// Tests that the newest record of an evacuation holds, whatever the order in
// which records arrive.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "routing/routing.h"

namespace papayaplank {
namespace {

const DataCenterId kWest("west");

TEST(EvacuationsTest, AListWithoutTheRowTakesTheDataCenterBack) {
  Evacuations evacuations;
  EXPECT_EQ(evacuations.ApplyList({{kWest, 5, true}}, 9).size(), 1U);
  EXPECT_TRUE(evacuations.IsEvacuated(kWest));
  EXPECT_EQ(evacuations.ApplyList({}, 12).size(), 1U);
  EXPECT_FALSE(evacuations.IsEvacuated(kWest));
}

// A reader whose answer was held up has an older list.
TEST(EvacuationsTest, AnOlderListChangesNothing) {
  Evacuations evacuations;
  evacuations.ApplyList({{kWest, 5, true}}, 9);
  EXPECT_TRUE(evacuations.ApplyList({}, 4).empty());
  EXPECT_TRUE(evacuations.IsEvacuated(kWest));
  evacuations.Merge({kWest, 20, false});
  EXPECT_TRUE(evacuations.ApplyList({{kWest, 5, true}}, 9).empty());
  EXPECT_FALSE(evacuations.IsEvacuated(kWest));
}

TEST(EvacuationsTest, TheNewestRecordHoldsInAnyOrder) {
  EXPECT_TRUE(
      rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& entries) {
        Evacuations evacuations;
        std::map<std::uint64_t, bool> first_by_version;
        for (const auto& [number, is_evacuated] : entries) {
          // The store counts its versions from 1.
          const std::uint64_t version = number + 1U;
          first_by_version.try_emplace(version, is_evacuated);
          evacuations.Merge({kWest, version, first_by_version[version]});
          // Messages arrive more than once.
          evacuations.Merge({kWest, version, first_by_version[version]});
        }
        const auto is_evacuated =
            !first_by_version.empty() && first_by_version.rbegin()->second;
        RC_ASSERT(evacuations.IsEvacuated(kWest) == is_evacuated);
      }));
}

TEST(TargetDirectoryTest, TargetsOfAnEvacuatedDataCenterServeNothing) {
  TargetDirectory directory;
  TargetRow row;
  row.id = TargetId("t");
  row.pool = PoolId("p");
  row.data_center = kWest;
  directory.Apply(TargetList{{row}, 1, false});
  directory.SetEvacuated({kWest});
  EXPECT_TRUE(directory.Serving(PoolId("p")).empty());
  // A row that is read meanwhile doesn't bring it back.
  directory.Apply(TargetList{{row}, 2, false});
  EXPECT_TRUE(directory.Serving(PoolId("p")).empty());
  directory.SetEvacuated({});
  EXPECT_EQ(directory.Serving(PoolId("p")).size(), 1U);
}

TEST(HomeRegionsTest, RouteAndCustomerBothBind) {
  RoutingDocument document;
  document.version = 1;
  Route route;
  route.name = "r";
  route.host = "h";
  route.prefix = "/";
  route.home_regions = {RegionId("north"), RegionId("south")};
  document.routes = {route};
  document.home_regions[CustomerId("c")] = {RegionId("south")};
  const RoutingTable table(std::move(document));
  const auto* found = table.FindRoute("h", "/x");
  ASSERT_NE(found, nullptr);
  EXPECT_TRUE(table.IsHome(*found, CustomerId("other"), RegionId("north")));
  EXPECT_FALSE(table.IsHome(*found, CustomerId("other"), RegionId("east")));
  EXPECT_FALSE(table.IsHome(*found, CustomerId("c"), RegionId("north")));
  EXPECT_TRUE(table.IsHome(*found, CustomerId("c"), RegionId("south")));
  EXPECT_TRUE(table.IsHomeOfHost("h", RegionId("north")));
  EXPECT_FALSE(table.IsHomeOfHost("h", RegionId("east")));
  EXPECT_TRUE(table.IsHomeOfHost("other", RegionId("east")));
}

}  // namespace
}  // namespace papayaplank
