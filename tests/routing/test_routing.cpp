// Tests routes, keys and targets from the store.
#include <gtest/gtest.h>

#include "routing/routing.h"

namespace papayaplank {
namespace {

auto MakeRoute(const std::string& prefix, const std::string& pool) -> Route {
  Route route;
  route.name = prefix;
  route.host = "shop.example";
  route.prefix = prefix;
  route.pools = {{PoolId(pool), 1}};
  return route;
}

auto MakeRow(const std::string& id, std::int64_t started = 1) -> TargetRow {
  TargetRow row;
  row.id = TargetId(id);
  row.address = "127.0.0.1:9000";
  row.pool = PoolId("pool");
  row.started_unix_ms = started;
  return row;
}

auto MakeList(std::vector<TargetRow> rows, std::uint64_t version,
              bool is_recovering = false) -> TargetList {
  return TargetList{std::move(rows), version, is_recovering};
}

TEST(RoutingTableTest, TakesTheLongestPrefixOfTheHost) {
  RoutingDocument document;
  document.routes = {MakeRoute("/a/", "short"), MakeRoute("/a/b/", "long")};
  const RoutingTable table(document);
  EXPECT_EQ(table.FindRoute("shop.example", "/a/b/c")->prefix, "/a/b/");
  EXPECT_EQ(table.FindRoute("shop.example", "/a/c")->prefix, "/a/");
  EXPECT_EQ(table.FindRoute("shop.example", "/a"), nullptr);
  EXPECT_EQ(table.FindRoute("other.example", "/a/b/c"), nullptr);
}

TEST(KeyValidityTest, EndsBeforeTheRevocationBound) {
  KeyValidity keys(milliseconds(5000), milliseconds(400));
  const Time start(seconds(100));
  EXPECT_FALSE(keys.IsValid(start));
  keys.Confirm(start);
  EXPECT_TRUE(keys.IsValid(start + milliseconds(4599)));
  EXPECT_FALSE(keys.IsValid(start + milliseconds(4600)));
}

TEST(KeyValidityTest, AnOlderConfirmationChangesNothing) {
  KeyValidity keys(milliseconds(5000), milliseconds(400));
  const Time start(seconds(100));
  keys.Confirm(start);
  keys.Confirm(start - seconds(3));
  EXPECT_EQ(keys.Age(start), Duration{});
}

TEST(KeyValidityTest, APauseVoidsTheConfirmation) {
  KeyValidity keys(milliseconds(5000), milliseconds(400));
  const Time start(seconds(100));
  keys.Confirm(start);
  keys.Invalidate();
  EXPECT_FALSE(keys.IsValid(start));
}

TEST(StoreContinuityTest, EndsAfterAGapInWhichRowsMayExpire) {
  StoreContinuity continuity;
  Time now(seconds(100));
  for (int i = 0; i < 30; ++i, now += milliseconds(100)) {
    continuity.RecordSuccess(now);
  }
  EXPECT_TRUE(continuity.IsContinuous(now));
  now += seconds(4);
  EXPECT_FALSE(continuity.IsContinuous(now));
  continuity.RecordSuccess(now);
  EXPECT_FALSE(continuity.IsContinuous(now));
}

TEST(StoreContinuityTest, ReturnsWhenRowsOfRunningTargetsAreBack) {
  StoreContinuity continuity;
  Time now(seconds(100));
  continuity.RecordSuccess(now);
  const auto returned = now + seconds(5);
  for (now = returned; now < returned + milliseconds(2400);
       now += milliseconds(200)) {
    continuity.RecordSuccess(now);
  }
  EXPECT_TRUE(continuity.IsContinuous(now));
}

TEST(TargetDirectoryTest, ADrainingTargetTakesNoNewRequest) {
  TargetDirectory directory;
  directory.Apply(MakeList({MakeRow("a"), MakeRow("b")}, 1));
  auto draining = MakeRow("a");
  draining.is_draining = true;
  const auto change = directory.Apply(MakeList({draining, MakeRow("b")}, 2));
  EXPECT_EQ(change.left, std::vector<TargetId>{TargetId("a")});
  ASSERT_EQ(directory.Serving(PoolId("pool")).size(), 1U);
  EXPECT_EQ(directory.Serving(PoolId("pool"))[0].id, TargetId("b"));
}

TEST(TargetDirectoryTest, ALateRowDoesNotRestoreADrainingTarget) {
  TargetDirectory directory;
  auto draining = MakeRow("a");
  draining.is_draining = true;
  directory.Apply(MakeList({draining}, 1));
  directory.Apply(MakeList({MakeRow("a")}, 2));
  EXPECT_TRUE(directory.Serving(PoolId("pool")).empty());
  directory.Apply(MakeList({MakeRow("a", 2)}, 3));
  EXPECT_EQ(directory.Serving(PoolId("pool")).size(), 1U);
}

// Requests reached a target that had said it was leaving (DRAIN).
TEST(TargetDirectoryTest, NoRowRestoresATargetThatSaidItLeaves) {
  TargetDirectory directory;
  directory.Apply(MakeList({MakeRow("a", 5)}, 1));
  directory.RecordDeparture(TargetId("a"), 5);
  EXPECT_EQ(directory.departed_count(), 1U);
  const std::vector<TargetRow> none;
  for (const auto& rows :
       {std::vector{MakeRow("a", 5)}, none, std::vector{MakeRow("a", 5)},
        std::vector{MakeRow("a", 4)}}) {
    static std::uint64_t version = 1;
    directory.Apply(MakeList(rows, ++version));
    EXPECT_TRUE(directory.Serving(PoolId("pool")).empty());
  }
  directory.Apply(MakeList({MakeRow("a", 6)}, 9));
  EXPECT_EQ(directory.Serving(PoolId("pool")).size(), 1U);
  EXPECT_EQ(directory.departed_count(), 0U);
  // News of the former process.
  directory.RecordDeparture(TargetId("a"), 5);
  EXPECT_EQ(directory.Serving(PoolId("pool")).size(), 1U);
}

TEST(TargetDirectoryTest, AMissingRowIsGone) {
  TargetDirectory directory;
  directory.Apply(MakeList({MakeRow("a"), MakeRow("b")}, 1));
  const auto change = directory.Apply(MakeList({MakeRow("b")}, 2));
  EXPECT_EQ(change.left, std::vector<TargetId>{TargetId("a")});
  ASSERT_EQ(change.updates.size(), 1U);
  EXPECT_TRUE(change.updates[0].is_gone);
}

TEST(TargetDirectoryTest, ATargetWithoutARowStaysWhileTheStoreRecovers) {
  TargetDirectory directory;
  directory.Apply(MakeList({MakeRow("a"), MakeRow("b")}, 1));
  directory.Apply(MakeList({MakeRow("b")}, 2, true));
  EXPECT_EQ(directory.Serving(PoolId("pool")).size(), 2U);
  directory.Apply(MakeList({MakeRow("b")}, 3));
  EXPECT_EQ(directory.Serving(PoolId("pool")).size(), 1U);
}

// Routers that had read the same list kept the target, as the news was not
// newer than their list (DRAIN, review/8).
TEST(TargetDirectoryTest, NewsOfAMissingTargetCount) {
  const auto gone = [](std::uint64_t version) {
    TargetUpdate update{version, true, {}};
    update.row.id = TargetId("a");
    return update;
  };
  for (const std::uint64_t news : {2, 3, 4, 5}) {
    TargetDirectory directory;
    directory.Apply(TargetList{{MakeRow("a"), MakeRow("b")}, 2, false});
    directory.Apply(TargetList{{MakeRow("b")}, 4, true});
    EXPECT_TRUE(directory.has_missing_targets());
    const auto change = directory.Apply(gone(news));
    // The list of version 2 still had the row.
    const auto is_gone = news > 2;
    EXPECT_EQ(change.left.size(), is_gone ? 1U : 0U) << news;
    EXPECT_EQ(directory.has_missing_targets(), !is_gone) << news;
  }
  // News of before the row returned.
  TargetDirectory directory;
  directory.Apply(TargetList{{MakeRow("a")}, 2, false});
  directory.Apply(TargetList{{}, 4, true});
  directory.Apply(TargetList{{MakeRow("a")}, 6, true});
  EXPECT_FALSE(directory.has_missing_targets());
  EXPECT_TRUE(directory.Apply(gone(5)).left.empty());
  directory.Apply(TargetList{{}, 8, true});
  EXPECT_TRUE(directory.Apply(gone(5)).left.empty());
  EXPECT_EQ(directory.Apply(gone(7)).left.size(), 1U);
}

TEST(TargetDirectoryTest, AnUpdateHoldsUntilANewerList) {
  TargetDirectory directory;
  directory.Apply(MakeList({MakeRow("a")}, 5));
  TargetUpdate gone{7, true, MakeRow("a")};
  directory.Apply(gone);
  EXPECT_TRUE(directory.Serving(PoolId("pool")).empty());
  directory.Apply(MakeList({MakeRow("a")}, 6));
  EXPECT_TRUE(directory.Serving(PoolId("pool")).empty());
  directory.Apply(MakeList({MakeRow("a", 2)}, 8));
  EXPECT_EQ(directory.Serving(PoolId("pool")).size(), 1U);
}

TEST(TargetDirectoryTest, OlderUpdatesAndListsChangeNothing) {
  TargetDirectory directory;
  directory.Apply(MakeList({MakeRow("a")}, 5));
  directory.Apply(TargetUpdate{5, true, MakeRow("a")});
  directory.Apply(MakeList({}, 4));
  EXPECT_EQ(directory.Serving(PoolId("pool")).size(), 1U);
}

// A report that the store performed late counted as a restart, after which a
// target that had said that it leaves got requests again (DRAIN).
TEST(TargetDirectoryTest, ALateReportOfTheSameProcessIsNoRestart) {
  TargetDirectory directory;
  auto row = MakeRow("a", 5);
  row.reports = 9;
  directory.Apply(MakeList({row}, 1));
  directory.RecordDeparture(row.id, row.started_unix_ms);
  row.reports = 7;
  EXPECT_TRUE(directory.Apply(MakeList({row}, 2)).restarted.empty());
  EXPECT_TRUE(directory.Serving(PoolId("pool")).empty());
}

TEST(TargetDirectoryTest, DetectsARestartUnderTheSameId) {
  TargetDirectory directory;
  // Without a start, the count of reports tells.
  auto row = MakeRow("a", 0);
  row.reports = 9;
  directory.Apply(MakeList({row}, 1));
  row.reports = 1;
  EXPECT_EQ(directory.Apply(MakeList({row}, 2)).restarted.size(), 1U);
  row.started_unix_ms = 2;
  EXPECT_EQ(directory.Apply(MakeList({row}, 3)).restarted.size(), 1U);
  row.reports = 2;
  EXPECT_TRUE(directory.Apply(MakeList({row}, 4)).restarted.empty());
}

}  // namespace
}  // namespace papayaplank
