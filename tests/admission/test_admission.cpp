// Tests load forecasts, fair shares, cached prefixes, retry budgets and
// cooldowns.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "admission/admission.h"

namespace papayaplank {
namespace {

const Time kStart(seconds(1000));

auto MakeAttempt(std::uint64_t value) -> AttemptId { return AttemptId(value); }

TEST(EngineLoadTest, QueuedPromptsDelayTheNextOne) {
  EngineLoad load;
  load.SetSize({64, 0});
  const auto before = load.Forecast(100, 100, kStart);
  load.Start(MakeAttempt(1), 30000, 30000, kStart);
  const auto after = load.Forecast(100, 100, kStart);
  EXPECT_GT(after.queue_wait, before.queue_wait + milliseconds(500));
  load.RecordFirstToken(MakeAttempt(1), kStart + milliseconds(500));
  EXPECT_LT(load.Forecast(100, 100, kStart + milliseconds(500)).queue_wait,
            after.queue_wait);
}

TEST(EngineLoadTest, RequestsOfPeersCount) {
  EngineLoad load;
  load.SetSize({4, 1000});
  load.SetOthers(LoadShare{0, 4, 950});
  const auto forecast = load.Forecast(10, 10, kStart);
  EXPECT_GE(forecast.batch_share, 1.0);
  EXPECT_FALSE(forecast.has_memory);
  load.SetOthers(LoadShare{});
  EXPECT_TRUE(load.Forecast(10, 10, kStart).has_memory);
}

TEST(EngineLoadTest, AnOverdueFirstTokenRaisesTheForecast) {
  EngineLoad load;
  load.SetSize({64, 0});
  load.Start(MakeAttempt(1), 100, 100, kStart);
  const auto forecast = load.Forecast(100, 100, kStart + seconds(2));
  EXPECT_GT(forecast.queue_wait, milliseconds(1500));
}

TEST(EngineLoadTest, EstimatesThePrefillRate) {
  EngineLoad load;
  load.SetSize({64, 0});
  auto now = kStart;
  constexpr double kTokensPerMs = 60;
  for (std::uint64_t i = 1; i <= 60; ++i) {
    load.Start(MakeAttempt(i), 12000, 0, now);
    now += milliseconds(static_cast<int>(12000 / kTokensPerMs));
    load.RecordFirstToken(MakeAttempt(i), now);
    load.End(MakeAttempt(i), now);
  }
  EXPECT_NEAR(load.prefill_rate(), kTokensPerMs, 10);
}

RC_GTEST_PROP(EngineLoadTest, NoLoadRemainsWhenAllRequestsHaveEnded, ()) {
  EngineLoad load;
  load.SetSize({8, 10000});
  const auto count = *rc::gen::inRange(1, 40);
  for (int i = 1; i <= count; ++i) {
    load.Start(MakeAttempt(static_cast<std::uint64_t>(i)),
               *rc::gen::inRange(0, 9000), *rc::gen::inRange(0, 9000), kStart);
  }
  for (int i = 1; i <= count; ++i) {
    const auto attempt = MakeAttempt(static_cast<std::uint64_t>(i));
    if (*rc::gen::arbitrary<bool>()) load.RecordFirstToken(attempt, kStart);
    load.End(attempt, kStart);
    load.End(attempt, kStart);
  }
  RC_ASSERT(load.is_idle());
  RC_ASSERT(load.OwnShare().queued_tokens < 1e-6);
  RC_ASSERT(load.OwnShare().memory_tokens < 1e-6);
}

TEST(FairShareTest, AFloodUsesMostOfItsShareAndOthersDoNot) {
  FairShare shares;
  shares.SetCapacity(1000);
  for (int i = 0; i < 40; ++i) {
    const auto now = kStart + milliseconds(100) * i;
    shares.RecordDemand(CustomerId("flood"), 1000, now);
    shares.RecordService(CustomerId("flood"), 90, now);
    shares.RecordDemand(CustomerId("small"), 10, now);
    shares.RecordService(CustomerId("small"), 10, now);
  }
  const auto now = kStart + seconds(4);
  EXPECT_GT(shares.ShareUsed(CustomerId("flood"), now), 0.8);
  EXPECT_LT(shares.ShareUsed(CustomerId("small"), now), 0.3);
}

// Guards against a big customer that gets three times the service of a small
// one while both demand more than the stated capacity.
TEST(FairShareTest, OutputBeyondTheStatedCapacityIsDividedToo) {
  FairShare shares;
  shares.SetCapacity(1000);
  for (int i = 0; i < 60; ++i) {
    const auto now = kStart + milliseconds(100) * i;
    shares.RecordDemand(CustomerId("big"), 400, now);
    shares.RecordService(CustomerId("big"), 180, now);
    shares.RecordDemand(CustomerId("behind"), 180, now);
    shares.RecordService(CustomerId("behind"), 60, now);
  }
  const auto now = kStart + seconds(6);
  EXPECT_GT(shares.ShareUsed(CustomerId("big"), now), 1.2);
  EXPECT_LT(shares.ShareUsed(CustomerId("behind"), now), 0.7);
}

TEST(FairShareTest, NoLimitAppliesWhileAllDemandIsServed) {
  FairShare shares;
  shares.SetCapacity(1000);
  shares.RecordDemand(CustomerId("one"), 100, kStart);
  shares.RecordService(CustomerId("one"), 100, kStart);
  EXPECT_EQ(shares.ShareUsed(CustomerId("one"), kStart), 0);
}

TEST(FairShareTest, RatesOfPeersCountUntilTheyAreSilent) {
  FairShare shares;
  shares.SetCapacity(10);
  shares.SetPeerRates(RouterId("peer"),
                      {{CustomerId("flood"), CustomerRate{5000, 5000}},
                       {CustomerId("small"), CustomerRate{500, 10}}},
                      kStart);
  EXPECT_GT(shares.ShareUsed(CustomerId("flood"), kStart), 1);
  EXPECT_EQ(shares.ShareUsed(CustomerId("flood"), kStart + seconds(2)), 0);
}

const std::vector<PromptPart> kPrompt = {{1, 500}, {2, 4000}, {3, 900}};

TEST(CachedPrefixesTest, APreferredTargetReadsOnlyTheLastPart) {
  const CachedPrefixes prefixes;
  const auto preferred =
      prefixes.UncachedTokens(TargetId("a"), kPrompt, true, kStart);
  EXPECT_EQ(preferred.shared, 0);
  EXPECT_EQ(preferred.own, 900);
  const auto other =
      prefixes.UncachedTokens(TargetId("b"), kPrompt, false, kStart);
  EXPECT_EQ(other.shared, 4500);
}

TEST(CachedPrefixesTest, APartIsCachedOnlyBehindCachedParts) {
  CachedPrefixes prefixes;
  prefixes.RecordRead(TargetId("a"), {{2, 4000}}, kStart);
  EXPECT_EQ(
      prefixes.UncachedTokens(TargetId("a"), kPrompt, false, kStart).shared,
      4500);
  prefixes.RecordRead(TargetId("a"), kPrompt, kStart);
  EXPECT_EQ(
      prefixes.UncachedTokens(TargetId("a"), kPrompt, false, kStart).total(),
      0);
  prefixes.RemoveTarget(TargetId("a"));
  EXPECT_EQ(
      prefixes.UncachedTokens(TargetId("a"), kPrompt, false, kStart).shared,
      4500);
}

TEST(CachedPrefixesTest, RequestsWithTheSameSharedPartPreferTheSameTarget) {
  const std::vector<PromptPart> other = {{1, 500}, {2, 4000}, {77, 10}};
  EXPECT_EQ(CachedPrefixes::PreferenceScore(TargetId("a"), kPrompt),
            CachedPrefixes::PreferenceScore(TargetId("a"), other));
}

// Routers that started anew spent the fleet's repeats once more (BUDGET).
TEST(FleetRetryBudgetTest, RoutersThatRestartKeepTheBoundOfTheFleet) {
  const RetryBound bound{0.2, 56, seconds(10)};
  constexpr std::size_t kRouters = 8;
  std::vector<FleetRetryBudget> routers(kRouters, FleetRetryBudget(bound));
  std::vector<Time> retries;
  int requests = 0;
  const auto spend_all = [&](Time now, std::size_t live) {
    for (std::size_t i = 0; i < live; ++i) {
      routers[i].SetRouters(live, now);
      routers[i].RecordRequest(PoolId("pool"), now);
      ++requests;
      while (routers[i].TrySpend(PoolId("pool"), now)) retries.push_back(now);
    }
  };
  spend_all(kStart, kRouters);
  spend_all(kStart + seconds(11), kRouters);
  // Half of them are killed, the others notice, and the killed ones start.
  spend_all(kStart + seconds(13), kRouters / 2);
  for (std::size_t i = kRouters / 2; i < kRouters; ++i) {
    routers[i] = FleetRetryBudget(bound);
  }
  spend_all(kStart + seconds(14), kRouters);
  const auto in_window =
      std::count_if(retries.begin(), retries.end(),
                    [](Time at) { return at >= kStart + seconds(11); });
  EXPECT_LE(static_cast<double>(in_window),
            bound.ratio * requests + bound.slack);
}

RC_GTEST_PROP(FleetRetryBudgetTest, TheFleetKeepsTheBoundInEveryWindow, ()) {
  const RetryBound bound{0.2, 50, seconds(10)};
  constexpr std::size_t kRouters = 5;
  std::vector<FleetRetryBudget> routers(kRouters, FleetRetryBudget(bound));
  for (auto& router : routers) router.SetRouters(kRouters, kStart);
  std::vector<Time> requests;
  std::vector<Time> retries;
  auto now = kStart;
  for (int i = 0; i < 3000; ++i) {
    now += milliseconds(*rc::gen::inRange(0, 20));
    auto& router = routers[static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(kRouters)))];
    if (*rc::gen::inRange(0, 4) == 0) {
      router.RecordRequest(PoolId("pool"), now);
      requests.push_back(now);
    } else if (router.TrySpend(PoolId("pool"), now)) {
      retries.push_back(now);
    }
    const auto in_window = [now](const std::vector<Time>& times) {
      return static_cast<double>(std::count_if(
          times.begin(), times.end(),
          [now](Time time) { return now - time <= seconds(10); }));
    };
    RC_ASSERT(in_window(retries) <=
              bound.ratio * in_window(requests) + bound.slack);
  }
}

TEST(TargetOutcomesTest, AFailingTargetCoolsDownAndIsUsedAgain) {
  TargetOutcomes outcomes;
  const TargetId target("a");
  for (int i = 0; i < 3; ++i) outcomes.RecordFailure(target, kStart);
  EXPECT_TRUE(outcomes.IsCoolingDown(target, kStart));
  EXPECT_GT(outcomes.FailureRate(target, kStart), 0.3);
  EXPECT_FALSE(outcomes.IsCoolingDown(target, kStart + seconds(1)));
  EXPECT_LT(outcomes.FailureRate(target, kStart + seconds(20)), 0.01);
}

}  // namespace
}  // namespace papayaplank
