// Tests the choice of a target under load.
#include <gtest/gtest.h>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

// Options for a request whose prompt has a long shared part.
class PlacementPolicyTest : public testing::Test {
 protected:
  static constexpr double kShared = 5000;
  static constexpr double kOwn = 1000;

  auto Add(int preference_rank, Duration wait, bool has_shared_part) -> void {
    row_.id = TargetId("t");
    TargetOption option;
    option.target = &row_;
    option.preference_rank = preference_rank;
    option.to_read = TokensToRead{has_shared_part ? 0 : kShared, kOwn};
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

// Load pattern: all targets are busy, the preferred target of a popular part a
// little more. Reading the part again elsewhere would delay other requests by
// more than this one would gain.
TEST_F(PlacementPolicyTest, ARequestWaitsAtItsPreferredTarget) {
  Add(0, milliseconds(400), true);
  Add(1, milliseconds(100), false);
  Add(kNotPreferred, milliseconds(0), false);
  EXPECT_EQ(Chosen(), 0);
}

// Load pattern: a part is so popular that its first preferred target couldn't
// answer in time. All routers use the same second one, where the part is then
// read once.
TEST_F(PlacementPolicyTest, AnOverloadedTargetYieldsToTheNextPreferredOne) {
  Add(kNotPreferred, milliseconds(0), false);
  Add(2, milliseconds(200), false);
  Add(1, milliseconds(100), false);
  Add(0, milliseconds(5000), true);
  EXPECT_EQ(Chosen(), 2);
}

TEST_F(PlacementPolicyTest, ATargetThatHasThePartInItsCacheIsChosen) {
  Add(0, milliseconds(5000), true);
  Add(1, milliseconds(300), false);
  Add(kNotPreferred, milliseconds(300), true);
  EXPECT_EQ(Chosen(), 2);
}

}  // namespace
}  // namespace papayaplank
