// Tests that the members of a group take turns evenly whatever all of them go
// through together.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

#include "base/base.h"

namespace papayaplank {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr Duration kTick = milliseconds(10);
constexpr int kMembers = 59;
constexpr Duration kPeriod = milliseconds(200) * kMembers;
// A fleet of 59 routers must know within 3 s that a target leaves, of which
// half a second is left to pass the news on.
constexpr Duration kLongestGap = milliseconds(2500);

// A group in which all began at the same moment.
class Group {
 public:
  explicit Group(std::uint64_t seed) : random_(seed), turns_(kMembers) {}

  // Returns the number of turns.
  auto Run(Duration time, Duration period) -> int {
    auto count = 0;
    for (const auto end = now_ + time; now_ < end; now_ += kTick) {
      for (auto& member : turns_) {
        if (!member.Advance(period, random_, now_)) continue;
        ++count;
        longest_gap_ = std::max(longest_gap_, now_ - taken_at_);
        taken_at_ = now_;
      }
    }
    return count;
  }
  // Time passes, but no member sees it.
  auto Freeze(Duration time) -> void {
    now_ += time;
    for (auto& member : turns_) member.Advance(kPeriod, random_, now_);
    taken_at_ = now_;
  }
  auto longest_gap() const -> Duration { return longest_gap_; }

 private:
  Random random_;
  std::vector<StaggeredTurns> turns_;
  Time now_ = kStart;
  Time taken_at_ = kStart;
  Duration longest_gap_{};
};

auto ExpectNoGap(const std::function<void(Group&)>& run) -> void {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Group group(seed);
    run(group);
    EXPECT_LT(group.longest_gap(), kLongestGap) << "seed " << seed;
  }
}

TEST(StaggeredTurnsTest, EachMemberHasOneTurnAPeriod) {
  Group group(1);
  const auto turns = group.Run(kPeriod * 50, kPeriod);
  EXPECT_NEAR(turns, 50 * kMembers, kMembers);
}

TEST(StaggeredTurnsTest, TurnsAreHalfAPeriodToOneAndAHalfApart) {
  Random random(1);
  StaggeredTurns turns;
  auto taken_at = Time{};
  for (auto now = kStart; now < kStart + kPeriod * 50; now += kTick) {
    if (!turns.Advance(kPeriod, random, now)) continue;
    if (taken_at != Time{}) {
      EXPECT_GE(now - taken_at, kPeriod / 2 - kTick);
      EXPECT_LE(now - taken_at, kPeriod * 3 / 2 + kTick);
    }
    taken_at = now;
  }
}

TEST(StaggeredTurnsTest, MembersThatBeginTogetherLeaveNoGap) {
  ExpectNoGap([](Group& group) { group.Run(kPeriod * 4, kPeriod); });
}

// As for the readers of a list while a store recovers: each had its turn, and
// then none came for half a period.
TEST(StaggeredTurnsTest, AShortPeriodForAllLeavesNoGap) {
  ExpectNoGap([](Group& group) {
    group.Run(kPeriod, kPeriod);
    group.Run(seconds(6), milliseconds(700));
    group.Run(kPeriod * 3, kPeriod);
  });
}

TEST(StaggeredTurnsTest, APauseOfAllLeavesNoGap) {
  for (const auto pause : {kPeriod / 3, kPeriod, kPeriod * 2, kPeriod * 100}) {
    ExpectNoGap([pause](Group& group) {
      group.Run(kPeriod, kPeriod);
      group.Freeze(pause);
      group.Run(kPeriod * 3, kPeriod);
    });
  }
}

TEST(StaggeredTurnsTest, TurnsThatCameInAPauseCountAsOne) {
  Random random(1);
  StaggeredTurns turns;
  turns.Advance(seconds(1), random, kStart);
  EXPECT_TRUE(turns.Advance(seconds(1), random, kStart + seconds(60)));
  EXPECT_FALSE(turns.Advance(seconds(1), random, kStart + seconds(60)));
}

}  // namespace
}  // namespace papayaplank
