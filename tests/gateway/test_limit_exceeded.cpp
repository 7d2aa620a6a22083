// Tests that targets which name a limit get no more requests than that from the
// whole fleet, and that the limit is used.
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/gateway/limit_fleet.h"

namespace papayaplank {
namespace {

// The users allow this many requests beyond 1.5 times the limit in 4 s.
constexpr double kAllowedExcess = 5;
// Share of a limit that is used while more requests come than all can take.
constexpr double kLeastUse = 0.8;

class LimitExceededTest : public ::testing::TestWithParam<int> {
 protected:
  static auto Seeded() -> LimitFleetOptions {
    LimitFleetOptions options;
    options.seed = static_cast<std::uint64_t>(GetParam());
    return options;
  }
  static auto Large() -> LimitFleetOptions {
    auto options = Seeded();
    options.routers = 60;
    options.targets = 36;
    options.requests_per_second = 600;
    return options;
  }
  static auto Plain() -> LimitFleetOptions {
    auto options = Seeded();
    options.is_engine = false;
    options.targets = 5;
    options.run_time = milliseconds(20);
    return options;
  }
  static auto SetLimits(LimitFleet& fleet, int targets,
                        std::optional<double> per_second) -> void {
    for (int i = 0; i < targets; ++i) fleet.SetLimit(i, per_second);
  }
  static auto Arrivals(const LimitFleet& fleet, int targets, Time since)
      -> double {
    double count = 0;
    for (int i = 0; i < targets; ++i) count += fleet.Arrivals(i, since);
    return count;
  }
  // Most of the targets name a limit far below what they get.
  static auto ExpectKept(const LimitFleetOptions& options, double per_second,
                         double least_use = kLeastUse) -> void {
    LimitFleet fleet(options);
    fleet.Run(seconds(5));
    const auto limited = options.targets * 7 / 10;
    SetLimits(fleet, limited, per_second);
    fleet.Run(seconds(5));
    const auto since = fleet.now();
    fleet.Run(seconds(10));
    EXPECT_LE(fleet.WorstExcess(), kAllowedExcess);
    EXPECT_GE(Arrivals(fleet, limited, since),
              least_use * limited * per_second * 10);
  }
};

// Targets got several times the limit that they had named (LIMIT).
TEST_P(LimitExceededTest, TheLimitsOfEnginesAreKeptInAMesh) {
  ExpectKept(Seeded(), 3.2);
}

TEST_P(LimitExceededTest, TheLimitsOfEnginesAreKeptThroughHubs) {
  ExpectKept(Large(), 3);
}

TEST_P(LimitExceededTest, TheLimitsOfAPlainServiceAreKept) {
  ExpectKept(Plain(), 12);
}

// One permit for each router would be a burst of many times the limit.
TEST_P(LimitExceededTest, ALowLimitIsKeptAmongManyRouters) {
  auto options = Large();
  options.routers = 120;
  options.targets = 10;
  options.requests_per_second = 400;
  ExpectKept(options, 1);
}

TEST_P(LimitExceededTest, LimitsAreUsedWhereverTheRequestsCome) {
  auto options = Seeded();
  options.pinned_share = 0.9;
  ExpectKept(options, 3.2);
}

TEST_P(LimitExceededTest, RejectedAndResumedRequestsCount) {
  auto options = Seeded();
  options.rejected_share = 0.3;
  options.broken_share = 0.3;
  ExpectKept(options, 3.2);
}

TEST_P(LimitExceededTest, LostMessagesBreakNoLimit) {
  auto options = Seeded();
  options.message_loss = 0.3;
  ExpectKept(options, 3.2, 0.5);
}

TEST_P(LimitExceededTest, SlowMessagesBreakNoLimit) {
  auto options = Seeded();
  options.message_latency = milliseconds(40);
  ExpectKept(options, 3.2, 0.5);
}

// The limits fall, rise, end and come back.
TEST_P(LimitExceededTest, ChangesOfTheLimitAreFollowed) {
  for (const auto& options : {Seeded(), Plain()}) {
    LimitFleet fleet(options);
    fleet.Run(seconds(3));
    const auto limited = options.targets;
    SetLimits(fleet, limited, 8);
    fleet.Run(seconds(8));
    SetLimits(fleet, limited, 2);
    fleet.Run(seconds(8));
    SetLimits(fleet, limited, 6);
    fleet.Run(seconds(2));
    auto since = fleet.now();
    fleet.Run(seconds(6));
    EXPECT_GE(Arrivals(fleet, limited, since), kLeastUse * limited * 6 * 6);
    SetLimits(fleet, limited, std::nullopt);
    fleet.Run(seconds(3));
    since = fleet.now();
    fleet.Run(seconds(3));
    EXPECT_GE(Arrivals(fleet, limited, since),
              0.9 * options.requests_per_second * 3);
    SetLimits(fleet, limited, 3);
    fleet.Run(seconds(10));
    EXPECT_LE(fleet.WorstExcess(), kAllowedExcess);
  }
}

// Targets that get no request can't say that their limit has ended.
TEST_P(LimitExceededTest, ALimitThatEndsInAQuietTimeHoldsNothingBack) {
  auto options = Seeded();
  LimitFleet fleet(options);
  fleet.Run(seconds(2));
  SetLimits(fleet, options.targets, 2);
  fleet.Run(seconds(5));
  fleet.SetRequestRate(0.5);
  fleet.Run(seconds(10));
  SetLimits(fleet, options.targets, std::nullopt);
  fleet.Run(seconds(60));
  fleet.SetRequestRate(options.requests_per_second);
  fleet.Run(seconds(1));
  fleet.TakeService();
  fleet.Run(seconds(5));
  EXPECT_GE(fleet.TakeService().share(), 0.8);
}

// Others without a limit are faster to use, so these get no request by choice.
TEST_P(LimitExceededTest, TheEndOfALimitIsFoundOutWithoutNeed) {
  auto options = Seeded();
  LimitFleet fleet(options);
  fleet.Run(seconds(2));
  SetLimits(fleet, 13, 2);
  fleet.Run(seconds(5));
  fleet.SetRequestRate(0.5);
  fleet.Run(seconds(10));
  SetLimits(fleet, 13, std::nullopt);
  fleet.Run(seconds(40));
  for (int router = 0; router < options.routers; ++router) {
    EXPECT_FALSE(fleet.core(router).target_guard().is_any_limited()) << router;
  }
}

// Every request went to the target that nobody had heard of, and was refused.
TEST_P(LimitExceededTest, ASilentTargetWithALimitHoldsUpNoOther) {
  for (const auto& options : {Seeded(), Plain()}) {
    LimitFleet fleet(options);
    fleet.SetRequestRate(100);
    fleet.Run(seconds(2));
    SetLimits(fleet, 2, 4);
    fleet.Run(seconds(5));
    fleet.TakeService();
    fleet.Run(seconds(10));
    const auto before = fleet.TakeService().share();
    fleet.SetSilent(0);
    fleet.Run(seconds(10));
    fleet.TakeService();
    fleet.Run(seconds(10));
    // Each router finds out for itself, with a request now and then.
    EXPECT_GE(fleet.TakeService().share(), 0.9 * before);
  }
}

TEST_P(LimitExceededTest, ALimitOfZeroIsTriedNowAndThen) {
  auto options = Plain();
  LimitFleet fleet(options);
  fleet.Run(seconds(2));
  SetLimits(fleet, options.targets, 0);
  fleet.Run(seconds(3));
  const auto since = fleet.now();
  fleet.Run(seconds(30));
  EXPECT_LE(fleet.WorstExcess(), kAllowedExcess);
  EXPECT_GE(Arrivals(fleet, options.targets, since), options.targets);
  SetLimits(fleet, options.targets, std::nullopt);
  fleet.Run(seconds(20));
  fleet.TakeService();
  fleet.Run(seconds(3));
  EXPECT_GE(fleet.TakeService().share(), 0.9);
}

// A request that finds no permit is refused within the time of the replies.
TEST_P(LimitExceededTest, WhatNoTargetCanTakeIsRefusedAtOnce) {
  auto options = Plain();
  LimitFleet fleet(options);
  SetLimits(fleet, options.targets, 5);
  fleet.Run(seconds(5));
  fleet.TakeService();
  fleet.Run(seconds(10));
  const auto service = fleet.TakeService();
  EXPECT_LE(service.longest_decision, milliseconds(200));
  EXPECT_GT(service.returned, 0);
}

// A customer that floods takes no more than its share of what the limits leave,
// wherever its requests come.
TEST_P(LimitExceededTest, AFloodLeavesTheOthersTheirShareOfTheLimits) {
  for (const auto is_pinned : {true, false}) {
    auto options = Seeded();
    options.flood_share = 0.8;
    options.is_flood_pinned = is_pinned;
    LimitFleet fleet(options);
    fleet.Run(seconds(4));
    // 90 requests a second for 8 customers; seven of them send 60 in all.
    SetLimits(fleet, options.targets, 5);
    fleet.Run(seconds(6));
    fleet.TakeService();
    fleet.Run(seconds(10));
    const auto service = fleet.TakeService();
    for (const auto& [customer, requests] : service.requests_by_customer) {
      if (customer == CustomerId("c0")) continue;
      EXPECT_GE(service.served_by_customer.at(customer), requests / 2)
          << customer << " of " << requests;
    }
    EXPECT_LE(fleet.WorstExcess(), kAllowedExcess);
  }
}

TEST_P(LimitExceededTest, RestartsCutsAndFreezesBreakNoLimit) {
  for (auto options : {Seeded(), Large()}) {
    LimitFleet fleet(options);
    Random random(options.seed + 77);
    fleet.Run(seconds(3));
    SetLimits(fleet, options.targets * 7 / 10, 3);
    fleet.Run(seconds(2));
    const auto routers = static_cast<std::size_t>(options.routers);
    for (int i = 0; i < 12; ++i) {
      const auto killed = static_cast<int>(random.Index(routers));
      fleet.KillRouter(killed);
      const auto cut = static_cast<int>(random.Index(routers));
      fleet.CutRouter(cut, true);
      const auto frozen = static_cast<int>(random.Index(routers));
      fleet.FreezeRouter(frozen);
      fleet.Run(milliseconds(
          200 + static_cast<std::int64_t>(1500 * random.Uniform())));
      fleet.StartRouter(killed);
      fleet.CutRouter(cut, false);
      fleet.WakeRouter(frozen);
      fleet.Run(
          milliseconds(static_cast<std::int64_t>(800 * random.Uniform())));
    }
    fleet.Run(seconds(6));
    EXPECT_LE(fleet.WorstExcess(), kAllowedExcess);
    const auto since = fleet.now();
    fleet.Run(seconds(5));
    EXPECT_GE(Arrivals(fleet, options.targets * 7 / 10, since),
              kLeastUse * (options.targets * 7 / 10) * 3 * 5);
  }
}

// All routers stop and start again one after the other, as in an upgrade.
TEST_P(LimitExceededTest, ARollOfAllRoutersBreaksNoLimit) {
  auto options = Seeded();
  LimitFleet fleet(options);
  fleet.Run(seconds(3));
  SetLimits(fleet, 13, 3);
  fleet.Run(seconds(2));
  for (int router = 0; router < options.routers; ++router) {
    fleet.core(router).BeginStop(fleet.now());
    fleet.Run(seconds(1));
    fleet.KillRouter(router);
    fleet.Run(milliseconds(400));
    fleet.StartRouter(router);
    fleet.Run(milliseconds(700));
  }
  EXPECT_LE(fleet.WorstExcess(), kAllowedExcess);
}

// Both sides of a partition together keep to the bound of the users, although
// routers that are cut off don't count for it.
TEST_P(LimitExceededTest, ASplitFleetUsesAtMostOneAndAHalfTimesTheLimit) {
  auto options = Seeded();
  LimitFleet fleet(options);
  fleet.Run(seconds(3));
  SetLimits(fleet, options.targets, 3);
  fleet.Run(seconds(3));
  for (int router = 0; router < 3; ++router) fleet.CutRouter(router, true);
  fleet.Run(seconds(4));
  const auto since = fleet.now();
  fleet.Run(seconds(10));
  EXPECT_LE(Arrivals(fleet, options.targets, since),
            1.5 * options.targets * 3 * 10);
}

// Routers of the version before know no limits; the others leave them a part.
TEST_P(LimitExceededTest, RoutersOfTheVersionBeforeGetTheirPart) {
  auto options = Seeded();
  options.old_routers = 4;
  LimitFleet fleet(options);
  fleet.Run(seconds(3));
  SetLimits(fleet, options.targets, 4);
  fleet.Run(seconds(4));
  const auto since = fleet.now();
  fleet.Run(seconds(10));
  double from_new = 0;
  for (int target = 0; target < options.targets; ++target) {
    for (int router = 0; router < 4; ++router) {
      from_new += fleet.ArrivalsFrom(router, target, since);
    }
  }
  const auto part = options.targets * 4 * 10 / 2.0;
  EXPECT_LE(from_new, 1.1 * part);
  EXPECT_GE(from_new, kLeastUse * part);
}

// The messages of a router stay few, whatever the number of limits.
TEST_P(LimitExceededTest, MessagesAreBounded) {
  auto options = Large();
  LimitFleet fleet(options);
  fleet.Run(seconds(5));
  fleet.TakeTraffic();
  fleet.Run(seconds(5));
  const auto before = fleet.TakeTraffic();
  SetLimits(fleet, options.targets, 3);
  fleet.Run(seconds(5));
  fleet.TakeTraffic();
  fleet.Run(seconds(10));
  const auto with_limits = fleet.TakeTraffic();
  const auto added = static_cast<double>(with_limits.bytes) / 10 -
                     static_cast<double>(before.bytes) / 5;
  // Control may cost 5 KB a second at a router, all in all.
  EXPECT_LE(added / options.routers, 2000);
}

// The number of seeds can be raised for a long run by hand.
auto SeedCount() -> int {
  constexpr int kDefault = 2;
  const auto* count = std::getenv("LIMIT_SEEDS");
  return count == nullptr ? kDefault : std::max(1, std::atoi(count));
}

INSTANTIATE_TEST_SUITE_P(Seeds, LimitExceededTest,
                         ::testing::Range(1, SeedCount() + 1));

}  // namespace
}  // namespace papayaplank
