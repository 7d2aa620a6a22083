// Tests the sums of the requests of other routers.
#include <gtest/gtest.h>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
const RouterId kA("a");
const RouterId kB("b");

TEST(LoadSumsTest, ASourceReplacesOnlyItsOwnLoads) {
  LoadSums sums;
  sums.Replace(kA, {{1, LoadShare{100, 2, 300}}, {2, LoadShare{0, 1, 50}}},
               kStart);
  sums.Replace(kB, {{1, LoadShare{10, 1, 30}}}, kStart);
  EXPECT_EQ(sums.Sum(1).requests, 3);
  EXPECT_EQ(sums.Sum(1).queued_tokens, 110);
  sums.Replace(kA, {{2, LoadShare{0, 4, 70}}}, kStart);
  EXPECT_EQ(sums.Sum(1).requests, 1);
  EXPECT_EQ(sums.Sum(1).memory_tokens, 30);
  EXPECT_EQ(sums.Sum(2).requests, 4);
  EXPECT_EQ(sums.All().size(), 2U);
}

// A router that is killed sends no report without its requests.
TEST(LoadSumsTest, LoadsOfASilentSourceAreDropped) {
  LoadSums sums;
  sums.Replace(kA, {{1, LoadShare{0, 4, 950}}}, kStart);
  sums.Replace(kB, {{1, LoadShare{0, 1, 50}}}, kStart + seconds(1));
  sums.TakeChanged();
  sums.DropSilent(kStart + milliseconds(1400));
  EXPECT_EQ(sums.Sum(1).requests, 5);
  EXPECT_TRUE(sums.TakeChanged().empty());
  sums.DropSilent(kStart + seconds(2));
  EXPECT_EQ(sums.Sum(1).requests, 1);
  EXPECT_EQ(sums.TakeChanged(), std::vector<std::uint32_t>{1});
  EXPECT_FALSE(sums.has_source(kA));
}

TEST(LoadSumsTest, NothingRemainsAfterClear) {
  LoadSums sums;
  sums.Replace(kA, {{7, LoadShare{5, 1, 5}}}, kStart);
  sums.TakeChanged();
  sums.Clear();
  EXPECT_TRUE(sums.All().empty());
  EXPECT_EQ(sums.Sum(7).requests, 0);
  EXPECT_EQ(sums.TakeChanged(), std::vector<std::uint32_t>{7});
}

}  // namespace
}  // namespace papayaplank
