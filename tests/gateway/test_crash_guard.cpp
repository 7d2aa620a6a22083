// Tests which broken answers count as crashes of their target.
#include <gtest/gtest.h>

#include "gateway/crash_guard.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
constexpr PartId kPart = 7;

class CrashGuardTest : public ::testing::Test {
 protected:
  static auto At(int ms) -> Time { return kStart + milliseconds(ms); }
  auto Start(const std::string& target, int ms, std::int64_t born = 1)
      -> AttemptId {
    Placement placement;
    placement.target.id = TargetId(target);
    placement.target.started_unix_ms = born;
    placement.attempt = AttemptId(++attempts_);
    guard_.StartAttempt(placement, {{kPart, 10}, {attempts_ + 100, 10}},
                        At(ms));
    return placement.attempt;
  }
  auto Break(AttemptId attempt, int ms) -> void {
    guard_.EndAttempt(attempt, AttemptOutcome::kBroken, At(ms));
  }
  auto Suspects() const -> std::size_t {
    return guard_.quarantine().suspect_count();
  }

  CrashGuard guard_{1};
  std::uint64_t attempts_ = 0;
};

TEST_F(CrashGuardTest, ABrokenAnswerIsNoCrashWhileItsTargetAcceptsConnections) {
  Break(Start("t1", 0), 50);
  EXPECT_TRUE(guard_.ShouldCheck(TargetId("t1")));
  guard_.RecordReachable(TargetId("t1"));
  EXPECT_FALSE(guard_.ShouldCheck(TargetId("t1")));
  guard_.RecordUnreachable(TargetId("t1"), At(100));
  EXPECT_EQ(Suspects(), 0U);
}

TEST_F(CrashGuardTest, ATargetThatAcceptsNoConnectionHasCrashed) {
  Break(Start("t1", 0), 50);
  guard_.RecordUnreachable(TargetId("t1"), At(60));
  EXPECT_EQ(Suspects(), 1U);
  const auto crashes = guard_.TakeCrashes();
  ASSERT_EQ(crashes.size(), 1U);
  EXPECT_EQ(crashes[0].target, TargetId("t1"));
  EXPECT_EQ(crashes[0].parts, std::set<PartId>{kPart});
  EXPECT_EQ(guard_.confirmed_crashes(), 1U);
}

TEST_F(CrashGuardTest, AnAttemptThatFindsNoTargetConfirmsTheCrash) {
  Break(Start("t1", 0), 50);
  guard_.EndAttempt(Start("t1", 55), AttemptOutcome::kNotReached, At(60));
  EXPECT_EQ(Suspects(), 1U);
}

TEST_F(CrashGuardTest, AnUnreachableTargetThatBrokeNothingIsNoCrash) {
  guard_.EndAttempt(Start("t1", 0), AttemptOutcome::kNotReached, At(10));
  EXPECT_EQ(Suspects(), 0U);
  EXPECT_EQ(guard_.confirmed_crashes(), 0U);
}

TEST_F(CrashGuardTest, AnAnswerThatHadRunForLongIsNotBlamed) {
  const auto attempt = Start("t1", 0);
  guard_.RecordOutput(attempt, At(50));
  guard_.RecordOutput(attempt, At(560));
  Break(attempt, 600);
  guard_.RecordUnreachable(TargetId("t1"), At(610));
  EXPECT_EQ(Suspects(), 0U);
}

// A target that falls silent instead of closing its connections.
TEST_F(CrashGuardTest, AnAnswerThatStoppedSoonAfterItBeganIsBlamed) {
  const auto attempt = Start("t1", 0);
  guard_.RecordOutput(attempt, At(50));
  Break(attempt, 3000);
  guard_.RecordUnreachable(TargetId("t1"), At(3400));
  EXPECT_EQ(Suspects(), 1U);
}

TEST_F(CrashGuardTest, AnAnswerThatWaitedForLongAndHadJustBegunIsBlamed) {
  const auto attempt = Start("t1", 0);
  guard_.RecordOutput(attempt, At(3000));
  Break(attempt, 3080);
  guard_.RecordUnreachable(TargetId("t1"), At(3090));
  EXPECT_EQ(Suspects(), 1U);
}

// A target at its limit of connections resets new ones.
TEST_F(CrashGuardTest, ATargetThatGoesOnAnsweringHasNotCrashed) {
  const auto other = Start("t1", 0);
  guard_.RecordOutput(other, At(20));
  Break(Start("t1", 30), 50);
  guard_.RecordUnreachable(TargetId("t1"), At(60));
  EXPECT_EQ(Suspects(), 0U);
  // It is found out again when the other answer breaks off as well.
  Break(other, 70);
  EXPECT_TRUE(guard_.ShouldCheck(TargetId("t1")));
  guard_.RecordUnreachable(TargetId("t1"), At(80));
  EXPECT_EQ(Suspects(), 1U);
}

TEST_F(CrashGuardTest, ABreakThatIsNotConfirmedIsForgotten) {
  Break(Start("t1", 0), 50);
  guard_.Tick(At(10000));
  EXPECT_FALSE(guard_.ShouldCheck(TargetId("t1")));
}

TEST_F(CrashGuardTest, AnotherProcessOfTheTargetIsAnotherCrash) {
  for (std::int64_t born = 1; born <= 2; ++born) {
    const auto ms = static_cast<int>(born) * 1000;
    Break(Start("t1", ms, born), ms + 50);
    guard_.RecordUnreachable(TargetId("t1"), At(ms + 60));
  }
  EXPECT_EQ(guard_.confirmed_crashes(), 2U);
  EXPECT_TRUE(guard_.quarantine().IsSuspected({kPart}));
}

TEST_F(CrashGuardTest, ACancelledAnswerIsNoEvidence) {
  guard_.EndAttempt(Start("t1", 0), AttemptOutcome::kCancelled, At(50));
  EXPECT_FALSE(guard_.ShouldCheck(TargetId("t1")));
}

}  // namespace
}  // namespace papayaplank
