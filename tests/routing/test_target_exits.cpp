// Tests that a planned exit of a target is told from a crash.
#include <gtest/gtest.h>

#include "routing/routing.h"

namespace papayaplank {
namespace {

const TargetId kTarget("t0");
constexpr ExitTimes kTimes{milliseconds(1000), milliseconds(3000)};
constexpr Time kEnd = Time(seconds(100));

struct TargetExitsTest : testing::Test {
  auto Judge(bool is_announced, ExitRow row, Duration after) const
      -> ExitVerdict {
    return exits.Judge(kTarget, is_announced, kEnd, row, kEnd + after);
  }

  TargetExits exits{kTimes};
};

// The last answer of a target that left as planned was cut (LOST).
TEST_F(TargetExitsTest, ARowThatIsRemovedAtOnceShowsAnAnnouncedExit) {
  EXPECT_EQ(Judge(true, ExitRow::kPresent, milliseconds(20)),
            ExitVerdict::kUndecided);
  EXPECT_EQ(Judge(true, ExitRow::kAbsent, milliseconds(220)),
            ExitVerdict::kPlanned);
}

// A part of the row's removal may reach the router before the end of the
// answer.
TEST_F(TargetExitsTest, TheRowOfAnAnnouncedExitMayBeRemovedFirst) {
  exits.RecordRemoval(kTarget, kEnd - milliseconds(1));
  EXPECT_EQ(Judge(true, ExitRow::kAbsent, milliseconds(20)),
            ExitVerdict::kPlanned);
}

// The platform removes the row of a crashed target after three reports are
// missing, of which the first may have been due at once.
TEST_F(TargetExitsTest, ARowThatStaysShowsACrash) {
  EXPECT_EQ(Judge(true, ExitRow::kPresent, kTimes.report_period),
            ExitVerdict::kCrash);
  EXPECT_EQ(Judge(true, ExitRow::kAbsent, 2 * kTimes.report_period),
            ExitVerdict::kCrash);
}

TEST_F(TargetExitsTest, AnUnannouncedTargetServesForItsDrainTime) {
  EXPECT_EQ(Judge(false, ExitRow::kAbsent, milliseconds(20)),
            ExitVerdict::kCrash);
  exits.RecordRemoval(kTarget, kEnd - kTimes.drain_time + milliseconds(1));
  EXPECT_EQ(Judge(false, ExitRow::kAbsent, milliseconds(20)),
            ExitVerdict::kCrash);
  exits.RecordReturn(kTarget);
  exits.RecordRemoval(kTarget, kEnd - kTimes.drain_time);
  EXPECT_EQ(Judge(false, ExitRow::kAbsent, milliseconds(20)),
            ExitVerdict::kPlanned);
}

// Repeated news of a removal doesn't restart the drain time.
TEST_F(TargetExitsTest, TheFirstNewsOfARemovalCounts) {
  exits.RecordRemoval(kTarget, kEnd - kTimes.drain_time);
  exits.RecordRemoval(kTarget, kEnd - milliseconds(1));
  EXPECT_EQ(Judge(false, ExitRow::kAbsent, milliseconds(20)),
            ExitVerdict::kPlanned);
}

TEST_F(TargetExitsTest, WithoutTheStoreNothingShowsAPlannedExit) {
  EXPECT_EQ(Judge(true, ExitRow::kUnknown, milliseconds(20)),
            ExitVerdict::kUndecided);
  EXPECT_EQ(Judge(true, ExitRow::kUnknown, kTimes.report_period),
            ExitVerdict::kCrash);
}

TEST_F(TargetExitsTest, AnotherProcessUnderTheSameIdShowsACrash) {
  exits.RecordRemoval(kTarget, kEnd - kTimes.drain_time);
  EXPECT_EQ(Judge(true, ExitRow::kOtherProcess, milliseconds(20)),
            ExitVerdict::kCrash);
}

}  // namespace
}  // namespace papayaplank
