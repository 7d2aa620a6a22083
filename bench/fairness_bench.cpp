// Prints gap, utilisation, interactive wait and control traffic of the modes
// fifo, local and fleet on the same input. Virtual time, fixed seeds.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "bench/fleet_driver.h"

namespace papayaplank {
namespace {

struct Scenario {
  std::string name;
  FleetPlan plan;
  std::vector<CallerPlan> callers;
};

auto Scenarios() -> std::vector<Scenario> {
  std::vector<Scenario> scenarios;
  scenarios.push_back({"uneven spread", {}, UnevenCallers()});
  auto one = UnevenCallers();
  for (auto& caller : one) caller.routers = {0};
  scenarios.push_back({"all on one router", {}, one});
  auto flood = UnevenCallers();
  flood[5].concurrency = 2000;
  flood[5].routers = {0, 1, 2, 3, 4, 5, 6, 7};
  scenarios.push_back({"one floods from all routers", {}, flood});
  auto low = UnevenCallers();
  for (auto& caller : low) caller.cost_hint = 60;
  scenarios.push_back({"hints 5x too low", {}, low});
  auto high = UnevenCallers();
  for (auto& caller : high) caller.cost_hint = 1500;
  scenarios.push_back({"hints 5x too high", {}, high});
  auto wide = UnevenCallers();
  for (auto& caller : wide) {
    caller.cost_sigma = 2;
    caller.max_cost = 10000;
  }
  scenarios.push_back({"costs 10 to 10,000", {}, wide});
  FleetPlan spoina;
  spoina.targets = 9;
  scenarios.push_back({"Zlota Spoina, 9 runners", spoina, UnevenCallers()});
  FleetPlan cascade;
  cascade.targets = 18;
  scenarios.push_back(
      {"Cascade Foamworks, 18 runners", cascade, UnevenCallers()});
  auto desk = UnevenCallers();
  desk.push_back(InteractiveCaller());
  scenarios.push_back({"interactive beside a flood", {}, desk});
  return scenarios;
}

auto Percentile(std::vector<double> values, double share) -> double {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

auto RunOne(Scenario scenario, SharingMode mode, const char* name) -> void {
  scenario.plan.mode = mode;
  FleetDriver driver(scenario.plan, scenario.callers);
  driver.Run(seconds(60));
  driver.ResetMeasurements();
  driver.Run(seconds(600));
  const auto last = static_cast<int>(scenario.callers.size()) - 1;
  const auto& waits = driver.Result(last).waits;
  std::printf("%-30s %-6s %9.0f %8.3f %9.3f %8.1f %9.0f %9.2f\n",
              scenario.name.c_str(), name, driver.FairnessGap(),
              driver.Utilisation(), Percentile(waits, 0.99),
              driver.MessagesPerRouterSecond(), driver.BytesPerRouterSecond(),
              driver.PeakSlotUsage());
  std::fflush(stdout);
}

}  // namespace
}  // namespace papayaplank

auto main(int argc, char** argv) -> int {
  using papayaplank::SharingMode;
  const std::string only = argc > 1 ? argv[1] : "";
  std::printf("%-30s %-6s %9s %8s %9s %8s %9s %9s\n", "scenario", "mode", "gap",
              "busy", "wait p99", "msgs/s", "bytes/s", "overfill");
  for (const auto& scenario : papayaplank::Scenarios()) {
    if (scenario.name.find(only) == std::string::npos) continue;
    papayaplank::RunOne(scenario, SharingMode::kFifo, "fifo");
    papayaplank::RunOne(scenario, SharingMode::kLocal, "local");
    papayaplank::RunOne(scenario, SharingMode::kFleet, "fleet");
  }
  return 0;
}
