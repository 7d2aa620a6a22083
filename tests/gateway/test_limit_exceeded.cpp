// Tests that targets which name a limit get no more requests than that from the
// whole fleet, and that the limit is used.
#include <gtest/gtest.h>

#include <cstdlib>

#include "tests/gateway/limit_fleet.h"

namespace papayaplank {
namespace {

// The users allow this many requests beyond 1.5 times the limit in 4 s.
constexpr double kAllowedExcess = 5;

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
  static auto SetLimits(LimitFleet& fleet, int targets,
                        std::optional<double> per_second) -> void {
    for (int i = 0; i < targets; ++i) fleet.SetLimit(i, per_second);
  }
  // Most of the targets name a limit far below what they get.
  static auto ExpectKept(const LimitFleetOptions& options, double per_second)
      -> void {
    LimitFleet fleet(options);
    fleet.Run(seconds(5));
    SetLimits(fleet, options.targets * 7 / 10, per_second);
    fleet.Run(seconds(15));
    EXPECT_LE(fleet.WorstExcess(), kAllowedExcess);
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
  auto options = Seeded();
  options.is_engine = false;
  options.targets = 5;
  options.run_time = milliseconds(20);
  ExpectKept(options, 12);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LimitExceededTest, ::testing::ValuesIn([] {
                           const auto* count = std::getenv("PAPAYAPLANK_SEEDS");
                           std::vector<int> seeds(
                               count == nullptr ? 3
                                                : static_cast<std::size_t>(
                                                      std::atoi(count)));
                           for (std::size_t i = 0; i < seeds.size(); ++i) {
                             seeds[i] = static_cast<int>(i) + 1;
                           }
                           return seeds;
                         }()));

}  // namespace
}  // namespace papayaplank
