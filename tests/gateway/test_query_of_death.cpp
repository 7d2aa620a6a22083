// Tests that requests with a prompt part that crashes engines stop reaching
// them, and that sound requests are served meanwhile.
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/gateway/crash_fleet.h"

namespace papayaplank {
namespace {

// The users allow this many requests with a fatal part after their bound.
constexpr int kAllowedAfterBound = 3;
// The users' bound is a half of the share outside of the incident.
constexpr double kLeastShare = 0.5;

class QueryOfDeathTest : public ::testing::TestWithParam<int> {
 protected:
  static auto Seeded() -> CrashFleetOptions {
    CrashFleetOptions options;
    options.seed = static_cast<std::uint64_t>(GetParam());
    return options;
  }
  static auto ExpectContained(const CrashFleetOptions& options) -> void {
    CrashFleet fleet(options);
    fleet.Run(seconds(5));
    const auto before = fleet.TakeService();
    fleet.SetFatalRequests(true);
    fleet.Run(seconds(15));
    fleet.TakeService();
    fleet.Run(seconds(20));
    EXPECT_LE(fleet.FatalSentAfterBound(), kAllowedAfterBound)
        << fleet.crashes().size() << " engines ended";
    EXPECT_GE(fleet.TakeService().share(), kLeastShare * before.share());
  }
};

// Requests with one part crashed engine after engine (BUDGET on cfs-plank).
TEST_P(QueryOfDeathTest, APartThatCrashesEnginesIsHeldBackInAMesh) {
  ExpectContained(Seeded());
}

TEST_P(QueryOfDeathTest, APartThatCrashesEnginesIsHeldBackThroughHubs) {
  auto options = Seeded();
  options.routers = 60;
  options.engines = 36;
  ExpectContained(options);
}

TEST_P(QueryOfDeathTest, WithoutRepeatsThePartIsHeldBackAsWell) {
  auto options = Seeded();
  options.is_resumable = false;
  ExpectContained(options);
}

TEST_P(QueryOfDeathTest, ManyRequestsASecondOfThePartAreHeldBack) {
  auto options = Seeded();
  options.fatal_per_second = 8;
  ExpectContained(options);
}

TEST_P(QueryOfDeathTest, ManyRareSessionsAreServedMeanwhile) {
  auto options = Seeded();
  options.sessions = 5000;
  ExpectContained(options);
}

// The first part of a route is not blamed for the part that follows it, even if
// most of the requests with it are fatal.
TEST_P(QueryOfDeathTest, ARouteWithFewSoundRequestsIsServedMeanwhile) {
  auto options = Seeded();
  options.requests_per_second = 6;
  options.fatal_per_second = 4;
  ExpectContained(options);
}

TEST_P(QueryOfDeathTest, LostMessagesDelayNoVerdictForLong) {
  auto options = Seeded();
  options.message_loss = 0.3;
  ExpectContained(options);
}

TEST_P(QueryOfDeathTest, RoutersThatStartOrReturnHoldThePartBack) {
  auto options = Seeded();
  CrashFleet fleet(options);
  fleet.Run(seconds(2));
  fleet.SetFatalRequests(true);
  fleet.CutRouter(7, true);
  fleet.Run(seconds(12));
  fleet.CutRouter(7, false);
  for (int router = 0; router < options.routers - 2; ++router) {
    fleet.KillRouter(router);
    fleet.Run(milliseconds(500));
    fleet.StartRouter(router);
    fleet.Run(milliseconds(1500));
  }
  fleet.Run(CrashFleet::kContact);
  const auto since = fleet.now();
  fleet.Run(seconds(20));
  EXPECT_EQ(fleet.FatalSentSince(since), 0);
}

TEST_P(QueryOfDeathTest, ARestartedMemberOfALargeFleetHoldsThePartBack) {
  auto options = Seeded();
  options.routers = 60;
  options.engines = 36;
  CrashFleet fleet(options);
  fleet.Run(seconds(2));
  fleet.SetFatalRequests(true);
  fleet.Run(seconds(12));
  // Hubs among them.
  for (int router = 0; router < 20; ++router) fleet.KillRouter(router);
  fleet.Run(seconds(1));
  for (int router = 0; router < 20; ++router) fleet.StartRouter(router);
  fleet.Run(CrashFleet::kContact);
  const auto since = fleet.now();
  fleet.Run(seconds(15));
  EXPECT_EQ(fleet.FatalSentSince(since), 0);
}

TEST_P(QueryOfDeathTest, APartThatTurnsSoundIsServedAgain) {
  CrashFleet fleet(Seeded());
  fleet.Run(seconds(2));
  fleet.SetFatalRequests(true);
  fleet.Run(seconds(20));
  const auto served = fleet.fatal_served();
  fleet.SetPartIsFatal(false);
  fleet.Run(seconds(120));
  EXPECT_GT(fleet.fatal_served() - served, 10);
}

TEST_P(QueryOfDeathTest, APartThatStaysFatalIsTriedEverMoreSeldom) {
  CrashFleet fleet(Seeded());
  fleet.Run(seconds(2));
  fleet.SetFatalRequests(true);
  fleet.Run(seconds(30));
  const auto since = fleet.now();
  fleet.Run(seconds(600));
  // After 60, 120, 240 s.
  EXPECT_LE(fleet.FatalSentSince(since), 3);
}

// Days on which other things fail as well, at random.

class MixedDayTest : public QueryOfDeathTest {
 protected:
  auto Pick(int least, int most) -> int {
    return least + static_cast<int>(random_.Index(
                       static_cast<std::size_t>(most - least + 1)));
  }
  auto RandomOptions() -> CrashFleetOptions {
    auto options = Seeded();
    options.routers = random_.Uniform() < 0.3 ? Pick(24, 60) : Pick(3, 12);
    options.engines = Pick(9, 36);
    options.requests_per_second = Pick(20, 160);
    options.fatal_per_second = 0.2 + 4 * random_.Uniform() * random_.Uniform();
    options.sessions = Pick(5, 3000);
    options.is_resumable = random_.Uniform() < 0.5;
    options.message_loss = 0.1 * random_.Uniform();
    return options;
  }
  auto Disturb(CrashFleet& fleet, int routers) -> void {
    const auto router = Pick(0, routers - 1);
    switch (Pick(0, 4)) {
      case 0:
        fleet.KillRouter(router);
        fleet.Run(milliseconds(Pick(100, 2000)));
        return fleet.StartRouter(router);
      case 1:
        fleet.CutRouter(router, true);
        fleet.Run(milliseconds(Pick(500, 6000)));
        return fleet.CutRouter(router, false);
      case 2:  // Many at once, but not all.
        for (int i = 0; i < routers * 3 / 5; ++i) fleet.KillRouter(i);
        fleet.Run(milliseconds(Pick(100, 2000)));
        for (int i = 0; i < routers * 3 / 5; ++i) fleet.StartRouter(i);
        return;
      case 3:
        return fleet.CrashEngines(1);
      default:
        return fleet.CrashEngines(Pick(2, 5));
    }
  }

  Random random_{static_cast<std::uint64_t>(GetParam()) + 77};
};

TEST_P(MixedDayTest, TheFatalPartAloneIsHeldBack) {
  const auto options = RandomOptions();
  CrashFleet fleet(options);
  fleet.Run(seconds(3));
  fleet.SetFatalRequests(true);
  const auto end = fleet.now() + seconds(55);
  while (fleet.now() < end) {
    fleet.Run(milliseconds(Pick(300, 5000)));
    Disturb(fleet, options.routers);
    EXPECT_EQ(fleet.CondemnedSoundParts(), 0U);
  }
  EXPECT_LE(fleet.FatalSentAfterBound(), kAllowedAfterBound)
      << fleet.crashes().size() << " engines ended; " << options.routers
      << " routers, " << options.engines << " engines, "
      << options.requests_per_second << " and " << options.fatal_per_second
      << " requests a second, " << options.sessions << " sessions, "
      << options.message_loss << " of messages lost";
}

// Crashes with other causes.

class OtherCrashesTest : public QueryOfDeathTest {
 protected:
  static auto ExpectNoQuarantine(CrashFleet& fleet, int routers) -> void {
    for (int i = 0; i < routers; ++i) {
      const auto& quarantine = fleet.core(i).crash_guard().quarantine();
      EXPECT_EQ(quarantine.quarantined_count(), 0U) << "router " << i;
    }
  }
};

TEST_P(OtherCrashesTest, EnginesThatCrashOneByOneCondemnNoPart) {
  for (const auto sessions : {20, 180, 3000}) {
    auto options = Seeded();
    options.sessions = sessions;
    CrashFleet fleet(options);
    for (int i = 0; i < 40; ++i) {
      fleet.Run(milliseconds(700));
      fleet.CrashEngines(1);
      ExpectNoQuarantine(fleet, options.routers);
    }
  }
}

TEST_P(OtherCrashesTest, HalfOfTheEnginesCrashingAtOnceCondemnNoPart) {
  for (const auto sessions : {20, 180, 3000}) {
    auto options = Seeded();
    options.sessions = sessions;
    CrashFleet fleet(options);
    for (int i = 0; i < 5; ++i) {
      fleet.Run(seconds(5));
      fleet.CrashEngines(options.engines / 2);
      fleet.Run(milliseconds(200));
      fleet.CrashEngines(options.engines / 4);
      fleet.Run(seconds(2));
      ExpectNoQuarantine(fleet, options.routers);
    }
  }
}

TEST_P(OtherCrashesTest, EnginesThatCrashWhateverTheyRunCondemnNoPart) {
  const auto options = Seeded();
  CrashFleet fleet(options);
  fleet.Run(seconds(2));
  for (int i = 0; i < 100; ++i) {
    fleet.CrashEngines(options.engines);
    fleet.Run(milliseconds(250));
    ExpectNoQuarantine(fleet, options.routers);
  }
  fleet.TakeService();
  fleet.Run(seconds(15));
  EXPECT_GE(fleet.TakeService().share(), kLeastShare);
}

// The number of seeds can be raised for a long run by hand.
auto SeedCount() -> int {
  constexpr int kDefault = 3;
  const auto* count = std::getenv("QUERY_OF_DEATH_SEEDS");
  return count == nullptr ? kDefault : std::max(1, std::atoi(count));
}

INSTANTIATE_TEST_SUITE_P(Seeds, QueryOfDeathTest,
                         ::testing::Range(1, SeedCount() + 1));
INSTANTIATE_TEST_SUITE_P(Seeds, MixedDayTest,
                         ::testing::Range(1, SeedCount() + 1));
INSTANTIATE_TEST_SUITE_P(Seeds, OtherCrashesTest,
                         ::testing::Range(1, SeedCount() + 1));

}  // namespace
}  // namespace papayaplank
