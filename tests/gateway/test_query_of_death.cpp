// Tests that requests with a prompt part that crashes engines stop reaching
// them, and that sound requests are served meanwhile.
#include <gtest/gtest.h>

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

INSTANTIATE_TEST_SUITE_P(Seeds, QueryOfDeathTest, ::testing::Values(1, 2, 3));

}  // namespace
}  // namespace papayaplank
