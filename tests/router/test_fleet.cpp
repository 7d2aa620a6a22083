// Guarantees of the fleet under load and faults: fairness, utilisation, no
// overload of targets, at-most-once execution. The fleet driver simulates the
// routers in virtual time with fixed seeds, so that each run is the same.
#include <gtest/gtest.h>

#include <algorithm>

#include "bench/fleet_driver.h"

namespace papayaplank {
namespace {

constexpr double kMinUtilisation = 0.98;
// Speed of one stream: a token every 13 ms (`FleetPlan::token_time`).
constexpr double kTokensPerSecond = 1000.0 / 13;
// Per router.
constexpr double kMaxControlBytesPerSecond = 5000;

// The bound of docs/DESIGN.md on the gap between customers, in cost units per
// unit of weight. It is the sum of twice the largest request on each slot per
// unit of weight, the lending threshold, and the growth of the virtual time
// while demands and reports are under way.
auto GapBound(const FleetPlan& plan, const std::vector<CallerPlan>& callers)
    -> double {
  const LeaseOptions lease;
  double weight = 0;
  double largest = 0;
  for (const auto& caller : callers) {
    weight += caller.weight;
    largest = std::max(largest, caller.max_cost);
  }
  const auto slots_per_weight = plan.targets * plan.slots / weight;
  const auto update_delay = std::chrono::duration<double>(
      lease.demand_period + lease.renew_period + 2 * plan.network_delay);
  return 2 * slots_per_weight * largest + lease.threshold.value +
         slots_per_weight * kTokensPerSecond * update_delay.count();
}

struct Measured {
  // Largest gap between customers, in cost units per unit of weight.
  double gap;
  // Share of the slots that were in use.
  double utilisation;
  // Largest number of requests at once on any target, relative to its slots.
  double peak_slot_usage;
  // Control traffic, in bytes per router and second.
  double bytes;
};

auto Measure(FleetDriver& driver, Duration warm_up = seconds(60),
             Duration time = seconds(180)) -> Measured {
  driver.Run(warm_up);
  driver.ResetMeasurements();
  driver.Run(time);
  return {driver.FairnessGap(), driver.Utilisation(), driver.PeakSlotUsage(),
          driver.BytesPerRouterSecond()};
}

auto ExpectGuarantees(const FleetPlan& plan,
                      const std::vector<CallerPlan>& callers) -> void {
  FleetDriver driver(plan, callers);
  const auto measured = Measure(driver);
  EXPECT_LE(measured.gap / GapBound(plan, callers), 1);
  EXPECT_GE(measured.utilisation, kMinUtilisation);
  EXPECT_LE(measured.peak_slot_usage, 1);
}

TEST(FleetTest, UnevenSpread) { ExpectGuarantees({}, UnevenCallers()); }

TEST(FleetTest, AllLoadOnOneRouter) {
  auto callers = UnevenCallers();
  for (auto& caller : callers) caller.routers = {0};
  ExpectGuarantees({}, callers);
}

TEST(FleetTest, OneCustomerFloodsFromAllRouters) {
  auto callers = UnevenCallers();
  callers[5].concurrency = 2000;
  callers[5].routers = {0, 1, 2, 3, 4, 5, 6, 7};
  ExpectGuarantees({}, callers);
}

TEST(FleetTest, HintsFiveTimesTooHigh) {
  auto callers = UnevenCallers();
  for (auto& caller : callers) caller.cost_hint = 1500;
  ExpectGuarantees({}, callers);
}

TEST(FleetTest, HintsFiveTimesTooLow) {
  auto callers = UnevenCallers();
  for (auto& caller : callers) caller.cost_hint = 60;
  ExpectGuarantees({}, callers);
}

TEST(FleetTest, OtherFleetSizes) {
  for (const auto targets : {9, 18}) {
    FleetPlan plan;
    plan.targets = targets;
    ExpectGuarantees(plan, UnevenCallers());
  }
}

TEST(FleetTest, LossyNetwork) {
  FleetPlan plan;
  plan.loss = 0.02;
  const auto callers = UnevenCallers();
  FleetDriver driver(plan, callers);
  const auto measured = Measure(driver);
  EXPECT_LE(measured.gap / GapBound(plan, callers), 1);
  EXPECT_GE(measured.utilisation, kMinUtilisation);
}

TEST(FleetTest, ControlTrafficFitsTheBudget) {
  const FleetPlan plan;
  FleetDriver driver(plan, UnevenCallers());
  EXPECT_LE(Measure(driver).bytes, kMaxControlBytesPerSecond);
}

TEST(FleetTest, BaselinesMissTheGuarantees) {
  for (const auto mode : {SharingMode::kFifo, SharingMode::kLocal}) {
    FleetPlan plan;
    plan.mode = mode;
    FleetDriver driver(plan, UnevenCallers());
    const auto measured = Measure(driver);
    EXPECT_GT(measured.gap / GapBound(plan, UnevenCallers()), 1);
    EXPECT_LT(measured.utilisation, kMinUtilisation);
  }
}

TEST(FleetTest, InteractiveRequestsPassAFlood) {
  const auto interactive = InteractiveCaller();
  const auto p99 = [](std::vector<double> waits) {
    std::sort(waits.begin(), waits.end());
    return waits[waits.size() * 99 / 100];
  };
  FleetDriver alone({}, {interactive});
  Measure(alone);
  auto callers = UnevenCallers();
  callers.push_back(interactive);
  FleetDriver beside({}, callers);
  Measure(beside);
  // Callers 0 to 15 are those of `UnevenCallers`.
  EXPECT_LE(p99(beside.Result(16).waits), 2 * p99(alone.Result(0).waits));
}

TEST(FleetTest, NobodyStarvesBesideAFlood) {
  auto callers = UnevenCallers(2);
  callers[0].concurrency = 5000;
  callers[0].routers = {0, 1, 2, 3, 4, 5, 6, 7};
  CallerPlan single;
  single.name = "single";
  single.period = seconds(1);
  single.median_cost = 50;
  single.max_cost = 100;
  single.routers = {3};
  callers.push_back(single);
  FleetDriver driver({}, callers);
  driver.Run(seconds(60));
  driver.ResetMeasurements();
  driver.Run(seconds(60));
  const auto& waits = driver.Result(2).waits;
  EXPECT_GE(waits.size(), 58U);
  EXPECT_LE(*std::max_element(waits.begin(), waits.end()), 2);
}

TEST(FleetTest, WorkGoesOnWithinTwoSecondsOfARoutersDeath) {
  FleetDriver driver({}, UnevenCallers());
  driver.Run(seconds(60));
  driver.KillRouter(4);
  driver.Run(seconds(2));
  driver.ResetMeasurements();
  driver.Run(seconds(20));
  EXPECT_GE(driver.Utilisation(), kMinUtilisation);
}

TEST(FleetTest, RestartedRouterStartsAtTheFleetsVirtualTime) {
  const auto callers = UnevenCallers();
  FleetDriver driver({}, callers);
  driver.Run(seconds(120));
  driver.KillRouter(1);
  driver.Run(seconds(5));
  driver.RestartRouter(1);
  driver.Run(seconds(10));
  driver.ResetMeasurements();
  driver.Run(seconds(120));
  EXPECT_LE(driver.FairnessGap() / GapBound({}, callers), 1);
  EXPECT_GE(driver.Utilisation(), kMinUtilisation);
}

TEST(FleetTest, HealedPartitionStarvesNobody) {
  const auto callers = UnevenCallers();
  FleetDriver driver({}, callers);
  driver.Run(seconds(60));
  driver.PartitionNetwork({0, 1, 2, 3}, {4, 5, 6, 7});
  driver.Run(seconds(60));
  driver.HealNetwork();
  driver.Run(seconds(10));
  std::vector<double> served;
  for (int i = 0; i < 16; ++i) served.push_back(driver.Result(i).served);
  driver.Run(seconds(60));
  for (int i = 0; i < 16; ++i) {
    const auto index = static_cast<std::size_t>(i);
    EXPECT_GT(driver.Result(i).served, served[index]) << i;
  }
  driver.ResetMeasurements();
  driver.Run(seconds(60));
  EXPECT_GE(driver.Utilisation(), kMinUtilisation);
}

TEST(FleetTest, PausedRouterDoesNotHarmOthers) {
  FleetDriver driver({}, UnevenCallers());
  driver.Run(seconds(60));
  driver.PauseRouter(2, seconds(5));
  driver.Run(seconds(10));
  driver.ResetMeasurements();
  driver.Run(seconds(60));
  EXPECT_GE(driver.Utilisation(), kMinUtilisation);
  // The paused router's streams went on at the targets while another router
  // owned them, so a target may have too many requests until the longest has
  // ended.
  EXPECT_LE(driver.PeakSlotUsage(), 2);
  driver.ResetMeasurements();
  driver.Run(seconds(60));
  EXPECT_LE(driver.PeakSlotUsage(), 1);
}

TEST(FleetTest, LeavingTargetGetsNoNewWork) {
  FleetDriver driver({}, UnevenCallers());
  driver.Run(seconds(60));
  driver.MarkTargetLeaving(3);
  driver.Run(seconds(5));
  const auto before = driver.active_requests(3);
  int highest = before;
  for (int i = 0; i < 30; ++i) {
    driver.Run(seconds(1));
    EXPECT_LE(driver.active_requests(3), highest);
    highest = std::min(highest, driver.active_requests(3));
  }
}

TEST(FleetTest, DeadTargetIsEjectedAndItsStreamsResume) {
  auto callers = UnevenCallers();
  FleetDriver driver({}, callers);
  driver.Run(seconds(60));
  driver.KillTarget(2);
  driver.Run(seconds(30));
  std::uint64_t failed = 0;
  for (int i = 0; i < 16; ++i) {
    failed += driver.Result(i).failed_not_run + driver.Result(i).failed_unknown;
  }
  EXPECT_EQ(failed, 0U);
}

// Under failed attempts, pauses and crashes of routers, no request that is not
// idempotent runs twice, and none that was reported as not run has run.
TEST(FleetTest, NonIdempotentRequestsRunAtMostOnce) {
  std::vector<CallerPlan> callers;
  for (int i = 0; i < 8; ++i) {
    CallerPlan caller;
    caller.name = "c" + std::to_string(i);
    caller.routers = {i};
    caller.concurrency = 20;
    caller.is_idempotent = false;
    caller.has_idempotency_keys = i % 2 == 0;
    caller.median_cost = 20;
    caller.max_cost = 60;
    caller.cost_hint = 20;
    callers.push_back(caller);
  }
  FleetDriver driver({}, callers);
  Random random(11);
  driver.SetAttemptFault([&random](const StartAttempt&, AttemptReport& report) {
    if (report.result != AttemptResult::kComplete) return;
    const auto draw = random.Uniform();
    if (draw < 0.05) report.result = AttemptResult::kBroken;
    if (draw < 0.03) report.result = AttemptResult::kSilent;
    if (draw < 0.01) report.result = AttemptResult::kCrossed;
  });
  std::uint64_t completed = 0;
  for (int round = 0; round < 16; ++round) {
    driver.Run(seconds(10));
    driver.PauseRouter(round % 8, seconds(2));
    driver.Run(seconds(5));
    driver.KillRouter((round + 3) % 8);
    driver.Run(seconds(3));
    driver.RestartRouter((round + 3) % 8);
  }
  int ran = 0;
  for (int i = 0; i < 8; ++i) completed += driver.Result(i).completed;
  for (const auto& [id, runs] : driver.run_counts()) {
    ASSERT_LE(runs, 1) << id;
    ran += runs;
  }
  EXPECT_GE(ran, 10000);
  EXPECT_GT(completed, 0U);
  EXPECT_EQ(driver.FalseNotRunCount(), 0);
}

// While every attempt in the fleet fails, retries may add no more load than the
// share and the reserve of the retry budget.
TEST(FleetTest, BrownOutDoesNotMultiplyTheLoad) {
  auto callers = UnevenCallers(8);
  for (auto& caller : callers) {
    caller.median_cost = 20;
    caller.max_cost = 60;
  }
  FleetDriver driver({}, callers);
  driver.Run(seconds(20));
  driver.SetAttemptFault([](const StartAttempt&, AttemptReport& report) {
    report.result = AttemptResult::kBroken;
    report.has_caller_seen_head = false;
  });
  driver.Run(seconds(60));
  std::uint64_t started = 0;
  std::uint64_t retries = 0;
  for (int i = 0; i < 8; ++i) {
    started += driver.Core(i).counters().started;
    retries += driver.Core(i).counters().retries;
  }
  constexpr double kShare = 0.1;
  // The reserve of 10 for each of 8 customers at each of 8 routers.
  constexpr double kReserve = 10.0 * 8 * 8;
  EXPECT_GT(retries, 0U);
  EXPECT_LE(static_cast<double>(retries),
            kShare * static_cast<double>(started) + kReserve);
}

TEST(FleetTest, SameSeedGivesTheSameRun) {
  double gaps[2];
  for (auto& gap : gaps) {
    FleetDriver driver({}, UnevenCallers());
    driver.Run(seconds(30));
    gap = driver.FairnessGap();
  }
  EXPECT_EQ(gaps[0], gaps[1]);
}

}  // namespace
}  // namespace papayaplank
