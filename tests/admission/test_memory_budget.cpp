// Tests which unfinished requests are given up when the memory of a router is
// full, and that the counts of what is held don't drift.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));
const HolderId kFirst(1);
const HolderId kSecond(2);
const HolderId kThird(3);

TEST(MemoryBudgetTest, NothingIsGivenUpWithinTheLimit) {
  MemoryBudget budget(100);
  budget.Update(kFirst, "a", 100, kStart);
  EXPECT_FALSE(budget.ChooseVictim(kStart).has_value());
  budget.Update(kFirst, "a", 101, kStart);
  EXPECT_EQ(budget.ChooseVictim(kStart), kFirst);
}

// Load pattern: bodies that stopped short of their end, beside one that moves.
TEST(MemoryBudgetTest, RequestsThatHaveStoppedComeFirst) {
  MemoryBudget budget(100);
  budget.Update(kFirst, "a", 30, kStart);
  budget.Update(kSecond, "b", 90, kStart + seconds(2));
  EXPECT_EQ(budget.ChooseVictim(kStart + seconds(2)), kFirst);
}

// Load pattern: one customer sends many bodies, others one each.
TEST(MemoryBudgetTest, TheOwnerThatHoldsMostLosesItsLargest) {
  MemoryBudget budget(100);
  budget.Update(kFirst, "many", 30, kStart);
  budget.Update(kSecond, "many", 35, kStart);
  budget.Update(kThird, "one", 50, kStart);
  EXPECT_EQ(budget.ChooseVictim(kStart), kSecond);
}

// Complete requests may run already: only unfinished ones are given up.
TEST(MemoryBudgetTest, CompleteRequestsAreNotGivenUp) {
  MemoryBudget budget(100);
  budget.Add(HeldKind::kBody, 200);
  EXPECT_FALSE(budget.ChooseVictim(kStart).has_value());
  EXPECT_FALSE(budget.Fits(1));
}

TEST(MemoryBudgetTest, TellsWhenTheLimitBeginsAndCeasesToBind) {
  MemoryBudget budget(10);
  budget.Update(kFirst, "a", 20, kStart);
  budget.ChooseVictim(kStart);
  budget.Remove(kFirst);
  budget.Tick(kStart + seconds(1));
  EXPECT_EQ(budget.TakeChanges().size(), 1U);
  budget.Tick(kStart + seconds(3));
  const auto changes = budget.TakeChanges();
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_FALSE(changes.front().is_binding);
}

// Giving up until the limit is kept ends, and leaves exact counts.
TEST(MemoryBudgetTest, CountsDoNotDrift) {
  EXPECT_TRUE(rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& in) {
        MemoryBudget budget(5000);
        std::map<HolderId, std::size_t> open;
        auto now = kStart;
        for (const auto& [id, bytes] : in) {
          now += milliseconds(id);
          const HolderId holder(id % 16);
          if (bytes % 5 == 0) {
            budget.Remove(holder);
            open.erase(holder);
          } else {
            budget.Update(holder, std::to_string(id % 3), bytes, now);
            open[holder] = bytes;
          }
          while (const auto victim = budget.ChooseVictim(now)) {
            RC_ASSERT(open.count(*victim) == 1);
            budget.Remove(*victim);
            open.erase(*victim);
          }
          std::size_t sum = 0;
          for (const auto& [key, held] : open) sum += held;
          RC_ASSERT(budget.held() == sum);
          RC_ASSERT(budget.held() <= budget.limit());
        }
      }));
}

}  // namespace
}  // namespace papayaplank
