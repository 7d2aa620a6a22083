// Tests of what a router knows of the limits that targets name.
#include <gtest/gtest.h>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
const TargetId kTarget("t1");
const ProcessStart kProcess(7);
constexpr RequestRate kThree{3};

auto News(std::uint32_t id, std::optional<RequestRate> limit, Time at,
          ProcessStart process = kProcess) -> LimitNews {
  return LimitNews{id, process, limit, at};
}

TEST(TargetLimitsTest, TheNewestAnswerHolds) {
  TargetLimits limits(1);
  limits.RecordAnswer(kTarget, kProcess, std::nullopt, kStart);
  EXPECT_EQ(limits.FindNews(kTarget), nullptr);
  limits.RecordAnswer(kTarget, kProcess, kThree, kStart);
  EXPECT_EQ(limits.Find(kTarget), kThree);
  limits.RecordAnswer(kTarget, kProcess, RequestRate{0.5}, kStart + seconds(1));
  EXPECT_EQ(limits.Find(kTarget), RequestRate{0.5});
  limits.RecordAnswer(kTarget, kProcess, std::nullopt, kStart + seconds(2));
  EXPECT_FALSE(limits.Find(kTarget));
  EXPECT_FALSE(limits.is_any_limited());
  EXPECT_EQ(limits.TakeChanges().size(), 3U);
}

TEST(TargetLimitsTest, OlderNewsOfPeersChangeNothing) {
  TargetLimits limits(1);
  limits.RecordAnswer(kTarget, kProcess, kThree, kStart + seconds(5));
  EXPECT_FALSE(limits.Merge(kTarget, News(1, std::nullopt, kStart),
                            kStart + seconds(5)));
  EXPECT_EQ(limits.Find(kTarget), kThree);
  EXPECT_TRUE(limits.Merge(kTarget, News(2, std::nullopt, kStart + seconds(6)),
                           kStart + seconds(6)));
  // The end is remembered, so that what still travels doesn't undo it.
  EXPECT_FALSE(limits.Merge(kTarget, News(3, kThree, kStart + seconds(4)),
                            kStart + seconds(7)));
  EXPECT_FALSE(limits.Find(kTarget));
}

TEST(TargetLimitsTest, ACopyOfTheSameNewsIsNoNewer) {
  TargetLimits limits(1);
  ASSERT_TRUE(limits.Merge(kTarget, News(9, kThree, kStart), kStart));
  limits.Merge(kTarget, News(9, kThree, kStart + milliseconds(20)), kStart);
  EXPECT_EQ(limits.FindNews(kTarget)->at, kStart);
}

TEST(TargetLimitsTest, NewsOfAnEarlierProcessChangeNothing) {
  TargetLimits limits(1);
  ASSERT_TRUE(limits.Merge(kTarget, News(1, kThree, kStart), kStart));
  EXPECT_FALSE(limits.Merge(
      kTarget, News(2, std::nullopt, kStart + seconds(1), ProcessStart(6)),
      kStart + seconds(1)));
  EXPECT_TRUE(limits.Merge(
      kTarget, News(3, std::nullopt, kStart - seconds(1), ProcessStart(8)),
      kStart + seconds(1)));
}

TEST(TargetLimitsTest, CountsItsOwnRequestsToLimitedTargets) {
  TargetLimits limits(1);
  limits.RecordSend(kTarget, kStart);
  limits.RecordAnswer(kTarget, kProcess, kThree, kStart);
  for (int i = 0; i < 10; ++i) limits.RecordSend(kTarget, kStart + seconds(i));
  const auto limited = limits.Limited(kStart + seconds(9));
  ASSERT_EQ(limited.size(), 1U);
  EXPECT_EQ(limited[0].sends, 4U);
  EXPECT_EQ(limited[0].age, seconds(9));
}

TEST(TargetLimitsTest, AMalformedLimitIsOnlyCounted) {
  TargetLimits limits(1);
  limits.RecordAnswer(kTarget, kProcess, kThree, kStart);
  limits.RecordMalformed();
  EXPECT_EQ(limits.malformed(), 1U);
  EXPECT_EQ(limits.Find(kTarget), kThree);
}

TEST(TargetLimitsTest, ForgetsEndedLimits) {
  TargetLimits limits(1);
  limits.RecordAnswer(kTarget, kProcess, kThree, kStart);
  limits.Tick(kStart + seconds(100));
  EXPECT_EQ(limits.Find(kTarget), kThree);
  limits.RecordAnswer(kTarget, kProcess, std::nullopt, kStart + seconds(100));
  limits.Tick(kStart + seconds(131));
  EXPECT_EQ(limits.FindNews(kTarget), nullptr);
}

}  // namespace
}  // namespace papayaplank
