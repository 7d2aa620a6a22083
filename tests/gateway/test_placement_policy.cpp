// Choice of a target under load, by option.
#include <gtest/gtest.h>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

// A target of a report with a long shared part, at which nothing waits.
class PlacementPolicyTest : public testing::Test {
 protected:
  static constexpr double kShared = 5000;
  static constexpr double kOwn = 1000;

  auto Add(int preference_rank, Duration wait, bool keeps_shared) -> void {
    row_.id = TargetId("t");
    TargetOption option;
    option.target = &row_;
    option.preference_rank = preference_rank;
    option.to_read = TokensToRead{keeps_shared ? 0 : kShared, kOwn};
    option.is_near = true;
    option.forecast.queue_wait = wait;
    // 60 tokens a millisecond.
    option.forecast.own_prefill =
        milliseconds(static_cast<std::int64_t>(option.to_read.total() / 60));
    options_.push_back(option);
  }
  auto Chosen() const -> std::ptrdiff_t {
    AdmissionTerms terms;
    terms.objective = milliseconds(800);
    terms.time_left = seconds(10);
    terms.is_engine = true;
    return ChooseOption(options_, terms) - options_.data();
  }

  TargetRow row_;
  std::vector<TargetOption> options_;
};

// Load pattern: all targets are busy, the home of a hot part a little more.
// Reading the part again elsewhere would take more time from other requests
// than this one would gain.
TEST_F(PlacementPolicyTest, ARequestWaitsAtItsHomeRatherThanReadingAgain) {
  Add(0, milliseconds(400), true);
  Add(1, milliseconds(100), false);
  Add(kNotPreferred, milliseconds(0), false);
  EXPECT_EQ(Chosen(), 0);
}

// Load pattern: a part is so hot that its home could not answer in time. All
// routers go on to the same second home, where the part is then read once.
TEST_F(PlacementPolicyTest, AnOverloadedHomeYieldsToTheNextOne) {
  Add(kNotPreferred, milliseconds(0), false);
  Add(2, milliseconds(200), false);
  Add(1, milliseconds(100), false);
  Add(0, milliseconds(5000), true);
  EXPECT_EQ(Chosen(), 2);
}

TEST_F(PlacementPolicyTest, WhereThePartIsKeptItIsNotReadAgain) {
  Add(0, milliseconds(5000), true);
  Add(1, milliseconds(300), false);
  Add(kNotPreferred, milliseconds(300), true);
  EXPECT_EQ(Chosen(), 2);
}

}  // namespace
}  // namespace papayaplank
