// Tests of what fits before the end of a stopping router.
#include <gtest/gtest.h>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

const Time kSignal(seconds(1000));

TEST(StopWindowTest, EverythingFitsBeforeTheSignal) {
  const StopWindow window(seconds(8));
  EXPECT_FALSE(window.has_begun());
  EXPECT_TRUE(window.Fits(seconds(60), kSignal));
}

TEST(StopWindowTest, WhatFitsEndsBeforeConnectionsAreClosed) {
  StopWindow window(seconds(8));
  window.Begin(kSignal);
  EXPECT_LT(window.closes_at(), kSignal + seconds(8));
  for (auto at = kSignal; at < kSignal + seconds(9); at += milliseconds(50)) {
    for (auto limit = milliseconds(50); limit < seconds(9);
         limit += milliseconds(50)) {
      if (!window.Fits(limit, at)) continue;
      EXPECT_LT(at + limit, window.closes_at());
    }
  }
  EXPECT_TRUE(window.Fits(seconds(7), kSignal));
}

TEST(StopWindowTest, ItHasJustBegunForAMoment) {
  StopWindow window(seconds(8));
  EXPECT_FALSE(window.HasJustBegun(kSignal));
  window.Begin(kSignal);
  EXPECT_TRUE(window.HasJustBegun(kSignal + milliseconds(250)));
  EXPECT_FALSE(window.HasJustBegun(kSignal + milliseconds(350)));
}

TEST(StopWindowTest, ALaterSignalGivesNoMoreTime) {
  StopWindow window(seconds(8));
  window.Begin(kSignal);
  const auto closes_at = window.closes_at();
  window.Begin(kSignal + seconds(5));
  EXPECT_EQ(window.closes_at(), closes_at);
}

TEST(StopWindowTest, AGraceThatIsTooShortFitsNothing) {
  StopWindow window(milliseconds(300));
  window.Begin(kSignal);
  EXPECT_EQ(window.closes_at(), kSignal);
  EXPECT_FALSE(window.Fits(milliseconds(1), kSignal));
}

}  // namespace
}  // namespace papayaplank
