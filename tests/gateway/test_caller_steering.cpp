// Tests which router addresses callers get.
#include <gtest/gtest.h>

#include <map>

#include "gateway/gateway.h"

namespace papayaplank {
namespace {

TEST(CallerSteeringTest, InALoadedFleetNoRouterIsLeftOut) {
  const DataCenterId west("west");
  std::vector<ServingRouter> serving;
  for (int i = 0; i < 6; ++i) {
    serving.push_back({"r" + std::to_string(i), west, i < 4});
  }
  EXPECT_EQ(ChooseCallerAddresses(serving, west, "caller").size(), 6U);
  serving[2].diverts_callers = false;
  serving[3].diverts_callers = false;
  EXPECT_EQ(ChooseCallerAddresses(serving, west, "caller").size(), 4U);
}

// Load pattern: most routers of a data centre run on small instances. Each gets
// callers by what it can carry, and a caller keeps its connections when another
// router leaves.
TEST(CallerSteeringTest, LargeInstancesGetMoreCallers) {
  const DataCenterId west("west");
  std::vector<ServingRouter> serving;
  constexpr int kRouters = 42;
  constexpr int kLarge = 3;
  for (int i = 0; i < kRouters; ++i) {
    serving.push_back(
        {"r" + std::to_string(i), west, false, i < kLarge ? 0.5 : 0.12});
  }
  std::map<std::string, int> callers;
  constexpr int kCallers = 2000;
  for (int i = 0; i < kCallers; ++i) {
    const auto chosen =
        ChooseCallerAddresses(serving, west, "100.66.0." + std::to_string(i));
    EXPECT_EQ(chosen.size(), 14U);
    for (const auto& address : chosen) ++callers[address];
  }
  int most_of_a_small_one = 0;
  for (int i = 0; i < kRouters; ++i) {
    const auto count = callers["r" + std::to_string(i)];
    EXPECT_GT(count, kCallers / 10);
    if (i < kLarge) {
      EXPECT_GT(count, kCallers * 3 / 4);
    } else {
      most_of_a_small_one = std::max(most_of_a_small_one, count);
    }
  }
  EXPECT_LT(most_of_a_small_one, kCallers * 2 / 5);
  const auto before = ChooseCallerAddresses(serving, west, "100.66.0.7");
  auto fewer = serving;
  std::erase_if(fewer, [&before](const ServingRouter& router) {
    return router.caller_address == before[3];
  });
  const auto after = ChooseCallerAddresses(fewer, west, "100.66.0.7");
  for (const auto& address : before) {
    EXPECT_EQ(std::count(after.begin(), after.end(), address),
              address == before[3] ? 0 : 1);
  }
}

TEST(CallerSteeringTest, OneRouterAloneIsNotEnough) {
  const std::vector<ServingRouter> serving = {
      {"w", DataCenterId("west"), false}, {"e", DataCenterId("east"), false}};
  EXPECT_EQ(
      ChooseCallerAddresses(serving, DataCenterId("west"), "caller").size(),
      2U);
}

}  // namespace
}  // namespace papayaplank
