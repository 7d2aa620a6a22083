// Tests of pauses that targets ask for.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
const TargetId kTarget("a");

TEST(TargetPausesTest, NothingIsSentUntilThePauseIsOver) {
  TargetPauses pauses;
  EXPECT_EQ(pauses.TimeToSend(kTarget, kStart), Duration{});
  pauses.RecordPause(kTarget, seconds(2), kStart);
  EXPECT_EQ(pauses.TimeToSend(kTarget, kStart), seconds(2));
  EXPECT_EQ(pauses.TimeToSend(TargetId("b"), kStart), Duration{});
  // A shorter one doesn't end it, a longer one prolongs it.
  pauses.RecordPause(kTarget, milliseconds(500), kStart + seconds(1));
  EXPECT_EQ(pauses.TimeToSend(kTarget, kStart + seconds(1)), seconds(1));
  pauses.RecordPause(kTarget, seconds(3), kStart + seconds(1));
  EXPECT_EQ(pauses.TimeToSend(kTarget, kStart + seconds(1)), seconds(3));
  EXPECT_EQ(pauses.TimeToSend(kTarget, kStart + seconds(4)), Duration{});
}

TEST(TargetPausesTest, NoHerdFollowsAPause) {
  TargetPauses pauses;
  pauses.RecordPause(kTarget, seconds(2), kStart);
  const auto end = kStart + seconds(2);
  int sent = 0;
  std::vector<int> sent_by_step;
  for (auto now = kStart; now < end + seconds(1); now += milliseconds(1)) {
    pauses.Tick(now);
    // More than any target takes.
    for (int i = 0; i < 10; ++i) {
      if (pauses.TimeToSend(kTarget, now) > Duration{}) break;
      EXPECT_GE(now, end);
      pauses.RecordSend(kTarget);
      ++sent;
    }
    if (now == end || now == end + milliseconds(150) ||
        now == end + milliseconds(350)) {
      sent_by_step.push_back(sent);
    }
  }
  EXPECT_EQ(sent_by_step, (std::vector<int>{1, 2, 8}));
  EXPECT_GT(sent, 1000);
  EXPECT_TRUE(pauses.is_empty());
}

TEST(TargetPausesTest, CallersReturnWhenTheTargetTakesThem) {
  TargetPauses pauses;
  pauses.RecordPause(kTarget, seconds(2), kStart);
  Duration last{};
  std::map<Duration, int> returns;
  for (int i = 0; i < 40; ++i) {
    const auto wait = pauses.PromiseReturn(kTarget, kStart + seconds(1));
    EXPECT_GE(wait, seconds(1));
    EXPECT_GE(wait, last);
    EXPECT_LE(wait, seconds(2));
    last = wait;
    ++returns[wait];
  }
  // Twice as many with each step.
  EXPECT_EQ(returns[seconds(1)], 1);
  EXPECT_EQ(returns[milliseconds(1100)], 1);
  EXPECT_EQ(returns[milliseconds(1200)], 2);
  EXPECT_EQ(returns[milliseconds(1300)], 4);
}

TEST(TargetPausesTest, AnAbsurdPauseIsCut) {
  TargetPauses pauses;
  pauses.RecordPause(kTarget, std::chrono::hours(24 * 365), kStart);
  EXPECT_EQ(pauses.TimeToSend(kTarget, kStart), TargetPauses::kLongestPause);
  pauses.RemoveTarget(kTarget);
  EXPECT_EQ(pauses.TimeToSend(kTarget, kStart), Duration{});
  pauses.RecordPause(kTarget, Duration{}, kStart);
  pauses.RecordPause(kTarget, seconds(-5), kStart);
  EXPECT_TRUE(pauses.is_empty());
}

}  // namespace
}  // namespace papayaplank
