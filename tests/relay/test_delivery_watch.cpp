// Tests that a lost end of a connection is told from one that reads nothing.
#include <gtest/gtest.h>

#include "relay/delivery_watch.h"

namespace papayaplank {
namespace {

constexpr Duration kCheckPeriod = milliseconds(500);

struct DeliveryWatchTest : testing::Test {
  // The verdicts on checks at this state for so long; the state ages.
  auto IsLostWithin(Duration time, DeliveryState state) -> bool {
    auto is_lost = false;
    for (const auto end = now + time; now < end; now += kCheckPeriod) {
      is_lost = is_lost || watch.IsLost(state, now);
      state.since_answer += kCheckPeriod;
    }
    return is_lost;
  }

  DeliveryWatch watch;
  Time now{seconds(100)};
};

TEST_F(DeliveryWatchTest, AnEndThatAnswersNothingIsLost) {
  EXPECT_FALSE(IsLostWithin(kLongestSilence, {true, milliseconds(200)}));
  EXPECT_TRUE(IsLostWithin(kCheckPeriod, {true, kLongestSilence}));
}

// A caller that read nothing for 3 s was reset (LOST). Its system answers the
// probes of a closed window, whose intervals grow.
TEST_F(DeliveryWatchTest, AClosedWindowIsNoLoss) {
  for (const auto interval : {milliseconds(400), milliseconds(1600),
                              milliseconds(6400), milliseconds(25600)}) {
    EXPECT_FALSE(IsLostWithin(interval, {false, {}}));
    EXPECT_FALSE(IsLostWithin(kCheckPeriod, {true, interval}));
  }
}

TEST_F(DeliveryWatchTest, SilenceBeforeTheFirstRepeatedByteDoesNotCount) {
  EXPECT_FALSE(IsLostWithin(seconds(60), {false, {}}));
  EXPECT_FALSE(IsLostWithin(kLongestSilence, {true, seconds(60)}));
}

TEST_F(DeliveryWatchTest, AnAnswerInBetweenStartsAnew) {
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(IsLostWithin(seconds(2), {true, milliseconds(100)}));
  }
  EXPECT_TRUE(IsLostWithin(seconds(4), {true, milliseconds(100)}));
}

}  // namespace
}  // namespace papayaplank
