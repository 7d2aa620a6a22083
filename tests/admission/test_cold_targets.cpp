// Tests what counts as evidence that a target is cold.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const TargetId kTarget("t");
const ProcessStart kProcess(100);
const ProcessStart kNextProcess(200);
const Time kStart(seconds(1000));

TEST(ColdTargetsTest, ARowThatDoesNotChangeIsReadOnce) {
  ColdTargets cold;
  EXPECT_TRUE(cold.RecordRow(kTarget, kProcess, 4, seconds(3), kStart));
  EXPECT_TRUE(cold.IsCold(kTarget, kStart + milliseconds(2900)));
  // The row may keep its content for long after the target is warm.
  EXPECT_FALSE(
      cold.RecordRow(kTarget, kProcess, 4, seconds(3), kStart + seconds(2)));
  EXPECT_FALSE(cold.IsCold(kTarget, kStart + seconds(3)));
}

// A target that can't be reached may return cold before any row tells, and its
// old row still says that it is warm.
TEST(ColdTargetsTest, AnOldRowEndsNoPresumption) {
  ColdTargets cold;
  cold.Presume(kTarget, kProcess, ColdCause::kUnreachable, seconds(5), kStart);
  EXPECT_FALSE(cold.RecordRow(kTarget, kProcess, 9, {}, kStart + seconds(1)));
  EXPECT_TRUE(cold.IsCold(kTarget, kStart + seconds(4)));
  EXPECT_FALSE(
      cold.RecordRow(kTarget, kProcess, 9, seconds(1), kStart + seconds(1)));
  EXPECT_TRUE(cold.IsCold(kTarget, kStart + seconds(4)));
}

TEST(ColdTargetsTest, TheRowOfANewProcessEndsAPresumption) {
  ColdTargets cold;
  cold.Presume(kTarget, kProcess, ColdCause::kUnreachable, seconds(5), kStart);
  EXPECT_TRUE(cold.RecordRow(kTarget, kNextProcess, 1, milliseconds(1500),
                             kStart + seconds(1)));
  EXPECT_TRUE(cold.IsCold(kTarget, kStart + seconds(2)));
  EXPECT_FALSE(cold.IsCold(kTarget, kStart + seconds(3)));
}

TEST(ColdTargetsTest, CopiesOfOneEvidenceAreNoNews) {
  ColdTargets cold;
  const ColdState state{kProcess, ColdCause::kUnreachable, kStart,
                        kStart + seconds(5)};
  EXPECT_TRUE(cold.Merge(kTarget, state, kStart));
  auto late = state;
  late.evidence_at += milliseconds(50);
  late.cold_until += milliseconds(50);
  EXPECT_FALSE(cold.Merge(kTarget, late, kStart + milliseconds(50)));
}

// Two routers see different causes at nearly the same time.
TEST(ColdTargetsTest, TheLongerOfTwoNearlySimultaneousEvidencesHolds) {
  ColdTargets cold;
  cold.RecordRow(kTarget, kProcess, 4, seconds(3), kStart);
  EXPECT_TRUE(cold.Merge(kTarget,
                         {kProcess, ColdCause::kUnreachable,
                          kStart + milliseconds(100), kStart + seconds(8)},
                         kStart + milliseconds(100)));
  EXPECT_TRUE(cold.IsCold(kTarget, kStart + seconds(7)));
}

// A router that has not read of the newest process finds it unreachable.
TEST(ColdTargetsTest, EvidenceUnderAnOlderProcessCounts) {
  ColdTargets cold;
  cold.RecordRow(kTarget, kNextProcess, 4, seconds(1), kStart);
  EXPECT_TRUE(cold.Merge(kTarget,
                         {kProcess, ColdCause::kUnreachable,
                          kStart + seconds(3), kStart + seconds(8)},
                         kStart + seconds(3)));
  EXPECT_TRUE(cold.IsCold(kTarget, kStart + seconds(7)));
}

TEST(ColdTargetsTest, ALateRowOfTheSameProcessEndsNothing) {
  ColdTargets cold;
  cold.RecordRow(kTarget, kProcess, 7, seconds(5), kStart);
  EXPECT_FALSE(cold.RecordRow(kTarget, kProcess, 5, {}, kStart + seconds(1)));
  EXPECT_TRUE(cold.IsCold(kTarget, kStart + seconds(4)));
}

// In any second, the permits that a bucket hands out keep the bound even if
// those of a whole lifetime are used at once.
TEST(ColdBoundTest, PermitsOfALifetimeKeepTheBound) {
  EXPECT_TRUE(rc::check([] {
    const auto tolerated = *rc::gen::inRange(1, 400);
    const ColdBound bound{*rc::gen::element(1.0, 1.5, 2.0, 4.0),
                          static_cast<double>(*rc::gen::inRange(0, 20))};
    const auto rate = bound.PermitRate(tolerated);
    RC_ASSERT(rate.per_second <= tolerated);
    const auto lifetime =
        std::chrono::duration<double>(kPermitLifetime).count();
    const auto most = 1 + rate.per_second * (1 + lifetime + rate.burst_seconds);
    RC_ASSERT(rate.per_second == 0 ||
              most <= tolerated * bound.overshoot + bound.slack);
  }));
}

TEST(ColdBoundTest, ATargetIsUsedAtTheRateThatItTolerates) {
  EXPECT_DOUBLE_EQ((ColdBound{1.5, 5}).PermitRate(15).per_second, 15);
}

}  // namespace
}  // namespace papayaplank
