// Tests of what the store's eras mean for its answers and for other routers.
#include <gtest/gtest.h>

#include "routing/routing.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));

auto Era(std::uint64_t number) -> StoreEra { return StoreEra(number); }

// Eras with a first answer of era 3 at `kStart`.
auto KnownEras() -> StoreEras {
  StoreEras eras;
  EXPECT_EQ(eras.RecordAnswer(Era(3), kStart, kStart), EraNews::kCurrent);
  eras.RecordVersion(40);
  return eras;
}

TEST(StoreErasTest, TheFirstEraIsNoChange) {
  auto eras = KnownEras();
  EXPECT_EQ(eras.changes(), 0);
  EXPECT_FALSE(eras.IsSettling(kStart));
  EXPECT_FALSE(eras.DoubtfulVersion(kStart));
  EXPECT_FALSE(eras.TakeChange());
}

TEST(StoreErasTest, AnEraSettlesUntilAllHaveWrittenAgain) {
  auto eras = KnownEras();
  const auto now = kStart + seconds(5);
  EXPECT_EQ(eras.RecordAnswer(Era(4), now, now), EraNews::kNew);
  EXPECT_EQ(eras.DoubtfulVersion(now),
            std::numeric_limits<std::uint64_t>::max())
      << "no version has been seen yet";
  eras.RecordVersion(12);
  eras.RecordVersion(15);
  EXPECT_EQ(eras.DoubtfulVersion(now), 12);
  EXPECT_TRUE(eras.IsOfCurrentEra(13));
  EXPECT_FALSE(eras.IsOfCurrentEra(12));
  EXPECT_FALSE(eras.TakeSettled(now + seconds(2)));
  EXPECT_TRUE(eras.IsSettling(now + seconds(2)));
  EXPECT_FALSE(eras.IsSettling(now + seconds(3)));
  EXPECT_TRUE(eras.TakeSettled(now + seconds(3)));
  EXPECT_FALSE(eras.TakeSettled(now + seconds(3))) << "told once";
  const auto change = eras.TakeChange();
  ASSERT_TRUE(change);
  EXPECT_EQ(change->before, Era(3));
  EXPECT_EQ(change->now, Era(4));
  EXPECT_EQ(change->last_version, 40);
}

// An answer that was on its way as the store went away was taken for news.
TEST(StoreErasTest, ALateAnswerOfAnOlderEraIsStale) {
  auto eras = KnownEras();
  const auto now = kStart + seconds(5);
  eras.RecordAnswer(Era(4), now, now);
  for (int i = 0; i < 200; ++i) {
    EXPECT_EQ(eras.RecordAnswer(Era(3), now - milliseconds(1),
                                now + milliseconds(100 * i)),
              EraNews::kStale);
  }
  EXPECT_EQ(eras.current(), Era(4));
}

TEST(StoreErasTest, AnEraThatFallsIsFollowedLate) {
  auto eras = KnownEras();
  auto now = kStart + seconds(5);
  EXPECT_EQ(eras.RecordAnswer(Era(1), now, now), EraNews::kStale);
  now += seconds(6);
  EXPECT_EQ(eras.RecordAnswer(Era(3), now, now), EraNews::kCurrent);
  EXPECT_EQ(eras.RecordAnswer(Era(1), now, now), EraNews::kStale);
  now += seconds(9);
  EXPECT_EQ(eras.RecordAnswer(Era(1), now, now), EraNews::kStale);
  now += seconds(2);
  EXPECT_EQ(eras.RecordAnswer(Era(1), now, now), EraNews::kNew);
  EXPECT_EQ(eras.current(), Era(1));
  // A router that has not followed yet doesn't take this one back.
  EXPECT_EQ(eras.RecordPeer(Era(3), now), EraNews::kStale);
  EXPECT_EQ(eras.RecordPeer(Era(4), now), EraNews::kNew);
}

TEST(StoreErasTest, AStoreWithoutErasHasOneForEver) {
  StoreEras eras;
  for (int i = 0; i < 100; ++i) {
    const auto now = kStart + seconds(i);
    EXPECT_EQ(eras.RecordAnswer(std::nullopt, now, now), EraNews::kCurrent);
    eras.RecordVersion(100 - static_cast<std::uint64_t>(i));
  }
  EXPECT_EQ(eras.changes(), 0);
  // A store that numbers its eras from now on.
  EXPECT_EQ(
      eras.RecordAnswer(Era(1), kStart + seconds(200), kStart + seconds(200)),
      EraNews::kNew);
}

TEST(StoreErasTest, OtherRoutersTellOfALaterEra) {
  auto eras = KnownEras();
  const auto now = kStart + seconds(5);
  EXPECT_EQ(eras.RecordPeer(Era(3), now), EraNews::kCurrent);
  EXPECT_EQ(eras.RecordPeer(Era(2), now), EraNews::kStale);
  EXPECT_EQ(eras.RecordPeer(StoreEra(), now), EraNews::kCurrent)
      << "a release without eras, before any change";
  EXPECT_EQ(eras.RecordPeer(Era(5), now), EraNews::kNew);
  EXPECT_TRUE(eras.TakeChange()->is_from_peer);
  EXPECT_EQ(eras.RecordPeer(StoreEra(), now), EraNews::kStale)
      << "a release without eras, whose versions may be of any";
  EXPECT_TRUE(eras.IsSettling(now));
}

TEST(StoreErasTest, TwoDrillsInARowAreOneLine) {
  auto eras = KnownEras();
  auto now = kStart + seconds(5);
  eras.RecordAnswer(Era(4), now, now);
  eras.RecordVersion(30);
  now += seconds(1);
  EXPECT_EQ(eras.RecordAnswer(Era(5), now, now), EraNews::kNew);
  EXPECT_FALSE(eras.IsOfCurrentEra(31)) << "the base of the era before is void";
  EXPECT_TRUE(eras.IsSettling(now + seconds(2)));
  EXPECT_EQ(eras.TakeChange()->before, Era(3));
  EXPECT_FALSE(eras.TakeChange());
}

auto Row(const std::string& id, std::int64_t started, std::uint64_t version)
    -> TargetRow {
  TargetRow row;
  row.id = TargetId(id);
  row.address = "127.0.0.1:9000";
  row.pool = PoolId("engines");
  row.data_center = DataCenterId("west");
  row.started_unix_ms = started;
  row.version = version;
  return row;
}

auto ServingIds(const TargetDirectory& directory) -> std::set<std::string> {
  std::set<std::string> ids;
  for (const auto& row : directory.Serving(PoolId("engines"))) {
    ids.insert(row.id.value());
  }
  return ids;
}

// Versions of the copy are below those that the directory knows (EVAC, DRAIN).
TEST(StoreErasTest, TheDirectoryTakesListsOfANewEra) {
  TargetDirectory directory;
  directory.Apply(TargetList{{Row("a", 1, 10), Row("b", 1, 20)}, 90});
  directory.Apply(TargetUpdate{91, true, Row("b", 1, 0)});
  directory.BeginEra();
  // The copy still has b, lacks a, and c has joined since.
  const auto change = directory.Apply(
      TargetList{{Row("b", 1, 20), Row("c", 5, 31)}, 31, true, 30});
  EXPECT_EQ(ServingIds(directory), (std::set<std::string>{"a", "c"}));
  ASSERT_EQ(change.updates.size(), 1);
  EXPECT_EQ(change.updates[0].row.id, TargetId("c"));
  // A later process of b.
  directory.Apply(TargetList{{Row("b", 2, 20)}, 32, true, 30});
  EXPECT_EQ(ServingIds(directory), (std::set<std::string>{"a", "b", "c"}));
  // Settled: what is missing is gone.
  directory.Apply(TargetList{{Row("b", 2, 20)}, 33});
  EXPECT_EQ(ServingIds(directory), std::set<std::string>{"b"});
}

// The count of a target's reports goes back with the copy: that is no restart,
// after which its announced exit would be forgotten.
TEST(StoreErasTest, ARowOfTheCopyIsNoRestart) {
  TargetDirectory directory;
  auto row = Row("a", 1, 20);
  row.reports = 50;
  directory.Apply(TargetList{{row}, 90});
  directory.RecordDeparture(row.id, 1);
  directory.BeginEra();
  row.reports = 40;
  row.version = 10;
  const auto change = directory.Apply(TargetList{{row}, 12, true, 12});
  EXPECT_TRUE(change.restarted.empty());
  EXPECT_TRUE(ServingIds(directory).empty());
}

// A target that drained as the store returned got requests until it had settled
// (DRAIN), as its row may have come from the copy.
TEST(StoreErasTest, ATargetThatDrainsInTheCopyLeaves) {
  TargetDirectory directory;
  directory.Apply(TargetList{{Row("a", 5, 20), Row("b", 5, 20)}, 90});
  directory.BeginEra();
  auto draining = Row("a", 5, 12);
  draining.is_draining = true;
  auto of_process_before = Row("b", 4, 12);
  of_process_before.is_draining = true;
  const auto change =
      directory.Apply(TargetList{{draining, of_process_before}, 30, true, 30});
  EXPECT_EQ(ServingIds(directory), std::set<std::string>{"b"});
  ASSERT_EQ(change.updates.size(), 1) << "other routers are told";
  EXPECT_EQ(change.updates[0].row.id, TargetId("a"));
  EXPECT_TRUE(change.updates[0].row.is_draining);
}

TEST(StoreErasTest, AnyRecordOfANewEraReplacesAnEvacuation) {
  const DataCenterId west("west");
  Evacuations evacuations;
  evacuations.Merge({west, 80, true});
  evacuations.Merge({west, 90, false});
  evacuations.BeginEra();
  EXPECT_FALSE(evacuations.IsEvacuated(west));
  EXPECT_TRUE(evacuations.Merge({west, 7, true}));
  EXPECT_TRUE(evacuations.IsEvacuated(west));
  EXPECT_FALSE(evacuations.Merge({west, 6, false})) << "ordered within the era";
  evacuations.BeginEra();
  EXPECT_TRUE(evacuations.IsEvacuated(west)) << "kept until it is taken back";
  EXPECT_EQ(evacuations.ApplyList({}, 3).size(), 1);
  EXPECT_FALSE(evacuations.IsEvacuated(west));
}

}  // namespace
}  // namespace papayaplank
